"""Placement by guarantee first, then by weighted fair share.

A pass is cheap when nothing fits. Waiting jobs are in subqueues by workspace
and shape; subqueues of one fit class (slots, adjacency, whether the work is
preemptible) fit or do not fit together, and whether a class fits is a
comparison with sums that the cluster caches. Only subqueues whose class fits
are ranked. The order of all subqueues, which decides for which gangs workers
are reserved, is computed only at an interval.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from curranthill.jobs import Job, Member
from curranthill.scheduler.cluster import CapacityKind, WorkerState
from curranthill.scheduler.policies import Policy, policies
from curranthill.scheduler.reservations import Reservations
from curranthill.scheduler.search import Cost, find_placement, may_fit
from curranthill.scheduler.state import (
    Decision,
    SchedulerState,
    ShapeKey,
    WaitingJob,
)
from curranthill.scheduler.victims import choose_victims, preemption_cost_on

#: The weight of ageing: a wait of its own run time moves a job forward as much
#: as borrowing this share of the cluster moves it back (at a weight of 1).
AGEING_WEIGHT: Final = 0.5

#: A run time below this does not make a job age faster, in seconds.
MIN_RUN_S: Final = 1.0

#: How long a job waits before workers are reserved for it, in run times of its
#: own.
RESERVE_AFTER_RUN_TIMES: Final = 4.0

#: Each preemption of a job doubles that wait, up to this many; further ones do
#: not, as their number is unbounded where guarantees leave no non-preemptible
#: capacity.
MAX_COUNTED_PREEMPTIONS: Final = 2

#: The interval at which the order of all subqueues is computed, in seconds.
RESERVE_INTERVAL_S: Final = 1.0


#: Capacity for borrowed work, in order of preference: outside planned
#: placements, then any that is free.
_BORROWED_KINDS: Final[tuple[CapacityKind, ...]] = ('both', 'free')


class _SearchKey(NamedTuple):
    """Search parameters; after a failure they are not tried again in a pass."""

    slots: int
    adjacent: str
    non_preemptible: bool
    blocking_jobs: frozenset[str]


class FairSharePolicy:
    """Places by guarantee, then by weighted fair share with ageing.

    :param preemptions: number of preemptions after which a job is placed as
        non-preemptible if the guarantees allow it.
    """

    def __init__(self, *, preemptions: int) -> None:
        """Initialize without reservations."""
        self._max_preemptions = preemptions
        self._reservations = Reservations()
        self._reservations_updated_s = float('-inf')

    def decide(self, state: SchedulerState, now_s: float) -> list[Decision]:
        """Place guaranteed work, then borrowed work."""
        decisions = self._place_guaranteed(state, now_s)
        if now_s - self._reservations_updated_s >= RESERVE_INTERVAL_S:
            self._reservations_updated_s = now_s
            self._update_reservations(state, now_s)
        decisions.extend(self._place_borrowed(state, now_s))
        return decisions

    def explain(
        self,
        state: SchedulerState,
        job_id: str,
        now_s: float,
    ) -> list[str]:
        """Return sentences on a job's guarantees and on what it waits for."""
        waiting = state.queue.get(job_id)
        if waiting is None:
            return []
        return _explanation(state, waiting, now_s)

    def _place_guaranteed(
        self,
        state: SchedulerState,
        now_s: float,
    ) -> list[Decision]:
        entitled_heads = [
            head
            for workspace_shape in state.plan.unused_shapes()
            for head in state.queue.heads_of_shape(*workspace_shape)
        ]
        decisions: list[Decision] = []
        for key, _ in sorted(entitled_heads, key=_waiting_since):
            decision = self._place_on_unit(state, key, now_s)
            while decision is not None:
                decisions.append(decision)
                decision = self._place_on_unit(state, key, now_s)
        return decisions

    def _place_on_unit(
        self,
        state: SchedulerState,
        key: ShapeKey,
        now_s: float,
    ) -> Decision | None:
        """Place a subqueue's head on a guarantee unit, preempting if needed."""
        waiting = state.queue.head(key)
        unit = state.plan.free_unit(key.workspace, key.shape)
        if waiting is None or unit is None:
            return None
        job = waiting.job
        planned = state.plan.unplan_for_search(unit)
        members = self._find_guaranteed(state, job, now_s)
        if members is None:
            state.plan.restore_plan(unit, planned)
            return None
        self._reservations.on_placed(job.job_id, members)
        return state.place(
            waiting,
            members,
            non_preemptible=True,
            now_s=now_s,
            reason='guarantee',
            unit=unit,
            victims=choose_victims(state, members, now_s),
        )

    def _find_guaranteed(
        self,
        state: SchedulerState,
        job: Job,
        now_s: float,
    ) -> tuple[Member, ...] | None:
        """Return free members, or else those that cost other jobs least."""
        members = find_placement(
            state.cluster,
            job.slots,
            job.adjacent,
            'both',
            cost=_failure_cost(job),
        )
        if members is None:
            members = find_placement(
                state.cluster,
                job.slots,
                job.adjacent,
                'free',
            )
            if members is not None and not state.plan.relocate_plans(members):
                members = None
        if members is not None:
            return members

        def cost(worker: WorkerState) -> float:  # noqa: WPS430
            return preemption_cost_on(state, worker, now_s)

        return find_placement(
            state.cluster,
            job.slots,
            job.adjacent,
            'open',
            cost=cost,
        )

    def _place_borrowed(
        self,
        state: SchedulerState,
        now_s: float,
    ) -> list[Decision]:
        decisions: list[Decision] = []
        fitting = [
            head
            for fit_class in state.queue.fit_classes()
            if may_fit(
                state.cluster,
                fit_class.slots,
                fit_class.adjacent,
                'free',
            )
            for head in state.queue.heads_of_fit_class(fit_class)
        ]
        failed: set[_SearchKey] = set()
        for key in self._ranked(state, fitting, now_s):
            decision = self._place_head(state, key, now_s, failed)
            while decision is not None:
                decisions.append(decision)
                decision = self._place_head(state, key, now_s, failed)
        return decisions

    def _ranked(
        self,
        state: SchedulerState,
        heads: Iterable[tuple[ShapeKey, WaitingJob]],
        now_s: float,
    ) -> list[ShapeKey]:
        """Return shape keys in the order in which to serve them."""
        total = max(1, state.cluster.slots)
        shares = {
            name: used / total / state.weights.get(name, 1)
            for name, used in state.borrowed.items()
        }
        ranked: list[tuple[float, float, ShapeKey]] = []
        for key, waiting in heads:
            if not state.may_borrow.get(key.workspace, True):
                continue
            run_s = max(state.run_time_s(waiting.job), MIN_RUN_S)
            age = (now_s - waiting.since_s) / run_s
            rank = shares.get(key.workspace, 0) - AGEING_WEIGHT * age
            ranked.append((rank, waiting.since_s, key))
        ranked.sort()
        return [key for _, _, key in ranked]

    def _place_head(
        self,
        state: SchedulerState,
        key: ShapeKey,
        now_s: float,
        failed: set[_SearchKey],
    ) -> Decision | None:
        """Place the head of one subqueue, if it fits now."""
        waiting = state.queue.head(key)
        if waiting is None:
            return None
        job = waiting.job
        if not may_fit(state.cluster, job.slots, job.adjacent, 'free'):
            return None
        blocking_jobs = self._reservations.blocking_jobs(state, job, now_s)
        for non_preemptible in self._allocation_modes(job):
            search_key = _SearchKey(
                job.slots,
                job.adjacent,
                non_preemptible,
                blocking_jobs,
            )
            if search_key in failed:
                continue
            members = self._find_borrowed(state, job, search_key)
            if members is None:
                failed.add(search_key)
                continue
            self._reservations.on_placed(job.job_id, members)
            return state.place(
                waiting,
                members,
                non_preemptible=non_preemptible,
                now_s=now_s,
                reason='borrowed, non-preemptible'
                if non_preemptible
                else 'borrowed',
            )
        return None

    def _allocation_modes(self, job: Job) -> tuple[bool, ...]:
        """Return whether to place a job as non-preemptible, in order of trial.

        A job that was preempted often is placed as non-preemptible if the
        guarantees allow it; otherwise it borrows as preemptible again rather
        than wait indefinitely.
        """
        if not job.preemptible:
            return (True,)
        if job.preemptions >= self._max_preemptions:
            return (True, False)
        return (False,)

    def _find_borrowed(
        self,
        state: SchedulerState,
        job: Job,
        search_key: _SearchKey,
    ) -> tuple[Member, ...] | None:
        """Return free members, preferably outside planned placements.

        For non-preemptible work overlapping plans are relocated.
        """
        excluded = self._reservations.reserved_workers(search_key.blocking_jobs)
        members: tuple[Member, ...] | None = None
        for kind in _BORROWED_KINDS:
            members = members or find_placement(
                state.cluster,
                job.slots,
                job.adjacent,
                kind,
                excluded=excluded,
                cost=_failure_cost(job),
            )
        if members is None or not search_key.non_preemptible:
            return members
        return members if state.plan.relocate_plans(members) else None

    def _update_reservations(self, state: SchedulerState, now_s: float) -> None:
        """Reserve workers for gangs that have waited long enough.

        The first in order get reservations, up to the maximum number.
        """
        self._reservations.clear(now_s)
        # A single slot fits wherever one is free and needs no reservation.
        gangs = [
            head
            for fit_class in state.queue.fit_classes()
            if fit_class.slots > 1
            for head in state.queue.heads_of_fit_class(fit_class)
        ]
        for key in self._ranked(state, gangs, now_s):
            waiting = state.queue.head(key)
            if self._reservations.full or waiting is None:
                return
            if now_s - waiting.since_s >= _reservation_delay_s(
                state,
                waiting.job,
            ):
                self._reservations.reserve_for(state, waiting.job, now_s)


