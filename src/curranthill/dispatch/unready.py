"""Logs jobs that are not ready although none of their runs is active."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Final

from curranthill.clock import Clock
from curranthill.dispatch.blockers import DUE, Blocker, BlockerFinder
from curranthill.dispatch.held_jobs import HeldJob, HeldJobsReporter
from curranthill.dispatch.inherited_leases import InheritedLeases
from curranthill.dispatch.session import WorkerSession
from curranthill.placement import ActiveJob
from curranthill.telemetry.events import events

#: The most jobs logged per priority and second, the oldest first.
MAX_LOGGED_JOBS: Final = 2

#: A job is logged once it has been blocked for this long, in seconds: starts,
#: stops and moves take less time.
LOGGED_FROM_S: Final = 2.0

#: The most blocking tasks listed in one log line; the others are counted.
MAX_NAMED_TASKS: Final = 3


class UnreadyJobReporter:
    """Logs the oldest blocked jobs with the reason, and all of them counted."""

    def __init__(
        self,
        *,
        clock: Clock,
        sessions: Mapping[str, WorkerSession],
        inherited: InheritedLeases,
    ) -> None:
        """Initialize the reporter without blocked jobs."""
        self._clock = clock
        self._finder = BlockerFinder(
            clock=clock, sessions=sessions, inherited=inherited
        )
        self._held_jobs = HeldJobsReporter(clock=clock)
        self._since_s: dict[str, float] = {}

    def report(self, jobs: Iterable[ActiveJob]) -> None:
        """Log blocked jobs, given all jobs with the oldest first."""
        blocked = self._find_blocked(jobs)
        now_s = self._clock.monotonic_s()
        self._since_s = {
            job.spec.job_id: self._since_s.get(job.spec.job_id, now_s)
            for job, _ in blocked
        }
        held = [
            HeldJob(job, blocker, now_s - self._since_s[job.spec.job_id])
            for job, blocker in blocked
        ]
        held = [one for one in held if one.held_s >= LOGGED_FROM_S]
        logged: dict[int, int] = defaultdict(int)
        # Jobs that are not due yet must not crowd out those with a fault.
        for one in sorted(held, key=_is_due_later):
            priority = one.job.spec.queue.priority
            if logged[priority] < MAX_LOGGED_JOBS:
                logged[priority] += 1
                self._log(one)
        self._held_jobs.report(one for one in held if not _is_due_later(one))

    def _find_blocked(
        self,
        jobs: Iterable[ActiveJob],
    ) -> list[tuple[ActiveJob, Blocker]]:
        now_s = self._clock.wall_s()
        blocked = []
        for job in jobs:
            if _is_surely_unblocked(job, now_s):
                # A cheap check that sorts out most jobs of a backlog.
                continue
            blocker = self._finder.find(job)
            if blocker is not None:
                blocked.append((job, blocker))
        return blocked

    def _log(self, held: HeldJob) -> None:
        spec = held.job.spec
        blocker = held.blocker
        events.log(
            'not_ready',
            job=spec.job_id,
            priority=spec.queue.priority,
            workspace=spec.workspace,
            occurrence=blocker.occurrence,
            step=blocker.step,
            tasks=spec.steps[blocker.step].width,
            held_by=blocker.reason,
            held_s=round(held.held_s, 1),
            waited_s=round(self._clock.wall_s() - spec.accepted_at_s, 1),
            held_tasks=len(blocker.tasks),
            held=blocker.tasks[:MAX_NAMED_TASKS],
            later_steps=blocker.later_steps,
            due_in_s=blocker.due_in_s,
        )


def _is_surely_unblocked(job: ActiveJob, now_s: float) -> bool:
    """Return whether a cheap check shows that nothing blocks a job."""
    progress = job.progress
    if (
        job.runs
        or progress.done_steps
        or progress.done_ranges
        or job.first_due_s > now_s
    ):
        return False
    return not any(task.worker or task.done for task in progress.tasks.values())


def _is_due_later(held: HeldJob) -> bool:
    return held.blocker.reason == DUE


__all__ = ('UnreadyJobReporter',)
