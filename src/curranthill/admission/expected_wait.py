"""The expected wait of a job that arrives during an overload.

It is the work that is served before the job, divided by the whole capacity of
its service. Part of that work arrives later: an overload is expected to go on
for as long as it has lasted.
"""

from collections.abc import Iterable, Sequence
from functools import reduce
from typing import Final, NamedTuple

from curranthill.placement import (
    URGENT,
    ActiveJob,
    resources_needed,
)
from curranthill.tasks import Resources, Step

#: A shorter overload is not expected to go on, in seconds: jobs often arrive in
#: bursts.
MIN_OVERLOAD_S: Final = 5.0

#: A longer overload counts as lasting only this long, in seconds.
MAX_OVERLOAD_S: Final = 30.0

#: The share of the work of expected arrivals that counts: the wait behind work
#: that arrives nearly as fast as it is done would be overestimated.
EXPECTED_SHARE: Final = 0.8

#: The precision of an expected wait, in seconds, and the most iterations until
#: it is reached; fewer of them give a shorter wait.
MIN_STEP_S: Final = 0.1
MAX_ITERATIONS: Final = 12

#: Work by resource: millicore-seconds, MB-seconds, accelerator-seconds.
Work = tuple[float, float, float]

NO_WORK: Final[Work] = (0.0, 0.0, 0.0)


class _Arrival(NamedTuple):
    """A job like one that arrived before; it may arrive at any time.

    :param objective_s: the time of its objective after its arrival, in seconds.
    """

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
        self._lasted_s = _overload_s(waiting, now_s)
        self._arrivals = _expected_arrivals(jobs, self._lasted_s, now_s)
        self._arriving: dict[int, Work] = {}
        for arrival in self._arrivals:
            self._arriving[arrival.priority] = add_work(
                self._arriving.get(arrival.priority, NO_WORK), arrival.work
            )
        self._running: dict[int, Work] = {}

    def expected_wait_s(self, probe: ActiveJob, ahead: Work) -> float:
        """Return the expected wait of a job that arrives now, in seconds.

        It may earn credit for as long as it waits.

        :param ahead: the waiting work that is served before it now.
        """
        running = self._running_work(probe.spec.queue.priority)
        ahead = add_work(ahead, running)
        wait_s = _drain_time_s(ahead, self._total)
        for _ in range(MAX_ITERATIONS):
            work = add_work(ahead, self._arriving_work(probe, wait_s))
            longer_s = _drain_time_s(work, self._total)
            if longer_s - wait_s < MIN_STEP_S:
                break
            wait_s = longer_s
        return wait_s

    def drain_s(self) -> float:
        """Return how long a job waits that is served last, in seconds."""
        work = add_work(self._waiting, self._running_work(URGENT + 1))
        for arriving in self._arriving.values():
            work = add_work(work, arriving)
        return _drain_time_s(work, self._total)

    def _arriving_work(self, probe: ActiveJob, wait_s: float) -> Work:
        """Return the work that will arrive and be served before a job.

        None for an urgent job: others are stopped for it, and bursts of urgent
        jobs are short.
        """
        own = probe.spec.queue.priority
        if not self._arrivals or own == URGENT:
            return NO_WORK
        horizon_s = min(wait_s, self._lasted_s)
        work = NO_WORK
        for priority, arriving in self._arriving.items():
            if priority < own:
                work = add_work(work, _scaled(arriving, horizon_s))
        for arrival in self._arrivals:
            if arrival.priority == own:
                ahead_s = _time_ahead_s(arrival, probe, horizon_s)
                work = add_work(work, _scaled(arrival.work, ahead_s))
        return _scaled(work, 1 / self._lasted_s)

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


def _overload_s(waiting: Iterable[ActiveJob], now_s: float) -> float:
    """Return for how long an overload has lasted; 0 if it is a short one.

    It began when the oldest waiting job arrived.
    """
    oldest_s = min((job.spec.accepted_at_s for job in waiting), default=now_s)
    lasted_s = min(now_s - oldest_s, MAX_OVERLOAD_S)
    return lasted_s if lasted_s >= MIN_OVERLOAD_S else 0.0


def _expected_arrivals(
    jobs: Iterable[ActiveJob], lasted_s: float, now_s: float
) -> list[_Arrival]:
    """Return what is expected to arrive in the time that an overload goes on.

    What has arrived since it began is expected to arrive again. Jobs that have
    ended are not known here, so fewer are expected than will arrive.
    """
    if not lasted_s:
        return []
    return [
        _Arrival(
            priority=job.spec.queue.priority,
            objective_s=objective_time_s(job),
            work=_scaled(_work_of_steps(job.spec.steps), EXPECTED_SHARE),
        )
        for job in jobs
        if 0 <= now_s - job.spec.accepted_at_s <= lasted_s
    ]


def _time_ahead_s(
    arrival: _Arrival, probe: ActiveJob, horizon_s: float
) -> float:
    """Return how much of a time an arrival would be served before the probe.

    Both have the same priority. It is while its objective is earlier, and from
    when the probe is late.

    :param horizon_s: the end of that time, in seconds from now.
    """
    objective_s = objective_time_s(probe)
    earlier_s = min(max(objective_s - arrival.objective_s, 0.0), horizon_s)
    late_from_s = max(objective_s - probe.critical_path_s, earlier_s)
    return earlier_s + max(horizon_s - late_from_s, 0.0)


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
