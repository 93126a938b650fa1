"""Where a shape fits, and what the place leaves whole."""

from collections.abc import Callable, Iterable

from curranthill.configuration import ANYWHERE, ON_WORKER, Adjacency
from curranthill.jobs import Member
from curranthill.scheduler.cluster import Cluster, Room, WorkerState

#: Racks that a search may not use.
Barred = frozenset[str]
NO_RACKS: Barred = frozenset()

_Cost = Callable[[WorkerState], float]


def find_place(  # noqa: WPS211
    cluster: Cluster,
    slots: int,
    adjacent: Adjacency,
    room: Room,
    *,
    barred: Barred = NO_RACKS,
    cost: _Cost | None = None,
) -> tuple[Member, ...] | None:
    """Return members for a shape, or nothing if it does not fit now.

    The place is chosen for what it leaves whole: the worker with the least
    room that is enough, in the rack with the least room; a gang larger than
    a worker takes whole workers of the fullest rack that holds it.

    :param room: which slots may be used.
    :param barred: racks that are kept for another job.
    :param cost: a price a worker that goes before the fit, if given.
    """
    racks = {
        name: workers
        for name, workers in cluster.racks.items()
        if name not in barred
    }
    rooms = {
        name: sum(worker.room(room) for worker in workers)
        for name, workers in racks.items()
    }
    single = _best_worker(racks.values(), rooms, slots, room, cost)
    if single is not None:
        return (_member(single, slots),)
    if adjacent == ON_WORKER:
        return None
    fitting = [name for name in racks if rooms[name] >= slots]
    if fitting:
        if cost is None:
            name = min(fitting, key=lambda rack: (rooms[rack], rack))
        else:
            price = cost
            name = min(
                fitting,
                key=lambda rack: (
                    sum(price(worker) for worker in racks[rack]),
                    rooms[rack],
                    rack,
                ),
            )
        return _spread(racks[name], slots, room, cost)
    if adjacent != ANYWHERE or sum(rooms.values()) < slots:
        return None
    everywhere = [worker for workers in racks.values() for worker in workers]
    return _spread(everywhere, slots, room, cost)


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
            return _take_in_order(workers, slots, 'free')
    return None


def _best_worker(
    groups: Iterable[list[WorkerState]],
    rooms: dict[str, int],
    slots: int,
    room: Room,
    cost: _Cost | None,
) -> WorkerState | None:
    best: WorkerState | None = None
    best_key: tuple[float, int, int, str] | None = None
    for workers in groups:
        for worker in workers:
            has = worker.room(room)
            if has < slots:
                continue
            price = cost(worker) if cost else 0
            key = (price, has, rooms[worker.rack], worker.name)
            if best_key is None or key < best_key:
                best, best_key = worker, key
    return best


def _spread(
    workers: list[WorkerState],
    slots: int,
    room: Room,
    cost: _Cost | None,
) -> tuple[Member, ...]:
    """Take the emptiest workers whole, the last part where it fits best."""
    price = cost or _free_of_charge
    order = sorted(
        workers,
        key=lambda worker: (price(worker), -worker.room(room), worker.name),
    )
    members: list[Member] = []
    left = slots
    for position, worker in enumerate(order):
        has = worker.room(room)
        if has >= left:
            rest = [
                late for late in order[position:] if late.room(room) >= left
            ]
            fitting = min(
                rest,
                key=lambda late: (price(late), late.room(room), late.name),
            )
            members.append(_member(fitting, left))
            return tuple(members)
        if has > 0:
            members.append(_member(worker, has))
            left -= has
    raise AssertionError('the caller has checked that the room is enough')


def _take_in_order(
    workers: Iterable[WorkerState],
    slots: int,
    room: Room,
) -> tuple[Member, ...]:
    members: list[Member] = []
    left = slots
    for worker in workers:
        taken = min(left, worker.room(room))
        if taken > 0:
            members.append(_member(worker, taken))
            left -= taken
        if left == 0:
            break
    return tuple(members)


def _member(worker: WorkerState, slots: int) -> Member:
    return Member(worker=worker.name, address=worker.address, slots=slots)


def _free_of_charge(worker: WorkerState) -> float:
    return 0


__all__ = ('NO_RACKS', 'Barred', 'find_place', 'first_fit')
