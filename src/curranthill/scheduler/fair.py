"""The real policy: guarantees first, then fair shares of what is left."""

from typing import Final, NamedTuple

from curranthill.jobs import Job, Member
from curranthill.scheduler.board import Board, Decision, ShapeKey, Waiting
from curranthill.scheduler.cluster import WorkerState
from curranthill.scheduler.policies import Policy, policies
from curranthill.scheduler.reservations import Reservations
from curranthill.scheduler.search import Price, find_place
from curranthill.scheduler.victims import choose_victims, lost_work_on

#: How much waiting once its own run time moves a job against usage that
#: equals the whole cluster.
AGEING: Final = 0.5

#: A run time below this does not make a job age faster, in seconds.
LEAST_RUN_S: Final = 1.0


class _Candidate(NamedTuple):
    rank: float
    since_s: float
    key: ShapeKey


class Guarantees:
    """Place by promise, then by weighted fair share with ageing.

    :param preemptions: after so many, a job may not be stopped again.
    """

    def __init__(self, *, preemptions: int) -> None:
        """Keep the bound."""
        self._preemptions = preemptions

    def decide(self, board: Board, now_s: float) -> list[Decision]:
        """Place guaranteed work, then borrowed work."""
        decisions = self._place_guaranteed(board, now_s)
        decisions.extend(self._place_borrowed(board, now_s))
        return decisions

    def explain(self, board: Board, job_id: str, now_s: float) -> list[str]:
        """Say what a job is entitled to and what it waits for."""
        waiting = next(
            (one for one in board.queue if one.job.job_id == job_id),
            None,
        )
        if waiting is None:
            return []
        return list(_explanation(board, waiting, now_s))

    def _place_guaranteed(self, board: Board, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        for key, _ in sorted(board.queue.heads(), key=_head_age):
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
        place = find_place(
            board.cluster,
            job.slots,
            job.adjacent,
            'both',
            price=_failure_price(job),
        )
        if place is None:

            def price(worker: WorkerState) -> float:  # noqa: WPS430
                return lost_work_on(board, worker, now_s)

            place = find_place(
                board.cluster,
                job.slots,
                job.adjacent,
                'open',
                price=price,
            )
        if place is None:
            board.plan.put_back(unit, planned)
            return None
        victims = choose_victims(board, place, now_s)
        return board.place(
            waiting,
            place,
            hard=True,
            now_s=now_s,
            reason='guarantee',
            unit=unit,
            victims=victims,
        )

    def _place_borrowed(self, board: Board, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        reservations = Reservations(board=board, now_s=now_s)
        blocked: set[tuple[int, str, bool]] = set()
        for candidate in self._candidates(board, now_s):
            waiting = board.queue.head(candidate.key)
            while waiting is not None:
                decision = self._borrow(
                    board,
                    waiting,
                    reservations,
                    blocked,
                    now_s,
                )
                if decision is None:
                    break
                decisions.append(decision)
                waiting = board.queue.head(candidate.key)
        return decisions

    def _candidates(self, board: Board, now_s: float) -> list[_Candidate]:
        total = max(
            1,
            sum(worker.slots for worker in board.cluster.workers.values()),
        )
        candidates: list[_Candidate] = []
        for key, waiting in board.queue.heads():
            if not board.may_borrow.get(key.workspace, True):
                continue
            job = waiting.job
            run_s = board.estimates.run_time_s(
                key.workspace,
                job.kind,
                job.run_time_s,
            )
            used = board.borrowed.get(key.workspace, 0)
            share = used / total / board.weights.get(key.workspace, 1)
            waited_s = now_s - waiting.since_s
            age = waited_s / max(run_s, LEAST_RUN_S)
            candidates.append(
                _Candidate(
                    rank=share - AGEING * age,
                    since_s=waiting.since_s,
                    key=key,
                ),
            )
        return sorted(candidates)

    def _borrow(  # noqa: WPS211
        self,
        board: Board,
        waiting: Waiting,
        reservations: Reservations,
        blocked: set[tuple[int, str, bool]],
        now_s: float,
    ) -> Decision | None:
        job = waiting.job
        hard = not job.preemptible or job.preemptions >= self._preemptions
        form = (job.slots, job.adjacent, hard)
        if form in blocked:
            reservations.keep_for(job)
            return None
        place = self._find(board, waiting, reservations, hard=hard)
        if place is None:
            blocked.add(form)
            reservations.keep_for(job)
            return None
        return board.place(
            waiting,
            place,
            hard=hard,
            now_s=now_s,
            reason='borrowed, to stay' if hard else 'borrowed',
        )

    def _find(
        self,
        board: Board,
        waiting: Waiting,
        reservations: Reservations,
        *,
        hard: bool,
    ) -> tuple[Member, ...] | None:
        job = waiting.job
        barred = reservations.barred_for(job)
        place = find_place(
            board.cluster,
            job.slots,
            job.adjacent,
            'both',
            barred=barred,
            price=_failure_price(job),
        )
        if place is not None:
            return place
        place = find_place(
            board.cluster,
            job.slots,
            job.adjacent,
            'free',
            barred=barred,
            price=_failure_price(job),
        )
        if place is None or not hard:
            return place
        return place if board.plan.make_way(place) else None


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
    units = [
        unit
        for unit in board.plan
        if unit.unit_id[:2] == (job.workspace, job.shape)
    ]
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
    widest = max(
        (worker.free for worker in board.cluster.workers.values()),
        default=0,
    )
    lines.append(
        f'{free} accelerators are free, at most {widest} on one worker;'
        f' {len(board.queue)} jobs wait.',
    )
    return lines


__all__ = ('Guarantees', 'guarantees')
