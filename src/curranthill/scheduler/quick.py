"""Slots reserved for quick work, and the gateways' shares of connections."""

import math
from typing import Final, NamedTuple

from curranthill.clock import Clock
from curranthill.jobs import Member
from curranthill.scheduler.cluster import WorkerState
from curranthill.scheduler.state import SchedulerState
from curranthill.scheduler.victims import choose_victims

#: Slots reserved for each request that was in flight at the peak.
HEADROOM_FACTOR: Final = 1.25

#: How long a peak of demand is kept when lower ones are reported, in seconds;
#: it counts for twice as long if its gateway reports nothing more.
DEMAND_WINDOW_S: Final = 30.0

#: The maximum share of a data centre's slots that is reserved for quick work.
MAX_SHARE: Final = 0.5

#: How long before the release of the reserve gateways are notified, in seconds;
#: longer than the interval of their reports.
RELEASE_NOTICE_S: Final = 1.5

#: How long a grant of connections is valid, in seconds.
GRANT_TERM_S: Final = 5.0


class Demand(NamedTuple):
    """One gateway's peak of requests in flight."""

    peak: int
    at_s: float


class QuickReserve:
    """Reserves slots for quick work according to its measured demand.

    The slots are concentrated on few workers, to leave whole workers to gangs;
    the reserve grows and shrinks on the same workers first.
    """

    def __init__(
        self,
        *,
        state: SchedulerState,
        clock: Clock,
        min_slots: int,
    ) -> None:
        """Initialize without demand, for which ``min_slots`` are reserved."""
        self._state = state
        self._clock = clock
        self.min_slots = min_slots
        self._demands: dict[str, Demand] = {}
        self._yielding_since_s: float | None = None

    def record_demand(self, gateway: str, max_in_flight: int) -> None:
        """Record a gateway's peak since its last report."""
        now_s = self._clock.monotonic_s()
        last = self._demands.get(gateway)
        if last and now_s - last.at_s < DEMAND_WINDOW_S:
            if last.peak > max_in_flight:
                return
        self._demands[gateway] = Demand(peak=max_in_flight, at_s=now_s)

    def wanted(self) -> int:
        """Return how many slots should be reserved now."""
        now_s = self._clock.monotonic_s()
        since_s = self._yielding_since_s
        if since_s is not None and now_s - since_s >= RELEASE_NOTICE_S:
            return 0
        peak = sum(
            demand.peak
            for demand in self._demands.values()
            if now_s - demand.at_s < 2 * DEMAND_WINDOW_S
        )
        workers = self._state.cluster.workers.values()
        total = sum(worker.slots for worker in workers if worker.usable)
        wanted = max(self.min_slots, math.ceil(peak * HEADROOM_FACTOR))
        return min(wanted, int(total * MAX_SHARE))

    def adjust(self) -> tuple[str, ...]:
        """Grow or shrink the reserve; return the jobs to preempt."""
        held = sum(
            worker.quick for worker in self._state.cluster.workers.values()
        )
        wanted = self.wanted()
        if wanted < held:
            self._shrink(held - wanted)
            self._state.plan.repair()
            return ()
        if wanted > held:
            return self._grow(wanted - held)
        return ()

    def set_yielding(self, *, yielding: bool) -> None:
        """Start or stop yielding the reserve to a gang as large as a rack.

        Gateways are directed elsewhere at once; the slots are released only
        after the notice, when all gateways should have received it.
        """
        if not yielding:
            self._yielding_since_s = None
        elif self._yielding_since_s is None:
            self._yielding_since_s = self._clock.monotonic_s()

    def workers(self) -> list[WorkerState]:
        """Return the workers to which gateways may send quick work."""
        return self._quick_workers() if self._yielding_since_s is None else []

    def _quick_workers(self) -> list[WorkerState]:
        return [
            worker
            for worker in self._state.cluster.workers.values()
            if worker.quick and worker.usable
        ]

    def _shrink(self, surplus: int) -> None:
        for worker in sorted(self._quick_workers(), key=_by_fewest_quick):
            released = min(surplus, worker.quick)
            self._state.cluster.reserve_quick(worker, -released)
            surplus -= released

    def _grow(self, missing: int) -> tuple[str, ...]:
        victims: list[str] = []
        for worker in sorted(
            self._state.cluster.workers.values(),
            key=_growth_order,
        ):
            if missing <= 0:
                break
            added = min(missing, worker.open)
            if added > 0:
                victims.extend(self._reserve_on(worker, added))
                missing -= added
        return tuple(victims)

    def _reserve_on(self, worker: WorkerState, slots: int) -> tuple[str, ...]:
        """Reserve slots on a worker; return the jobs preempted for them."""
        member = Member(
            worker=worker.name,
            address=worker.address,
            slots=slots,
        )
        victims: tuple[str, ...] = ()
        if worker.free < slots:
            victims = choose_victims(
                self._state,
                (member,),
                self._clock.monotonic_s(),
            )
            for victim in victims:
                self._state.release(victim)
        self._state.cluster.reserve_quick(worker, slots)
        return victims


