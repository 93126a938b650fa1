"""Fair queueing: one bounded queue per workspace, served round-robin."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from curranthill.routing.pool import PooledWorker


class Waiter(NamedTuple):
    """A request that waits for a worker.

    :param excluded: workers to which it must not be sent.
    :param granted: a future, resolved with the worker that it gets.
    """

    excluded: frozenset[str]
    granted: 'asyncio.Future[PooledWorker]'


class QueueFullError(Exception):
    """The queue of a workspace is full."""


#: Takes a slot and returns its worker, or nothing if no slot is free.
SlotTaker = Callable[[frozenset[str]], PooledWorker | None]


class FairQueue:
    """Serves workspaces round-robin, so that a burst delays only its sender.

    :param bound: the maximum number of waiting requests per workspace.
    :param take: takes a slot on a worker that is not excluded.
    """

    def __init__(self, *, bound: int, take: SlotTaker) -> None:
        """Initialize with empty queues."""
        self._bound = bound
        self._take = take
        self._queues: dict[str, deque[Waiter]] = {}
        self._rotation: deque[str] = deque()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    def count_ahead(self, workspace: str) -> int:
        """Return how many waiting requests would be served before a new one."""
        own = len(self._queues.get(workspace, ()))
        # Round-robin serves each other workspace at most once per own request.
        others = sum(
            min(len(queue), own + 1)
            for name, queue in self._queues.items()
            if name != workspace
        )
        return own + others

    async def acquire(
        self,
        workspace: str,
        excluded: frozenset[str],
    ) -> PooledWorker:
        """Wait for a slot and return its worker.

        :raises QueueFullError: if the queue of the workspace is full.
        """
        if not self._queues:
            worker = self._take(excluded)
            if worker is not None:
                return worker
        queue = self._queues.get(workspace)
        if queue is None:
            queue = deque()
            self._queues[workspace] = queue
            self._rotation.append(workspace)
        if len(queue) >= self._bound:
            raise QueueFullError
        waiter = Waiter(excluded, asyncio.get_running_loop().create_future())
        queue.append(waiter)
        try:
            return await waiter.granted
        except asyncio.CancelledError:
            self._withdraw(workspace, waiter)
            raise

    def serve(self) -> None:
        """Assign free slots round-robin; to be called when one may be free."""
        skipped = 0
        while self._rotation and skipped < len(self._rotation):
            workspace = self._rotation[0]
            self._rotation.rotate(-1)
            waiter = self._queues[workspace][0]
            worker = self._take(waiter.excluded)
            if worker is None:
                skipped += 1
                continue
            skipped = 0
            self._withdraw(workspace, waiter)
            waiter.granted.set_result(worker)

    def _withdraw(self, workspace: str, waiter: Waiter) -> None:
        queue = self._queues.get(workspace)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        if not queue:
            self._queues.pop(workspace)
            self._rotation.remove(workspace)


__all__ = ('FairQueue', 'QueueFullError')
