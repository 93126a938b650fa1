"""The record of a job as it is stored in the table."""

from typing import Any, Final, Literal, NamedTuple

from curranthill.configuration.records import Adjacency
from curranthill.workers.records import AttemptId

#: The states of a job; those in ``ENDED`` are final.
JobState = Literal[
    'accepted',
    'reserved',
    'marked',
    'running',
    'finished',
    'failed',
    'cancelled',
    'preempted',
    'unknown',
]

ACCEPTED: Final = 'accepted'
RESERVED: Final = 'reserved'
#: The start record is written: from now on the attempt may run.
START_RECORDED: Final = 'marked'
RUNNING: Final = 'running'
FINISHED: Final = 'finished'
FAILED: Final = 'failed'
CANCELLED: Final = 'cancelled'
PREEMPTED: Final = 'preempted'
UNKNOWN: Final = 'unknown'

ENDED: Final = frozenset((FINISHED, FAILED, CANCELLED, UNKNOWN))


class Member(NamedTuple):
    """The slots of a gang on one worker."""

    worker: str
    address: str
    slots: int


class Job(NamedTuple):
    """One job.

    :param home: the data centre whose scheduler may run the job.
    :param attempt: the last attempt with a start record; it never decreases.
    :param members: the workers and slots of that attempt.
    :param body: the request body as text.
    :param failed_on: the worker of each failure, oldest first.
    :param losses: the number of attempts whose workers were lost during them.
    :param checkpoint: where a preempted job resumes from.
    :param key_row: the row key of its idempotency key, or empty.
    """

    job_id: str
    workspace: str
    kind: str
    service: str
    home: str
    state: JobState
    slots: int
    adjacent: Adjacency
    idempotent: bool
    checkpointable: bool
    run_time_s: float
    accepted_at_s: float
    revision: int
    body: str = ''
    shape: str = ''
    attempt: int = 0
    members: tuple[Member, ...] = ()
    epoch: int = 0
    holder: str = ''
    started_at_s: float = 0.0
    ended_at_s: float = 0.0
    cancel_requested: bool = False
    reason: str = ''
    result_bytes: int = 0
    failed_on: tuple[str, ...] = ()
    preemptions: int = 0
    losses: int = 0
    checkpoint: str = ''
    key_row: str = ''

    @property
    def attempt_id(self) -> AttemptId:
        """Return the id of the last attempt with a start record."""
        return AttemptId(job=self.job_id, attempt=self.attempt)

    @property
    def preemptible(self) -> bool:
        """Return whether the job may be stopped and started again."""
        return self.idempotent

    @property
    def result_name(self) -> str:
        """Return the name of the object with the last attempt's result."""
        return f'results/{self.job_id}/{self.attempt}'


def job_to_document(job: Job) -> dict[str, Any]:
    """Return a job as the document that is stored in the table."""
    document = job._asdict()
    document['members'] = [member._asdict() for member in job.members]
    document['failed_on'] = list(job.failed_on)
    return document


def job_from_document(document: dict[str, Any]) -> Job:
    """Return a job from the document that is stored in the table.

    Unknown fields, written by a newer version, are ignored. Missing fields,
    unknown to an older version, get their defaults. Two versions may thus
    run at the same time during an upgrade.
    """
    known = {name: document[name] for name in Job._fields if name in document}
    known['members'] = tuple(
        Member(**member) for member in document.get('members', ())
    )
    known['failed_on'] = tuple(document.get('failed_on', ()))
    return Job(**known)


__all__ = (
    'ACCEPTED',
    'CANCELLED',
    'ENDED',
    'FAILED',
    'FINISHED',
    'PREEMPTED',
    'RESERVED',
    'RUNNING',
    'START_RECORDED',
    'UNKNOWN',
    'Job',
    'JobState',
    'Member',
    'job_from_document',
    'job_to_document',
)
