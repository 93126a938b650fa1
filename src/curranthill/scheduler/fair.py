"""The real policy: guarantees first, then fair shares of what is left.

A pass costs little when nothing fits. Waiting jobs stand in lines of one
workspace and shape; lines of one form (slots, adjacency, whether the work
may be stopped) fit or do not fit together, and whether a form fits is a
comparison with sums that the cluster keeps. Only lines whose form fits are
ranked. The order of all lines, which says for whom racks are kept, is looked
at now and then.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from curranthill.jobs import Job, Member
from curranthill.scheduler.cluster import CapacityKind, WorkerState
from curranthill.scheduler.policies import Policy, policies
from curranthill.scheduler.reservations import Reservations
from curranthill.scheduler.search import Cost, find_place, may_fit
from curranthill.scheduler.state import (
    Decision,
    SchedulerState,
    ShapeKey,
    WaitingJob,
)
from curranthill.scheduler.victims import choose_victims, lost_work_on

#: How much waiting once its own run time moves a job against usage that
#: equals the whole cluster.
AGEING_WEIGHT: Final = 0.5

#: A run time below this does not make a job age faster, in seconds.
MIN_RUN_S: Final = 1.0

#: How long a job waits, in run times of its own, before workers are kept
#: for it.
RESERVE_AFTER_RUN_TIMES: Final = 4.0

#: So many stops double that wait, later ones do not: how often a job is
#: stopped has no bound where promises leave no place to stay.
MAX_COUNTED_PREEMPTIONS: Final = 2

#: How often the order of all lines is looked at, in seconds.
RESERVE_INTERVAL_S: Final = 1.0


#: Where borrowed work looks, in order: off the promises, then anywhere.
_BORROWED_KINDS: Final[tuple[CapacityKind, ...]] = ('both', 'free')


class _SearchKey(NamedTuple):
    """What made a search fail: the next one like it fails, too."""

    slots: int
    adjacent: str
    non_preemptible: bool
    blocking_jobs: frozenset[str]


class FairSharePolicy:
    """Place by promise, then by weighted fair share with ageing.

    :param preemptions: after so many, a job may not be stopped again.
    """

    def __init__(self, *, preemptions: int) -> None:
        """Keep the bound; no rack is kept yet."""
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
        """Say what a job is entitled to and what it waits for."""
        waiting = state.queue.get(job_id)
        if waiting is None:
            return []
        return _explanation(state, waiting, now_s)

    def _place_guaranteed(
        self,
        state: SchedulerState,
        now_s: float,
    ) -> list[Decision]:
        entitled = [
            head
            for workspace_shape in state.plan.unused_shapes()
            for head in state.queue.heads_of_shape(*workspace_shape)
        ]
        decisions: list[Decision] = []
        for key, _ in sorted(entitled, key=_waiting_since):
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
        """Give a workspace one guaranteed shape, from others if need be."""
        waiting = state.queue.head(key)
        unit = state.plan.free_unit(key.workspace, key.shape)
        if waiting is None or unit is None:
            return None
        job = waiting.job
        planned = state.plan.unplan_for_search(unit)
        place = self._find_guaranteed(state, job, now_s)
        if place is None:
            state.plan.restore_plan(unit, planned)
            return None
        self._reservations.on_placed(job.job_id, place)
        return state.place(
            waiting,
            place,
            non_preemptible=True,
            now_s=now_s,
            reason='guarantee',
            unit=unit,
            victims=choose_victims(state, place, now_s),
        )

    def _find_guaranteed(
        self,
        state: SchedulerState,
        job: Job,
        now_s: float,
    ) -> tuple[Member, ...] | None:
        """Return a free place, else the one that costs others least."""
        place = find_place(
            state.cluster,
            job.slots,
            job.adjacent,
            'both',
            cost=_failure_cost(job),
        )
        if place is None:
            place = find_place(state.cluster, job.slots, job.adjacent, 'free')
            if place is not None and not state.plan.relocate_plans(place):
                place = None
        if place is not None:
            return place

        def cost(worker: WorkerState) -> float:  # noqa: WPS430
            return lost_work_on(state, worker, now_s)

        return find_place(
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
                state.cluster, fit_class.slots, fit_class.adjacent, 'free'
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
        """Return lines, the one that should be served first first."""
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
        """Place the head of one line, if it fits now."""
        waiting = state.queue.head(key)
        if waiting is None:
            return None
        job = waiting.job
        if not may_fit(state.cluster, job.slots, job.adjacent, 'free'):
            return None
        blocking_jobs = self._reservations.blocking_jobs(state, job, now_s)
        for non_preemptible in self._allocation_modes(job):
            search_key = _SearchKey(
                job.slots, job.adjacent, non_preemptible, blocking_jobs
            )
            if search_key in failed:
                continue
            place = self._find_borrowed(state, job, search_key)
            if place is None:
                failed.add(search_key)
                continue
            self._reservations.on_placed(job.job_id, place)
            return state.place(
                waiting,
                place,
                non_preemptible=non_preemptible,
                now_s=now_s,
                reason='borrowed, to stay' if non_preemptible else 'borrowed',
            )
        return None

    def _allocation_modes(self, job: Job) -> tuple[bool, ...]:
        """Return whether to place a job hard or soft, in order of trial.

        One that was stopped often is placed to stay if the promises allow
        it; if not, it borrows again rather than wait for ever.
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
        """Find a place off the promises, else one that they can spare."""
        excluded = self._reservations.reserved_workers(search_key.blocking_jobs)
        place: tuple[Member, ...] | None = None
        for kind in _BORROWED_KINDS:
            place = place or find_place(
                state.cluster,
                job.slots,
                job.adjacent,
                kind,
                excluded=excluded,
                cost=_failure_cost(job),
            )
        if place is None or not search_key.non_preemptible:
            return place
        return place if state.plan.relocate_plans(place) else None

    def _update_reservations(self, state: SchedulerState, now_s: float) -> None:
        """Keep workers for those who are first in order and do not fit."""
        self._reservations.clear(now_s)
        # A single slot fits wherever one is free: nothing is kept for it.
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
                state, waiting.job
            ):
                self._reservations.reserve_for(state, waiting.job, now_s)


