"""A fault soak of ``curranthill-host``: real processes, faults from outside.

The store and the workers are stand-ins inside this process; hosts reach them
through proxies. Hosts are killed, paused, stopped and told to reload by
signals, the store loses and delays writes, workers are replaced, start again
under their ids, fail what they run, crash under chosen tasks and lose room,
data centres are closed and opened, and entries come that no worker wrote. A
host can't be suspended from outside: a pause by a signal is one that every
clock counts. Gangs and long tasks may be handed in too, some gangs wider than
all workers, while workers crash so often that tasks become suspects; a long
soak of that kind ends with all hosts without power at once.
Faults come singly and in series. All the while callers hand in jobs, some over
one connection for as long as it stays open, and the promises are checked from
what callers and workers see.
"""

import asyncio
import json
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Coroutine, Sequence
from itertools import chain
from pathlib import Path
from signal import SIGCONT, Signals
from typing import Annotated, Any, Final

import typer

from bench.processes import free_port
from bench.proxy import Proxy
from bench.soak_callers import SoakCallers
from bench.soak_closings import SoakClosings
from bench.soak_faults import FAULTS, crash_workers, lose_power
from bench.soak_gangs import MOST_IMPOSSIBLE, GangCallers
from bench.soak_revisions import IN_FORCE_S, QUEUE, SoakRevisions
from bench.soak_waits import CALM_S, WaitWatch
from bench.soak_workers import RUN_TIMES_S, WORKERS, SoakWorkers
from curranthill.clock import SystemClock
from curranthill.placement.suspects import SUSPECT_LOSSES
from curranthill.standin.rows import RowStoreModel
from curranthill.tasks import (
    COMPLETED,
    FAILED,
    JobProgress,
    Timing,
    decode,
)
from tests.invariants import InvariantChecker
from tests.platform_standin import StoreServer, serve

HOSTS: Final = 4

#: Runs of one task that may fail.
ATTEMPTS: Final = 3

#: Workers that crashed under a task before it may be given up.
CRASHES_ALLOWED: Final = 2

#: After this share of the faults the next one comes at once.
SERIES_SHARE: Final = 0.2

#: The longest pause within a series, and between others, in seconds.
SERIES_PAUSE_S: Final = 0.1
PAUSE_S: Final = 1.2

#: The longest that a host stands still by a fault, in seconds.
LONGEST_PAUSE_S: Final = 5.5

#: How long nothing accepted may end after the last fault, in seconds: a former
#: leader's renewals, a lease, a takeover and the longest task. Callers may hand
#: in more than the workers do in that time, with all accelerators in use.
HEALING_S: Final = 45.0

#: With faults for so long all hosts lose power at their end, in seconds.
LONG_S: Final = 100.0

#: How long gangs still come once waits count, in seconds.
CALLS_IN_CALM_S: Final = 10.0

#: How long states of ended jobs are kept, in seconds: past the end of a soak,
#: which reads them after its last fault.
STATUS_S: Final = 3600

#: The workers of a soak with gangs, and their time for a small job's task:
#: gangs get room beside small jobs.
GANG_WORKERS: Final = 16
GANG_RUN_TIMES_S: Final = (0.3, 1.5)

QUEUES: Final = tuple(
    {
        **QUEUE,
        'name': f'queue-{priority}',
        'path_prefix': f'/q{priority}/',
        'priority': priority,
        'attempts': ATTEMPTS,
    }
    for priority in range(3)
)


