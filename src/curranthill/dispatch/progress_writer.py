"""Group commit of job progress: one write at a time, changes are batched."""

import asyncio
from collections.abc import Iterator
from typing import Any, Final, NamedTuple

import msgspec

from curranthill.clock import Clock, wait_at_most
from curranthill.dispatch.job_rows import JobRows, JobWrite
from curranthill.dispatch.leadership import Leadership
from curranthill.placement import ActiveJob
from curranthill.storage.limits import MAX_ROW_BYTES
from curranthill.storage.rows import RowPut, RowRemoval, StoreRejectedError
from curranthill.tasks import RowLayout, tables
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: The most rows in one write; the platform accepts 100 entries a call.
MAX_ROWS_PER_WRITE: Final = 64

#: The most removals in one write, in addition.
MAX_REMOVALS_PER_WRITE: Final = 21

#: The most bytes of progress in one write, unless a single row has more. Each
#: write is also the heartbeat, which a large one would delay on a slow link.
MAX_BYTES_PER_WRITE: Final = 64_000

#: The longest interval between two writes of the leader, in seconds, so that
#: others see it alive; a standby takes over after four silent intervals.
HEARTBEAT_S: Final = 0.35


#: The most bytes of a forecast: the leader's row also has the silent workers.
MAX_FORECAST_BYTES: Final = 24_000


class _Entry(NamedTuple):
    """One row to put or to remove, as part of the write of a job if it is."""

    row: RowPut | RowRemoval
    write: JobWrite | None = None

    @property
    def put(self) -> RowPut | None:
        """Return the row to put, if it is one."""
        return self.row if isinstance(self.row, RowPut) else None


