"""Group commit of job progress: one write at a time, changes are batched."""

import asyncio
from typing import Any, Final

from curranthill.clock import Clock, wait_at_most
from curranthill.dispatch.leadership import Leadership
from curranthill.placement import ActiveJob
from curranthill.storage.rows import RowPut, RowRemoval
from curranthill.tasks import encode, tables

#: The most jobs in one write; the platform accepts 100 entries a call.
MAX_JOBS_PER_WRITE: Final = 64

#: The most bytes of progress in one write, unless a single job has more. Each
#: write is also the heartbeat, which a large one would delay on a slow link.
MAX_BYTES_PER_WRITE: Final = 64_000

#: The longest interval between two writes of the leader, in seconds, so that
#: others see it alive; a standby takes over after four silent intervals.
HEARTBEAT_S: Final = 0.35


class ProgressWriter:
    """Writes changed progress rows on the condition of leadership."""

    def __init__(self, *, leadership: Leadership, clock: Clock) -> None:
        """Initialize the writer without changes."""
        self._leadership = leadership
        self._clock = clock
        self._dirty: dict[str, ActiveJob] = {}
        self._removals: list[RowRemoval] = []
        self._pending: bytes = b''
        self._pending_written: bytes = b''
        self._wake = asyncio.Event()
        self._next_write: asyncio.Future[None] | None = None

    def record(self, job: ActiveJob) -> None:
        """Queue a job's progress for the next write."""
        self._dirty[job.spec.job_id] = job
        self._wake.set()

    def record_pending(self, content: bytes) -> None:
        """Set the queue lengths that the next write stores."""
        self._pending = content

    def publish_forecast(self, forecast: Any) -> None:
        """Set the forecast that each write stores from now on."""
        self._leadership.forecast = forecast

    def remove(self, removal: RowRemoval) -> None:
        """Queue the removal of a row."""
        self._removals.append(removal)

    async def stored(self) -> None:
        """Return once everything recorded so far is stored."""
        if self._next_write is None:
            self._next_write = asyncio.get_running_loop().create_future()
        self._wake.set()
        await asyncio.shield(self._next_write)

    async def run(self) -> None:
        """Write until leadership is lost.

        :raises LeadershipLostError: when it is; callers that wait for a write
            get the same error.
        """
        while True:
            await wait_at_most(
                self._wake.wait(),
                timeout_s=HEARTBEAT_S,
                clock=self._clock,
            )
            self._wake.clear()
            waiters = self._next_write
            self._next_write = None
            try:
                await self._write_all()
            except BaseException as error:
                if waiters is not None and not waiters.done():
                    waiters.set_exception(error)
                    waiters.exception()
                raise
            if waiters is not None and not waiters.done():
                waiters.set_result(None)

    async def _write_all(self) -> None:
        """Write all recorded changes; without any, just the heartbeat."""
        jobs = list(self._dirty.values())
        self._dirty.clear()
        batch: list[RowPut] = []
        size = 0
        for job in jobs:
            content = encode(job.progress)
            size += len(content)
            full = (
                len(batch) >= MAX_JOBS_PER_WRITE or size > MAX_BYTES_PER_WRITE
            )
            if batch and full:
                await self._leadership.write(batch)
                batch = []
                size = len(content)
            batch.append(RowPut(tables.PROGRESS, job.spec.job_id, content))
        if self._pending != self._pending_written:
            batch.append(
                RowPut(tables.LEADER, tables.PENDING_KEY, self._pending),
            )
        pending = self._pending
        removals = self._removals[: MAX_JOBS_PER_WRITE // 3]
        self._removals = self._removals[len(removals) :]
        await self._leadership.write(batch, removals)
        self._pending_written = pending


__all__ = ('HEARTBEAT_S', 'ProgressWriter')
