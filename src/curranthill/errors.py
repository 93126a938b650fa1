"""The tree of errors, each knowing the step and the peer where it arose."""

from typing import Final, Literal

#: What is known of a request's effect when an error is reported.
Outcome = Literal['not_run', 'unknown', 'failed']

NOT_RUN: Final = 'not_run'
UNKNOWN: Final = 'unknown'
FAILED: Final = 'failed'


class CurranthillError(Exception):
    """The base of every error of this package.

    :param message: a plain sentence for a person.
    :param step: the step of the work that failed, such as ``reserve``.
    :param peer: the host, worker or service at the other end, if any.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = '',
    ) -> None:
        """Keep the message with the place where the error arose."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the sentence with the step and the peer behind it."""
        where = f'{self.step} at {self.peer}' if self.peer else self.step
        return f'{self.message} (step: {where})'


class SettingsError(CurranthillError):
    """A settings file holds faults; the message lists every one."""


class ConfigurationError(CurranthillError):
    """An operators' folder cannot be read, merged or accepted."""


class StorageError(CurranthillError):
    """The base of what the platform's table and object store may answer."""


class ConflictError(StorageError):
    """A conditional write met another version; nothing was written."""


class NotSentError(StorageError):
    """The store was not reached or refused; nothing was written."""


class ReplyLostError(StorageError):
    """The reply was lost; the write may or may not have taken effect."""


class WorkerError(CurranthillError):
    """The base of what a worker may answer."""


class WorkerUnreachableError(WorkerError):
    """No byte of the call was taken by the worker."""


class WorkerReplyLostError(WorkerError):
    """The call was sent and no whole answer came back."""


class WorkerBusyError(WorkerError):
    """The worker refused for want of a slot or connection; not run."""


class FencedError(WorkerError):
    """The worker has seen a higher epoch, or this epoch of another holder.

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
        """Keep the epoch that won."""
        super().__init__(message, step=step, peer=peer)
        self.seen_epoch = seen_epoch


class UnknownPollError(WorkerError):
    """The worker does not remember the last poll; name the attempts again."""


class TaskFailedError(WorkerError):
    """The worker ran the task and the task failed."""


class LeaseExpiredError(CurranthillError):
    """The holder's own lease is past its margin; the effect was not tried."""


class PeerError(CurranthillError):
    """A call to another process of the system failed."""


class RefusedError(CurranthillError):
    """A caller's request is answered with a problem document.

    :param status: the HTTP status of the answer.
    :param outcome: what is known of the request's effect.
    :param retry_after_s: when to come back, in seconds, if that helps.
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
        """Keep what the problem document needs."""
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
