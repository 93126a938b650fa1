"""How far a job has come: what the leader writes and any host reads."""

from typing import Any, Final, Literal, TypeVar

import msgspec

from curranthill.tasks.records import TaskKey

JobState = Literal['queued', 'running', 'completed', 'failed', 'cancelled']

QUEUED: Final = 'queued'
RUNNING: Final = 'running'
COMPLETED: Final = 'completed'
FAILED: Final = 'failed'
CANCELLED: Final = 'cancelled'

ENDED: Final = frozenset((COMPLETED, FAILED, CANCELLED))

Record = TypeVar('Record')


class TaskProgress(msgspec.Struct, array_like=True):
    """One task's life.

    :param attempt: the number of the newest start; it only grows.
    :param failures: runs that ended as failed.
    :param worker: where a run is marked, or empty if none can exist.
    :param checkpoint: the newest known checkpoint, or empty.
    """

    attempt: int = 0
    failures: int = 0
    done: bool = False
    worker: str = ''
    checkpoint: str = ''


class JobProgress(msgspec.Struct, array_like=True):
    """One job's life; tasks that never started are not listed.

    :param tasks: by occurrence, step and rank, joined by dots.
    :param ended_at_s: wall-clock seconds of the end, 0 before it.
    """

    queue: str
    state: JobState = QUEUED
    tasks: dict[str, TaskProgress] = {}
    ended_at_s: float = 0.0

    def task(self, key: TaskKey) -> TaskProgress:
        """Return a task's progress, made on first use."""
        name = f'{key.occurrence}.{key.step}.{key.rank}'
        found = self.tasks.get(name)
        if found is None:
            found = TaskProgress()
            self.tasks[name] = found
        return found

    def peek(self, key: TaskKey) -> TaskProgress | None:
        """Return a task's progress if it ever started."""
        return self.tasks.get(f'{key.occurrence}.{key.step}.{key.rank}')


def encode(record: msgspec.Struct | tuple[Any, ...]) -> bytes:
    """Return a record's stored form."""
    return msgspec.json.encode(record)


def decode(content: bytes, record: type[Record]) -> Record:
    """Return a record from its stored form.

    :raises msgspec.DecodeError: if the content is not such a record.
    """
    return msgspec.json.decode(content, type=record)


__all__ = (
    'CANCELLED',
    'COMPLETED',
    'ENDED',
    'FAILED',
    'QUEUED',
    'RUNNING',
    'JobProgress',
    'JobState',
    'TaskProgress',
    'decode',
    'encode',
)