class Grant(NamedTuple):
    """Connections that a gateway may hold to each worker until a time."""

    amount: int
    until_s: float


class ConnectionGrants:
    """Divides a worker's connections so that the sum never exceeds its limit.

    Half of the connections is split among the maximum number of gateways of a
    data centre; each gateway may always use its share. The other half is
    granted for short terms to the gateways that are present. A grant counts
    until it expires, whatever its gateway has received since.

    :param pool: connections of one worker that are granted.
    """

    def __init__(self, *, clock: Clock, pool: int) -> None:
        """Initialize without grants.

        None are made for one term: a previous leader's may still be valid.
        """
        self._clock = clock
        self._pool = pool
        self._grants: dict[str, list[Grant]] = {}
        self._grants_from_s = clock.monotonic_s() + GRANT_TERM_S

    def grant(self, gateway: str, gateways: int, lease_left_s: float) -> Grant:
        """Return the connections granted to a gateway beyond its fixed share.

        :param gateways: the number of gateways that are present now.
        :param lease_left_s: how long this scheduler is sure to lead, in
            seconds; no grant outlives it.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._grants_from_s or lease_left_s <= 0:
            return Grant(amount=0, until_s=now_s)
        holders = {
            name for name in self._grants if self._unexpired(name, now_s)
        }
        sharers = max(1, gateways, len(holders | {gateway}))
        wanted = self._pool // sharers
        left = self._pool - self._held_by_others(gateway, now_s)
        grant = Grant(
            amount=max(0, min(wanted, left)),
            until_s=now_s + min(GRANT_TERM_S, lease_left_s),
        )
        unexpired = self._unexpired(gateway, now_s)
        self._grants[gateway] = [*unexpired, grant]
        return grant

    def _held_by_others(self, gateway: str, now_s: float) -> int:
        return sum(
            max(
                (grant.amount for grant in self._unexpired(name, now_s)),
                default=0,
            )
            for name in self._grants
            if name != gateway
        )

    def _unexpired(self, gateway: str, now_s: float) -> list[Grant]:
        grants = self._grants.get(gateway, ())
        return [grant for grant in grants if grant.until_s > now_s]


def fixed_share(connections: int, gateways: int) -> int:
    """Return the connections that each gateway may always use."""
    return connections // 2 // gateways


def granted_pool(connections: int, gateways: int) -> int:
    """Return the connections that remain to be granted."""
    return connections - gateways * fixed_share(connections, gateways)


def _by_fewest_quick(worker: WorkerState) -> tuple[int, str]:
    return (worker.quick, worker.name)


def _growth_order(worker: WorkerState) -> tuple[bool, int, int, str]:
    """Prefer workers with quick slots, few planned slots, many open slots."""
    return (worker.quick == 0, worker.planned, -worker.open, worker.name)


__all__ = (
    'GRANT_TERM_S',
    'ConnectionGrants',
    'Grant',
    'QuickReserve',
    'fixed_share',
    'granted_pool',
)
