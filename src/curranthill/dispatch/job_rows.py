"""The rows in which the leader stores the progress of each job.

A job has one row as long as its progress fits. Beyond that its progress is
spread over several rows, of which only the changed ones are written.
"""

from typing import Final, NamedTuple

import msgspec

from curranthill.clock import Clock
from curranthill.placement import ActiveJob
from curranthill.storage.rows import RowPut, RowRemoval
from curranthill.tasks import (
    JobProgress,
    RowLayout,
    TaskProgress,
    encode,
    encode_progress,
    tables,
)
from curranthill.tasks.parts import (
    DoneBlocks,
    ProgressPart,
    fit_layout,
    part_key,
    split,
)
from curranthill.telemetry.events import events

#: Generations reserved for each epoch, so that no two leaders use the same.
GENERATIONS_PER_EPOCH: Final = 1 << 20

#: How old the stored checkpoints of running tasks may become while other tasks
#: of their job are written, in seconds. Written with each of them, all rows
#: would be written each time.
CHECKPOINT_INTERVAL_S: Final = 5.0

#: Progress returns to one row once it fills at most this share of it.
REJOIN_SHARE: Final = 0.5

#: A smaller row is taken to be rejected for another reason than its size, in
#: bytes.
MIN_ROW_BYTES: Final = 2048

#: How long after such a rejection the job is written again, in seconds.
REJECTED_RETRY_S: Final = 5.0

#: The position of the checkpoint among the fields of a task's progress.
_CHECKPOINT: Final = TaskProgress.__struct_fields__.index('checkpoint')


class JobWrite(NamedTuple):
    """The rows that store the progress of one job, in the order of writing.

    :param spread: the rows over which it is spread afterwards, or None.
    :param previous: those over which it was spread before, or None.
    """

    job: ActiveJob
    puts: tuple[RowPut, ...]
    spread: 'SpreadRows | None' = None
    previous: 'SpreadRows | None' = None


class SpreadRows:
    """The rows over which the progress of one job is spread.

    :param layout: the layout of the rows.
    :param entries: the number of tasks and done steps that no longer fitted
        one row.
    """

    def __init__(
        self,
        *,
        job_id: str,
        layout: RowLayout,
        clock: Clock,
        entries: int,
        in_force: bool,
    ) -> None:
        """Initialize rows of which it is unknown what they contain.

        :param in_force: whether the job's own row names the layout already.
        """
        self.layout = layout
        self.entries = entries
        self.done = DoneBlocks()
        self._job_id = job_id
        self._clock = clock
        self._written: dict[int, int] = {}
        self._written_s: dict[int, float] = {}
        self._own_row = b''
        self._in_force = in_force
        self._pending: dict[int, int] = {}
        self._pending_own_row = b''

    def changes(self, progress: JobProgress) -> tuple[RowPut, ...]:
        """Return the rows that have to be written, in order.

        The job's own row is the last one of a new layout, which it puts in
        force. Later it is the first one, as it has the final state.
        """
        self.done.update(progress.done_steps)
        self._pending.clear()
        puts = []
        for number, part in enumerate(split(progress, self.done, self.layout)):
            digest = _digest(part)
            if self._is_current(number, part, digest):
                continue
            self._pending[number] = digest
            puts.append(self._put(number, encode(part)))
        self._pending_own_row = encode_progress(
            _own_row_of(progress, self.layout)
        )
        if self._pending_own_row != self._own_row:
            own_row = RowPut(
                tables.PROGRESS, self._job_id, self._pending_own_row
            )
            puts.insert(0 if self._in_force else len(puts), own_row)
        return tuple(puts)

    def confirm(self) -> None:
        """Record that the rows of the last call of ``changes`` are stored."""
        now_s = self._clock.monotonic_s()
        self._written.update(self._pending)
        self._written_s.update(dict.fromkeys(self._pending, now_s))
        self._own_row = self._pending_own_row
        self._in_force = True

    def removals(self) -> list[RowRemoval]:
        """Return the removals of all rows but the job's own."""
        return [
            RowRemoval(
                tables.PROGRESS_PARTS,
                part_key(self._job_id, self.layout.generation, number),
            )
            for number in range(self.layout.rows)
        ]

    def _is_current(self, number: int, part: ProgressPart, digest: int) -> bool:
        """Return whether a row need not be written."""
        if self._written.get(number) != digest:
            return False
        if not any(task.worker for task in part.tasks.values()):
            return True
        age_s = self._clock.monotonic_s() - self._written_s[number]
        return age_s < CHECKPOINT_INTERVAL_S

    def _put(self, number: int, content: bytes) -> RowPut:
        key = part_key(self._job_id, self.layout.generation, number)
        return RowPut(tables.PROGRESS_PARTS, key, content)