@policies.register('guarantees')
def fair_share_policy(preemptions: int) -> Policy:
    """Return the real policy."""
    return FairSharePolicy(preemptions=preemptions)


def _reservation_delay_s(state: SchedulerState, job: Job) -> float:
    """Return how long a job waits before workers are kept for it.

    Draining costs others most where a gang takes most of the data centre,
    and is lost where the gang is then stopped for a guarantee: so a large
    part waits longer, and each of the first stops doubles the wait.
    """
    run_s = max(state.run_time_s(job), MIN_RUN_S)
    share = job.slots / max(1, state.cluster.slots)
    preemptions = min(job.preemptions, MAX_COUNTED_PREEMPTIONS)
    return (
        RESERVE_AFTER_RUN_TIMES * run_s * max(1, 4 * share) * 2.0**preemptions
    )


def _failure_cost(job: Job) -> Cost | None:
    """Return a price that keeps a job off the workers that it failed on."""
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
            lines.append(f'{unit.unit_id} is at risk: no place holds it.')
    if not state.may_borrow.get(job.workspace, True):
        lines.append('Its workspace may not borrow.')
    free = sum(worker.free for worker in state.cluster.workers.values())
    largest = state.cluster.max_capacity('free')
    lines.append(
        f'{free} accelerators are free, at most {largest.max_on_worker} on one worker'
        f' and {largest.total} in one rack; {len(state.queue)} jobs wait.',
    )
    return lines


__all__ = ('FairSharePolicy', 'fair_share_policy')
