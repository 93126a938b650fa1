"""What the leader asks of a worker that runs tasks under a lease.

A worker keeps the highest fencing token it has seen and does nothing for a
lower one. It protects neither its room nor a task from a second run.
"""

from typing import Final, Literal, NamedTuple, Protocol

from curranthill.errors import WorkerError
from curranthill.placement import WorkerEntry
from curranthill.tasks import TaskKey

#: How a run ended; ``lapsed`` is a lease that ran out, ``broken`` a member
#: whose gang lost another, ``alone`` one whose gang never came together.
EndKind = Literal['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']

DONE: Final = 'done'
RUN_FAILED: Final = 'failed'

#: Why a worker rejected a start.
Rejection = Literal['fence', 'old', 'late', 'room', 'ticket']

FENCE: Final = 'fence'


class RunReport(NamedTuple):
    """One run that the worker has.

    :param done_percent: progress of the work, 0 to 100.
    """

    task: TaskKey
    attempt: int
    checkpoint: str
    done_percent: float


class EndReport(NamedTuple):
    """One run that ended.

    :param number: grows by one with each end in a worker's incarnation.
    """

    number: int
    task: TaskKey
    attempt: int
    kind: EndKind
    checkpoint: str


class LeaseReport(NamedTuple):
    """All that a worker has, at one reading of its clock.

    :param incarnation: which start of the worker answers, 0 if not told.
    """

    clock_s: float
    runs: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]
    incarnation: int = 0


class StartOrder(NamedTuple):
    """One task to start.

    :param deadline_s: on the worker's clock; later the start is rejected.
    """

    task: TaskKey
    attempt: int
    payload: str
    deadline_s: float
    token: int
    checkpoint: str = ''
    ticket: str = ''


class LeaseOrder(NamedTuple):
    """A renewal that also reads what runs and what ended.

    :param acknowledged: ends up to this number may be forgotten.
    :param deadline_s: on the worker's clock; nothing runs past it. 0 leaves
        the lease as it is.
    :param wait_s: how long the answer may wait for an end.
    """

    token: int
    acknowledged: int
    deadline_s: float
    wait_s: float


class RejectedError(WorkerError):
    """The worker answered that it did not do what was asked.

    :param reason: the worker's own reason.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str,
        reason: str,
    ) -> None:
        """Keep the reason."""
        super().__init__(message, step=step, peer=peer)
        self.reason = reason


class WorkerReplacedError(WorkerError):
    """A worker of another id answered; this one runs nothing more."""


class TaskWorker(Protocol):
    """One worker.

    Each method raises :class:`RejectedError` if nothing was done,
    :class:`WorkerReplacedError` if a worker of another id answered,
    ``WorkerUnreachableError`` if the call was not sent and
    ``WorkerReplyLostError`` if its effect is unknown, now or seconds on.
    """

    async def start(self, order: StartOrder) -> float:
        """Start a task and return the worker's clock in seconds."""

    async def stop(self, task: TaskKey, attempt: int, token: int) -> float:
        """Stop a run; its end is listed once it no longer takes room."""

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Renew the lease and return what runs and what ended."""


class WorkerConnector(Protocol):
    """Makes clients of workers."""

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
    'RejectedError',
    'Rejection',
    'RunReport',
    'StartOrder',
    'TaskWorker',
    'WorkerConnector',
    'WorkerReplacedError',
)
