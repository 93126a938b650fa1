"""Group commit of jobs' progress: one write under way, the rest gather."""

import asyncio
from typing import Any, Final

from curranthill.clock import Clock, wait_at_most
from curranthill.dispatch.leadership import Leadership
from curranthill.placement import ActiveJob
from curranthill.storage.rows import RowPut, RowRemoval
from curranthill.tasks import encode, tables

#: Most jobs in one write; the platform takes 100 entries a call.
MAX_JOBS_PER_WRITE: Final = 64

#: Most bytes of progress in one write, unless one job has more. Each write
#: carries the heartbeat, which a large one would hold up on a slow link.
MAX_BYTES_PER_WRITE: Final = 64_000

#: The leader writes at least so often, in seconds, so that others see it
#: alive; a standby takes over after some four silent intervals.
HEARTBEAT_S: Final = 0.35


class ProgressWriter:
    """Writes progress rows under the leader's condition."""

    def __init__(self, *, leadership: Leadership, clock: Clock) -> None:
        """Start with nothing to write."""
        self._leadership = leadership
        self._clock = clock
        self._dirty: dict[str, ActiveJob] = {}
        self._removals: list[RowRemoval] = []
        self._pending: bytes = b''
        self._pending_written: bytes = b''
        self._wake = asyncio.Event()
        self._next_write: asyncio.Future[None] | None = None

    def record(self, job: ActiveJob) -> None:
        """Have a job's progress written."""
        self._dirty[job.spec.job_id] = job
        self._wake.set()

    def record_pending(self, content: bytes) -> None:
        """Have the queue lengths written with the next write."""
        self._pending = content

    def publish_forecast(self, forecast: Any) -> None:
        """Have what waits written with each write from now on."""
        self._leadership.forecast = forecast

    def remove(self, removal: RowRemoval) -> None:
        """Have a row removed."""
        self._removals.append(removal)

    async def stored(self) -> None:
        """Return once all that was noted so far is stored."""
        if self._next_write is None:
            self._next_write = asyncio.get_running_loop().create_future()
        self._wake.set()
        await asyncio.shield(self._next_write)

    async def run(self) -> None:
        """Write until leadership is lost.

        :raises LeadershipLostError: then; who waits is told the same.
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
        """Write all that is noted now; at least the heartbeat."""
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
