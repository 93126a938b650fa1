"""Search for workers on which a shape fits, with little fragmentation."""

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

#: Workers that are excluded from a search, by rack.
ExcludedWorkers = Mapping[str, frozenset[str]]
NONE_EXCLUDED: ExcludedWorkers = MappingProxyType({})

#: The cost of using a worker; it is compared before how well the shape fits.
Cost = Callable[[WorkerState], float]


def find_placement(  # noqa: WPS211
    cluster: Cluster,
    slots: int,
    adjacent: Adjacency,
    kind: CapacityKind,
    *,
    excluded: ExcludedWorkers = NONE_EXCLUDED,
    cost: Cost | None = None,
) -> tuple[Member, ...] | None:
    """Return members for a shape, or nothing if it does not fit now.

    Best fit, to limit fragmentation: the worker with the least sufficient
    capacity and, among equal ones, the one whose rack has the least. A gang
    larger than any worker takes whole workers of the fullest rack that holds
    it.

    :param kind: which slots may be used.
    :param excluded: workers reserved for other jobs; their racks are not
        used at all.
    :param cost: compared before the fit, if given.
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
    """Return whether a shape may fit without exclusions, from cached sums."""
    largest = cluster.max_capacity(kind)
    if largest.max_on_worker >= slots:
        return True
    if adjacent == ON_WORKER:
        return False
    return adjacent == ANYWHERE or largest.total >= slots


def first_fit(
    cluster: Cluster,
    slots: int,
    adjacent: Adjacency,
) -> tuple[Member, ...] | None:
    """Return the first members that hold a shape, in order of addition."""
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
    """Return a copy of a rack without the excluded workers."""
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
    """Return the sort key of the best fitting worker, its name last."""
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
    """Return the sort key by which a rack is chosen for a gang."""

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
    """Take the emptiest workers whole and the rest by best fit.

    The caller ensures that the workers have enough capacity.
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
    'find_placement',
    'first_fit',
    'may_fit',
)
