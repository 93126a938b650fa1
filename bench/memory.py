"""Measures the memory of an entry host by its parts.

First each import of the host's program is added in turn, in a new interpreter.
Then a leader and a standby run on loopback with the stand-ins, and are measured
when ready, when idle, and after callers' requests. Hosts run as the deploy file
says, with the libraries that its build installs.
"""

import argparse
import asyncio
import json
import subprocess  # noqa: S404
import sys
import tempfile
import time
import tomllib
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, Final, NamedTuple

import aiohttp

from bench.processes import HOST, ROOT, free_port
from curranthill.storage.rows import RowPut
from tests.platform_standin import worker_row
from tests.test_platform import CONFIGURATION, JOB, Testbed

#: The imports of the host's program; each is measured with those above it.
IMPORTS: Final = (
    '',
    'msgspec',
    'asyncio',
    'uvloop',
    'loguru',
    'aiohttp.web',
    'opentelemetry.sdk.metrics',
    'opentelemetry.exporter.prometheus',
    'curranthill.platform.program',
)

#: How long a host is idle before it is measured, in seconds.
IDLE_S: Final = 3.0

#: The longest time that a host may take to become ready, in seconds.
START_TIMEOUT_S: Final = 20.0

#: The interval between checks whether a host is ready, in seconds.
POLL_INTERVAL_S: Final = 0.01

#: The interpreter outside of any virtual environment, as the build uses it.
INTERPRETER: Final = f'{sys.base_prefix}/bin/python3'

OK: Final = 200


class Memory(NamedTuple):
    """The resident memory of a process, in kilobytes."""

    anonymous_kb: int
    file_kb: int
    peak_kb: int

    @classmethod
    def from_status(cls, status: str) -> 'Memory':
        """Return the memory from the status file of a process in /proc."""
        fields = dict(
            line.split(':', maxsplit=1) for line in status.split('\n') if line
        )
        return cls(
            *(
                int(fields[name].split()[0])
                for name in ('RssAnon', 'RssFile', 'VmHWM')
            ),
        )


class Deployment:
    """The build and the start of the host's program by the deploy file."""

    def __init__(self) -> None:
        """Read the build command and the host's command from the file."""
        fields = tomllib.loads((ROOT / 'deploy/system.toml').read_text('utf-8'))
        self._build = fields['build']
        role = fields['roles']['host']
        self._command_line: list[str] = role['run'].split()
        self._variables = role.get('env', {})

    def build(self) -> None:
        """Run the build command, as the platform does."""
        subprocess.run(  # noqa: S602
            self._build,
            shell=True,
            check=True,
            cwd=ROOT,
        )

    @property
    def options(self) -> list[str]:
        """Return the options of the interpreter before the program."""
        program = next(
            number
            for number, word in enumerate(self._command_line)
            if word.endswith('.py')
        )
        return self._command_line[1:program]

    def environment(self, **more: str) -> dict[str, str]:
        """Return the environment variables of a host's process."""
        libraries = f'{ROOT}/target/deps:{ROOT}/src'
        return {'PYTHONPATH': libraries, **self._variables, **more}

    def command(self, *arguments: str) -> list[str]:
        """Return an interpreter's command line."""
        return [INTERPRETER, *self.options, *arguments]

    def start(self, settings: Path) -> subprocess.Popen[bytes]:
        """Start a host."""
        return subprocess.Popen(  # noqa: S603
            self.command('deploy/host.py'),
            cwd=ROOT,
            env=self.environment(CURRANTHILL_BOOT=str(settings)),
            stdout=subprocess.DEVNULL,
        )

    def after_imports(self, modules: Sequence[str]) -> Memory:
        """Return the memory of an interpreter after some imports."""
        lines = [f'import {module}' for module in modules if module]
        lines.append("print(open('/proc/self/status').read())")
        completed = subprocess.run(  # noqa: S603
            self.command('-c', '\n'.join(lines)),
            check=True,
            capture_output=True,
            text=True,
            cwd=ROOT,
            env=self.environment(),
        )
        return Memory.from_status(completed.stdout)


