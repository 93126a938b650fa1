"""The real policy: guarantees first, then fair shares of what is left.

A pass costs little when nothing fits. Waiting jobs stand in lines of one
workspace and shape; lines of one *form* (slots, adjacency, whether the work
may be stopped) fit or do not fit together, and whether a form fits is a
comparison with sums that the cluster keeps. Only lines whose form fits are
ranked. The order of all lines, which says for whom racks are kept, is looked
at now and then.
"""

from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from curranthill.configuration import Adjacency
from curranthill.jobs import Job, Member
from curranthill.scheduler.board import Board, Decision, ShapeKey, Waiting
from curranthill.scheduler.cluster import WorkerState
from curranthill.scheduler.policies import Policy, policies
from curranthill.scheduler.reservations import Reservations
from curranthill.scheduler.search import Price, find_place, may_fit
from curranthill.scheduler.victims import choose_victims, lost_work_on

#: How much waiting once its own run time moves a job against usage that
#: equals the whole cluster.
AGEING: Final = 0.5

#: A run time below this does not make a job age faster, in seconds.
LEAST_RUN_S: Final = 1.0

#: How often the order of all lines is looked at, in seconds.
REVIEW_S: Final = 1.0


class _Form(NamedTuple):
    """What two waiting jobs must share to fit or not fit together."""

    slots: int
    adjacent: Adjacency
    hard: bool


