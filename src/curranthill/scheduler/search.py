"""Where a shape fits, and what the place leaves whole."""

from collections.abc import Callable, Iterable, Sequence

from curranthill.configuration import ANYWHERE, ON_WORKER, Adjacency
from curranthill.jobs import Member
from curranthill.scheduler.cluster import Cluster, Room, WorkerState

#: Racks that a search may not use.
Barred = frozenset[str]
NO_RACKS: Barred = frozenset()

#: A price of using a worker, which goes before how well the shape fits.
Price = Callable[[WorkerState], float]


def find_place(  # noqa: WPS211
    cluster: Cluster,
    slots: int,
    adjacent: Adjacency,
    room: Room,
    *,
    barred: Barred = NO_RACKS,
    price: Price | None = None,
) -> tuple[Member, ...] | None:
    """Return members for a shape, or nothing if it does not fit now.

    The place is chosen for what it leaves whole: the worker with the least
    room that is enough, in the rack with the least room; a gang larger than
    a worker takes whole workers of the fullest rack that holds it.

    :param room: which slots may be used.
    :param barred: racks that are kept for another job.
    :param price: goes before the fit, if given.
    """
    racks = [
        _Rack(workers, room, price or _free_of_charge)
        for name, workers in cluster.racks.items()
        if name not in barred
    ]
    single = min(
        (rack.best_worker(slots) for rack in racks if rack.widest >= slots),
        default=None,
    )
    if single is not None:
        return (_member(cluster.workers[single[-1]], slots),)
    if adjacent == ON_WORKER:
        return None
    fitting = [rack for rack in racks if rack.total >= slots]
    if fitting:
        return min(fitting, key=_Rack.order).spread(slots)
    if adjacent != ANYWHERE or sum(rack.total for rack in racks) < slots:
        return None
    everywhere = [worker for rack in racks for worker in rack.workers]
    return _Rack(everywhere, room, price or _free_of_charge).spread(slots)


def first_fit(
    cluster: Cluster,
    slots: int,
    adjacent: Adjacency,
) -> tuple[Member, ...] | None:
    """Return the first members in the order of names that hold a shape."""
    for worker in cluster.workers.values():
        if worker.free >= slots:
            return (_member(worker, slots),)
    if adjacent == ON_WORKER:
        return None
    groups = list(cluster.racks.values())
    if adjacent == ANYWHERE:
        groups.append(list(cluster.workers.values()))
    for workers in groups:
        if sum(worker.free for worker in workers) >= slots:
            return _take_in_order(workers, slots)
    return None


class _Rack:
    """One rack during one search."""

    def __init__(
        self,
        workers: Sequence[WorkerState],
        room: Room,
        price: Price,
    ) -> None:
        self.workers = workers
        self.rooms = [worker.room(room) for worker in workers]
        self.total = sum(self.rooms)
        self.widest = max(self.rooms, default=0)
        self._price = price

    def best_worker(self, slots: int) -> tuple[float, int, int, str]:
        """Return the key of the worker that fits best; its name is last."""
        return min(
            (self._price(worker), has, self.total, worker.name)
            for worker, has in zip(self.workers, self.rooms, strict=True)
            if has >= slots
        )

    def order(self) -> tuple[float, int, str]:
        """Return what makes this rack better than another for a gang."""
        price = sum(self._price(worker) for worker in self.workers)
        return (price, self.total, self.workers[0].rack)

    def spread(self, slots: int) -> tuple[Member, ...]:
        """Take the emptiest workers whole, the last part where it fits best.

        The caller has seen that the rack has room enough.
        """
        rooms = sorted(
            zip(self.workers, self.rooms, strict=True),
            key=self._emptiest_first,
        )
        members: list[Member] = []
        while rooms and rooms[0][1] < slots:
            worker, has = rooms.pop(0)
            if has:
                members.append(_member(worker, has))
                slots -= has
        last = min(
            (self._price(worker), has, worker.name, worker)
            for worker, has in rooms
            if has >= slots
        )[-1]
        return (*members, _member(last, slots))

    def _emptiest_first(
        self,
        entry: tuple[WorkerState, int],
    ) -> tuple[float, int, str]:
        worker, has = entry
        return (self._price(worker), -has, worker.name)


def _take_in_order(
    workers: Iterable[WorkerState],
    slots: int,
) -> tuple[Member, ...]:
    members: list[Member] = []
    for worker in workers:
        taken = min(slots, worker.free)
        if taken > 0:
            members.append(_member(worker, taken))
            slots -= taken
    return tuple(members)


def _member(worker: WorkerState, slots: int) -> Member:
    return Member(worker=worker.name, address=worker.address, slots=slots)


def _free_of_charge(worker: WorkerState) -> float:
    return 0


__all__ = ('NO_RACKS', 'Barred', 'Price', 'find_place', 'first_fit')
