"""Which waiting jobs are looked at first, and which a guarantee covers.

Answers the load in which more waits than fits: whoever comes first in a round
takes what is free.
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
    """Return whether a job's queue goes before all others."""
    return job.spec.queue.priority == URGENT


def covered_jobs(
    jobs: Iterable[ActiveJob],
    guaranteed: Mapping[str, int],
) -> set[str]:
    """Return the ids of urgent jobs that their workspace's guarantee covers.

    Earlier jobs are covered first, so that one more job never takes the
    guarantee away from those before it.

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
            covered.add(job.spec.job_id)
    return covered


def infeasible_jobs(
    jobs: Iterable[ActiveJob],
    covered: set[str],
    now_s: float,
) -> set[str]:
    """Return the ids of jobs that wait until all others are served.

    :param covered: ids of jobs that a guarantee covers: it goes first.
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

    They go after jobs of their priority that can be in time, until aging ends
    that.

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
    """Return jobs as they are served: guarantees, what lasts, then by need.

    Within a priority the earliest objective goes first: it has the least time
    left to earn its worth.

    :param infeasible: ids of jobs that go after all others.
    :param late: ids of jobs that go after the others of their priority.
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
    'infeasible_jobs',
    'in_service_order',
    'is_urgent',
    'late_jobs',
)
