"""The workers to which a gateway may send quick requests, and their load."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from curranthill.clock import Clock

#: Requests in flight per slot: more than one, so that a slot that becomes free
#: is not idle until the next request arrives.
OVERLAP = 1.25


class AllottedWorker(NamedTuple):
    """A worker with slots for quick requests.

    A scheduler allots it; without an allotment, the host list names it.

    :param spill: whether it is in another data centre, for overflow only.
    """

    name: str
    address: str
    slots: int
    spill: bool = False


@dataclass(kw_only=True)
class PooledWorker:
    """A worker and its load, as known to this gateway.

    :param limit: requests of this gateway that may be in flight to it.
    :param free_slots: the free slots that the worker last reported.
    :param draining: whether it gets no further requests.
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
        """Return the load: by own requests, then by reported free slots."""
        return self.in_flight / max(1, self.limit) - self.free_slots / 1000


class WorkerPool:
    """The workers of this gateway and its connection limits.

    :param clock: the clock of the grants' expiry.
    :param fixed_connections: connections to each worker of its own data
        centre that this gateway may use without a grant of the scheduler.
    """

    def __init__(self, *, clock: Clock, fixed_connections: int) -> None:
        """Initialize without workers or grants."""
        self._clock = clock
        self._fixed_connections = fixed_connections
        self._grants: dict[bool, tuple[int, float]] = {}
        self._gateways = 1
        self._workers: dict[str, PooledWorker] = {}

    def __iter__(self) -> Iterator[PooledWorker]:
        """Yield the workers, including draining ones."""
        return iter(self._workers.values())

    def connections(self, *, spill: bool = False) -> int:
        """Return how many connections to each worker are allowed now.

        :param spill: whether the workers are in another data centre, to which
            only granted connections are allowed.
        """
        amount, until_s = self._grants.get(spill, (0, 0))
        granted = amount if self._clock.monotonic_s() < until_s else 0
        return granted if spill else self._fixed_connections + granted

    @property
    def capacity(self) -> int:
        """Return how many requests may be in flight in total."""
        return sum(self.limit(worker) for worker in self if not worker.draining)

    def grant(
        self,
        connections: int,
        requested_s: float,
        term_s: float,
        *,
        spill: bool = False,
    ) -> None:
        """Replace the grant of connections by a larger or smaller one.

        :param requested_s: when the grant was requested, from which on its
            term counts.
        :param term_s: for how long it is valid, in seconds.
        :param spill: whether it is for workers in other data centres.
        """
        self._grants[spill] = (connections, requested_s + term_s)

    def allot(self, workers: Iterable[AllottedWorker], gateways: int) -> None:
        """Replace the workers; those with requests in flight are drained.

        :param gateways: the number of gateways that share these workers.
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
        """Return how many requests may be in flight to a worker."""
        share = max(1, math.ceil(worker.slots * OVERLAP / self._gateways))
        worker.limit = min(self.connections(spill=worker.spill), share)
        return worker.limit

    def has_others(self, excluded: frozenset[str]) -> bool:
        """Return whether there is a worker that is not excluded."""
        return any(
            not worker.draining and worker.name not in excluded
            for worker in self
        )

    def candidates(self, excluded: frozenset[str]) -> list[PooledWorker]:
        """Return the workers that may take one more request.

        Workers of other data centres are candidates only when no worker of
        this one has free capacity.
        """
        available = [
            worker
            for worker in self
            if not worker.draining
            and worker.name not in excluded
            and worker.in_flight < self.limit(worker)
        ]
        own = [worker for worker in available if not worker.spill]
        return own or available


__all__ = ('AllottedWorker', 'PooledWorker', 'WorkerPool')
