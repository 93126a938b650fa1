"""Shared test helpers: a manual clock and in-process stand-ins."""

import asyncio
import heapq
import os
from collections.abc import Awaitable, Callable
from itertools import count
from typing import Any, TypeVar

from hypothesis import settings

from curranthill.errors import (
    ConflictError,
    NotSentError,
    ReplyLostError,
    WorkerReplyLostError,
    WorkerUnreachableError,
)
from curranthill.jobs import Job, Member
from curranthill.scheduler.cluster import WorkerState
from curranthill.scheduler.state import SchedulerState, WaitingJob
from curranthill.standin import Faults, TableModel, WorkerModel
from curranthill.storage import Page, Row, Transaction

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    max_examples=60,
    database=None,
)
settings.register_profile('deep', deadline=None, max_examples=2000)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))

#: Event loop steps after which the tasks are considered to loop endlessly.
MAX_LOOP_STEPS = 20_000

Result = TypeVar('Result')


class ManualClock:
    """A clock whose time only :meth:`advance` and :meth:`until` change."""

    def __init__(self) -> None:
        """Initialize the time to 1000 seconds."""
        self._now_s = 1000.0
        self._order = count()
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    def monotonic_s(self) -> float:
        """Return the current time in seconds."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the current wall-clock time in seconds."""
        return 1_700_000_000 + self._now_s

    async def sleep(self, delay_s: float) -> None:
        """Wait until the clock has been advanced by the delay."""
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        until_s = self._now_s + max(0, delay_s)
        heapq.heappush(self._sleepers, (until_s, next(self._order), future))
        await future

    async def advance(self, seconds_s: float) -> None:
        """Advance the time, waking each sleeper when it is due."""
        end_s = self._now_s + seconds_s
        await run_until_idle()
        while self._sleepers and self._sleepers[0][0] <= end_s:
            until_s, _, future = heapq.heappop(self._sleepers)
            if future.done():
                continue
            self._now_s = max(self._now_s, until_s)
            future.set_result(None)
            await run_until_idle()
        self._now_s = end_s
        await run_until_idle()

    async def until(
        self,
        condition: Callable[[], bool],
        *,
        within_s: float = 60,
    ) -> None:
        """Advance the time until a condition holds.

        :raises AssertionError: if it does not hold within the given time.
        """
        end_s = self._now_s + within_s
        await run_until_idle()
        while not condition():
            if self._now_s >= end_s:
                raise AssertionError(
                    f'the condition did not hold within {within_s} s'
                )
            await self.advance(0.05)


async def run_until_idle() -> None:
    """Run the event loop until no task is ready."""
    loop: Any = asyncio.get_running_loop()
    for _ in range(MAX_LOOP_STEPS):
        await asyncio.sleep(0)
        # asyncio has no public way to check that no callback is ready.
        if not loop._ready:  # noqa: SLF001
            return
    raise AssertionError('the tasks did not become idle')


def run(work: Awaitable[Result]) -> Result:
    """Run a coroutine in a new event loop."""

    async def main() -> Result:
        return await work

    return asyncio.run(main())


class EmbeddedTable:
    """The table of the stand-in, in process and with injected faults."""

    def __init__(self, *, clock: ManualClock) -> None:
        """Initialize an empty table without faults."""
        self.model = TableModel(
            clock=clock,
            writes_per_s=1e9,
            reads_per_s=1e9,
        )
        self.faults = Faults(clock=clock)
        #: Called before each transaction, so that a test can interleave writes.
        self.before_write: Callable[[Transaction], None] | None = None

    async def read(self, key: str) -> Row | None:
        """Return a row."""
        await self._apply_faults()
        return self.model.read(key)

    async def scan(self, prefix: str, after: str, limit: int) -> Page:
        """Return a page."""
        await self._apply_faults()
        return self.model.scan(prefix, after, limit)

    async def transact(self, transaction: Transaction) -> dict[str, int]:
        """Apply a transaction; an injected fault may lose the reply."""
        await self._apply_faults()
        if self.before_write is not None:
            self.before_write(transaction)
        conflict: ConflictError | None = None
        versions: dict[str, int] = {}
        try:
            versions = self.model.transact(transaction)
        except ConflictError as error:
            conflict = error
        if self.faults.loses_reply():
            raise ReplyLostError('lost', step='transact')
        if conflict is not None:
            raise conflict
        return versions

    async def _apply_faults(self) -> None:
        await asyncio.sleep(0)
        if await self.faults.refuses():
            raise NotSentError('down', step='table')


