"""Starts the program under a crowd, watches it and plays the crowd."""

import asyncio
import json
import random
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from typing import Any, Final, Protocol

import aiohttp

from bench.processes import free_port
from bench.soak_revisions import QUEUE
from crowds.measure import Held, held_by
from crowds.play import Sent
from crowds.senders import TARGETS
from curranthill.clock import SystemClock
from curranthill.standin.rows import RowStoreModel
from curranthill.storage.rows import RowPut
from tests.platform_standin import StoreServer, serve

IP: Final = '127.0.0.1'

#: How long a start or one ordinary request may take, in seconds; no test
#: depends on it while the host serves requests at all.
PATIENCE_S: Final = 60.0

_SAMPLE_INTERVAL_S: Final = 0.02
_OK: Final = 200


class Watch:
    """Samples what a process holds and keeps the maximum."""

    def __init__(self, *, pid: int, port: int) -> None:
        """Initialize with what the process holds now."""
        self._pid = pid
        self._port = port
        self.peak = held_by(pid, port)

    async def run(self) -> None:
        """Sample until cancelled or until the process has ended."""
        with suppress(FileNotFoundError, ProcessLookupError):
            while True:
                self.sample()
                await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Include what the process holds now."""
        now = held_by(self._pid, self._port)
        self.peak = Held(*map(max, self.peak, now))


class Bed(Protocol):
    """A program under a crowd.

    :ivar target: the name of the target of its crowds.
    """

    target: str

    @property
    def pid(self) -> int:
        """Return the process."""

    @property
    def port(self) -> int:
        """Return the port that serves callers."""

    async def is_request_served(self) -> bool:
        """Return whether one ordinary request is served, with retries."""


class HostBed:
    """One host as deployed, with a stand-in of the store.

    :param limits: the machine's limits in the host's settings.
    """

    target = 'host'

    def __init__(self, *, limits: dict[str, Any]) -> None:
        """Initialize without starting anything."""
        self._limits = limits
        self._rows = RowStoreModel(clock=SystemClock())
        self._store = StoreServer(model=self._rows)
        self._folder = tempfile.TemporaryDirectory()
        self.port = free_port()

    async def __aenter__(self) -> 'HostBed':
        """Start the host and wait until it serves requests."""
        self._write_configuration()
        served = await serve(self._store.handle)
        self._runner = served[0]
        path = Path(self._folder.name)
        (path / 'settings.json').write_text(
            json.dumps(self._settings(served[1]))
        )
        with (path / 'host.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'curranthill.commands.host',
                '--settings',
                str(path / 'settings.json'),
                stdout=log,
                stderr=log,
            )
        if not await self.is_request_served():
            raise TimeoutError(f'not served: {self.log_text()}')
        return self

    async def __aexit__(self, *error: object) -> None:
        """Kill the host and remove its files."""
        with suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        await self._runner.cleanup()
        self._folder.cleanup()

    @property
    def pid(self) -> int:
        """Return the process."""
        return self.process.pid

    async def is_request_served(self) -> bool:
        """Submit one ordinary job, trying again as callers do.

        Each try uses a connection of its own.
        """
        until_s = asyncio.get_running_loop().time() + PATIENCE_S
        job_id = f'{random.getrandbits(64):016x}'  # noqa: S311
        while asyncio.get_running_loop().time() < until_s:
            if self.process.returncode is not None:
                return False
            if await self._submit(job_id) == _OK:
                return True
            await asyncio.sleep(0.2)
        return False

    def log_text(self) -> str:
        """Return what the host has written."""
        return (Path(self._folder.name) / 'host.log').read_text('utf-8')

    async def _submit(self, job_id: str) -> int:
        timeout = aiohttp.ClientTimeout(total=3)
        job = {'spec': 'x', 'steps': [{'count': 1, 'cpu': 100}]}
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(
                    f'http://{IP}:{self.port}/queue/{job_id}',
                    json=job,
                    headers={'Host': 'jobs.example', 'Deadline-Ms': '3000'},
                ) as response,
            ):
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    def _write_configuration(self) -> None:
        fields = {
            'version': 1,
            'routes': [{**QUEUE, 'name': 'queue', 'path_prefix': '/queue/'}],
            'limits': {'max_body_bytes': TARGETS['host'].body_bytes},
        }
        put = RowPut('op', 'config', json.dumps(fields).encode())
        self._rows.apply((), (put,), ())

    def _settings(self, store_address: str) -> dict[str, Any]:
        return {
            'node_name': 'host',
            'ip': IP,
            'zone': 'dc',
            'bind_addrs': {
                'front': f'{IP}:{self.port}',
                'ready': f'{IP}:{free_port()}',
            },
            'port_range': [free_port(), free_port()],
            'platform': {'address': store_address},
            'limits': self._limits,
        }


async def play(
    name: str,
    connections: int,
    bed: Bed,
) -> tuple[Sent, Held, bool]:
    """Play a crowd against a program.

    Returns what the crowd sent, the most that it held meanwhile, and
    whether it serves one ordinary request while the crowd stays connected.
    """
    watch = Watch(pid=bed.pid, port=bed.port)
    watching = asyncio.create_task(watch.run())
    crowd = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'crowds.play',
        name,
        bed.target,
        f'{IP}:{bed.port}',
        str(connections),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert crowd.stdin is not None
    assert crowd.stdout is not None
    try:
        sent = Sent(**json.loads(await crowd.stdout.readline()))
        served = await bed.is_request_served()
        if served:
            watch.sample()
    finally:
        crowd.stdin.close()
        await crowd.wait()
        watching.cancel()
    return sent, watch.peak, served


__all__ = ('IP', 'PATIENCE_S', 'HostBed', 'play')
