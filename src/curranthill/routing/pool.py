"""The workers that one gateway may send quick work to, and their load."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from curranthill.clock import Clock

#: Requests sent for each slot, so that a slot never idles for want of one.
OVERLAP = 1.25


class AllottedWorker(NamedTuple):
    """A worker with slots for quick work, as a scheduler or the list says.

    :param spill: whether it is another data centre's, for overflow only.
    """

    name: str
    address: str
    slots: int
    spill: bool = False


@dataclass(kw_only=True)
class PooledWorker:
    """One worker as this gateway sees it.

    :param limit: requests that may be in flight from here.
    :param free_slots: what the worker last reported.
    """

    name: str
    address: str
    slots: int
    spill: bool = False
    limit: int = 1
    in_flight: int = 0
    free_slots: int = 0
    draining: bool = False

    @property
    def load(self) -> float:
        """Return how busy the worker is, own requests first."""
        return self.in_flight / max(1, self.limit) - self.free_slots / 1000


class WorkerPool:
    """The candidates of this gateway.

    :param clock: for the terms of grants.
    :param fixed_connections: connections to each worker of its own data
        centre that this gateway may use whatever the scheduler says.
    """

    def __init__(self, *, clock: Clock, fixed_connections: int) -> None:
        """Start with no worker."""
        self._clock = clock
        self._fixed = fixed_connections
        self._grants: dict[bool, tuple[int, float]] = {}
        self._gateways = 1
        self._workers: dict[str, PooledWorker] = {}

    def __iter__(self) -> Iterator[PooledWorker]:
        """Yield the workers, leaving ones included."""
        return iter(self._workers.values())

    def connections(self, *, spill: bool = False) -> int:
        """Return how many connections may be held to each worker now.

        :param spill: ask for another data centre's workers, to which only
            what was granted may be held.
        """
        amount, until_s = self._grants.get(spill, (0, 0))
        granted = amount if self._clock.monotonic_s() < until_s else 0
        return granted if spill else self._fixed + granted

    @property
    def capacity(self) -> int:
        """Return how many requests may be in flight in all."""
        return sum(self.limit(worker) for worker in self if not worker.draining)

    def grant(
        self,
        connections: int,
        asked_s: float,
        term_s: float,
        *,
        spill: bool = False,
    ) -> None:
        """Take a grant of connections; its term counts from the question.

        A smaller grant is obeyed at once, a larger one until it lapses.
        """
        self._grants[spill] = (connections, asked_s + term_s)

    def allot(self, workers: Iterable[AllottedWorker], gateways: int) -> None:
        """Take over which workers serve quick work.

        :param gateways: gateways that share these workers.
        """
        self._gateways = max(1, gateways)
        allotted = {worker.name: worker for worker in workers}
        for name in list(self._workers):
            known = self._workers[name]
            if name not in allotted and known.in_flight == 0:
                self._workers.pop(name)
            elif name not in allotted:
                known.draining = True
        for worker in allotted.values():
            pooled = self._workers.setdefault(
                worker.name,
                PooledWorker(**worker._asdict()),
            )
            pooled.slots = worker.slots
            pooled.address = worker.address
            pooled.draining = False

    def limit(self, worker: PooledWorker) -> int:
        """Return how many requests may be in flight to a worker from here."""
        share = max(1, math.ceil(worker.slots * OVERLAP / self._gateways))
        worker.limit = min(self.connections(spill=worker.spill), share)
        return worker.limit

    def has_others(self, excluded: frozenset[str]) -> bool:
        """Return whether there is any worker that is not excluded."""
        return any(
            not worker.draining and worker.name not in excluded
            for worker in self
        )

    def candidates(self, excluded: frozenset[str]) -> list[PooledWorker]:
        """Return the workers that may take one more request.

        Another data centre's are offered only when none of ours has room.
        """
        able = [
            worker
            for worker in self
            if not worker.draining
            and worker.name not in excluded
            and worker.in_flight < self.limit(worker)
        ]
        own = [worker for worker in able if not worker.spill]
        return own or able


__all__ = ('AllottedWorker', 'PooledWorker', 'WorkerPool')
