"""Records of the requests to a worker and of its responses."""

from typing import Any, Final, Literal, NamedTuple

#: The state of one attempt's lease at one worker.
LeaseState = Literal['reserved', 'running', 'finished', 'failed', 'stopped']

RESERVED: Final = 'reserved'
RUNNING: Final = 'running'
FINISHED: Final = 'finished'
TASK_FAILED: Final = 'failed'
STOPPED: Final = 'stopped'

#: States in which the task does not run and never will again in this attempt.
ENDED_STATES: Final = frozenset((FINISHED, TASK_FAILED, STOPPED))


class FencingToken(NamedTuple):
    """A token that fences its holder off once a newer one has been seen.

    A worker rejects a lower epoch than it has seen, and the same epoch with
    another holder.
    """

    epoch: int
    holder: str


class AttemptId(NamedTuple):
    """An attempt of a job; a worker has at most one lease for it."""

    job: str
    attempt: int


class LeaseRequest(NamedTuple):
    """A request to reserve slots for an attempt."""

    attempt_id: AttemptId
    slots: int
    term_s: float


class Task(NamedTuple):
    """The task that a gang member runs.

    :param rank: the member's index in its gang; rank 0 provides the result.
    :param members: the number of members of the gang.
    :param checkpoint: the name of the checkpoint to resume from, if any.
    """

    service: str
    kind: str
    body: str
    rank: int
    members: int
    checkpoint: str = ''


class LeaseReport(NamedTuple):
    """A lease, as reported by its worker.

    :param used_slots: the slots that the task used when last measured; the
        value lags.
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
    """A worker's response to a poll.

    :param leases: leases that the poll did not name, and named ones that have
        ended or use more slots than they reserve.
    :param unknown: named attempts for which the worker has no lease.
    :param leaving: whether the worker is draining.
    """

    leases: tuple[LeaseReport, ...]
    unknown: tuple[AttemptId, ...]
    free_slots: int
    leaving: bool


class QuickRequest(NamedTuple):
    """A quick request, as sent to a worker.

    :param deadline_s: the time left for it, in seconds.
    """

    request_id: str
    service: str
    kind: str
    body: bytes
    deadline_s: float


class QuickReply(NamedTuple):
    """The response to a quick request, with the worker's free slots."""

    body: bytes
    content_type: str
    free_slots: int


def report_from_document(entry: dict[str, Any]) -> WorkerReport:
    """Return a report from its JSON document; unknown fields are ignored."""
    leases = tuple(lease_from_document(lease) for lease in entry['leases'])
    return WorkerReport(
        leases=leases,
        unknown=tuple(AttemptId(*one) for one in entry['unknown']),
        free_slots=entry['free_slots'],
        leaving=entry['leaving'],
    )


def lease_from_document(entry: dict[str, Any]) -> LeaseReport:
    """Return a lease from its JSON document; unknown fields are ignored."""
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
