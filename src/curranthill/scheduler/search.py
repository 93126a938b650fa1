"""Where a shape fits, and what the place leaves whole."""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from curranthill.configuration import ANYWHERE, ON_WORKER, Adjacency
from curranthill.jobs import Member
from curranthill.scheduler.cluster import (
    CapacityKind,
    Cluster,
    Rack,
    WorkerState,
)

#: Workers that a search may not use, by rack.
ExcludedWorkers = Mapping[str, frozenset[str]]
NONE_EXCLUDED: ExcludedWorkers = MappingProxyType({})

#: A price of using a worker, which goes before how well the shape fits.
Cost = Callable[[WorkerState], float]


def find_place(  # noqa: WPS211
    cluster: Cluster,
    slots: int,
    adjacent: Adjacency,
    kind: CapacityKind,
    *,
    excluded: ExcludedWorkers = NONE_EXCLUDED,
    cost: Cost | None = None,
) -> tuple[Member, ...] | None:
    """Return members for a shape, or nothing if it does not fit now.

    The place is chosen for what it leaves whole: the worker with the least
    room that is enough, in the rack with the least room; a gang larger than
    a worker takes whole workers of the fullest rack that holds it.

    :param room: which slots may be used.
    :param barred: workers that are kept for other jobs.
    :param price: goes before the fit, if given.
    """
    if not may_fit(cluster, slots, adjacent, kind):
        return None
    racks = [
        rack for name, rack in cluster.racks.items() if name not in excluded
    ]
    cost = cost or _no_cost
    racks_with_worker = [
        rack for rack in racks if rack.capacity(kind).max_on_worker >= slots
    ]
    if racks_with_worker:
        chosen = min(
            _best_worker(rack, slots, kind, cost) for rack in racks_with_worker
        )
        return (_member(cluster.workers[chosen[-1]], slots),)
    if adjacent == ON_WORKER:
        return None
    fitting = [rack for rack in racks if rack.capacity(kind).total >= slots]
    if fitting:
        rack = min(fitting, key=_rack_sort_key(kind, cost))
        return _spread(rack.workers, slots, kind, cost)
    total = sum(rack.capacity(kind).total for rack in racks)
    if adjacent != ANYWHERE or total < slots:
        return None
    all_workers = [worker for rack in racks for worker in rack.workers]
    return _spread(all_workers, slots, kind, cost)


def may_fit(
    cluster: Cluster,
    slots: int,
    adjacent: Adjacency,
    kind: CapacityKind,
) -> bool:
    """Return whether a shape fits if no rack is barred; cheap to ask."""
    most = cluster.max_capacity(kind)
    if most.max_on_worker >= slots:
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
            return _fill_in_order(workers, slots)
    return None


def _without(rack: Rack, excluded: frozenset[str]) -> Rack:
    """Return a rack as if some of its workers were not there."""
    rest = Rack(name=rack.name)
    rest.workers = [
        worker for worker in rack.workers if worker.name not in excluded
    ]
    return rest


def _best_worker(
    rack: Rack,
    slots: int,
    kind: CapacityKind,
    cost: Cost,
) -> tuple[float, int, int, str]:
    """Return the key of the rack's worker that fits best, its name last."""
    total = rack.capacity(kind).total
    return min(
        (cost(worker), worker.capacity(kind), total, worker.name)
        for worker in rack.workers
        if worker.capacity(kind) >= slots
    )


def _rack_sort_key(
    kind: CapacityKind,
    cost: Cost,
) -> Callable[[Rack], tuple[float, int, str]]:
    """Return what makes one rack better than another for a gang."""

    def sort_key(rack: Rack) -> tuple[float, int, str]:  # noqa: WPS430
        total_cost = sum(cost(worker) for worker in rack.workers)
        return (total_cost, rack.capacity(kind).total, rack.name)

    return sort_key


def _spread(
    workers: Iterable[WorkerState],
    slots: int,
    kind: CapacityKind,
    cost: Cost,
) -> tuple[Member, ...]:
    """Take the emptiest workers whole, the last part where it fits best.

    The caller has seen that there is room enough.
    """
    candidates = sorted(
        (cost(worker), -worker.capacity(kind), worker.name, worker)
        for worker in workers
    )
    members: list[Member] = []
    while candidates and -candidates[0][1] < slots:
        _, negative_slots, _, worker = candidates.pop(0)
        if negative_slots:
            members.append(_member(worker, -negative_slots))
            slots += negative_slots
    last = min(
        (worker_cost, -negative_slots, name, worker)
        for worker_cost, negative_slots, name, worker in candidates
        if -negative_slots >= slots
    )[-1]
    return (*members, _member(last, slots))


def _fill_in_order(
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


def _no_cost(worker: WorkerState) -> float:
    return 0


__all__ = (
    'NONE_EXCLUDED',
    'Cost',
    'ExcludedWorkers',
    'find_place',
    'first_fit',
    'may_fit',
)
