"""The progress of a job that exceeds one row, as records of several rows.

The job's own row then holds its state and the layout of the others. Each task
is in one of these, by a hash of its name, so every row can be read and written
by itself. Done steps have rows of their own, which are written before tasks of
these steps are dropped from theirs.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final
from zlib import crc32

import msgspec

from curranthill.storage.rows import MalformedRecordError
from curranthill.tasks.progress import (
    JobProgress,
    RowLayout,
    TaskProgress,
    UnconfirmedLoss,
    encode,
)
from curranthill.tasks.ranges import RangeSet

#: How many occurrences of a step one block of done steps covers.
BLOCK_OCCURRENCES: Final = 256

#: The share of a row that a new layout uses at most: progress grows, and a
#: change of the layout writes all of it again.
FILL_SHARE: Final = 0.5

#: The most bytes of a row in a new layout: a change of one task writes its row.
TARGET_ROW_BYTES: Final = 8192

#: That size is no target for rows with fewer entries on average.
TARGET_ROW_ENTRIES: Final = 8

#: The most rows for each entry; a row that is still too large can't be stored.
MAX_ROWS_PER_ENTRY: Final = 4


class ProgressPart(msgspec.Struct, array_like=True):
    """The content of one of the rows.

    :param tasks: as in :class:`JobProgress`.
    :param unconfirmed_losses: as in :class:`JobProgress`.
    :param done_blocks: by step and block, joined by a dot, which occurrences
        of the block have done the step, as bits of a hexadecimal number.
    """

    tasks: dict[str, TaskProgress] = {}
    unconfirmed_losses: dict[str, list[UnconfirmedLoss]] = {}
    done_blocks: dict[str, str] = {}


class DoneBlocks:
    """The done steps of a job by blocks of occurrences.

    :param blocks: by step and block the occurrences that are done, as bits.
    """

    def __init__(self) -> None:
        """Initialize without done steps."""
        self.blocks: dict[str, int] = {}
        self._known = 0

    def update(self, done_steps: list[str]) -> None:
        """Add the done steps that were appended since the last call."""
        for name in done_steps[self._known :]:
            occurrence, step = map(int, name.split('.'))
            block, bit = divmod(occurrence, BLOCK_OCCURRENCES)
            key = f'{step}.{block}'
            self.blocks[key] = self.blocks.get(key, 0) | 1 << bit
        self._known = len(done_steps)


def part_key(job_id: str, generation: int, number: int) -> str:
    """Return the key of a row; ``number`` counts from 0 in each layout."""
    return f'{job_id}/{generation}/{number}'


def parse_part_key(key: str) -> tuple[str, int, int]:
    """Return the job, the generation and the number of a row.

    :raises MalformedRecordError: if the key is not of such a row.
    """
    try:
        job_id, generation, number = key.rsplit('/', 2)
        return job_id, int(generation), int(number)
    except ValueError as error:
        raise MalformedRecordError(
            f'{key} is not the key of a part.', step='decode'
        ) from error


def split(
    progress: JobProgress, done: DoneBlocks, layout: RowLayout
) -> list[ProgressPart]:
    """Return the content of all rows of a layout, in the order of writing."""
    parts = [ProgressPart() for _ in range(layout.rows)]
    for block, bits in done.blocks.items():
        part = parts[_row_of(block, layout.step_rows)]
        part.done_blocks[block] = f'{bits:x}'
    for name, task in progress.tasks.items():
        part = parts[layout.step_rows + _row_of(name, layout.task_rows)]
        part.tasks[name] = task
        losses = progress.unconfirmed_losses.get(name)
        if losses:
            part.unconfirmed_losses[name] = losses
    return parts


def join(
    own_row: JobProgress, parts: Mapping[int, ProgressPart]
) -> JobProgress:
    """Return the progress of a job from its own row and the others.

    A row of tasks may be older than those of the done steps, so tasks of done
    steps are left out.

    :param parts: by number.
    :raises MalformedRecordError: if a row is missing.
    """
    layout = own_row.layout
    if layout is None:
        return own_row
    missing = set(range(layout.rows)) - parts.keys()
    if missing:
        raise MalformedRecordError(
            f'Rows {sorted(missing)} of the progress are missing.',
            step='decode',
        )
    found = [parts[number] for number in range(layout.rows)]
    done_steps = _done_steps(found)
    tasks = _tasks_left(found, frozenset(done_steps), own_row.done_ranges)
    return msgspec.structs.replace(
        own_row,
        tasks=tasks,
        done_steps=done_steps,
        unconfirmed_losses={
            name: losses
            for part in found
            for name, losses in part.unconfirmed_losses.items()
            if name in tasks
        },
        layout=None,
    )


def _tasks_left(
    parts: Iterable[ProgressPart],
    done_steps: frozenset[str],
    done_ranges: Mapping[int, list[int]],
) -> dict[str, TaskProgress]:
    """Return the tasks of the steps that are not done."""
    ranges = {
        number: RangeSet(bounds) for number, bounds in done_ranges.items()
    }
    return {
        name: task
        for part in parts
        for name, task in part.tasks.items()
        if name.rsplit('.', 1)[0] not in done_steps and not _is_in(ranges, name)
    }


def _is_in(ranges: Mapping[int, RangeSet], name: str) -> bool:
    """Return whether a task belongs to a step that is done by its ranges.

    :raises MalformedRecordError: if it is not the name of a task.
    """
    if not ranges:
        return False
    try:
        occurrence, step, _ = map(int, name.split('.'))
    except ValueError as error:
        raise MalformedRecordError(
            f'{name!r} is not the name of a task.', step='decode'
        ) from error
    return step in ranges and occurrence in ranges[step]


def fit_layout(
    progress: JobProgress, done: DoneBlocks, *, generation: int, row_bytes: int
) -> RowLayout:
    """Return a layout in which no row is filled to more than a share.

    :param row_bytes: the most bytes of a row.
    """
    layout = RowLayout(generation, step_rows=1, task_rows=1)
    while True:
        parts = split(progress, done, layout)
        steps = _factor(parts[: layout.step_rows], row_bytes)
        tasks = _factor(parts[layout.step_rows :], row_bytes)
        if steps == tasks == 1:
            return layout
        layout = RowLayout(
            generation, layout.step_rows * steps, layout.task_rows * tasks
        )


def _factor(parts: list[ProgressPart], row_bytes: int) -> int:
    """Return by how much the number of rows has to grow; 1 if they fit.

    A row with a single entry can't become smaller. Entries are spread unevenly,
    so with too few of them in a row more rows would help little.
    """
    sizes = [len(encode(part)) for part in parts if _entries(part) > 1]
    largest = max(sizes, default=0)
    entries = sum(map(_entries, parts))
    if len(parts) * TARGET_ROW_ENTRIES < entries:
        max_bytes = min(FILL_SHARE * row_bytes, TARGET_ROW_BYTES)
    elif len(parts) < MAX_ROWS_PER_ENTRY * entries:
        max_bytes = FILL_SHARE * row_bytes
    else:
        return 1
    if largest <= max_bytes:
        return 1
    return max(2, math.ceil(largest / max_bytes))


def _entries(part: ProgressPart) -> int:
    return len(part.tasks) + len(part.done_blocks)


def _done_steps(parts: Iterable[ProgressPart]) -> list[str]:
    names: list[str] = []
    for part in parts:
        for key, digits in part.done_blocks.items():
            step, block = map(int, key.split('.'))
            bits = int(digits, 16)
            names.extend(
                f'{block * BLOCK_OCCURRENCES + bit}.{step}'
                for bit in range(BLOCK_OCCURRENCES)
                if bits >> bit & 1
            )
    return names


def _row_of(name: str, rows: int) -> int:
    return crc32(name.encode()) % rows


__all__ = (
    'DoneBlocks',
    'ProgressPart',
    'fit_layout',
    'join',
    'parse_part_key',
    'part_key',
    'split',
)
