"""The interface of a worker, and the registry of its clients."""

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol

from curranthill.registry import Registry
from curranthill.workers.records import (
    AttemptId,
    FencingToken,
    LeaseReport,
    LeaseRequest,
    QuickReply,
    QuickRequest,
    Task,
    WorkerReport,
)


class Worker(Protocol):
    """The API of one worker; each method may raise any ``WorkerError``."""

    async def fence(self, token: FencingToken) -> tuple[LeaseReport, ...]:
        """Fence off older tokens and return all the worker's leases.

        Both happen in one call, so that no previous holder can start a member
        between the response and a decision based on it.
        """

    async def reserve(self, token: FencingToken, request: LeaseRequest) -> None:
        """Reserve slots for an attempt; nothing runs yet.

        :raises WorkerBusyError: if the slots are not free.
        """

    async def start(
        self,
        token: FencingToken,
        attempt_id: AttemptId,
        task: Task,
    ) -> None:
        """Start the attempt's task; a repeat changes nothing."""

    async def poll(
        self,
        token: FencingToken,
        term_s: float,
        wait_s: float,
        attempts: Sequence[AttemptId] | None,
        known_ended: Sequence[AttemptId],
    ) -> WorkerReport:
        """Renew the named leases; return once one ends or ``wait_s`` pass.

        :param attempts: the attempts whose leases to renew; None for those of
            the last poll with the same token, which keeps a poll small while
            nothing changes.
        :param known_ended: attempts whose end the caller already knows, so
            that it does not end the wait.
        :raises UnknownPollError: if the worker has no record of such a poll.
        """

    async def stop(
        self,
        token: FencingToken,
        attempt_id: AttemptId,
        grace_s: float,
    ) -> str:
        """Stop an attempt; return the name of its checkpoint, if any.

        :param grace_s: how long it may take to checkpoint, in seconds.
        """

    async def release(self, token: FencingToken, attempt_id: AttemptId) -> bool:
        """Release an attempt's slots; a running attempt is stopped first.

        A released attempt can never start again. Return whether it ever
        started on this worker.
        """

    async def throttle(
        self,
        token: FencingToken,
        attempt_id: AttemptId,
        share: float,
    ) -> None:
        """Limit the task to a share of its slots."""

    async def fetch_result(self, attempt_id: AttemptId) -> bytes:
        """Return the attempt's complete result, verified by its digest."""

    async def quick(self, request: QuickRequest) -> QuickReply:
        """Run one quick request.

        :raises WorkerBusyError: if it was rejected and not run.
        :raises TaskFailedError: if it ran and failed.
        """


class WorkerClients(NamedTuple):
    """A factory of worker clients that share their connections.

    :param at: returns the client of the worker at a base URL.
    :param close: closes the connections.
    """

    at: Callable[[str], Worker]
    close: Callable[[], Awaitable[None]]


#: Implementations of worker clients, by their names in the settings.
worker_clients: Registry[Callable[[], WorkerClients]] = Registry(
    concern='worker client',
)

__all__ = ('Worker', 'WorkerClients', 'worker_clients')
