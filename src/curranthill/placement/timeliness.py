"""Whether a job can end in time, late, or too late to earn credit.

In a backlog in which many jobs are past their objectives, jobs that are too
late to be of use would take capacity from those that can still be in time.
"""

from typing import Final, Literal

from curranthill.placement.jobs import ActiveJob

#: A job is in time, late (still of some use to its callers), or infeasible (of
#: none).
Timeliness = Literal[0, 1, 2]

IN_TIME: Final = 0
LATE: Final = 1
INFEASIBLE: Final = 2

#: A late job earns credit until this multiple of the time of its objective.
MAX_LATE_FACTOR: Final = 3.0

#: Aging: for this time, in seconds, an infeasible job is served after all
#: others; then it is in its usual position again, so that no accepted job
#: starves.
INFEASIBLE_WAIT_S: Final = 30.0

#: The least share of its estimate that a task is assumed to take: a job must
#: not count as infeasible because its estimate is too long.
MIN_RUN_SHARE: Final = 0.5


def timeliness(job: ActiveJob, done_s: float) -> Timeliness:
    """Return the timeliness of a job that is done at a wall-clock time.

    A job without an objective is always in time.

    :param done_s: wall-clock seconds.
    """
    allowed_s = job.objective_s - job.first_due_s
    if done_s <= job.objective_s or not allowed_s:
        # The common case, which avoids the cost of the checks below.
        return IN_TIME
    took_s = done_s - job.first_due_s
    if took_s > MAX_LATE_FACTOR * allowed_s:
        return INFEASIBLE
    return LATE if took_s > allowed_s else IN_TIME


def is_infeasible(job: ActiveJob, now_s: float) -> bool:
    """Return whether a waiting job is too late to earn any credit.

    :param now_s: wall-clock seconds.
    """
    if timeliness(job, now_s + job.critical_path_s) != INFEASIBLE:
        # The common case, which avoids the cost of the checks below.
        return False
    if has_aged(job, now_s):
        return False
    soonest_s = now_s + MIN_RUN_SHARE * remaining_chain_s(job)
    return timeliness(job, soonest_s) == INFEASIBLE


def has_aged(job: ActiveJob, now_s: float) -> bool:
    """Return whether a job has been infeasible for long enough.

    It is then served in its usual position again, unless it is at work.

    :param now_s: wall-clock seconds.
    """
    if job.is_ahead:
        return False
    return timeliness(job, now_s - INFEASIBLE_WAIT_S) == INFEASIBLE


def is_late(job: ActiveJob, now_s: float) -> bool:
    """Return whether a waiting job misses its objective by its estimates.

    :param now_s: wall-clock seconds.
    """
    if now_s + job.critical_path_s <= job.objective_s:
        # The common case, which avoids the cost of the checks below.
        return False
    return timeliness(job, now_s + remaining_chain_s(job)) != IN_TIME


def remaining_chain_s(job: ActiveJob) -> float:
    """Return the longest chain of steps that are not done, in seconds."""
    occurrence = job.occurrences.current
    ends_s: list[float] = []
    for number, step in enumerate(job.spec.steps):
        before_s = max((ends_s[one] for one in step.after), default=0.0)
        own_s = 0.0 if job.step_done(occurrence, number) else step.run_s
        ends_s.append(before_s + own_s)
    return max(ends_s, default=0.0)


__all__ = (
    'INFEASIBLE',
    'INFEASIBLE_WAIT_S',
    'IN_TIME',
    'LATE',
    'MAX_LATE_FACTOR',
    'Timeliness',
    'has_aged',
    'is_infeasible',
    'is_late',
    'remaining_chain_s',
    'timeliness',
)
