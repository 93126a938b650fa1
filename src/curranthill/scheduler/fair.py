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
from curranthill.scheduler.cluster import Room, WorkerState
from curranthill.scheduler.policies import Policy, policies
from curranthill.scheduler.reservations import Reservations
from curranthill.scheduler.search import Price, find_place, may_fit
from curranthill.scheduler.state import (
    Decision,
    SchedulerState,
    ShapeKey,
    WaitingJob,
)
from curranthill.scheduler.victims import choose_victims, lost_work_on

#: How much waiting once its own run time moves a job against usage that
#: equals the whole cluster.
AGEING: Final = 0.5

#: A run time below this does not make a job age faster, in seconds.
LEAST_RUN_S: Final = 1.0

#: How long a job waits, in run times of its own, before workers are kept
#: for it.
PATIENCE: Final = 4.0

#: So many stops double that wait, later ones do not: how often a job is
#: stopped has no bound where promises leave no place to stay.
STOPS_COUNTED: Final = 2

#: How often the order of all lines is looked at, in seconds.
REVIEW_S: Final = 1.0


#: Where borrowed work looks, in order: off the promises, then anywhere.
_ROOMS: Final[tuple[Room, ...]] = ('both', 'free')


class _Trial(NamedTuple):
    """What made a search fail: the next one like it fails, too."""

    slots: int
    adjacent: str
    hard: bool
    before: frozenset[str]


