"""Shows operators who waits, for how long and for what."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from curranthill.admission import waits_for
from curranthill.clock import Clock
from curranthill.dispatch.unready import UnreadyJobs
from curranthill.dispatch.work import Work
from curranthill.placement import (
    ActiveJob,
    ReadyStep,
    Room,
    covered_jobs,
)
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events
from curranthill.telemetry.labels import OTHERS

#: Workspaces with a gauge label of their own, those with the most waiting jobs.
MOST_WORKSPACE_LABELS: Final = 10

#: Waiting jobs logged for each priority and second, the oldest first.
LOGGED_JOBS: Final = 2

#: Shorter waits are not logged, in seconds.
LOGGED_FROM_S: Final = 1.0


class WaitingBoard:
    """Sets the gauges of workspaces, and logs the oldest waiting jobs.

    A job that could start and finds no room waits; one that could not is not
    ready.
    """

    def __init__(self, *, clock: Clock, work: Work) -> None:
        """Start with nothing shown."""
        self._clock = clock
        self._work = work
        self._unready = UnreadyJobs(clock=clock, sessions=work.sessions)
        self._shown: set[str] = set()

    def show(
        self,
        guaranteed: Mapping[str, int],
        rooms_now: Callable[[], Mapping[str, list[Room]]],
    ) -> None:
        """Show who waits now.

        :param guaranteed: guaranteed accelerators by workspace.
        :param rooms_now: returns the workers that accept work, by service;
            asked only when a job has waited for long.
        """
        open_jobs = sorted(
            (job for job in self._work.jobs.values() if not job.ended),
            key=_accepted_at_s,
        )
        self._set_gauges(job for job in open_jobs if not job.begun)
        self._unready.show(open_jobs)
        waiting = self._oldest_waiting(open_jobs)
        if waiting:
            covered = covered_jobs(open_jobs, guaranteed)
            rooms = rooms_now()
            for job, ready in waiting:
                urgent = not job.spec.queue.priority
                reason = waits_for(
                    ready,
                    rooms.get(job.spec.queue.service, []),
                    beyond_guarantee=urgent and job.spec.job_id not in covered,
                )
                self._tell(job, ready, reason)

    def _set_gauges(self, waiting: Iterable[ActiveJob]) -> None:
        now_s = self._clock.wall_s()
        ages_s: dict[str, list[float]] = defaultdict(list)
        for job in waiting:
            waited_s = now_s - job.spec.accepted_at_s
            ages_s[job.spec.workspace].append(waited_s)
        largest = sorted(ages_s, key=lambda name: -len(ages_s[name]))
        shown: dict[str, list[float]] = dict.fromkeys(self._shown, [])
        for name in largest[:MOST_WORKSPACE_LABELS]:
            shown[name] = ages_s[name]
        rest = largest[MOST_WORKSPACE_LABELS:]
        if rest:
            shown[OTHERS] = [age for name in rest for age in ages_s[name]]
        for name, ages in shown.items():
            labels = {'workspace': name}
            metrics.workspace_waiting_jobs.set(len(ages), labels)
            oldest_s = max(ages, default=0.0)
            metrics.workspace_oldest_waiting_s.set(oldest_s, labels)
        # One that waits no more is shown once more, as nothing.
        self._shown = {name for name, ages in shown.items() if ages}

    def _oldest_waiting(
        self,
        jobs: list[ActiveJob],
    ) -> list[tuple[ActiveJob, ReadyStep]]:
        """Return the oldest jobs of each priority that could start.

        :param jobs: the oldest first.
        """
        now_s = self._clock.wall_s()
        oldest = []
        found: dict[int, int] = defaultdict(int)
        for job in jobs:
            if now_s - job.spec.accepted_at_s < LOGGED_FROM_S:
                break
            if found[job.spec.queue.priority] >= LOGGED_JOBS:
                continue
            ready = next(job.ready_steps(now_s), None)
            if ready is not None and not job.runs:
                found[job.spec.queue.priority] += 1
                oldest.append((job, ready))
        return oldest

    def _tell(self, job: ActiveJob, ready: ReadyStep, reason: str) -> None:
        spec = job.spec
        events.log(
            'waiting',
            job=spec.job_id,
            priority=spec.queue.priority,
            workspace=spec.workspace,
            step=ready.number,
            tasks=len(ready.tasks),
            waits_for=reason,
            waited_s=round(self._clock.wall_s() - spec.accepted_at_s, 1),
            begun=job.begun,
        )


def _accepted_at_s(job: ActiveJob) -> float:
    return job.spec.accepted_at_s


__all__ = ('WaitingBoard',)
