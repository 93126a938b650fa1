"""The interface to workers that run tasks under a lease.

A worker remembers the highest fencing token it has seen and rejects orders
with a lower one. It neither checks its capacity nor prevents a second run of a
task: both are up to the leader.
"""

from typing import Final, Literal, NamedTuple, Protocol

from curranthill.errors import WorkerError, WorkerReplyLostError
from curranthill.placement import WorkerEntry
from curranthill.tasks import TaskKey

#: How a run ended; ``lapsed``: its lease expired, ``broken``: its gang lost
#: another member, ``alone``: its gang was never complete.
EndKind = Literal['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']

DONE: Final = 'done'
RUN_FAILED: Final = 'failed'

#: Why a worker rejected a start.
Rejection = Literal['fence', 'old', 'late', 'room', 'ticket']

FENCE: Final = 'fence'


class RunReport(NamedTuple):
    """One run that exists at the worker.

    :param done_percent: progress of the work, 0 to 100.
    """

    task: TaskKey
    attempt: int
    checkpoint: str
    done_percent: float


class EndReport(NamedTuple):
    """One run that ended.

    :param number: incremented with each end in a worker's incarnation.
    """

    number: int
    task: TaskKey
    attempt: int
    kind: EndKind
    checkpoint: str


class LeaseReport(NamedTuple):
    """The runs and ends of a worker at one reading of its clock.

    :param ends: those with the lowest numbers that are not acknowledged yet.
    :param incarnation: the worker's incarnation, 0 if it does not report one.
    :param lists_all_ends: whether the worker has no further ends. If it may
        have, a run that is not listed may have ended.
    """

    clock_s: float
    runs: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]
    incarnation: int = 0
    lists_all_ends: bool = True


class StartOrder(NamedTuple):
    """The order to start one task.

    :param deadline_s: on the worker's clock; a later start is rejected.
    """

    task: TaskKey
    attempt: int
    payload: str
    deadline_s: float
    token: int
    checkpoint: str = ''
    ticket: str = ''


class LeaseOrder(NamedTuple):
    """The renewal of a lease, which also reads the runs and ends.

    :param acknowledged: ends up to this number may be forgotten.
    :param deadline_s: on the worker's clock; no run continues past it. 0
        leaves the lease unchanged.
    :param wait_s: how long the response may be held back until a run ends.
    """

    token: int
    acknowledged: int
    deadline_s: float
    wait_s: float


class RejectedError(WorkerError):
    """The worker rejected an order.

    :param reason: the reason that the worker gave.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str,
        reason: str,
    ) -> None:
        """Initialize the error with the worker's reason."""
        super().__init__(message, step=step, peer=peer)
        self.reason = reason


class WorkerReplacedError(WorkerError):
    """A worker with another id responded; the expected one runs nothing."""


class MalformedReplyError(WorkerReplyLostError):
    """A response arrived that is malformed, too large or unknown."""


class TaskWorker(Protocol):
    """The client of one worker.

    Each method raises :class:`RejectedError` if the worker rejected the order,
    :class:`WorkerReplacedError` if a worker with another id responded,
    ``WorkerUnreachableError`` if the call was not sent and
    ``WorkerReplyLostError`` if its effect is unknown: the call may have taken
    effect, or may do so seconds later.
    """

    async def start(self, order: StartOrder) -> float:
        """Start a task and return the worker's clock in seconds."""

    async def stop(self, task: TaskKey, attempt: int, token: int) -> float:
        """Stop a run; its end is listed once it uses no more capacity."""

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Renew the lease and return the runs and ends."""


class WorkerConnector(Protocol):
    """Creates clients of workers."""

    def connect(self, entry: WorkerEntry) -> TaskWorker:
        """Return a client of a worker."""


__all__ = (
    'DONE',
    'FENCE',
    'RUN_FAILED',
    'EndKind',
    'EndReport',
    'LeaseOrder',
    'LeaseReport',
    'MalformedReplyError',
    'RejectedError',
    'Rejection',
    'RunReport',
    'StartOrder',
    'TaskWorker',
    'WorkerConnector',
    'WorkerReplacedError',
)
