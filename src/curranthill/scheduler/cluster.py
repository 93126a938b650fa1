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
Room = Literal['free', 'open', 'both']


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
    hard: int = 0
    soft: int = 0
    planned: int = 0
    quick: int = 0
    guaranteed: int = 0
    jobs: set[str] = field(default_factory=set)

    @property
    def unguaranteed(self) -> int:
        """Return the slots that no promise covers, in use or not."""
        promised = self.planned + self.guaranteed + self.quick
        return max(0, self.slots - promised) if self.usable else 0

    @property
    def free(self) -> int:
        """Return the slots that nothing holds now."""
        if not self.usable:
            return 0
        return max(0, self.slots - self.hard - self.soft - self.quick)

    @property
    def open(self) -> int:
        """Return the slots that hard work may take and keep."""
        if not self.usable:
            return 0
        return max(0, self.slots - self.hard - self.planned - self.quick)

    def room(self, room: Room) -> int:
        """Return the slots that a search of this sort may use."""
        if room == 'free':
            return self.free
        if room == 'open':
            return self.open
        return min(self.free, self.open)


class Allocation(NamedTuple):
    """Slots that one job holds.

    :param hard: whether the job may not be stopped for another.
    """

    job_id: str
    members: tuple[Member, ...]
    hard: bool
    guaranteed: bool = False


class RackRoom(NamedTuple):
    """What a rack has of one sort of room.

    :param total: slots in the rack.
    :param widest: most slots on one of its workers.
    """

    total: int
    widest: int


class Rack:
    """A rack's workers, with sums that are kept until something changes."""

    def __init__(self, *, name: str) -> None:
        """Start without workers."""
        self.name = name
        self.workers: list[WorkerState] = []
        #: What others worked out of this rack, until something changes.
        self.memo: dict[Hashable, Any] = {}
        self._rooms: dict[Room, RackRoom] = {}

    def touch(self) -> None:
        """Forget the sums: a worker of this rack has changed."""
        self._rooms.clear()
        self.memo.clear()

    def room(self, room: Room) -> RackRoom:
        """Return the rack's sums for one sort of room."""
        known = self._rooms.get(room)
        if known is None:
            slots = [worker.room(room) for worker in self.workers]
            known = RackRoom(sum(slots), max(slots, default=0))
            self._rooms[room] = known
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
        self._most: dict[Room, RackRoom] = {}

    def add(self, worker: WorkerState) -> None:
        """Add a worker."""
        self.workers[worker.name] = worker
        self.slots += worker.slots
        rack = self.racks.setdefault(worker.rack, Rack(name=worker.rack))
        rack.workers.append(worker)
        self.touch(worker)

    def remove(self, name: str) -> None:
        """Forget a worker that is gone for good."""
        worker = self.workers.pop(name)
        self.slots -= worker.slots
        rack = self.racks[worker.rack]
        rack.workers.remove(worker)
        self.touch(worker)
        if not rack.workers:
            self.racks.pop(worker.rack)

    def set_usable(self, worker: WorkerState, usable: bool) -> None:
        """Say whether a worker may take work."""
        worker.usable = usable
        self.touch(worker)

    def keep_quick(self, worker: WorkerState, slots: int) -> None:
        """Keep so many more slots of a worker for quick work, or fewer."""
        worker.quick += slots
        self.touch(worker)

    def allocate(self, allocation: Allocation) -> None:
        """Let a job hold slots."""
        self.allocations[allocation.job_id] = allocation
        for worker, slots in self._parts(allocation.members):
            worker.jobs.add(allocation.job_id)
            if allocation.guaranteed:
                worker.guaranteed += slots
            if allocation.hard:
                worker.hard += slots
            else:
                worker.soft += slots

    def release(self, job_id: str) -> Allocation | None:
        """Take a job's slots back; a job that holds none is no error."""
        allocation = self.allocations.pop(job_id, None)
        if allocation is None:
            return None
        for worker, slots in self._parts(allocation.members):
            worker.jobs.discard(job_id)
            if allocation.guaranteed:
                worker.guaranteed -= slots
            if allocation.hard:
                worker.hard -= slots
            else:
                worker.soft -= slots
        return allocation

    def plan(self, members: Iterable[Member], sign: int = 1) -> None:
        """Plan slots for a guarantee, or with sign -1 take the plan back."""
        for worker, slots in self._parts(members):
            worker.planned += sign * slots

    def most(self, room: Room) -> RackRoom:
        """Return the most slots that any one rack and worker has."""
        known = self._most.get(room)
        if known is None:
            rooms = [rack.room(room) for rack in self.racks.values()]
            known = RackRoom(
                max((one.total for one in rooms), default=0),
                max((one.widest for one in rooms), default=0),
            )
            self._most[room] = known
        return known

    def touch(self, worker: WorkerState) -> None:
        """Note that a worker has changed."""
        self.racks[worker.rack].touch()
        self._most.clear()

    def _parts(
        self,
        members: Iterable[Member],
    ) -> Iterator[tuple[WorkerState, int]]:
        for member in members:
            worker = self.workers.get(member.worker)
            if worker is not None:
                self.touch(worker)
                yield worker, member.slots


__all__ = ('Allocation', 'Cluster', 'Rack', 'RackRoom', 'Room', 'WorkerState')
