"""Shows operators who waits, for how long and for what."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from curranthill.admission import RESERVED, waiting_reason
from curranthill.clock import Clock
from curranthill.dispatch.unready import UnreadyJobs
from curranthill.dispatch.work import Work
from curranthill.placement import (
    MAX_SKEW_S,
    ActiveJob,
    ReadyStep,
    WorkerCapacity,
    covered_jobs,
    waits_for_rack,
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

#: Jobs that one line names as those that room is kept for.
NAMED_JOBS: Final = 3


class WorkerCounts(NamedTuple):
    """What the workers of one service are.

    :param usable: accept work.
    :param empty: of these, run nothing.
    :param with_suspect: of these, have a suspect beside which nothing starts.
    """

    listed: int
    usable: int
    empty: int
    with_suspect: int


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
        rooms_now: Callable[[], Mapping[str, list[WorkerCapacity]]],
        reserved_for: Sequence[str] = (),
    ) -> None:
        """Show who waits now.

        :param guaranteed: guaranteed accelerators by workspace.
        :param rooms_now: returns the workers that accept work, by service;
            asked only when a job has waited for long.
        :param reserved_for: the jobs that the newest round kept room for.
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
                service_rooms = rooms.get(job.spec.queue.service, [])
                kept_for = self._others_of(job, reserved_for)
                reason = waiting_reason(
                    ready,
                    service_rooms,
                    beyond_guarantee=urgent and job.spec.job_id not in covered,
                    reserved=bool(kept_for),
                    advised=job.spec.queue.advisor,
                    wait_for_rack=waits_for_rack(
                        job, ready, self._clock.wall_s()
                    ),
                )
                self._tell(
                    job,
                    ready,
                    reason,
                    kept_for if reason == RESERVED else (),
                    self._count_workers(job, service_rooms),
                )

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
            waited_s = now_s - job.spec.accepted_at_s
            if -MAX_SKEW_S <= waited_s < LOGGED_FROM_S:
                continue
            if found[job.spec.queue.priority] >= LOGGED_JOBS:
                continue
            ready = next(job.ready_steps(now_s), None)
            if ready is not None and not job.runs:
                found[job.spec.queue.priority] += 1
                oldest.append((job, ready))
        return oldest

    def _others_of(
        self,
        job: ActiveJob,
        reserved_for: Sequence[str],
    ) -> tuple[str, ...]:
        """Return the other jobs of its service that room is kept for."""
        others = (self._work.jobs.get(job_id) for job_id in reserved_for)
        return tuple(
            other.spec.job_id
            for other in others
            if other is not None
            and other is not job
            and other.spec.queue.service == job.spec.queue.service
        )

    def _count_workers(
        self,
        job: ActiveJob,
        rooms: Sequence[WorkerCapacity],
    ) -> WorkerCounts:
        """Return what the workers of a job's service are.

        :param rooms: those that accept work.
        """
        service = job.spec.queue.service
        listed = [
            session
            for session in self._work.sessions.values()
            if session.listed and session.entry.service == service
        ]
        return WorkerCounts(
            listed=len(listed),
            usable=len(rooms),
            empty=sum(1 for room in rooms if not room.runs),
            with_suspect=sum(1 for room in rooms if room.held_exclusively),
        )

    def _tell(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        reason: str,
        kept_for: Sequence[str],
        counts: WorkerCounts,
    ) -> None:
        spec = job.spec
        events.log(
            'waiting',
            job=spec.job_id,
            priority=spec.queue.priority,
            workspace=spec.workspace,
            step=ready.number,
            tasks=len(ready.tasks),
            waits_for=reason,
            kept_for=kept_for[:NAMED_JOBS],
            workers_listed=counts.listed,
            workers_usable=counts.usable,
            workers_empty=counts.empty,
            workers_with_suspect=counts.with_suspect,
            waited_s=round(self._clock.wall_s() - spec.accepted_at_s, 1),
            begun=job.begun,
        )


def _accepted_at_s(job: ActiveJob) -> float:
    return job.spec.accepted_at_s


__all__ = ('WaitingBoard', 'WorkerCounts')
