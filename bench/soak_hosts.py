"""A fault soak of ``curranthill-host``: real processes, faults from outside.

The store and the workers are stand-ins inside this process; hosts reach them
through proxies. Hosts are killed, paused, stopped and told to reload by
signals, the store loses and delays writes, workers come back as other lives.
All the while callers hand in jobs and the promises are checked from what
callers and workers see.
"""

import asyncio
import json
import random
import signal
import sys
import tempfile
from pathlib import Path
from typing import Annotated, Any, Final

import aiohttp
import typer

from bench.processes import free_port
from bench.proxy import Mode, Proxy
from curranthill.clock import SystemClock
from curranthill.placement import WorkerEntry
from curranthill.standin.rows import RowModel
from curranthill.standin.tasks import TaskWorkerModel
from curranthill.storage.rows import RowPut, RowRemoval
from curranthill.tasks import Resources, TaskKey
from tests.platform_standin import StoreServer, WorkerServer, serve, worker_row

HOSTS: Final = 4
WORKERS: Final = 5
ROOM: Final = Resources(cpu_millis=8000, memory_mb=8192, gpus=8)

#: Tasks that end between two faults, and tasks that outlast a lease.
RUN_TIMES_S: Final = (0.3, 1.5, 8.0)

#: How long everything accepted may take after the last fault, in seconds: a
#: former leader's renewals, a lease, a takeover and the longest task.
HEALING_S: Final = 45.0

CONFIGURATION: Final = {
    'version': 1,
    'routes': [
        {
            'name': f'queue-{priority}',
            'host': 'jobs.example',
            'path_prefix': f'/q{priority}/',
            'priority': priority,
            'service': 'calc',
            'attempts': 3,
            'slack_factor': 2.0,
            'target_completion_ms': 500,
            'public': True,
        }
        for priority in range(3)
    ],
}


