"""The progress of jobs, written by the leader and read by every host."""

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

#: Flags of a task: it was moved as its run was stalled, or as its worker was
#: slow, and the worker of its newest attempt has announced that it drains.
MOVED_STALLED: Final = 1
MOVED_SLOW: Final = 2
WORKER_DRAINING: Final = 4

#: Records of at least this size are compressed, in bytes: the progress of the
#: widest jobs must fit into 64 KB, while small rows cost less uncompressed.
COMPRESS_FROM_BYTES: Final = 8192

#: zlib's fastest level.
COMPRESSION_LEVEL: Final = 1

#: A longer checkpoint is not stored, in bytes as serialized: a row has to hold
#: several tasks. The task then resumes from an earlier one.
MAX_CHECKPOINT_BYTES: Final = 2048

#: The fields that are stored even if they are empty.
LEAST_FIELDS: Final = 7

#: The most bytes of a decompressed record; rows compress to a tenth at best.
MAX_RECORD_BYTES: Final = 4_194_304

#: The first byte of the zlib format, with which no JSON text begins.
_ZLIB_START: Final = b'\x78'

_DECODING_ERRORS: Final = (
    msgspec.MsgspecError,
    ValueError,
    RecursionError,
    zlib.error,
)

Record = TypeVar('Record')


class TaskProgress(msgspec.Struct, array_like=True):
    """The progress of one task.

    :param attempt: the number of the latest attempt; it only increases.
    :param failures: the number of failed attempts; a gang's attempt counts
        once, however many members fail.
    :param worker: the worker that the task is assigned to; empty if no run of
        it can exist.
    :param checkpoint: the newest known checkpoint, or empty.
    :param failed_attempt: the latest attempt that is counted as a failure.
    :param losses: the number of runs that were lost with their workers,
        including the unconfirmed losses.
    :param prompt_crashes: the number of these losses in which the worker
        certainly crashed, and right after the start of the run.
    :param incarnation: the worker's incarnation when the task was assigned to
        it; 0 if not known.
    :param flags: what else is known of it, as bits.
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
    flags: int = 0


class UnconfirmedLoss(msgspec.Struct, array_like=True, frozen=True):
    """A run with an expired lease, whose worker may have crashed or not.

    :param worker: the worker of the run.
    :param incarnation: the worker's incarnation when the run was assigned; 0 if
        not known.
    :param is_prompt: whether the run had just started.
    """

    worker: str
    incarnation: int = 0
    is_prompt: bool = False


class RowLayout(msgspec.Struct, array_like=True, frozen=True):
    """Over which rows the progress of a job is spread, if it exceeds one.

    :param generation: unique to this layout, as rows of others may remain.
    :param step_rows: the number of rows with its done steps.
    :param task_rows: the number of rows with its tasks.
    """

    generation: int
    step_rows: int
    task_rows: int

    @property
    def rows(self) -> int:
        """Return the number of all rows."""
        return self.step_rows + self.task_rows


class JobProgress(msgspec.Struct, array_like=True):
    """The progress of one job; tasks that never started are not included.

    :param state: queued until a worker has said that it started a task.
        Earlier releases set it to running when they assigned one.
    :param tasks: progress by occurrence, step and rank, joined by dots.
    :param ended_at_s: when the job ended, in wall-clock seconds; 0 before.
    :param done_steps: occurrence and step, joined by a dot, of the steps whose
        tasks are all done; ``tasks`` no longer includes these tasks.
    :param reason: why the job failed, as a sentence; empty if it did not.
    :param stops: how often runs of it were stopped in favour of other jobs.
    :param unconfirmed_losses: by task, named as in ``tasks``, those of its
        losses that its worker may still show not to be crashes.
    :param layout: the rows with its tasks and done steps, if this is the job's
        own row beside them; never set once they are joined.
    :param done_ranges: of a job with many occurrences, by step those in which
        it is done, in place of ``done_steps``: the first of each range and the
        first after it, all ascending.
    """

    queue: str
    state: JobState = QUEUED
    tasks: dict[str, TaskProgress] = {}
    ended_at_s: float = 0.0
    done_steps: list[str] = []
    reason: str = ''
    stops: int = 0
    unconfirmed_losses: dict[str, list[UnconfirmedLoss]] = {}
    layout: RowLayout | None = None
    done_ranges: dict[int, list[int]] = {}

    @property
    def begun(self) -> bool:
        """Return whether a worker has said that it started a task."""
        done = self.done_steps or self.done_ranges
        return self.state != QUEUED or bool(done)

    @property
    def entries(self) -> int:
        """Return of how many tasks, steps and ranges it consists."""
        bounds = sum(map(len, self.done_ranges.values()))
        return len(self.tasks) + len(self.done_steps) + bounds // 2

    def record_step_done(self, occurrence: int, step: int, width: int) -> None:
        """Record that a step is done, and drop the progress of its tasks."""
        self.done_steps.append(f'{occurrence}.{step}')
        self.drop_tasks(occurrence, step, width)

    def drop_tasks(self, occurrence: int, step: int, width: int) -> None:
        """Drop the progress of all tasks of a step."""
        name = f'{occurrence}.{step}'
        for rank in range(width):
            self.tasks.pop(f'{name}.{rank}', None)
            self.unconfirmed_losses.pop(f'{name}.{rank}', None)

    def task(self, key: TaskKey) -> TaskProgress:
        """Return a task's progress; it is created on first use."""
        name = task_name(key)
        found = self.tasks.get(name)
        if found is None:
            found = TaskProgress()
            self.tasks[name] = found
        return found

    def find_task(self, key: TaskKey) -> TaskProgress | None:
        """Return a task's progress, or None if it never started."""
        return self.tasks.get(task_name(key))