class Soak:
    """One seeded run.

    :param started: every process that was started.
    :param injected: how often each fault was injected.
    :param faults: names of what may be injected; all by default.
    :param gangs: whether gangs are handed in too, to more workers, which
        crash besides.
    :param most_impossible: how many of those are wider than all workers.
    """

    def __init__(
        self,
        *,
        seed: int,
        fault_s: float,
        folder: Path,
        hosts: int = HOSTS,
        faults: Sequence[str] = (),
        gangs: bool = False,
        most_impossible: int = MOST_IMPOSSIBLE,
    ) -> None:
        """Make the stand-ins; nothing is started yet."""
        self.random = random.Random(seed)  # noqa: S311
        self.rows = RowStoreModel(clock=SystemClock())
        self.store = StoreServer(model=self.rows)
        self.processes: list[asyncio.subprocess.Process] = []
        self.started: list[asyncio.subprocess.Process] = []
        self.store_proxies: list[Proxy] = []
        self.injected: dict[str, int] = {}
        self.workers = SoakWorkers(
            rows=self.rows,
            clock=SystemClock(),
            drawn=self.random,
            count=GANG_WORKERS if gangs else WORKERS,
            run_times_s=GANG_RUN_TIMES_S if gangs else RUN_TIMES_S,
        )
        self.closings = SoakClosings(
            rows=self.rows,
            workers=self.workers,
            clock=SystemClock(),
        )
        self._addresses: list[str] = []
        self.revisions = SoakRevisions(
            rows=self.rows,
            clock=SystemClock(),
            addresses=self._addresses,
            queues=QUEUES,
            drawn=random.Random(seed),  # noqa: S311
        )
        self._callers = SoakCallers(
            addresses=self._addresses,
            drawn=self.random,
        )
        self._apart = random.Random(seed)  # noqa: S311
        self._gang_callers = GangCallers(
            addresses=self._addresses,
            drawn=self._apart,
            workers=GANG_WORKERS,
            most_impossible=most_impossible,
            lengths_s=self.workers.lengths_s,
            ended=self._ended,
        )
        self._watch = InvariantChecker(
            workers=lambda: self.workers.models,
            attempts=ATTEMPTS,
        )
        self._waits = WaitWatch(
            handed_in=lambda: self._callers.jobs | self._gang_callers.jobs,
            accepted=lambda: self._accepted,
            workers=self.workers.listed,
            former=lambda: self.workers.models,
            calm_s=self._calm_s,
            state_of=self._callers.state,
            clock=SystemClock(),
        )
        self._gangs = gangs
        self._calling: list[asyncio.Task[None]] = []
        self._injected_s = 0.0
        self._under_way: set[asyncio.Task[None]] = set()
        self._hosts = hosts
        self._faults = faults or sorted(FAULTS)
        self._fault_s = fault_s
        self._folder = folder
        self._tasks: set[asyncio.Task[None]] = set()
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
            'accepted': len(self._accepted),
            'refused': len(self._refused),
            'impossible': len(self._gang_callers.impossible),
            'injected': self.injected,
            'suspects': self._suspects(),
            'waited': len(self._waits.seen - self._gang_callers.impossible),
            'longest_wait_s': round(self._waits.longest_s, 1),
            'faults': sorted(
                {
                    *self._watch.violations,
                    *self.closings.late,
                    *self.revisions.outdated,
                    *self._waits.faults,
                },
            ),
        }

    def configure(self) -> None:
        """Put the next revision of the configuration in force."""
        self.revisions.write()

    def draw_host(self) -> int:
        """Return the number of some host."""
        return self.random.randrange(self._hosts)

    def signal(self, number: int, sent: Signals) -> None:
        """Send a host a signal, if it lives."""
        process = self.processes[number]
        if process.returncode is None:
            process.send_signal(sent)

    async def restart(self, number: int) -> None:
        """Start a host again once it has ended."""
        process = self.processes[number]
        await process.wait()
        if self.processes[number] is process and not self._closing:
            self.processes[number] = await self._start_host(number)

    async def _open(self) -> None:
        self.configure()
        _, store = await serve(self.store.handle)
        await self.workers.open()
        for number in range(self._hosts):
            proxy = Proxy(target=store)
            await proxy.open()
            self.store_proxies.append(proxy)
            self._addresses.append(self._write_settings(number, proxy))
            self.processes.append(await self._start_host(number))
        self._spawn(self._look())
        await self._until_ready()
        self._spawn(self._waits.run())
        self._spawn(self._callers.run())
        if self._gangs:
            self._calling.append(self._spawn(self._gang_callers.run()))
        self._spawn(self.revisions.run())

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
            'bounds': {
                'max_hold_ms': 6000,
                'grace_s': 2,
                'config_apply_ms': IN_FORCE_S * 1000,
                'evacuate_ms': Timing().evacuate_s * 1000,
                'status_s': STATUS_S,
            },
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

    async def _inject(self) -> None:
        crashes = None
        if self._gangs:
            crashes = self._spawn(crash_workers(self, self._apart))
        await self._inject_drawn()
        if crashes is not None:
            crashes.cancel()
        if self._gangs and self._fault_s >= LONG_S:
            await lose_power(self)
        self._injected_s = asyncio.get_running_loop().time()

    async def _inject_drawn(self) -> None:
        until = asyncio.get_running_loop().time() + self._fault_s
        while asyncio.get_running_loop().time() < until:
            self._inject_one(self.random.choice(self._faults))
            in_series = self.random.random() < SERIES_SHARE
            longest_s = SERIES_PAUSE_S if in_series else PAUSE_S
            await asyncio.sleep(self.random.uniform(0.0, longest_s))

    def _inject_one(self, name: str) -> None:
        self.injected[name] = self.injected.get(name, 0) + 1
        task = self._spawn(FAULTS[name](self))
        self._under_way.add(task)
        task.add_done_callback(self._note_healed)

    def _note_healed(self, task: asyncio.Task[None]) -> None:
        self._under_way.discard(task)
        self._injected_s = asyncio.get_running_loop().time()

    def _calm_s(self) -> float:
        """Return the seconds since the last fault."""
        if self._under_way or not self._callers.stopped.is_set():
            return 0.0
        now_s = asyncio.get_running_loop().time()
        return min(now_s - self._injected_s, self.workers.calm_s)

    async def _heal(self) -> None:
        self._callers.stopped.set()
        self._gang_callers.slower.set()
        self.closings.open_all()
        self.store.unresponsive_tables.clear()
        self.workers.heal()
        for proxy in self.store_proxies:
            proxy.change('pass')
        await asyncio.sleep(LONGEST_PAUSE_S)
        for number in range(self._hosts):
            self.signal(number, SIGCONT)
        self.workers.heal()

    async def _stop_gangs(self) -> None:
        """Have gangs handed in for some time from when on waits count."""
        until_s = asyncio.get_running_loop().time() + HEALING_S
        while self._gangs and asyncio.get_running_loop().time() < until_s:
            if self._calm_s() > CALM_S + CALLS_IN_CALM_S:
                break
            await asyncio.sleep(0.1)
        self._gang_callers.stopped.set()
        await asyncio.gather(*self._calling)

    # Promises.

    async def _look(self) -> None:
        while True:
            self._watch.check()
            self.closings.look()
            await asyncio.sleep(0.02)

    async def _await_ends(self) -> None:
        """Every accepted job ends; a refused one was never stored.

        What is left is waited for as long as jobs go on ending, which is no
        longer than the workers take for all of it.
        """
        await self._stop_gangs()
        until = asyncio.get_running_loop().time() + HEALING_S
        open_jobs = self._accepted - self._gang_callers.impossible
        while open_jobs and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.5)
            left = {one for one in open_jobs if not self._ended(one)}
            if len(left) < len(open_jobs):
                until = asyncio.get_running_loop().time() + HEALING_S
            open_jobs = left
        self._watch.violations.extend(
            f'{one} has not ended' for one in open_jobs
        )
        self._watch.violations.extend(
            f'{one} was refused and stored'
            for one in self._refused
            if {('intake', one), ('progress', one)} & self.rows.rows.keys()
        )

    @property
    def _accepted(self) -> set[str]:
        return self._callers.accepted | self._gang_callers.accepted

    @property
    def _refused(self) -> set[str]:
        return self._callers.refused | self._gang_callers.refused

    def _ended(self, job_id: str) -> bool:
        """Return whether a job ended; one that failed must have a cause."""
        row = self.rows.rows.get(('progress', job_id))
        if row is None:
            return False
        state = decode(row.content, JobProgress).state
        caused = self._failures(job_id) >= ATTEMPTS
        caused = caused or self._crashes(job_id) >= CRASHES_ALLOWED
        if state == FAILED and not caused:
            self._watch.violations.append(f'{job_id} has failed without cause')
        return state in {COMPLETED, FAILED}

    def _failures(self, job_id: str) -> int:
        """Return how many attempts of a job's tasks have failed."""
        return len(
            {
                end.attempt
                for model in self.workers.models
                for end in model.failures
                if end.task.job_id == job_id
            },
        )

    def _suspects(self) -> int:
        """Return how many tasks were lost with their workers repeatedly."""
        lost = Counter(
            chain.from_iterable(
                model.lost_runs for model in self.workers.models
            ),
        )
        return sum(1 for count in lost.values() if count >= SUSPECT_LOSSES)

    def _crashes(self, job_id: str) -> int:
        """Return the most workers that went down under a task of a job."""
        lost = Counter(
            task
            for model in self.workers.models
            for task in model.lost_runs
            if task.job_id == job_id
        )
        return max(lost.values(), default=0)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

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
    hosts: Annotated[int, typer.Option(help='How many hosts.')] = HOSTS,
    gangs: Annotated[bool, typer.Option(help='Hand in gangs too.')] = True,
    impossible: Annotated[
        int,
        typer.Option(help='How many gangs are wider than all workers.'),
    ] = MOST_IMPOSSIBLE,
    keep: Annotated[str, typer.Option(help='Where logs are kept.')] = '',
) -> None:
    """Run seeds one after the other; a broken promise ends with 1."""
    broken = 0
    for number in range(seed, seed + count):
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(keep or scratch) / str(number)
            folder.mkdir(parents=True)
            soak = Soak(
                seed=number,
                fault_s=fault_s,
                folder=folder,
                hosts=hosts,
                gangs=gangs,
                most_impossible=impossible,
            )
            report = asyncio.run(soak.run())
        broken += bool(report['faults'])
        typer.echo(json.dumps({'seed': number, **report}))
    raise typer.Exit(1 if broken else 0)


if __name__ == '__main__':
    typer.run(main)
