"""The order in which waiting jobs are served, and which a guarantee covers.

If more jobs wait than fit, the first in this order use the free capacity.
"""

from collections.abc import Iterable, Mapping

from curranthill.placement.jobs import ActiveJob
from curranthill.placement.runs import URGENT
from curranthill.placement.timeliness import (
    has_aged,
    is_infeasible,
    is_late,
)


def is_urgent(job: ActiveJob) -> bool:
    """Return whether a job's queue has the urgent priority."""
    return job.spec.queue.priority == URGENT


def covered_jobs(
    jobs: Iterable[ActiveJob],
    guaranteed: Mapping[str, int],
) -> set[str]:
    """Return the ids of urgent jobs that their workspace's guarantee covers.

    Earlier jobs are covered first, so that a later job never removes the
    guarantee of those before it.

    :param guaranteed: guaranteed accelerators by workspace.
    """
    urgent = [job for job in jobs if is_urgent(job)]
    urgent.sort(key=lambda job: job.spec.accepted_at_s)
    used: dict[str, int] = {}
    covered = set()
    for job in urgent:
        workspace = job.spec.workspace
        total = used.get(workspace, 0) + job.gpus
        if total <= guaranteed.get(workspace, 0):
            used[workspace] = total
            # A guarantee covers one occurrence at a time.
            if not job.is_ahead:
                covered.add(job.spec.job_id)
    return covered


def infeasible_jobs(
    jobs: Iterable[ActiveJob],
    covered: set[str],
    now_s: float,
) -> set[str]:
    """Return the ids of infeasible jobs, which are served after all others.

    :param covered: ids of jobs that a guarantee covers; these are served first
        in any case.
    :param now_s: wall-clock seconds.
    """
    return {
        job.spec.job_id
        for job in jobs
        if not job.perpetual
        and job.spec.job_id not in covered
        and is_infeasible(job, now_s)
    }


def late_jobs(jobs: Iterable[ActiveJob], now_s: float) -> set[str]:
    """Return the ids of jobs that will miss their objective in any case.

    They are served after the jobs of their priority that can be in time, until
    they have aged.

    :param now_s: wall-clock seconds.
    """
    return {
        job.spec.job_id
        for job in jobs
        if not job.perpetual
        and is_late(job, now_s)
        and not has_aged(job, now_s)
    }


def in_service_order(
    jobs: Iterable[ActiveJob],
    covered: set[str],
    infeasible: set[str],
    late: set[str],
) -> list[ActiveJob]:
    """Return jobs in the order in which they are served.

    Guaranteed jobs are first, then perpetual ones, then the others by priority.
    Within a priority the earliest objective is first: it has the least time
    left to earn its credit.

    :param covered: ids of jobs that a guarantee covers.
    :param infeasible: ids of jobs that are served after all others.
    :param late: ids of jobs that are served after the others of their priority.
    """
    return sorted(
        jobs,
        key=lambda job: (
            job.spec.job_id not in covered,
            job.spec.job_id in infeasible,
            not job.perpetual,
            job.spec.queue.priority,
            job.spec.job_id in late,
            job.objective_s,
        ),
    )


__all__ = (
    'covered_jobs',
    'in_service_order',
    'infeasible_jobs',
    'is_urgent',
    'late_jobs',
)
