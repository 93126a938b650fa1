"""The workers of one data centre and the use of their slots.

Placement needs three counts for each worker. *Non-preemptible* slots hold work
that may not be preempted, *preemptible* slots hold work that may be, and
*planned* slots are where unused guarantees would be restored. As long as
non-preemptible, planned and quick slots fit together on each worker, every
guarantee can be restored immediately.
"""

from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, Literal, NamedTuple

from curranthill.jobs import Member

#: The slots that a search may use: those that are free now; those that
#: non-preemptible work may take without violating a guarantee (open); or those
#: that are both.
CapacityKind = Literal['free', 'open', 'both']


@dataclass(kw_only=True)
class WorkerState:
    """One worker's slots and how they are used.

    :param guaranteed: the part of the non-preemptible slots that is held
        under guarantees; their workspaces may claim it back at any time.
    :param quick: slots reserved for quick work.
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
        """Return the slots outside guarantees and quick work, used or not."""
        committed = self.planned + self.guaranteed + self.quick
        return max(0, self.slots - committed) if self.usable else 0

    @property
    def free(self) -> int:
        """Return the slots neither in use nor reserved for quick work."""
        if not self.usable:
            return 0
        return max(
            0,
            self.slots - self.non_preemptible - self.preemptible - self.quick,
        )

    @property
    def open(self) -> int:
        """Return the slots that non-preemptible work may take."""
        if not self.usable:
            return 0
        return max(
            0,
            self.slots - self.non_preemptible - self.planned - self.quick,
        )

    def capacity(self, kind: CapacityKind) -> int:
        """Return how many slots a search for this kind of capacity may use."""
        if kind == 'free':
            return self.free
        if kind == 'open':
            return self.open
        return min(self.free, self.open)


class Allocation(NamedTuple):
    """Slots that one job holds.

    :param non_preemptible: whether the job may not be preempted.
    :param guaranteed: whether it uses a guarantee unit.
    """

    job_id: str
    members: tuple[Member, ...]
    non_preemptible: bool
    guaranteed: bool = False


class RackCapacity(NamedTuple):
    """A rack's capacity of one kind.

    :param total: slots in the rack.
    :param max_on_worker: the most slots on one of its workers.
    """

    total: int
    max_on_worker: int


class Rack:
    """A rack's workers, with sums that are cached until a worker changes."""

    def __init__(self, *, name: str) -> None:
        """Initialize without workers."""
        self.name = name
        self.workers: list[WorkerState] = []
        #: Results that callers derived from this rack; cleared on each change.
        self.cache: dict[Hashable, Any] = {}
        self._capacities: dict[CapacityKind, RackCapacity] = {}

    def invalidate(self) -> None:
        """Clear the cached sums after a change of a worker."""
        self._capacities.clear()
        self.cache.clear()

    def capacity(self, kind: CapacityKind) -> RackCapacity:
        """Return the rack's capacity of one kind."""
        known = self._capacities.get(kind)
        if known is None:
            slots = [worker.capacity(kind) for worker in self.workers]
            known = RackCapacity(sum(slots), max(slots, default=0))
            self._capacities[kind] = known
        return known


class Cluster:
    """The workers of a data centre by rack, and the slots that jobs hold.

    Workers change only through this class, so that the cached sums of the
    racks and of the cluster are invalidated.
    """

    def __init__(self) -> None:
        """Initialize without workers."""
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
        """Remove a worker permanently."""
        worker = self.workers.pop(name)
        self.slots -= worker.slots
        rack = self.racks[worker.rack]
        rack.workers.remove(worker)
        self.invalidate(worker)
        if not rack.workers:
            self.racks.pop(worker.rack)

    def set_usable(self, worker: WorkerState, usable: bool) -> None:
        """Set whether a worker may take work."""
        worker.usable = usable
        self.invalidate(worker)

    def reserve_quick(self, worker: WorkerState, slots: int) -> None:
        """Add to the quick slots of a worker; a negative number removes."""
        worker.quick += slots
        self.invalidate(worker)

    def allocate(self, allocation: Allocation) -> None:
        """Record the slots that a job holds."""
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
        """Release a job's slots; return nothing if it holds none."""
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
        """Add planned slots for a guarantee; with sign -1 remove them."""
        for worker, slots in self._member_workers(members):
            worker.planned += sign * slots

    def max_capacity(self, kind: CapacityKind) -> RackCapacity:
        """Return the largest capacity of any one rack and of any one worker."""
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
        """Clear the cached sums after a change of a worker."""
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
