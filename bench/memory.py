"""The memory of an entry host by part.

Each import of the host's program in turn, each in a fresh interpreter; then
hosts on loopback against the stand-ins: one that leads and one that does not,
at rest and after callers' requests. Hosts run as the deploy file says, with
the libraries that its build installs.
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

#: What the host's program imports, each with all that is above it.
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

#: How long a host is left alone before it is read, in seconds.
REST_S: Final = 3.0

#: The longest that a host may take to start, in seconds.
START_S: Final = 20.0

#: How often a host is asked whether it is ready, in seconds.
POLL_S: Final = 0.01

#: The interpreter outside of any virtual environment, as the build uses it.
INTERPRETER: Final = f'{sys.base_prefix}/bin/python3'

OK: Final = 200


class Memory(NamedTuple):
    """What one process holds, in kilobytes."""

    anonymous_kb: int
    file_kb: int
    peak_kb: int

    @classmethod
    def of(cls, status: str) -> 'Memory':
        """Return what the kernel's status page of a process tells."""
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
    """How the deploy file builds and runs the host's program."""

    def __init__(self) -> None:
        """Read the file."""
        fields = tomllib.loads((ROOT / 'deploy/system.toml').read_text('utf-8'))
        self._build = fields['build']
        role = fields['roles']['host']
        self._words: list[str] = role['run'].split()
        self._variables = role.get('env', {})

    def build(self) -> None:
        """Build as the platform does."""
        subprocess.run(  # noqa: S602
            self._build,
            shell=True,
            check=True,
            cwd=ROOT,
        )

    @property
    def options(self) -> list[str]:
        """Return the interpreter's own options."""
        program = next(
            number
            for number, word in enumerate(self._words)
            if word.endswith('.py')
        )
        return self._words[1:program]

    def environment(self, **more: str) -> dict[str, str]:
        """Return the variables that a host's process sees."""
        libraries = f'{ROOT}/target/deps:{ROOT}/src'
        return {'PYTHONPATH': libraries, **self._variables, **more}

    def command(self, *words: str) -> list[str]:
        """Return an interpreter's command line."""
        return [INTERPRETER, *self.options, *words]

    def start(self, settings: Path) -> subprocess.Popen[bytes]:
        """Start a host."""
        return subprocess.Popen(  # noqa: S603
            self.command('deploy/host.py'),
            cwd=ROOT,
            env=self.environment(CURRANTHILL_BOOT=str(settings)),
            stdout=subprocess.DEVNULL,
        )

    def after_imports(self, modules: Sequence[str]) -> Memory:
        """Return what an interpreter holds that imported some modules."""
        lines = [f'import {module}' for module in modules if module]
        lines.append("print(open('/proc/self/status').read())")
        done = subprocess.run(  # noqa: S603
            self.command('-c', '\n'.join(lines)),
            check=True,
            capture_output=True,
            text=True,
            cwd=ROOT,
            env=self.environment(),
        )
        return Memory.of(done.stdout)


class RunningHost:
    """One host's process and where it listens."""

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
        self.callers = f'{HOST}:{free_port()}'
        self.ready = f'{HOST}:{free_port()}'
        self.started_s = time.monotonic()
        settings = folder / f'{name}.json'
        settings.write_text(
            json.dumps(
                {
                    'node_name': name,
                    'ip': HOST,
                    'zone': 'dc',
                    'bind_addrs': {'front': self.callers, 'ready': self.ready},
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
        """Return what the process holds now."""
        page = Path(f'/proc/{self.process.pid}/status')
        return Memory.of(page.read_text('utf-8'))

    async def until_ready(self, client: aiohttp.ClientSession) -> float:
        """Wait until callers may come; return the seconds since the start."""
        while not await self._is_ready(client):
            if time.monotonic() - self.started_s > START_S:
                raise TimeoutError(f'{self.name} is not ready in {START_S} s')
            await asyncio.sleep(POLL_S)
        return time.monotonic() - self.started_s

    async def _is_ready(self, client: aiohttp.ClientSession) -> bool:
        with suppress(aiohttp.ClientError):
            async with client.get(f'http://{self.ready}/') as answer:
                return answer.status == OK
        return False


async def ask(
    client: aiohttp.ClientSession,
    host: RunningHost,
    requests: int,
) -> None:
    """Hand in jobs, and ask for each."""
    headers = {'Host': 'jobs.example', 'Authorization': 'Bearer key-of-alpha'}
    for number in range(requests):
        url = f'http://{host.callers}/quick/{host.name}-{number}'
        async with client.post(url, json=JOB, headers=headers) as accepted:
            if accepted.status != OK:
                raise RuntimeError(f'{url} was answered {accepted.status}')
        async with client.get(url, headers=headers) as told:
            await told.read()


def show(part: str, memory: Memory, **more: Any) -> None:
    """Print one line of the account."""
    fields = {
        'part': part,
        'anonymous_mb': round(memory.anonymous_kb / 1024, 1),
        'file_mb': round(memory.file_kb / 1024, 1),
        'peak_mb': round(memory.peak_kb / 1024, 1),
        **more,
    }
    print(json.dumps(fields), flush=True)


def show_imports(deployment: Deployment) -> None:
    """Print what each import adds to those before it."""
    for number, module in enumerate(IMPORTS):
        memory = deployment.after_imports(IMPORTS[: number + 1])
        show(module or 'interpreter', memory)


async def show_hosts(
    deployment: Deployment,
    folder: Path,
    requests: int,
) -> None:
    """Print what a leader and a standby hold."""
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
                show(f'{name} when ready', host.memory, ready_s=ready_s)
            await asyncio.sleep(REST_S)
            for host in hosts:
                show(f'{host.name} at rest', host.memory)
            for host in hosts:
                await ask(client, host, requests)
            for host in hosts:
                show(f'{host.name} asked', host.memory, requests=requests)
    finally:
        for host in hosts:
            host.process.terminate()
            host.process.wait()
        await testbed.close()


def main() -> None:
    """Print the account."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument('--requests', type=int, default=300)
    chosen = options.parse_args()
    deployment = Deployment()
    deployment.build()
    show_imports(deployment)
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(show_hosts(deployment, Path(folder), chosen.requests))


if __name__ == '__main__':
    main()