class RunningHost:
    """A host's process and the addresses at which it listens."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        folder: Path,
        name: str,
        store_address: str,
    ) -> None:
        """Start the process."""
        self.name = name
        self.caller_address = f'{HOST}:{free_port()}'
        self.ready_address = f'{HOST}:{free_port()}'
        self.started_s = time.monotonic()
        settings = folder / f'{name}.json'
        settings.write_text(
            json.dumps(
                {
                    'node_name': name,
                    'ip': HOST,
                    'zone': 'dc',
                    'bind_addrs': {
                        'front': self.caller_address,
                        'ready': self.ready_address,
                    },
                    'port_range': [free_port(), free_port()],
                    'platform': {'address': store_address},
                    'bounds': {'max_hold_ms': 6000, 'grace_s': 1},
                },
            ),
            'utf-8',
        )
        self.process = deployment.start(settings)

    @property
    def memory(self) -> Memory:
        """Return the current memory of the process."""
        path = Path(f'/proc/{self.process.pid}/status')
        return Memory.from_status(path.read_text('utf-8'))

    async def until_ready(self, client: aiohttp.ClientSession) -> float:
        """Wait until the host is ready; return the seconds since its start."""
        while not await self._is_ready(client):
            if time.monotonic() - self.started_s > START_TIMEOUT_S:
                raise TimeoutError(
                    f'{self.name} is not ready after {START_TIMEOUT_S} s'
                )
            await asyncio.sleep(POLL_INTERVAL_S)
        return time.monotonic() - self.started_s

    async def _is_ready(self, client: aiohttp.ClientSession) -> bool:
        with suppress(aiohttp.ClientError):
            async with client.get(f'http://{self.ready_address}/') as response:
                return response.status == OK
        return False


async def submit_and_read(
    client: aiohttp.ClientSession,
    host: RunningHost,
    requests: int,
) -> None:
    """Submit jobs and read the state of each."""
    headers = {'Host': 'jobs.example', 'Authorization': 'Bearer key-of-alpha'}
    for number in range(requests):
        url = f'http://{host.caller_address}/quick/{host.name}-{number}'
        async with client.post(url, json=JOB, headers=headers) as accepted:
            if accepted.status != OK:
                raise RuntimeError(f'POST {url} returned {accepted.status}')
        async with client.get(url, headers=headers) as response:
            await response.read()


def print_memory(part: str, memory: Memory, **more: Any) -> None:
    """Print one measurement as a line of JSON."""
    fields = {
        'part': part,
        'anonymous_mb': round(memory.anonymous_kb / 1024, 1),
        'file_mb': round(memory.file_kb / 1024, 1),
        'peak_mb': round(memory.peak_kb / 1024, 1),
        **more,
    }
    print(json.dumps(fields), flush=True)


def print_imports(deployment: Deployment) -> None:
    """Print the memory after each further import."""
    for number, module in enumerate(IMPORTS):
        memory = deployment.after_imports(IMPORTS[: number + 1])
        print_memory(module or 'interpreter', memory)


async def print_hosts(
    deployment: Deployment,
    folder: Path,
    requests: int,
) -> None:
    """Print the memory of a leader and a standby."""
    testbed = Testbed()
    await testbed.open()
    content = json.dumps(CONFIGURATION).encode()
    testbed.rows.apply((), (RowPut('op', 'config', content),), ())
    testbed.rows.apply((), (worker_row(testbed.entry),), ())
    hosts = []
    try:
        async with aiohttp.ClientSession() as client:
            for name in ('leader', 'standby'):
                host = RunningHost(
                    deployment=deployment,
                    folder=folder,
                    name=name,
                    store_address=testbed.store_address,
                )
                hosts.append(host)
                ready_s = round(await host.until_ready(client), 2)
                print_memory(f'{name} when ready', host.memory, ready_s=ready_s)
            await asyncio.sleep(IDLE_S)
            for host in hosts:
                print_memory(f'{host.name} at rest', host.memory)
            for host in hosts:
                await submit_and_read(client, host, requests)
            for host in hosts:
                print_memory(
                    f'{host.name} asked', host.memory, requests=requests
                )
    finally:
        for host in hosts:
            host.process.terminate()
            host.process.wait()
        await testbed.close()


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--requests', type=int, default=300)
    options = parser.parse_args()
    deployment = Deployment()
    deployment.build()
    print_imports(deployment)
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(print_hosts(deployment, Path(folder), options.requests))


if __name__ == '__main__':
    main()
