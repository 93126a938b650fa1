"""The rows of spread progress, as a new leader finds them."""

from curranthill.storage.rows import (
    MalformedRecordError,
    RowRemoval,
    StoredRow,
)
from curranthill.tasks import JobProgress, decode, tables
from curranthill.tasks.parts import (
    ProgressPart,
    join,
    parse_part_key,
    part_key,
)
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events


class StoredParts:
    """Joins the progress of jobs; what belongs to no job is removed.

    A leader that was lost while it wrote a new layout leaves rows that the
    job's own row does not name.
    """

    def __init__(self) -> None:
        """Initialize before any row is read."""
        self._contents: dict[tuple[str, int], dict[int, bytes]] = {}
        self._unreadable: set[str] = set()

    def add(self, rows: tuple[StoredRow, ...]) -> None:
        """Add rows as read from the store."""
        for row in rows:
            try:
                job_id, generation, number = parse_part_key(row.key)
            except MalformedRecordError as error:
                events.log('part_row_bad', key=row.key, error=error.message)
                metrics.malformed_records.add(1, {'kind': 'part'})
                continue
            contents = self._contents.setdefault((job_id, generation), {})
            contents[number] = row.content

    def join(self, job_id: str, own_row: JobProgress) -> JobProgress:
        """Return the whole progress of a job.

        :param own_row: the content of the job's own row.
        :raises MalformedRecordError: if a row is missing or unreadable. The
            rows of the job are then kept.
        """
        if own_row.layout is None:
            return own_row
        self._unreadable.add(job_id)
        name = (job_id, own_row.layout.generation)
        parts = {
            number: decode(content, ProgressPart)
            for number, content in self._contents.get(name, {}).items()
        }
        progress = join(own_row, parts)
        self._unreadable.discard(job_id)
        self._contents.pop(name)
        return progress

    def pop_unused(self) -> list[RowRemoval]:
        """Return the removals of all rows that no job needs; forget all."""
        unused = [
            RowRemoval(
                tables.PROGRESS_PARTS, part_key(job_id, generation, number)
            )
            for (job_id, generation), contents in self._contents.items()
            for number in contents
            if job_id not in self._unreadable
        ]
        self._contents.clear()
        if unused:
            events.log('unused_parts', rows=len(unused))
        return unused


__all__ = ('StoredParts',)