class Guarantees:
    """Place by promise, then by weighted fair share with ageing.

    :param preemptions: after so many, a job may not be stopped again.
    """

    def __init__(self, *, preemptions: int) -> None:
        """Keep the bound; no rack is kept yet."""
        self._preemptions = preemptions
        self._reservations = Reservations()
        self._reviewed_s = float('-inf')

    def decide(self, state: SchedulerState, now_s: float) -> list[Decision]:
        """Place guaranteed work, then borrowed work."""
        decisions = self._place_guaranteed(state, now_s)
        if now_s - self._reviewed_s >= REVIEW_S:
            self._reviewed_s = now_s
            self._review(state, now_s)
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
            for pair in state.plan.unused_pairs()
            for head in state.queue.heads_of_pair(*pair)
        ]
        decisions: list[Decision] = []
        for key, _ in sorted(entitled, key=_head_age):
            decision = self._restore(state, key, now_s)
            while decision is not None:
                decisions.append(decision)
                decision = self._restore(state, key, now_s)
        return decisions

    def _restore(
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
        place = self._restored_place(state, job, now_s)
        if place is None:
            state.plan.put_back(unit, planned)
            return None
        self._reservations.started(job.job_id, place)
        return state.place(
            waiting,
            place,
            hard=True,
            now_s=now_s,
            reason='guarantee',
            unit=unit,
            victims=choose_victims(state, place, now_s),
        )

    def _restored_place(
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
            price=_failure_price(job),
        )
        if place is None:
            place = find_place(state.cluster, job.slots, job.adjacent, 'free')
            if place is not None and not state.plan.make_way(place):
                place = None
        if place is not None:
            return place

        def price(worker: WorkerState) -> float:  # noqa: WPS430
            return lost_work_on(state, worker, now_s)

        return find_place(
            state.cluster,
            job.slots,
            job.adjacent,
            'open',
            price=price,
        )

    def _place_borrowed(
        self,
        state: SchedulerState,
        now_s: float,
    ) -> list[Decision]:
        decisions: list[Decision] = []
        fitting = [
            head
            for form in state.queue.forms()
            if may_fit(state.cluster, form.slots, form.adjacent, 'free')
            for head in state.queue.heads_of_form(form)
        ]
        failed: set[_Trial] = set()
        for key in self._ranked(state, fitting, now_s):
            decision = self._borrow(state, key, now_s, failed)
            while decision is not None:
                decisions.append(decision)
                decision = self._borrow(state, key, now_s, failed)
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
            run_s = max(state.run_time_s(waiting.job), LEAST_RUN_S)
            age = (now_s - waiting.since_s) / run_s
            rank = shares.get(key.workspace, 0) - AGEING * age
            ranked.append((rank, waiting.since_s, key))
        ranked.sort()
        return [key for _, _, key in ranked]

    def _borrow(
        self,
        state: SchedulerState,
        key: ShapeKey,
        now_s: float,
        failed: set[_Trial],
    ) -> Decision | None:
        """Place the head of one line, if it fits now."""
        waiting = state.queue.head(key)
        if waiting is None:
            return None
        job = waiting.job
        if not may_fit(state.cluster, job.slots, job.adjacent, 'free'):
            return None
        before = self._reservations.before(state, job, now_s)
        for hard in self._manners(job):
            trial = _Trial(job.slots, job.adjacent, hard, before)
            if trial in failed:
                continue
            place = self._find(state, job, trial)
            if place is None:
                failed.add(trial)
                continue
            self._reservations.started(job.job_id, place)
            return state.place(
                waiting,
                place,
                hard=hard,
                now_s=now_s,
                reason='borrowed, to stay' if hard else 'borrowed',
            )
        return None

    def _manners(self, job: Job) -> tuple[bool, ...]:
        """Return whether to place a job hard or soft, in order of trial.

        One that was stopped often is placed to stay if the promises allow
        it; if not, it borrows again rather than wait for ever.
        """
        if not job.preemptible:
            return (True,)
        if job.preemptions >= self._preemptions:
            return (True, False)
        return (False,)

    def _find(
        self,
        state: SchedulerState,
        job: Job,
        trial: _Trial,
    ) -> tuple[Member, ...] | None:
        """Find a place off the promises, else one that they can spare."""
        barred = self._reservations.barred(trial.before)
        place: tuple[Member, ...] | None = None
        for room in _ROOMS:
            place = place or find_place(
                state.cluster,
                job.slots,
                job.adjacent,
                room,
                barred=barred,
                price=_failure_price(job),
            )
        if place is None or not trial.hard:
            return place
        return place if state.plan.make_way(place) else None

    def _review(self, state: SchedulerState, now_s: float) -> None:
        """Keep workers for those who are first in order and do not fit."""
        self._reservations.clear(now_s)
        # A single slot fits wherever one is free: nothing is kept for it.
        gangs = [
            head
            for form in state.queue.forms()
            if form.slots > 1
            for head in state.queue.heads_of_form(form)
        ]
        for key in self._ranked(state, gangs, now_s):
            waiting = state.queue.head(key)
            if self._reservations.full or waiting is None:
                return
            if now_s - waiting.since_s >= _patience_s(state, waiting.job):
                self._reservations.keep_for(state, waiting.job, now_s)


@policies.register('guarantees')
def guarantees(preemptions: int) -> Policy:
    """Return the real policy."""
    return Guarantees(preemptions=preemptions)


def _patience_s(state: SchedulerState, job: Job) -> float:
    """Return how long a job waits before workers are kept for it.

    Draining costs others most where a gang takes most of the data centre,
    and is lost where the gang is then stopped for a guarantee: so a large
    part waits longer, and each of the first stops doubles the wait.
    """
    run_s = max(state.run_time_s(job), LEAST_RUN_S)
    part = job.slots / max(1, state.cluster.slots)
    stops = min(job.preemptions, STOPS_COUNTED)
    return PATIENCE * run_s * max(1, 4 * part) * 2.0**stops


def _failure_price(job: Job) -> Price | None:
    """Return a price that keeps a job off the workers that it failed on."""
    failed_on = frozenset(job.failed_on)
    if not failed_on:
        return None

    def price(worker: WorkerState) -> float:  # noqa: WPS430
        return float(worker.name in failed_on)

    return price


def _head_age(head: tuple[ShapeKey, WaitingJob]) -> float:
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
    most = state.cluster.most('free')
    lines.append(
        f'{free} accelerators are free, at most {most.widest} on one worker'
        f' and {most.total} in one rack; {len(state.queue)} jobs wait.',
    )
    return lines


__all__ = ('Guarantees', 'guarantees')
