"""Which waiting jobs are looked at first, and which a guarantee covers.

Answers the load in which more waits than fits: whoever comes first in a round
takes what is free.
"""

from collections.abc import Iterable, Mapping

from curranthill.placement.jobs import ActiveJob
from curranthill.placement.runs import URGENT


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


def in_order(
    jobs: Iterable[ActiveJob],
    covered: set[str],
) -> list[ActiveJob]:
    """Return jobs as they are served: guarantees, what lasts, then by need.

    Within a priority the earliest objective goes first: it has the least time
    left to earn its worth.
    """
    return sorted(
        jobs,
        key=lambda job: (
            job.spec.job_id not in covered,
            not job.lasting,
            job.spec.queue.priority,
            job.objective_s,
        ),
    )


__all__ = ('covered_jobs', 'in_order', 'is_urgent')