@policies.register('guarantees')
def fair_share_policy(preemptions: int) -> Policy:
    """Return the policy of guarantees and weighted fair shares."""
    return FairSharePolicy(preemptions=preemptions)


def _reservation_delay_s(state: SchedulerState, job: Job) -> float:
    """Return how long a job waits before workers are reserved for it.

    Draining workers costs other jobs most if the gang takes most of the data
    centre, and is wasted if the gang is then preempted for a guarantee. A job
    that needs a large share of the slots therefore waits longer, and each of
    its first preemptions doubles the wait.
    """
    run_s = max(state.run_time_s(job), MIN_RUN_S)
    share = job.slots / max(1, state.cluster.slots)
    preemptions = min(job.preemptions, MAX_COUNTED_PREEMPTIONS)
    return (
        RESERVE_AFTER_RUN_TIMES * run_s * max(1, 4 * share) * 2.0**preemptions
    )


def _failure_cost(job: Job) -> Cost | None:
    """Return a cost that avoids the workers on which a job failed."""
    failed_on = frozenset(job.failed_on)
    if not failed_on:
        return None

    def cost(worker: WorkerState) -> float:  # noqa: WPS430
        return float(worker.name in failed_on)

    return cost


def _waiting_since(head: tuple[ShapeKey, WaitingJob]) -> float:
    return head[1].since_s


def _explanation(
    state: SchedulerState,
    waiting: WaitingJob,
    now_s: float,
) -> list[str]:
    job = waiting.job
    lines = [
        f'{job.job_id} of {job.workspace} has waited'
        f' {now_s - waiting.since_s:.1f} s for {job.slots} accelerators'
        f' ({job.adjacent}).',
    ]
    units = state.plan.units_of(job.workspace, job.shape)
    if not units:
        lines.append('Its workspace holds no guarantee of this shape here.')
    for unit in units:
        if unit.job_id:
            lines.append(f'{unit.unit_id} is in use by {unit.job_id}.')
        elif unit.at_risk:
            lines.append(f'{unit.unit_id} is at risk: no workers can hold it.')
    if not state.may_borrow.get(job.workspace, True):
        lines.append('Its workspace may not borrow.')
    free = sum(worker.free for worker in state.cluster.workers.values())
    largest = state.cluster.max_capacity('free')
    lines.append(
        f'{free} accelerators are free, at most'
        f' {largest.max_on_worker} on one worker'
        f' and {largest.total} in one rack; {len(state.queue)} jobs wait.',
    )
    return lines


__all__ = ('FairSharePolicy', 'fair_share_policy')
