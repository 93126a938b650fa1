"""How far a job has come: what the leader writes and any host reads."""

import zlib
from typing import Any, Final, Literal, TypeVar

import msgspec

from curranthill.storage.rows import MalformedRecordError
from curranthill.tasks.records import TaskKey

JobState = Literal['queued', 'running', 'completed', 'failed', 'cancelled']

QUEUED: Final = 'queued'
RUNNING: Final = 'running'
COMPLETED: Final = 'completed'
FAILED: Final = 'failed'
CANCELLED: Final = 'cancelled'

ENDED: Final = frozenset((COMPLETED, FAILED, CANCELLED))

#: Bits of a task's moves: its run stood still, its worker was slow.
MOVED_STALLED: Final = 1
MOVED_SLOW: Final = 2

#: Records from this size on are compressed, in bytes: 64 KB must hold the
#: progress of the widest jobs, and small rows are cheaper as they are.
COMPRESS_FROM_BYTES: Final = 8192

#: zlib's fastest level.
COMPRESSION_LEVEL: Final = 1

#: The first byte of zlib's format; no JSON text begins so.
_ZLIB_START: Final = b'\x78'

Record = TypeVar('Record')


class TaskProgress(msgspec.Struct, array_like=True):
    """One task's life.

    :param attempt: the number of the newest start; it only grows.
    :param failures: attempts that ended as failed, of a gang as a whole.
    :param worker: where a run is marked, or empty if none can exist.
    :param checkpoint: the newest known checkpoint, or empty.
    :param failed_attempt: the newest attempt that counts among the failures.
    :param losses: runs that were lost with their worker.
    :param prompt_crashes: of these, the ones whose worker crashed for certain
        and right after the start.
    :param incarnation: that of the worker when the run was marked there, 0 if
        not told.
    :param moves: the reasons for which it was moved elsewhere, as bits.
    """

    attempt: int = 0
    failures: int = 0
    done: bool = False
    worker: str = ''
    checkpoint: str = ''
    failed_attempt: int = 0
    losses: int = 0
    prompt_crashes: int = 0
    incarnation: int = 0
    moves: int = 0


class JobProgress(msgspec.Struct, array_like=True):
    """One job's life; tasks that never started are not listed.

    :param tasks: by occurrence, step and rank, joined by dots.
    :param ended_at_s: wall-clock seconds of the end, 0 before it.
    :param done_steps: occurrence and step, joined by a dot, of steps all of
        whose tasks are done; these are listed no more.
    :param reason: why the job failed, as a sentence; else empty.
    :param stops: how often runs of it were stopped for others.
    """

    queue: str
    state: JobState = QUEUED
    tasks: dict[str, TaskProgress] = {}
    ended_at_s: float = 0.0
    done_steps: list[str] = []
    reason: str = ''
    stops: int = 0

    def record_step_done(self, occurrence: int, step: int, width: int) -> None:
        """Keep of a step only that all its tasks are done."""
        name = f'{occurrence}.{step}'
        self.done_steps.append(name)
        for rank in range(width):
            self.tasks.pop(f'{name}.{rank}', None)

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether a step is known to be done."""
        return f'{occurrence}.{step}' in self.done_steps

    def task(self, key: TaskKey) -> TaskProgress:
        """Return a task's progress, made on first use."""
        name = f'{key.occurrence}.{key.step}.{key.rank}'
        found = self.tasks.get(name)
        if found is None:
            found = TaskProgress()
            self.tasks[name] = found
        return found

    def find_task(self, key: TaskKey) -> TaskProgress | None:
        """Return a task's progress if it ever started."""
        return self.tasks.get(f'{key.occurrence}.{key.step}.{key.rank}')


def encode(record: msgspec.Struct | tuple[Any, ...]) -> bytes:
    """Return a record's stored form; large ones are compressed."""
    content = msgspec.json.encode(record)
    if len(content) < COMPRESS_FROM_BYTES:
        return content
    return zlib.compress(content, COMPRESSION_LEVEL)


def decode(content: bytes, record: type[Record]) -> Record:
    """Return a record from its stored form.

    :raises MalformedRecordError: if the content is not such a record.
    """
    try:
        if content.startswith(_ZLIB_START):
            content = zlib.decompress(content)
        return msgspec.json.decode(content, type=record)
    except (msgspec.MsgspecError, ValueError, zlib.error) as error:
        raise MalformedRecordError(
            f'The stored record cannot be read: {error}.',
            step='decode',
        ) from error


__all__ = (
    'CANCELLED',
    'COMPLETED',
    'ENDED',
    'FAILED',
    'MOVED_SLOW',
    'MOVED_STALLED',
    'QUEUED',
    'RUNNING',
    'JobProgress',
    'JobState',
    'TaskProgress',
    'decode',
    'encode',
)