def record_checkpoint(task: TaskProgress, checkpoint: str) -> None:
    """Record a newer checkpoint of a task, if there is one that fits a row."""
    if checkpoint and len(msgspec.json.encode(checkpoint)) <= (
        MAX_CHECKPOINT_BYTES
    ):
        task.checkpoint = checkpoint


def task_name(key: TaskKey) -> str:
    """Return the name of a task within the progress of its job."""
    return f'{key.occurrence}.{key.step}.{key.rank}'


def encode(
    record: msgspec.Struct | tuple[Any, ...] | dict[str, Any],
) -> bytes:
    """Serialize a record for the store; large ones are compressed."""
    content = msgspec.json.encode(record)
    if len(content) < COMPRESS_FROM_BYTES:
        return content
    return zlib.compress(content, COMPRESSION_LEVEL)


def encode_progress(progress: JobProgress) -> bytes:
    """Serialize progress for the store, without empty fields at the end."""
    fields = list(msgspec.structs.astuple(progress))
    while not fields[-1] and len(fields) > LEAST_FIELDS:
        fields.pop()
    return encode(tuple(fields))


def decode(content: bytes, record: type[Record]) -> Record:
    """Deserialize a record from the store.

    :param record: the type of the record.
    :raises MalformedRecordError: if the content is not such a record.
    """
    try:
        if content.startswith(_ZLIB_START):
            content = _decompress(content)
        return msgspec.json.decode(content, type=record)
    except _DECODING_ERRORS as error:
        raise MalformedRecordError(
            f'The stored record cannot be read: {error}.',
            step='decode',
        ) from error


def _decompress(content: bytes) -> bytes:
    """Return the decompressed content of a row.

    :raises ValueError: if it is larger than that of any row of ours.
    """
    decompressor = zlib.decompressobj()
    found = decompressor.decompress(content, MAX_RECORD_BYTES)
    if not decompressor.eof:
        raise ValueError(f'it has more than {MAX_RECORD_BYTES} bytes')
    return found


__all__ = (
    'CANCELLED',
    'COMPLETED',
    'ENDED',
    'FAILED',
    'MAX_CHECKPOINT_BYTES',
    'MOVED_SLOW',
    'MOVED_STALLED',
    'QUEUED',
    'RUNNING',
    'WORKER_DRAINING',
    'JobProgress',
    'JobState',
    'RowLayout',
    'TaskProgress',
    'UnconfirmedLoss',
    'decode',
    'encode',
    'encode_progress',
    'record_checkpoint',
    'task_name',
)
