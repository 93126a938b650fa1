"""The expected wait of a job that arrives during an overload.

It is the work that is served before the job, divided by the whole capacity of
its service. Part of that work arrives later: an overload is expected to go on
for as long as it has lasted.
"""

from collections.abc import Iterable, Sequence
from functools import reduce
from typing import Final, NamedTuple

from curranthill.placement import (
    MAX_LATE_FACTOR,
    URGENT,
    ActiveJob,
    resources_needed,
)
from curranthill.placement.timeliness import INFEASIBLE_WAIT_S, MIN_RUN_SHARE
from curranthill.tasks import Resources, Step

#: A shorter overload is not expected to go on, in seconds: jobs often arrive in
#: bursts.
MIN_OVERLOAD_S: Final = 5.0

#: A longer overload counts as lasting only this long, in seconds.
MAX_OVERLOAD_S: Final = 30.0

#: The share of the work of expected arrivals that counts: the wait behind work
#: that arrives nearly as fast as it is done would be overestimated.
EXPECTED_SHARE: Final = 0.8

#: Work by resource: millicore-seconds, MB-seconds, accelerator-seconds.
Work = tuple[float, float, float]

NO_WORK: Final[Work] = (0.0, 0.0, 0.0)


class _Arrival(NamedTuple):
    """An expected arrival of a job, like one that arrived before.

    :param at_s: seconds from now.
    :param objective_s: the time of its objective, in seconds after that.
    """

    at_s: float
    priority: int
    objective_s: float
    work: Work


class Backlog:
    """The work of one service that a job may have to wait for.

    :param jobs: the open jobs that are done once.
    :param waiting: those of them of which nothing runs; what is left of a job
        that runs in part is uncertain.
    :param total: the capacity of all workers.
    :param now_s: wall-clock seconds.
    """

    def __init__(
        self,
        *,
        jobs: Sequence[ActiveJob],
        waiting: Sequence[ActiveJob],
        total: Resources,
        now_s: float,
    ) -> None:
        """Add up the waiting work, and expect arrivals."""
        self._jobs = jobs
        self._total = total
        self._waiting = reduce(add_work, map(work_of, waiting), NO_WORK)
        self._arrivals = _expected_arrivals(jobs, waiting, now_s)
        self._running: dict[int, Work] = {}

    def expected_wait_s(self, probe: ActiveJob, ahead: Work) -> float:
        """Return the expected wait of a job that arrives now, in seconds.

        Once it can earn no more credit, it is served after all others for some
        time.

        :param ahead: the waiting work that is served before it now.
        """
        running = self._running_work(probe.spec.queue.priority)
        wait_s = self._wait_in_order_s(probe, add_work(ahead, running))
        infeasible_at_s = (
            MAX_LATE_FACTOR * objective_time_s(probe)
            - MIN_RUN_SHARE * probe.critical_path_s
        )
        if wait_s <= infeasible_at_s:
            return wait_s
        everything = add_work(self._waiting, running)
        for arrival in self._arrivals:
            everything = add_work(everything, arrival.work)
        last_s = _drain_time_s(everything, self._total)
        return max(wait_s, min(last_s, infeasible_at_s + INFEASIBLE_WAIT_S))

    def _wait_in_order_s(self, probe: ActiveJob, ahead: Work) -> float:
        """Return the expected wait of a job that keeps its place in the order.

        :param ahead: the work that is served before it, by the order now.
        """
        wait_s = _drain_time_s(ahead, self._total)
        for arrival in self._arrivals:
            if wait_s <= arrival.at_s:
                break
            if _is_served_before(arrival, probe):
                ahead = add_work(ahead, arrival.work)
                wait_s = _drain_time_s(ahead, self._total)
        return wait_s

    def _running_work(self, priority: int) -> Work:
        """Return the work left of the runs that a job can't have stopped."""
        work = self._running.get(priority)
        if work is None:
            work = NO_WORK
            for job in self._jobs:
                work = add_work(work, _work_of_runs(job, priority))
            self._running[priority] = work
        return work


def work_of(job: ActiveJob) -> Work:
    """Return the remaining work of a job of which nothing runs."""
    if not job.begun:
        return _work_of_steps(job.spec.steps)
    return _work_of_steps(
        step
        for number, step in enumerate(job.spec.steps)
        if not job.step_done(0, number)
    )


def add_work(work: Work, more: Work) -> Work:
    """Return the sum of two amounts of work."""
    cpu, memory, gpus = more
    return (work[0] + cpu, work[1] + memory, work[2] + gpus)


def objective_time_s(job: ActiveJob) -> float:
    """Return the time of a job's objective after its acceptance, in seconds."""
    return job.objective_s - job.spec.accepted_at_s


def _expected_arrivals(
    jobs: Iterable[ActiveJob],
    waiting: Iterable[ActiveJob],
    now_s: float,
) -> list[_Arrival]:
    """Return the arrivals expected while an overload goes on, in order.

    The overload has lasted since the oldest waiting job arrived, and what
    arrived since then is expected to arrive again. Jobs that have ended are not
    known here, so fewer are expected than will arrive.
    """
    oldest_s = min((job.spec.accepted_at_s for job in waiting), default=now_s)
    lasted_s = min(now_s - oldest_s, MAX_OVERLOAD_S)
    if lasted_s < MIN_OVERLOAD_S:
        return []
    arrivals = [
        _Arrival(
            at_s=lasted_s - (now_s - job.spec.accepted_at_s),
            priority=job.spec.queue.priority,
            objective_s=objective_time_s(job),
            work=_scaled(_work_of_steps(job.spec.steps), EXPECTED_SHARE),
        )
        for job in jobs
        if 0 <= now_s - job.spec.accepted_at_s <= lasted_s
    ]
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _is_served_before(arrival: _Arrival, probe: ActiveJob) -> bool:
    """Return whether a later job is served before one that arrives now."""
    priority = probe.spec.queue.priority
    if arrival.priority != priority:
        return arrival.priority < priority
    objective_s = objective_time_s(probe)
    if arrival.at_s + probe.critical_path_s > objective_s:
        # The probe is late by then, and the other one can still be in time.
        return True
    return arrival.at_s + arrival.objective_s < objective_s


def _work_of_runs(job: ActiveJob, priority: int) -> Work:
    """Return the work left of a job's runs.

    :param priority: of the job that waits for them; an urgent one may have
        those stopped that are not urgent.
    """
    work = NO_WORK
    if priority == URGENT and job.spec.queue.priority > URGENT:
        return work
    for run in job.runs.values():
        if not run.stop_wanted:
            left_s = min(run.remaining_s, run.time_left_s)
            work = add_work(work, _scaled(run.needs, left_s))
    return work


def _work_of_steps(steps: Iterable[Step]) -> Work:
    work = NO_WORK
    for step in steps:
        work_s = step.width * step.estimate_s
        work = add_work(work, _scaled(resources_needed(step), work_s))
    return work


def _scaled(amounts: Resources | Work, factor: float) -> Work:
    cpu, memory, gpus = amounts
    return (cpu * factor, memory * factor, gpus * factor)


def _drain_time_s(work: Work, total: Resources) -> float:
    """Return how long all workers together take for some work, in seconds."""
    return max(
        (
            amount / have
            for amount, have in zip(work, total, strict=True)
            if have > 0
        ),
        default=0.0,
    )


__all__ = (
    'NO_WORK',
    'Backlog',
    'Work',
    'add_work',
    'objective_time_s',
    'work_of',
)
