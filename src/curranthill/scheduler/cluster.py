"""The workers of one data centre and how much of each is spoken for.

Three counts a worker say all that placement needs. *Hard* slots hold work
that may not be stopped, *soft* slots hold work that may be, *planned* slots
are where guarantees that are not in use would be restored. As long as hard,
planned and quick slots fit together on each worker, every guarantee can be
restored now.
"""

from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, Literal, NamedTuple

from curranthill.jobs import Member

#: What a search may use: slots that are free now; slots that hard work may
#: take without breaking a promise; or those that are both.
CapacityKind = Literal['free', 'open', 'both']


@dataclass(kw_only=True)
class WorkerState:
    """One worker's slots and what holds them.

    :param guaranteed: the part of the hard slots that a guarantee holds; its
        workspace will have them back whenever it wants.
    """

    name: str
    address: str
    rack: str
    slots: int
    usable: bool = True
    non_preemptible: int = 0
    preemptible: int = 0
    planned: int = 0
    quick: int = 0
    guaranteed: int = 0
    jobs: set[str] = field(default_factory=set)

    @property
    def unguaranteed(self) -> int:
        """Return the slots that no promise covers, in use or not."""
        committed = self.planned + self.guaranteed + self.quick
        return max(0, self.slots - committed) if self.usable else 0

    @property
    def free(self) -> int:
        """Return the slots that nothing holds now."""
        if not self.usable:
            return 0
        return max(
            0, self.slots - self.non_preemptible - self.preemptible - self.quick
        )

    @property
    def open(self) -> int:
        """Return the slots that hard work may take and keep."""
        if not self.usable:
            return 0
        return max(
            0, self.slots - self.non_preemptible - self.planned - self.quick
        )

    def capacity(self, kind: CapacityKind) -> int:
        """Return the slots that a search of this sort may use."""
        if kind == 'free':
            return self.free
        if kind == 'open':
            return self.open
        return min(self.free, self.open)


class Allocation(NamedTuple):
    """Slots that one job holds.

    :param hard: whether the job may not be stopped for another.
    """

    job_id: str
    members: tuple[Member, ...]
    non_preemptible: bool
    guaranteed: bool = False


class RackCapacity(NamedTuple):
    """What a rack has of one sort of room.

    :param total: slots in the rack.
    :param widest: most slots on one of its workers.
    """

    total: int
    max_on_worker: int


class Rack:
    """A rack's workers, with sums that are kept until something changes."""

    def __init__(self, *, name: str) -> None:
        """Start without workers."""
        self.name = name
        self.workers: list[WorkerState] = []
        #: What others worked out of this rack, until something changes.
        self.cache: dict[Hashable, Any] = {}
        self._capacities: dict[CapacityKind, RackCapacity] = {}

    def invalidate(self) -> None:
        """Forget the sums: a worker of this rack has changed."""
        self._capacities.clear()
        self.cache.clear()

    def capacity(self, kind: CapacityKind) -> RackCapacity:
        """Return the rack's sums for one sort of room."""
        known = self._capacities.get(kind)
        if known is None:
            slots = [worker.capacity(kind) for worker in self.workers]
            known = RackCapacity(sum(slots), max(slots, default=0))
            self._capacities[kind] = known
        return known


class Cluster:
    """The workers of a data centre by rack, and who holds what.

    All changes of a worker go through here, so that the racks' sums and the
    record of which racks have changed stay right.
    """

    def __init__(self) -> None:
        """Start with no worker."""
        self.workers: dict[str, WorkerState] = {}
        self.racks: dict[str, Rack] = {}
        self.allocations: dict[str, Allocation] = {}
        self.slots = 0
        self._max_capacities: dict[CapacityKind, RackCapacity] = {}

    def add(self, worker: WorkerState) -> None:
        """Add a worker."""
        self.workers[worker.name] = worker
        self.slots += worker.slots
        rack = self.racks.setdefault(worker.rack, Rack(name=worker.rack))
        rack.workers.append(worker)
        self.invalidate(worker)

    def remove(self, name: str) -> None:
        """Forget a worker that is gone for good."""
        worker = self.workers.pop(name)
        self.slots -= worker.slots
        rack = self.racks[worker.rack]
        rack.workers.remove(worker)
        self.invalidate(worker)
        if not rack.workers:
            self.racks.pop(worker.rack)

    def set_usable(self, worker: WorkerState, usable: bool) -> None:
        """Say whether a worker may take work."""
        worker.usable = usable
        self.invalidate(worker)

    def reserve_quick(self, worker: WorkerState, slots: int) -> None:
        """Keep so many more slots of a worker for quick work, or fewer."""
        worker.quick += slots
        self.invalidate(worker)

    def allocate(self, allocation: Allocation) -> None:
        """Let a job hold slots."""
        self.allocations[allocation.job_id] = allocation
        for worker, slots in self._member_workers(allocation.members):
            worker.jobs.add(allocation.job_id)
            if allocation.guaranteed:
                worker.guaranteed += slots
            if allocation.non_preemptible:
                worker.non_preemptible += slots
            else:
                worker.preemptible += slots

    def release(self, job_id: str) -> Allocation | None:
        """Take a job's slots back; a job that holds none is no error."""
        allocation = self.allocations.pop(job_id, None)
        if allocation is None:
            return None
        for worker, slots in self._member_workers(allocation.members):
            worker.jobs.discard(job_id)
            if allocation.guaranteed:
                worker.guaranteed -= slots
            if allocation.non_preemptible:
                worker.non_preemptible -= slots
            else:
                worker.preemptible -= slots
        return allocation

    def plan(self, members: Iterable[Member], sign: int = 1) -> None:
        """Plan slots for a guarantee, or with sign -1 take the plan back."""
        for worker, slots in self._member_workers(members):
            worker.planned += sign * slots

    def max_capacity(self, kind: CapacityKind) -> RackCapacity:
        """Return the most slots that any one rack and worker has."""
        known = self._max_capacities.get(kind)
        if known is None:
            capacities = [rack.capacity(kind) for rack in self.racks.values()]
            known = RackCapacity(
                max((one.total for one in capacities), default=0),
                max((one.max_on_worker for one in capacities), default=0),
            )
            self._max_capacities[kind] = known
        return known

    def invalidate(self, worker: WorkerState) -> None:
        """Note that a worker has changed."""
        self.racks[worker.rack].invalidate()
        self._max_capacities.clear()

    def _member_workers(
        self,
        members: Iterable[Member],
    ) -> Iterator[tuple[WorkerState, int]]:
        for member in members:
            worker = self.workers.get(member.worker)
            if worker is not None:
                self.invalidate(worker)
                yield worker, member.slots


__all__ = (
    'Allocation',
    'CapacityKind',
    'Cluster',
    'Rack',
    'RackCapacity',
    'WorkerState',
)
