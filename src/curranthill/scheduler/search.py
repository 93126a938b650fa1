"""Where a shape fits, and what the place leaves whole."""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from curranthill.configuration import ANYWHERE, ON_WORKER, Adjacency
from curranthill.jobs import Member
from curranthill.scheduler.cluster import Cluster, Rack, Room, WorkerState

#: Workers that a search may not use, by rack.
Barred = Mapping[str, frozenset[str]]
NOBODY: Barred = MappingProxyType({})

#: A price of using a worker, which goes before how well the shape fits.
Price = Callable[[WorkerState], float]


def find_place(  # noqa: WPS211
    cluster: Cluster,
    slots: int,
    adjacent: Adjacency,
    room: Room,
    *,
    barred: Barred = NOBODY,
    price: Price | None = None,
) -> tuple[Member, ...] | None:
    """Return members for a shape, or nothing if it does not fit now.

    The place is chosen for what it leaves whole: the worker with the least
    room that is enough, in the rack with the least room; a gang larger than
    a worker takes whole workers of the fullest rack that holds it.

    :param room: which slots may be used.
    :param barred: workers that are kept for other jobs.
    :param price: goes before the fit, if given.
    """
    if not may_fit(cluster, slots, adjacent, room):
        return None
    racks = [rack for name, rack in cluster.racks.items() if name not in barred]
    price = price or _free_of_charge
    wide = [rack for rack in racks if rack.room(room).widest >= slots]
    if wide:
        chosen = min(_best_worker(rack, slots, room, price) for rack in wide)
        return (_member(cluster.workers[chosen[-1]], slots),)
    if adjacent == ON_WORKER:
        return None
    fitting = [rack for rack in racks if rack.room(room).total >= slots]
    if fitting:
        rack = min(fitting, key=_rack_order(room, price))
        return _spread(rack.workers, slots, room, price)
    total = sum(rack.room(room).total for rack in racks)
    if adjacent != ANYWHERE or total < slots:
        return None
    everywhere = [worker for rack in racks for worker in rack.workers]
    return _spread(everywhere, slots, room, price)


def may_fit(
    cluster: Cluster,
    slots: int,
    adjacent: Adjacency,
    room: Room,
) -> bool:
    """Return whether a shape fits if no rack is barred; cheap to ask."""
    most = cluster.most(room)
    if most.widest >= slots:
        return True
    if adjacent == ON_WORKER:
        return False
    return adjacent == ANYWHERE or most.total >= slots


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
    groups = [rack.workers for rack in cluster.racks.values()]
    if adjacent == ANYWHERE:
        groups.append(list(cluster.workers.values()))
    for workers in groups:
        if sum(worker.free for worker in workers) >= slots:
            return _take_in_order(workers, slots)
    return None


def _without(rack: Rack, barred: frozenset[str]) -> Rack:
    """Return a rack as if some of its workers were not there."""
    rest = Rack(name=rack.name)
    rest.workers = [
        worker for worker in rack.workers if worker.name not in barred
    ]
    return rest


def _best_worker(
    rack: Rack,
    slots: int,
    room: Room,
    price: Price,
) -> tuple[float, int, int, str]:
    """Return the key of the rack's worker that fits best, its name last."""
    total = rack.room(room).total
    return min(
        (price(worker), worker.room(room), total, worker.name)
        for worker in rack.workers
        if worker.room(room) >= slots
    )


def _rack_order(
    room: Room,
    price: Price,
) -> Callable[[Rack], tuple[float, int, str]]:
    """Return what makes one rack better than another for a gang."""

    def order(rack: Rack) -> tuple[float, int, str]:  # noqa: WPS430
        total_price = sum(price(worker) for worker in rack.workers)
        return (total_price, rack.room(room).total, rack.name)

    return order


def _spread(
    workers: Iterable[WorkerState],
    slots: int,
    room: Room,
    price: Price,
) -> tuple[Member, ...]:
    """Take the emptiest workers whole, the last part where it fits best.

    The caller has seen that there is room enough.
    """
    rooms = sorted(
        (price(worker), -worker.room(room), worker.name, worker)
        for worker in workers
    )
    members: list[Member] = []
    while rooms and -rooms[0][1] < slots:
        _, less, _, worker = rooms.pop(0)
        if less:
            members.append(_member(worker, -less))
            slots += less
    last = min(
        (cost, -less, name, worker)
        for cost, less, name, worker in rooms
        if -less >= slots
    )[-1]
    return (*members, _member(last, slots))


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


__all__ = (
    'NOBODY',
    'Barred',
    'Price',
    'find_place',
    'first_fit',
    'may_fit',
)