class ProgressWriter:
    """Writes changed progress rows on the condition of leadership.

    :param row_bytes: the most bytes of a row.
    :param are_jobs_read: whether all jobs that an earlier leader stored have
        been read, so that it is known which of them are spread over rows.
    """

    def __init__(
        self,
        *,
        leadership: Leadership,
        clock: Clock,
        row_bytes: int = MAX_ROW_BYTES,
    ) -> None:
        """Initialize the writer without changes."""
        self._leadership = leadership
        self._clock = clock
        self._row_bytes = row_bytes
        self._rows = JobRows(
            clock=clock, epoch=leadership.epoch, row_bytes=row_bytes
        )
        self.are_jobs_read = False
        self._dirty: dict[str, ActiveJob] = {}
        self._removals: list[RowRemoval] = []
        self._pending: bytes = b''
        self._pending_written: bytes = b''
        self._wake = asyncio.Event()
        self._next_write: asyncio.Future[None] | None = None
        self._rejected: set[str] = set()
        self._set_aside: set[str] = set()

    def record(self, job: ActiveJob, *, wake: bool = True) -> None:
        """Queue a job's progress for the next write.

        :param wake: whether that is made at once, or with the next heartbeat.
        """
        if job.spec.job_id in self._set_aside:
            return
        self._dirty[job.spec.job_id] = job
        if wake:
            self._wake.set()

    def adopt_ranges(self, job: ActiveJob) -> None:
        """Record that the stored progress of a job may have ranges."""
        self._rows.adopt_ranges(job)

    def adopt(self, job: ActiveJob, layout: RowLayout) -> None:
        """Take over the rows over which the progress of a job is spread."""
        self._rows.adopt(job, layout)

    def set_aside(self, job_id: str) -> None:
        """Leave a job stored as it is, for the rest of the term."""
        self._set_aside.add(job_id)
        self._dirty.pop(job_id, None)

    def is_stored(self, job_id: str) -> bool:
        """Return whether all that was recorded of a job is or will be stored.

        It is not after a write that the store has rejected, or once the job has
        been set aside. Nothing that depends on such a write may happen.
        """
        return job_id not in self._set_aside and self._rows.is_stored(job_id)

    def record_pending(self, counts: dict[str, int]) -> None:
        """Set the queue lengths that the next write stores.

        Without them hosts count the accepted jobs themselves, at more cost.
        """
        content = msgspec.json.encode(counts)
        if len(content) > self._row_bytes:
            content = msgspec.json.encode({tables.COUNTS_LEFT_OUT: 0})
        self._pending = content

    def publish_forecast(self, forecast: Any) -> None:
        """Set the forecast that each write stores from now on.

        Hosts refuse no job without one, so one that is too large is left out.
        """
        size_bytes = len(msgspec.json.encode(forecast))
        if size_bytes > MAX_FORECAST_BYTES:
            events.log('outlook_left_out', size_bytes=size_bytes)
            forecast = None
        self._leadership.forecast = forecast

    def remove(self, removal: RowRemoval) -> None:
        """Queue the removal of a row."""
        self._removals.append(removal)

    async def stored(self) -> None:
        """Return once everything recorded so far is stored, or rejected."""
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
        due = {
            job_id: job
            for job_id, job in self._dirty.items()
            if self._rows.is_due(job_id)
        }
        for job_id in due:
            self._dirty.pop(job_id)
        writes = [self._rows.plan(job) for job in due.values()]
        if any(write.spread for write in writes):
            # Before any such row exists, other releases must not take over.
            self._leadership.spreads = True
        if any(job.progress.done_ranges for job in due.values()):
            self._leadership.has_ranges = True
        pending = self._pending
        removals = self._removals[:MAX_REMOVALS_PER_WRITE]
        self._removals = self._removals[len(removals) :]
        entries = [_Entry(put, write) for write in writes for put in write.puts]
        if pending != self._pending_written:
            entries.append(
                _Entry(RowPut(tables.LEADER, tables.PENDING_KEY, pending))
            )
        entries.extend(map(_Entry, removals))
        await self._store(entries)
        self._pending_written = pending
        for write in writes:
            if write.job.spec.job_id not in self._rejected:
                self._removals.extend(self._rows.confirm(write))
        self._rejected.clear()
        metrics.jobs_unstored.set(self._rows.unstored)
        any_parts = self._rows.any_spread or _parts_of(self._removals)
        if self.are_jobs_read:
            self._leadership.spreads &= bool(any_parts)
            self._leadership.has_ranges &= self._rows.any_ranges

    async def _store(self, entries: list[_Entry]) -> None:
        """Write entries in order; those that are rejected are left out.

        A rejection does not say which row is at fault, so the rows of a write
        are then written one by one.
        """
        for batch in _batches(entries):
            try:
                await self._write(batch)
            except StoreRejectedError:
                for entry in batch:
                    await self._store_single(entry)
                await self._leadership.write()

    async def _store_single(self, entry: _Entry) -> None:
        try:
            await self._write([entry])
        except StoreRejectedError as error:
            self._reject(entry, error)

    async def _write(self, batch: list[_Entry]) -> None:
        """Write entries together, but for further rows of a rejected job."""
        kept = [entry for entry in batch if not self._is_skipped(entry)]
        if batch and not kept:
            return
        await self._leadership.write(
            [entry.row for entry in kept if isinstance(entry.row, RowPut)],
            [entry.row for entry in kept if isinstance(entry.row, RowRemoval)],
        )

    def _is_skipped(self, entry: _Entry) -> bool:
        if entry.write is None:
            return False
        return entry.write.job.spec.job_id in self._rejected

    def _reject(self, entry: _Entry, error: StoreRejectedError) -> None:
        """Log a row that the store rejects; retry its job, if it has one."""
        size_bytes = len(entry.put.content) if entry.put else 0
        metrics.progress_rejected.add(1)
        events.log(
            'row_rejected',
            table=entry.row.table,
            key=entry.row.key,
            size_bytes=size_bytes,
            error=str(error),
        )
        if entry.write is None or entry.put is None:
            return
        job = entry.write.job
        self._rejected.add(job.spec.job_id)
        self._removals.extend(self._rows.reject(entry.write, entry.put))
        self.record(job)


def _parts_of(removals: list[RowRemoval]) -> list[RowRemoval]:
    """Return the removals of rows over which progress was spread."""
    return [one for one in removals if one.table == tables.PROGRESS_PARTS]


def _batches(entries: list[_Entry]) -> Iterator[list[_Entry]]:
    """Yield the entries in writes of limited size, at least one."""
    batch: list[_Entry] = []
    size = 0
    puts = 0
    for entry in entries:
        content_bytes = len(entry.put.content) if entry.put else 0
        size += content_bytes
        puts += entry.put is not None
        full = puts > MAX_ROWS_PER_WRITE or size > MAX_BYTES_PER_WRITE
        if batch and full:
            yield batch
            batch = []
            size = content_bytes
            puts = int(entry.put is not None)
        batch.append(entry)
    yield batch


__all__ = ('HEARTBEAT_S', 'ProgressWriter')