class Soak:
    """One seeded run."""

    def __init__(self, *, seed: int, fault_s: float, folder: Path) -> None:
        """Make the stand-ins; nothing is started yet."""
        self.random = random.Random(seed)  # noqa: S311
        self.clock = SystemClock()
        self.rows = RowModel(clock=self.clock)
        self.faults: list[str] = []
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.injected: dict[str, int] = {}
        self._fault_s = fault_s
        self._folder = folder
        self._workers: dict[str, WorkerServer] = {}
        self._worker_proxies: dict[str, Proxy] = {}
        self._store_proxies: list[Proxy] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self.started: list[asyncio.subprocess.Process] = []
        self._addresses: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._healing = False
        self._closing = False
        self._starting: set[asyncio.Future[asyncio.subprocess.Process]] = set()

    async def run(self) -> dict[str, Any]:
        """Run to the end and return the report."""
        await self._open()
        try:
            await self._inject()
            await self._heal()
            await self._await_ends()
        finally:
            await self._close()
        return {
            'accepted': len(self.accepted),
            'refused': len(self.refused),
            'injected': self.injected,
            'faults': sorted(set(self.faults)),
        }

    async def _open(self) -> None:
        content = json.dumps(CONFIGURATION).encode()
        self.rows.apply((), (RowPut('op', 'config', content),), ())
        _, store = await serve(StoreServer(model=self.rows).handle)
        for number in range(WORKERS):
            await self._add_worker(f'w{number}')
        for number in range(HOSTS):
            proxy = Proxy(target=store)
            await proxy.open()
            self._store_proxies.append(proxy)
            self._addresses.append(self._write_settings(number, proxy))
            self._processes.append(await self._start_host(number))
        self._spawn(self._watch())
        await self._until_ready()
        self._spawn(self._call())

    async def _add_worker(self, name: str) -> None:
        entry = WorkerEntry(name, 'calc', '', 'dc', ROOM, ('a', 'r1'))
        server = WorkerServer(
            model=TaskWorkerModel(
                entry=entry,
                clock=self.clock,
                run_s=self.random.choice(RUN_TIMES_S),
            ),
        )
        _, address = await serve(server.handle)
        proxy = Proxy(target=address)
        await proxy.open()
        self._workers[name] = server
        self._worker_proxies[name] = proxy
        row = worker_row(entry._replace(address=proxy.address))
        self.rows.apply((), (row,), ())

    def _write_settings(self, number: int, proxy: Proxy) -> str:
        ports = [free_port() for _ in range(4)]
        settings = {
            'node_name': f'h{number}',
            'ip': '127.0.0.1',
            'zone': 'dc',
            'bind_addrs': {
                'front': f'127.0.0.1:{ports[0]}',
                'ready': f'127.0.0.1:{ports[1]}',
            },
            'port_range': [ports[2], ports[3]],
            'platform': {'address': proxy.address},
            'bounds': {'max_hold_ms': 6000, 'grace_s': 2},
        }
        path = self._folder / f'h{number}.json'
        path.write_text(json.dumps(settings), 'utf-8')
        return f'http://127.0.0.1:{ports[0]}'

    async def _start_host(self, number: int) -> asyncio.subprocess.Process:
        with (self._folder / f'h{number}.log').open('ab') as log:
            start = asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'curranthill.commands.host',
                '--settings',
                str(self._folder / f'h{number}.json'),
                stdout=log,
                stderr=log,
            )
            starting = asyncio.ensure_future(start)
            self._starting.add(starting)
            starting.add_done_callback(self._note_start)
            return await asyncio.shield(starting)

    def _note_start(
        self,
        starting: asyncio.Future[asyncio.subprocess.Process],
    ) -> None:
        self._starting.discard(starting)
        self.started.append(starting.result())

    async def _until_ready(self) -> None:
        """Wait for a leader and its first look at every worker."""
        for _ in range(200):
            if ('leader', 'leader') in self.rows.rows:
                await asyncio.sleep(0.5)
                return
            await asyncio.sleep(0.05)
        raise TimeoutError('no host leads')

    # Callers.

    async def _call(self) -> None:
        """Hand in jobs over open connections, some at several hosts."""
        async with aiohttp.ClientSession(
            headers={'Host': 'jobs.example'},
            timeout=aiohttp.ClientTimeout(total=3.0),
        ) as session:
            # The session stays open until the last caller has its answer.
            async with asyncio.TaskGroup() as callers:
                number = 0
                while not self._healing:
                    number += 1
                    job_id = f'{number:016x}'
                    callers.create_task(self._hand_in(session, job_id))
                    await asyncio.sleep(self.random.uniform(0.05, 0.3))

    async def _hand_in(
        self,
        session: aiohttp.ClientSession,
        job_id: str,
    ) -> None:
        path = f'/q{self.random.randrange(3)}/{job_id}'
        job = {
            'spec': 'text',
            'steps': [
                {
                    'count': self.random.randint(1, 3),
                    'cpu': 500,
                    'mem_mb': 64,
                    'gpu': self.random.choice((1, 2, 4)),
                    'estimate_ms': 500,
                    'gang': self.random.choice((True, False, False)),
                },
            ],
        }
        answers = set()
        for _ in range(5):
            host = self.random.choice(self._addresses)
            try:
                async with session.post(host + path, json=job) as response:
                    answers.add(response.status)
            except (aiohttp.ClientError, TimeoutError, OSError):
                answers.add(0)
            if 200 in answers:
                self.accepted.add(job_id)
                return
            await asyncio.sleep(0.2)
        if answers == {503}:
            self.refused.add(job_id)

    # Faults.

    async def _inject(self) -> None:
        until_s = self.clock.monotonic_s() + self._fault_s
        kinds = sorted(
            name.removeprefix('_fault_')
            for name in dir(self)
            if name.startswith('_fault_') and name != '_fault_s'
        )
        while self.clock.monotonic_s() < until_s:
            kind = self.random.choice(kinds)
            self.injected[kind] = self.injected.get(kind, 0) + 1
            self._spawn(getattr(self, f'_fault_{kind}')())
            await asyncio.sleep(self.random.uniform(0.1, 1.2))

    async def _fault_kill(self) -> None:
        number = self.random.randrange(HOSTS)
        self._signal(number, signal.SIGKILL)
        await self._restart(number)

    async def _fault_stop(self) -> None:
        number = self.random.randrange(HOSTS)
        self._signal(number, signal.SIGTERM)
        await self._restart(number)

    async def _fault_pause(self) -> None:
        number = self.random.randrange(HOSTS)
        process = self._processes[number]
        self._signal(number, signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 5.0))
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def _fault_reload(self) -> None:
        self._signal(self.random.randrange(HOSTS), signal.SIGHUP)

    async def _fault_store_link(self) -> None:
        proxy = self.random.choice(self._store_proxies)
        await self._disturb([proxy])

    async def _fault_store_away(self) -> None:
        await self._disturb(self._store_proxies)

    async def _fault_worker_link(self) -> None:
        proxy = self.random.choice(list(self._worker_proxies.values()))
        await self._disturb([proxy])

    async def _fault_store_writes(self) -> None:
        self.rows.forget_history()

    async def _fault_worker_life(self) -> None:
        name = self.random.choice(sorted(self._workers))
        lost = self._workers.pop(name)
        lost.model.runs.clear()
        lost.model.gone = True
        await self._worker_proxies.pop(name).close()
        self.rows.apply((), (), (RowRemoval('servers', name),))
        await self._add_worker(f'{name}x')

    async def _disturb(self, proxies: list[Proxy]) -> None:
        modes: tuple[Mode, ...] = (
            'delay',
            'reset',
            'silent',
            'one_way',
            'mute',
        )
        mode = self.random.choice(modes)
        for proxy in proxies:
            proxy.change(mode)
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        for proxy in proxies:
            proxy.change('pass')

    def _signal(self, number: int, sent: signal.Signals) -> None:
        process = self._processes[number]
        if process.returncode is None:
            process.send_signal(sent)

    async def _restart(self, number: int) -> None:
        process = self._processes[number]
        await process.wait()
        if self._processes[number] is process and not self._closing:
            self._processes[number] = await self._start_host(number)

    async def _heal(self) -> None:
        self._healing = True
        for proxy in (*self._store_proxies, *self._worker_proxies.values()):
            proxy.change('pass')
        await asyncio.sleep(5.5)
        for number in range(HOSTS):
            self._signal(number, signal.SIGCONT)

    # Promises.

    async def _watch(self) -> None:
        while True:
            self._look()
            await asyncio.sleep(0.02)

    def _look(self) -> None:
        live: dict[TaskKey, int] = {}
        noted: set[TaskKey] = set()
        for server in self._workers.values():
            server.model.tick()
            for run in server.model.runs.values():
                live[run.task] = live.get(run.task, 0) + 1
            noted.update(
                end.task
                for end in server.model.acknowledged
                if end.kind == 'done' and end not in server.model.voided
            )
        for task, count in live.items():
            if count > 1:
                self.faults.append(f'{task} runs {count} times')
            if task in noted:
                self.faults.append(f'{task} runs after its end')

    async def _await_ends(self) -> None:
        """Every accepted job completes; a refused one was never stored."""
        until_s = self.clock.monotonic_s() + HEALING_S
        open_jobs = set(self.accepted)
        while open_jobs and self.clock.monotonic_s() < until_s:
            await asyncio.sleep(0.5)
            open_jobs = {one for one in self.accepted if not self._done(one)}
        self.faults.extend(f'{one} has not ended' for one in open_jobs)
        self.faults.extend(
            f'{one} was refused and stored'
            for one in self.refused
            if {('intake', one), ('progress', one)} & self.rows.rows.keys()
        )

    def _done(self, job_id: str) -> bool:
        row = self.rows.rows.get(('progress', job_id))
        return row is not None and b'"completed"' in row.content

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _close(self) -> None:
        self._closing = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # A start goes on when its task is cancelled, and is waited for here.
        await asyncio.gather(*self._starting)
        for process in self.started:
            if process.returncode is None:
                process.kill()
            await process.wait()


def main(
    seed: Annotated[int, typer.Option(help='The first seed.')] = 1,
    count: Annotated[int, typer.Option(help='How many seeds.')] = 1,
    fault_s: Annotated[float, typer.Option(help='Seconds of faults.')] = 10.0,
    keep: Annotated[str, typer.Option(help='Where logs are kept.')] = '',
) -> None:
    """Run seeds one after the other; a broken promise ends with 1."""
    broken = 0
    for number in range(seed, seed + count):
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(keep or scratch) / str(number)
            folder.mkdir(parents=True)
            soak = Soak(seed=number, fault_s=fault_s, folder=folder)
            report = asyncio.run(soak.run())
        broken += bool(report['faults'])
        typer.echo(json.dumps({'seed': number, **report}))
    raise typer.Exit(1 if broken else 0)


if __name__ == '__main__':
    typer.run(main)