class EmbeddedObjects:
    """An in-process object store with injected faults."""

    def __init__(self, *, clock: ManualClock) -> None:
        """Initialize an empty store without faults."""
        self.objects: dict[str, bytes] = {}
        self.faults = Faults(clock=clock)

    async def put(self, name: str, body: bytes) -> None:
        """Store an object."""
        if await self.faults.refuses():
            raise NotSentError('down', step='objects')
        if self.objects.setdefault(name, body) != body:
            raise ConflictError('other body', step='objects')

    async def get(self, name: str) -> bytes | None:
        """Return an object."""
        if await self.faults.refuses():
            raise NotSentError('down', step='objects')
        return self.objects.get(name)


class EmbeddedWorker:
    """A worker of the stand-in, in process and with injected faults."""

    def __init__(self, *, model: WorkerModel) -> None:
        """Initialize with the model."""
        self.model = model

    def __getattr__(self, name: str) -> Any:
        """Return a method of the model, wrapped with injected faults."""
        method = getattr(self.model, name)

        async def call(*arguments: Any) -> Any:
            await asyncio.sleep(0)
            faults = self.model.faults
            if await faults.refuses():
                raise WorkerUnreachableError('down', step=name)
            reply = method(*arguments)
            if asyncio.iscoroutine(reply):
                reply = await reply
            if faults.loses_reply():
                raise WorkerReplyLostError('lost', step=name)
            return reply

        return call


def make_job(job_id: str = 'dc-1', **fields: Any) -> Job:
    """Return a job with default values for all fields."""
    defaults: dict[str, Any] = {
        'job_id': job_id,
        'workspace': 'audit',
        'kind': 'report',
        'service': 'raportti',
        'home': 'dc',
        'state': 'accepted',
        'slots': 1,
        'adjacent': 'rack',
        'idempotent': True,
        'checkpointable': False,
        'run_time_s': 10,
        'accepted_at_s': 0,
        'revision': 1,
        'body': '{"run_s": 10}',
        'shape': 'single',
    }
    return Job(**(defaults | fields))


def make_state(
    *,
    racks: int = 2,
    workers: int = 4,
    slots: int = 8,
) -> SchedulerState:
    """Return a scheduler state with racks of equal workers."""
    state = SchedulerState()
    for rack in range(racks):
        for number in range(workers):
            name = f'r{rack}-w{number}'
            state.cluster.add(
                WorkerState(
                    name=name,
                    address=name,
                    rack=f'r{rack}',
                    slots=slots,
                ),
            )
    return state


def enqueue_job(
    state: SchedulerState,
    job: Job,
    since_s: float = 0,
) -> WaitingJob:
    """Add a job to the queue of a scheduler state."""
    waiting = WaitingJob(job=job, since_s=since_s)
    state.queue.add(waiting)
    return waiting


def members_on(*parts: tuple[str, int]) -> tuple[Member, ...]:
    """Return gang members from worker names and slots."""
    return tuple(Member(name, name, slots) for name, slots in parts)


__all__ = (
    'EmbeddedObjects',
    'EmbeddedTable',
    'EmbeddedWorker',
    'ManualClock',
    'enqueue_job',
    'make_job',
    'make_state',
    'members_on',
    'run',
    'run_until_idle',
)