class Guarantees:
    """Place by promise, then by weighted fair share with ageing.

    :param preemptions: after so many, a job may not be stopped again.
    """

    def __init__(self, *, preemptions: int) -> None:
        """Keep the bound; no rack is kept yet."""
        self._preemptions = preemptions
        self._reservations = Reservations()
        self._reviewed_s = float('-inf')

    def decide(self, board: Board, now_s: float) -> list[Decision]:
        """Place guaranteed work, then borrowed work."""
        decisions = self._place_guaranteed(board, now_s)
        if now_s - self._reviewed_s >= REVIEW_S:
            self._reviewed_s = now_s
            self._review(board, now_s)
        decisions.extend(self._place_borrowed(board, now_s))
        return decisions

    def explain(self, board: Board, job_id: str, now_s: float) -> list[str]:
        """Say what a job is entitled to and what it waits for."""
        waiting = board.queue.get(job_id)
        if waiting is None:
            return []
        return _explanation(board, waiting, now_s)

    def _place_guaranteed(self, board: Board, now_s: float) -> list[Decision]:
        entitled = [
            (key, waiting)
            for key, waiting in board.queue.heads()
            if board.plan.free_unit(key.workspace, key.shape) is not None
        ]
        decisions: list[Decision] = []
        for key, _ in sorted(entitled, key=_head_age):
            decision = self._restore(board, key, now_s)
            while decision is not None:
                decisions.append(decision)
                decision = self._restore(board, key, now_s)
        return decisions

    def _restore(
        self,
        board: Board,
        key: ShapeKey,
        now_s: float,
    ) -> Decision | None:
        """Give a workspace one guaranteed shape, from others if need be."""
        waiting = board.queue.head(key)
        unit = board.plan.free_unit(key.workspace, key.shape)
        if waiting is None or unit is None:
            return None
        job = waiting.job
        planned = board.plan.unplan_for_search(unit)
        place = self._restored_place(board, job, now_s)
        if place is None:
            board.plan.put_back(unit, planned)
            return None
        self._reservations.drop(job.job_id)
        return board.place(
            waiting,
            place,
            hard=True,
            now_s=now_s,
            reason='guarantee',
            unit=unit,
            victims=choose_victims(board, place, now_s),
        )

    def _restored_place(
        self,
        board: Board,
        job: Job,
        now_s: float,
    ) -> tuple[Member, ...] | None:
        """Return a free place, else the one that costs others least."""
        place = find_place(
            board.cluster,
            job.slots,
            job.adjacent,
            'both',
            price=_failure_price(job),
        )
        if place is not None:
            return place

        def price(worker: WorkerState) -> float:  # noqa: WPS430
            return lost_work_on(board, worker, now_s)

        return find_place(
            board.cluster,
            job.slots,
            job.adjacent,
            'open',
            price=price,
        )

    def _place_borrowed(self, board: Board, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        blocked: set[_Form] = set()
        lines = self._ranked(board, self._fitting(board, blocked), now_s)
        for key in lines:
            waiting = board.queue.head(key)
            while waiting is not None:
                decision = self._borrow(board, waiting, blocked, now_s)
                if decision is None:
                    break
                decisions.append(decision)
                waiting = board.queue.head(key)
        return decisions

    def _fitting(
        self,
        board: Board,
        blocked: set[_Form],
    ) -> Iterator[tuple[ShapeKey, Waiting]]:
        """Yield the head of each line whose form may fit now."""
        for key, waiting in board.queue.heads():
            form = self._form(waiting.job)
            if form in blocked or not board.may_borrow.get(key.workspace, True):
                continue
            if may_fit(board.cluster, form.slots, form.adjacent, 'free'):
                yield key, waiting
            else:
                blocked.add(form)

    def _ranked(
        self,
        board: Board,
        heads: Iterable[tuple[ShapeKey, Waiting]],
        now_s: float,
    ) -> list[ShapeKey]:
        """Return lines, the one that should be served first first."""
        total = max(1, board.cluster.slots)
        ranked: list[tuple[float, float, ShapeKey]] = []
        for key, waiting in heads:
            run_s = max(board.run_time_s(waiting.job), LEAST_RUN_S)
            weight = board.weights.get(key.workspace, 1)
            share = board.borrowed.get(key.workspace, 0) / total / weight
            age = (now_s - waiting.since_s) / run_s
            ranked.append((share - AGEING * age, waiting.since_s, key))
        return [key for _, _, key in sorted(ranked)]

    def _borrow(
        self,
        board: Board,
        waiting: Waiting,
        blocked: set[_Form],
        now_s: float,
    ) -> Decision | None:
        form = self._form(waiting.job)
        if form in blocked:
            return None
        place = self._find(board, waiting.job, now_s, hard=form.hard)
        if place is None:
            if not may_fit(
                board.cluster,
                form.slots,
                waiting.job.adjacent,
                'free',
            ):
                blocked.add(form)
            return None
        self._reservations.drop(waiting.job.job_id)
        return board.place(
            waiting,
            place,
            hard=form.hard,
            now_s=now_s,
            reason='borrowed, to stay' if form.hard else 'borrowed',
        )

    def _find(
        self,
        board: Board,
        job: Job,
        now_s: float,
        *,
        hard: bool,
    ) -> tuple[Member, ...] | None:
        """Find a place off the promises, else one that they can spare."""
        barred = self._reservations.barred_for(board, job, now_s)
        for room in ('both', 'free'):
            place = find_place(
                board.cluster,
                job.slots,
                job.adjacent,
                room,
                barred=barred,
                price=_failure_price(job),
            )
            if place is not None:
                break
        if place is None or not hard:
            return place
        return place if board.plan.make_way(place) else None

    def _review(self, board: Board, now_s: float) -> None:
        """Keep racks for those who are first in order and do not fit."""
        self._reservations.clear()
        able = [
            (key, waiting)
            for key, waiting in board.queue.heads()
            if board.may_borrow.get(key.workspace, True)
        ]
        for key in self._ranked(board, able, now_s):
            waiting = board.queue.head(key)
            if self._reservations.full or waiting is None:
                return
            self._reservations.keep_for(board, waiting.job, now_s)

    def _form(self, job: Job) -> _Form:
        hard = not job.preemptible or job.preemptions >= self._preemptions
        return _Form(slots=job.slots, adjacent=job.adjacent, hard=hard)


@policies.register('guarantees')
def guarantees(preemptions: int) -> Policy:
    """Return the real policy."""
    return Guarantees(preemptions=preemptions)


def _failure_price(job: Job) -> Price | None:
    """Return a price that keeps a job off the workers that it failed on."""
    failed_on = frozenset(job.failed_on)
    if not failed_on:
        return None

    def price(worker: WorkerState) -> float:  # noqa: WPS430
        return float(worker.name in failed_on)

    return price


def _head_age(head: tuple[ShapeKey, Waiting]) -> float:
    return head[1].since_s


def _explanation(
    board: Board,
    waiting: Waiting,
    now_s: float,
) -> list[str]:
    job = waiting.job
    lines = [
        f'{job.job_id} of {job.workspace} has waited'
        f' {now_s - waiting.since_s:.1f} s for {job.slots} accelerators'
        f' ({job.adjacent}).',
    ]
    units = board.plan.units_of(job.workspace, job.shape)
    if not units:
        lines.append('Its workspace holds no guarantee of this shape here.')
    for unit in units:
        if unit.job_id:
            lines.append(f'{unit.unit_id} is in use by {unit.job_id}.')
        elif unit.at_risk:
            lines.append(f'{unit.unit_id} is at risk: no place holds it.')
    if not board.may_borrow.get(job.workspace, True):
        lines.append('Its workspace may not borrow.')
    free = sum(worker.free for worker in board.cluster.workers.values())
    most = board.cluster.most('free')
    lines.append(
        f'{free} accelerators are free, at most {most.widest} on one worker'
        f' and {most.total} in one rack; {len(board.queue)} jobs wait.',
    )
    return lines


__all__ = ('Guarantees', 'guarantees')
