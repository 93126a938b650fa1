"""What the system asks of a worker; clients are chosen by a registry."""

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
    """One worker; each method may raise any error of the worker's family."""

    async def fence(self, token: FencingToken) -> tuple[LeaseReport, ...]:
        """Raise the epoch the worker has seen and return all its leases.

        Both happen in one call, so that no older holder can start a member
        between the answer and what is decided from it.
        """

    async def reserve(self, token: FencingToken, request: LeaseRequest) -> None:
        """Hold slots for an attempt; nothing runs yet.

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
        """Renew the named leases; answer once one ends or ``wait_s`` pass.

        An end that the caller knows already does not cut the wait short.
        No attempts at all (``None``) means those of the last poll under the
        same token, which keeps a poll small while nothing changes.

        :raises LastPollForgottenError: if the worker remembers no such poll.
        """

    async def stop(
        self,
        token: FencingToken,
        attempt_id: AttemptId,
        grace_s: float,
    ) -> str:
        """Checkpoint within the grace if it can, stop, and say its name."""

    async def release(self, token: FencingToken, attempt_id: AttemptId) -> bool:
        """Give the slots back; an attempt that runs is stopped first.

        A released attempt can never start again. Returns whether it ever
        had started here.
        """

    async def throttle(
        self,
        token: FencingToken,
        attempt_id: AttemptId,
        share: float,
    ) -> None:
        """Let the task use only this share of its slots."""

    async def fetch_result(self, attempt_id: AttemptId) -> bytes:
        """Return the attempt's whole result, its digest checked."""

    async def quick(self, request: QuickRequest) -> QuickReply:
        """Run one quick request.

        :raises WorkerBusyError: if it was refused and not run.
        :raises TaskFailedError: if it ran and failed.
        """


class WorkerClients(NamedTuple):
    """A factory of worker clients that share their connections."""

    at: Callable[[str], Worker]
    close: Callable[[], Awaitable[None]]


#: Ways to reach workers: settings name -> factory().
worker_clients: Registry[Callable[[], WorkerClients]] = Registry(
    concern='worker client',
)

__all__ = ('Worker', 'WorkerClients', 'worker_clients')
