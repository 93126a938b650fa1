"""The hierarchy of errors; each names the step and the peer that failed."""

from typing import Final, Literal

#: Whether a request took effect, as far as known when an error is reported.
Outcome = Literal['not_run', 'unknown', 'failed']

NOT_RUN: Final = 'not_run'
UNKNOWN: Final = 'unknown'
FAILED: Final = 'failed'


class CurranthillError(Exception):
    """Base of all errors of this package.

    :param message: a sentence for users or operators.
    :param step: the step that failed, such as ``reserve``.
    :param peer: the host, worker or service that was called, if any.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = '',
    ) -> None:
        """Initialize with the message, the step and the peer."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message, followed by the step and the peer."""
        where = f'{self.step} at {self.peer}' if self.peer else self.step
        return f'{self.message} (step: {where})'


class SettingsError(CurranthillError):
    """Settings are invalid; the message lists every error."""


class ConfigurationError(CurranthillError):
    """A configuration cannot be read, merged or validated."""


class StorageError(CurranthillError):
    """Base of the errors of the platform's table and object store."""


class ConflictError(StorageError):
    """A conditional write found another version; nothing was written."""


class NotSentError(StorageError):
    """The store was not reached or refused the call; nothing was written."""


class ReplyLostError(StorageError):
    """The response was lost; the write may or may not have taken effect."""


class WorkerError(CurranthillError):
    """Base of the errors of calls to workers."""


class WorkerUnreachableError(WorkerError):
    """The worker received no byte of the call."""


class WorkerReplyLostError(WorkerError):
    """The call was sent, but no complete response arrived."""


class WorkerBusyError(WorkerError):
    """No slot or connection of the worker was free; nothing was run."""


class FencedError(WorkerError):
    """The worker has seen a higher epoch, or this epoch with another holder.

    :param seen_epoch: the highest epoch that the worker has seen.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = '',
        seen_epoch: int = 0,
    ) -> None:
        """Initialize with the epoch that has precedence."""
        super().__init__(message, step=step, peer=peer)
        self.seen_epoch = seen_epoch


class UnknownPollError(WorkerError):
    """The worker has no record of the last poll; name the attempts again."""


class TaskFailedError(WorkerError):
    """The worker ran the task and the task failed."""


class LeaseExpiredError(CurranthillError):
    """The holder's own lease, less its margin, expired; nothing was tried."""


class PeerError(CurranthillError):
    """A call to another process of the system failed."""


class RefusedError(CurranthillError):
    """A caller's request is refused with a problem document.

    :param status: the HTTP status of the response.
    :param outcome: whether the request took effect, as far as known.
    :param retry_after_s: after how many seconds a retry may succeed; None if
        a retry does not help.
    """

    def __init__(  # noqa: WPS211
        self,
        message: str,
        *,
        step: str,
        status: int,
        peer: str = '',
        outcome: Outcome = NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        """Initialize with the contents of the problem document."""
        super().__init__(message, step=step, peer=peer)
        self.status = status
        self.outcome = outcome
        self.retry_after_s = retry_after_s


__all__ = (
    'FAILED',
    'NOT_RUN',
    'UNKNOWN',
    'ConfigurationError',
    'ConflictError',
    'CurranthillError',
    'FencedError',
    'LeaseExpiredError',
    'NotSentError',
    'Outcome',
    'PeerError',
    'RefusedError',
    'ReplyLostError',
    'SettingsError',
    'StorageError',
    'TaskFailedError',
    'UnknownPollError',
    'WorkerBusyError',
    'WorkerError',
    'WorkerReplyLostError',
    'WorkerUnreachableError',
)
