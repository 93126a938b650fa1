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
LOGGED_JOBS: Final = 2

#: A job is logged that has been held for so long, in seconds: starts, stops
#: and moves are over sooner.
LOGGED_FROM_S: Final = 2.0

#: Held tasks that one line names; the rest are counted.
NAMED_TASKS: Final = 3


class UnreadyJobs:
    """Logs the oldest jobs that something holds, and what it is."""

    def __init__(
        self,
        *,
        clock: Clock,
        sessions: Mapping[str, WorkerSession],
    ) -> None:
        """Start with no job known to be held."""
        self._clock = clock
        self._holds = BlockerFinder(clock=clock, sessions=sessions)
        self._since_s: dict[str, float] = {}

    def show(self, jobs: Iterable[ActiveJob]) -> None:
        """Log what holds jobs, given the oldest first."""
        held = self._held(jobs)
        now_s = self._clock.monotonic_s()
        self._since_s = {
            job.spec.job_id: self._since_s.get(job.spec.job_id, now_s)
            for job, _ in held
        }
        told: dict[int, int] = defaultdict(int)
        # What is only due later must not hide what is held by a fault.
        for job, hold in sorted(held, key=_is_due_later):
            held_s = now_s - self._since_s[job.spec.job_id]
            priority = job.spec.queue.priority
            if held_s >= LOGGED_FROM_S and told[priority] < LOGGED_JOBS:
                told[priority] += 1
                self._tell(job, hold, held_s)

    def _held(
        self,
        jobs: Iterable[ActiveJob],
    ) -> list[tuple[ActiveJob, Blocker]]:
        now_s = self._clock.wall_s()
        held = []
        for job in jobs:
            if _is_free(job, now_s):
                # Most jobs of a backlog end here.
                continue
            hold = self._holds.of(job)
            if hold is not None:
                held.append((job, hold))
        return held

    def _tell(self, job: ActiveJob, hold: Blocker, held_s: float) -> None:
        spec = job.spec
        events.log(
            'not_ready',
            job=spec.job_id,
            priority=spec.queue.priority,
            workspace=spec.workspace,
            occurrence=hold.occurrence,
            step=hold.step,
            tasks=spec.steps[hold.step].width,
            held_by=hold.reason,
            held_s=round(held_s, 1),
            waited_s=round(self._clock.wall_s() - spec.accepted_at_s, 1),
            held_tasks=len(hold.tasks),
            held=hold.tasks[:NAMED_TASKS],
            later_steps=hold.later_steps,
            due_in_s=hold.due_in_s,
        )


def _is_free(job: ActiveJob, now_s: float) -> bool:
    """Return whether it is sure at a glance that nothing holds a job."""
    progress = job.progress
    if job.runs or progress.done_steps or job.first_due_s > now_s:
        return False
    return not any(task.worker or task.done for task in progress.tasks.values())


def _is_due_later(held: tuple[ActiveJob, Blocker]) -> bool:
    return held[1].reason == DUE


__all__ = ('UnreadyJobs',)
