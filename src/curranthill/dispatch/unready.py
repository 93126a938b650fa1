"""Tells operators of jobs that are not ready though nothing of them works."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Final

from curranthill.clock import Clock
from curranthill.dispatch.blockers import DUE, Blocker, BlockerFinder
from curranthill.dispatch.session import WorkerSession
from curranthill.placement import ActiveJob
from curranthill.telemetry.events import events

#: Jobs logged for each priority and second, the oldest first.
MAX_LOGGED_JOBS: Final = 2

#: A job is logged that has been held for so long, in seconds: starts, stops
#: and moves are over sooner.
LOGGED_FROM_S: Final = 2.0

#: Held tasks that one line names; the rest are counted.
MAX_NAMED_TASKS: Final = 3


class UnreadyJobReporter:
    """Logs the oldest jobs that something holds, and what it is."""

    def __init__(
        self,
        *,
        clock: Clock,
        sessions: Mapping[str, WorkerSession],
    ) -> None:
        """Start with no job known to be held."""
        self._clock = clock
        self._finder = BlockerFinder(clock=clock, sessions=sessions)
        self._since_s: dict[str, float] = {}

    def report(self, jobs: Iterable[ActiveJob]) -> None:
        """Log what holds jobs, given the oldest first."""
        blocked = self._find_blocked(jobs)
        now_s = self._clock.monotonic_s()
        self._since_s = {
            job.spec.job_id: self._since_s.get(job.spec.job_id, now_s)
            for job, _ in blocked
        }
        logged: dict[int, int] = defaultdict(int)
        # What is only due later must not hide what is held by a fault.
        for job, blocker in sorted(blocked, key=_is_due_later):
            held_s = now_s - self._since_s[job.spec.job_id]
            priority = job.spec.queue.priority
            if held_s >= LOGGED_FROM_S and logged[priority] < MAX_LOGGED_JOBS:
                logged[priority] += 1
                self._log(job, blocker, held_s)

    def _find_blocked(
        self,
        jobs: Iterable[ActiveJob],
    ) -> list[tuple[ActiveJob, Blocker]]:
        now_s = self._clock.wall_s()
        blocked = []
        for job in jobs:
            if _is_surely_unblocked(job, now_s):
                # Most jobs of a backlog end here.
                continue
            blocker = self._finder.find(job)
            if blocker is not None:
                blocked.append((job, blocker))
        return blocked

    def _log(self, job: ActiveJob, blocker: Blocker, held_s: float) -> None:
        spec = job.spec
        events.log(
            'not_ready',
            job=spec.job_id,
            priority=spec.queue.priority,
            workspace=spec.workspace,
            occurrence=blocker.occurrence,
            step=blocker.step,
            tasks=spec.steps[blocker.step].width,
            held_by=blocker.reason,
            held_s=round(held_s, 1),
            waited_s=round(self._clock.wall_s() - spec.accepted_at_s, 1),
            held_tasks=len(blocker.tasks),
            held=blocker.tasks[:MAX_NAMED_TASKS],
            later_steps=blocker.later_steps,
            due_in_s=blocker.due_in_s,
        )


def _is_surely_unblocked(job: ActiveJob, now_s: float) -> bool:
    """Return whether it is sure at a glance that nothing holds a job."""
    progress = job.progress
    if job.runs or progress.done_steps or job.first_due_s > now_s:
        return False
    return not any(task.worker or task.done for task in progress.tasks.values())


def _is_due_later(blocked: tuple[ActiveJob, Blocker]) -> bool:
    return blocked[1].reason == DUE


__all__ = ('UnreadyJobReporter',)