class JobRows:
    """How the progress of all jobs of a term is stored.

    :param epoch: the number of the term.
    :param row_bytes: the most bytes of a row.
    """

    def __init__(self, *, clock: Clock, epoch: int, row_bytes: int) -> None:
        """Initialize a term whose jobs each have one row."""
        self._clock = clock
        self._row_bytes = row_bytes
        self._generation = epoch * GENERATIONS_PER_EPOCH
        self._spread: dict[str, SpreadRows] = {}
        self._smaller: dict[str, int] = {}
        self._retry_s: dict[str, float] = {}
        self._unstored: set[str] = set()
        self._with_ranges: set[str] = set()

    @property
    def any_spread(self) -> bool:
        """Return whether the progress of some job is spread over rows."""
        return bool(self._spread)

    @property
    def unstored(self) -> int:
        """Return of how many jobs the progress could not be stored."""
        return len(self._unstored)

    @property
    def any_ranges(self) -> bool:
        """Return whether some job stores its done occurrences as ranges."""
        return bool(self._with_ranges)

    def adopt_ranges(self, job: ActiveJob) -> None:
        """Record that the stored progress of a job may have ranges."""
        self._with_ranges.add(job.spec.job_id)

    def adopt(self, job: ActiveJob, layout: RowLayout) -> None:
        """Take over the rows of a job as an earlier leader has written them."""
        self._spread[job.spec.job_id] = SpreadRows(
            job_id=job.spec.job_id,
            layout=layout,
            clock=self._clock,
            entries=job.progress.entries,
            in_force=True,
        )

    def is_stored(self, job_id: str) -> bool:
        """Return whether the last write of a job was not rejected."""
        return job_id not in self._unstored

    def is_due(self, job_id: str) -> bool:
        """Return whether a job may be written, after any rejection."""
        retry_s = self._retry_s.get(job_id, 0.0)
        return self._clock.monotonic_s() >= retry_s

    def plan(self, job: ActiveJob) -> JobWrite:
        """Return the rows that store the progress of a job."""
        job_id = job.spec.job_id
        if job.progress.done_ranges:
            self._with_ranges.add(job_id)
        spread = self._spread.get(job_id)
        row_bytes = self._smaller.get(job_id, self._row_bytes)
        single = self._single_row(job, spread, row_bytes)
        if single is not None:
            return JobWrite(job, (single,), previous=spread)
        if spread is not None:
            puts = spread.changes(job.progress)
            if all(len(put.content) <= row_bytes for put in puts):
                return JobWrite(job, puts, spread, spread)
        successor = self._lay_out(job, row_bytes)
        return JobWrite(job, successor.changes(job.progress), successor, spread)

    def confirm(self, write: JobWrite) -> list[RowRemoval]:
        """Record that a job is stored; return the removals of former rows."""
        job_id = write.job.spec.job_id
        self._spread.pop(job_id, None)
        if write.spread is not None:
            write.spread.confirm()
            self._spread[job_id] = write.spread
        self._unstored.discard(job_id)
        if not write.job.progress.done_ranges:
            self._with_ranges.discard(job_id)
        if self._retry_s.pop(job_id, 0.0) or write.job.ended:
            self._smaller.pop(job_id, None)
        write.job.unstored = False
        if write.previous is None or write.previous is write.spread:
            return []
        return write.previous.removals()

    def reject(self, write: JobWrite, put: RowPut) -> list[RowRemoval]:
        """Record that a row was rejected; return removals of needless rows.

        The next rows of the job are half as large, as the store may accept less
        than the settings say.
        """
        job_id = write.job.spec.job_id
        self._unstored.add(job_id)
        write.job.unstored = True
        if len(put.content) >= MIN_ROW_BYTES:
            self._smaller[job_id] = len(put.content) // 2
        else:
            retry_s = self._clock.monotonic_s() + REJECTED_RETRY_S
            self._retry_s[job_id] = retry_s
        if write.spread is None or write.spread is write.previous:
            return []
        return write.spread.removals()

    def _single_row(
        self, job: ActiveJob, spread: SpreadRows | None, row_bytes: int
    ) -> RowPut | None:
        """Return the job's only row, or None if its progress exceeds it."""
        max_bytes = row_bytes
        if spread is not None:
            # Whether it fits again is only tried after each halving.
            entries = job.progress.entries
            if entries > spread.entries // 2:
                return None
            spread.entries = entries
            max_bytes = int(REJOIN_SHARE * row_bytes)
        content = encode_progress(job.progress)
        # Without tasks and done steps, further rows would be empty.
        is_final = job.ended and not job.progress.entries
        if len(content) > max_bytes and not is_final:
            return None
        return RowPut(tables.PROGRESS, job.spec.job_id, content)

    def _lay_out(self, job: ActiveJob, row_bytes: int) -> SpreadRows:
        """Return new rows for a job that exceeds those that it has."""
        self._generation += 1
        done = DoneBlocks()
        done.update(job.progress.done_steps)
        layout = fit_layout(
            job.progress,
            done,
            generation=self._generation,
            row_bytes=row_bytes,
        )
        events.log(
            'progress_spread',
            job=job.spec.job_id,
            tasks=len(job.progress.tasks),
            task_rows=layout.task_rows,
            step_rows=layout.step_rows,
        )
        return SpreadRows(
            job_id=job.spec.job_id,
            layout=layout,
            clock=self._clock,
            entries=job.progress.entries,
            in_force=False,
        )


def _own_row_of(progress: JobProgress, layout: RowLayout) -> JobProgress:
    """Return the job's own row beside the rows of a layout."""
    return JobProgress(
        queue=progress.queue,
        state=progress.state,
        ended_at_s=progress.ended_at_s,
        reason=progress.reason,
        stops=progress.stops,
        layout=layout,
        done_ranges=progress.done_ranges,
    )


def _digest(part: ProgressPart) -> int:
    """Return a digest of all but the checkpoints."""
    return hash(
        (
            tuple(
                (name, *_durable_fields(task))
                for name, task in part.tasks.items()
            ),
            tuple(part.done_blocks.items()),
            tuple(
                (name, *losses)
                for name, losses in part.unconfirmed_losses.items()
            ),
        )
    )


def _durable_fields(task: TaskProgress) -> tuple[object, ...]:
    """Return all fields but the checkpoint."""
    fields = msgspec.structs.astuple(task)
    return fields[:_CHECKPOINT] + fields[_CHECKPOINT + 1 :]


__all__ = ('MIN_ROW_BYTES', 'REJECTED_RETRY_S', 'JobRows', 'JobWrite')
