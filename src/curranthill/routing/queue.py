"""Bounded queues, one a workspace, served in turns."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from curranthill.routing.pool import PooledWorker


class Waiter(NamedTuple):
    """One request that waits for a worker.

    :param excluded: workers that it must not go to.
    :param granted: resolved with the worker once it may go.
    """

    excluded: frozenset[str]
    granted: 'asyncio.Future[PooledWorker]'


class QueueFullError(Exception):
    """A workspace has as many requests waiting as it may have."""


#: Returns a worker with its slot taken, or nothing if none is free.
SlotTaker = Callable[[frozenset[str]], PooledWorker | None]


class FairQueue:
    """Serve workspaces in turns, so that one's burst delays only its own.

    :param bound: requests that may wait for one workspace.
    :param take: takes a slot on a worker.
    """

    def __init__(self, *, bound: int, take: SlotTaker) -> None:
        """Start empty."""
        self._bound = bound
        self._take = take
        self._waiting: dict[str, deque[Waiter]] = {}
        self._turns: deque[str] = deque()

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(len(line) for line in self._waiting.values())

    def count_ahead(self, workspace: str) -> int:
        """Return how many requests would go before a new one."""
        own = len(self._waiting.get(workspace, ()))
        # In turns, each other workspace goes at most once for each of ours.
        others = sum(
            min(len(line), own + 1)
            for name, line in self._waiting.items()
            if name != workspace
        )
        return own + others

    async def acquire(
        self,
        workspace: str,
        excluded: frozenset[str],
    ) -> PooledWorker:
        """Return a worker with a slot taken, once it is this one's turn.

        :raises QueueFullError: if too many of the workspace wait already.
        """
        if not self._waiting:
            worker = self._take(excluded)
            if worker is not None:
                return worker
        line = self._waiting.get(workspace)
        if line is None:
            line = deque()
            self._waiting[workspace] = line
            self._turns.append(workspace)
        if len(line) >= self._bound:
            raise QueueFullError
        waiter = Waiter(excluded, asyncio.get_running_loop().create_future())
        line.append(waiter)
        try:
            return await waiter.granted
        except asyncio.CancelledError:
            self._withdraw(workspace, waiter)
            raise

    def serve(self) -> None:
        """Hand out free slots in turns; call it when one may be free."""
        passed_over = 0
        while self._turns and passed_over < len(self._turns):
            workspace = self._turns[0]
            self._turns.rotate(-1)
            waiter = self._waiting[workspace][0]
            worker = self._take(waiter.excluded)
            if worker is None:
                passed_over += 1
                continue
            passed_over = 0
            self._withdraw(workspace, waiter)
            waiter.granted.set_result(worker)

    def _withdraw(self, workspace: str, waiter: Waiter) -> None:
        line = self._waiting.get(workspace)
        if line is None or waiter not in line:
            return
        line.remove(waiter)
        if not line:
            self._waiting.pop(workspace)
            self._turns.remove(workspace)


__all__ = ('FairQueue', 'QueueFullError')
