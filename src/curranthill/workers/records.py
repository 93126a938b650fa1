"""What goes to a worker and what comes back."""

from typing import Any, Final, Literal, NamedTuple

#: The life of one attempt's lease at one worker.
LeaseState = Literal['reserved', 'running', 'finished', 'failed', 'stopped']

RESERVED: Final = 'reserved'
RUNNING: Final = 'running'
FINISHED: Final = 'finished'
TASK_FAILED: Final = 'failed'
STOPPED: Final = 'stopped'

#: States in which the task no longer runs and never will under this attempt.
ENDED_STATES: Final = frozenset((FINISHED, TASK_FAILED, STOPPED))


class FencingToken(NamedTuple):
    """A fencing token: a lower epoch, or the same of another holder, loses."""

    epoch: int
    holder: str


class AttemptId(NamedTuple):
    """One attempt of one job; a worker holds at most one lease for it."""

    job: str
    attempt: int


class LeaseRequest(NamedTuple):
    """What a reservation asks for."""

    attempt_id: AttemptId
    slots: int
    term_s: float


class Task(NamedTuple):
    """What a started member runs.

    :param rank: the member's place in its gang, 0 gives the result.
    :param checkpoint: the name of the checkpoint to go on from, if any.
    """

    service: str
    kind: str
    body: str
    rank: int
    members: int
    checkpoint: str = ''


class LeaseReport(NamedTuple):
    """One lease as the worker has it.

    :param used_slots: what the task was last measured to use; it lags.
    """

    job: str
    attempt: int
    slots: int
    state: LeaseState
    epoch: int
    holder: str
    reason: str = ''
    used_slots: float = 0.0

    @property
    def attempt_id(self) -> AttemptId:
        """Return the attempt that the lease is for."""
        return AttemptId(job=self.job, attempt=self.attempt)


class WorkerReport(NamedTuple):
    """A worker's answer to a poll.

    :param leases: leases that the poll did not name, and named ones that
        have ended or use more than they hold.
    :param unknown: named attempts of which the worker holds no lease.
    """

    leases: tuple[LeaseReport, ...]
    unknown: tuple[AttemptId, ...]
    free_slots: int
    leaving: bool


class QuickRequest(NamedTuple):
    """One quick request as it goes to a worker.

    :param deadline_s: seconds that are left for it.
    """

    request_id: str
    service: str
    kind: str
    body: bytes
    deadline_s: float


class QuickReply(NamedTuple):
    """A whole quick answer and the worker's load beside it."""

    body: bytes
    content_type: str
    free_slots: int


def report_from_document(entry: dict[str, Any]) -> WorkerReport:
    """Return a report from its JSON form; unknown fields are passed over."""
    leases = tuple(lease_from_document(lease) for lease in entry['leases'])
    return WorkerReport(
        leases=leases,
        unknown=tuple(AttemptId(*one) for one in entry['unknown']),
        free_slots=entry['free_slots'],
        leaving=entry['leaving'],
    )


def lease_from_document(entry: dict[str, Any]) -> LeaseReport:
    """Return one lease from its JSON form."""
    known = LeaseReport._fields
    return LeaseReport(**{name: entry[name] for name in known if name in entry})


__all__ = (
    'ENDED_STATES',
    'FINISHED',
    'RESERVED',
    'RUNNING',
    'STOPPED',
    'TASK_FAILED',
    'AttemptId',
    'FencingToken',
    'LeaseReport',
    'LeaseRequest',
    'LeaseState',
    'QuickReply',
    'QuickRequest',
    'Task',
    'WorkerReport',
    'lease_from_document',
    'report_from_document',
)
