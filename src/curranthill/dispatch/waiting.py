"""Reports which jobs wait, for how long and for what."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from curranthill.admission import RESERVED, waiting_reason
from curranthill.clock import Clock
from curranthill.dispatch.inherited_leases import InheritedLeases
from curranthill.dispatch.term_state import TermState
from curranthill.dispatch.unready import UnreadyJobReporter
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

#: The most workspaces with a gauge label of their own: those with the most
#: waiting jobs.
MAX_WORKSPACE_LABELS: Final = 10

#: The most waiting jobs logged per priority and second, the oldest first.
MAX_LOGGED_JOBS: Final = 2

#: Shorter waits are not logged, in seconds.
LOGGED_FROM_S: Final = 1.0

#: The most jobs named in one log line as those with reserved capacity.
MAX_NAMED_JOBS: Final = 3


class WorkerCounts(NamedTuple):
    """The workers of one service, counted by state.

    :param usable: workers that accept work.
    :param empty: usable workers without a run.
    :param with_suspect: usable workers with a suspect that runs exclusively.
    """

    listed: int
    usable: int
    empty: int
    with_suspect: int


class WaitingReporter:
    """Sets the gauges of workspaces, and logs the oldest waiting jobs.

    A job waits if it could start but lacks free capacity; a job that could not
    start is blocked and logged as not ready.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        term: TermState,
        inherited: InheritedLeases,
    ) -> None:
        """Initialize the reporter before its first report."""
        self._clock = clock
        self._term = term
        self._unready = UnreadyJobReporter(
            clock=clock, sessions=term.sessions, inherited=inherited
        )
        self._labelled: set[str] = set()

    def report(
        self,
        guaranteed: Mapping[str, int],
        current_capacities: Callable[[], Mapping[str, list[WorkerCapacity]]],
        reserved_for: Sequence[str] = (),
    ) -> None:
        """Report the jobs that wait now.

        :param guaranteed: guaranteed accelerators by workspace.
        :param current_capacities: returns the capacities of the workers that
            accept work, by service; called only if a job has waited long.
        :param reserved_for: the jobs with capacity reserved by the last round.
        """
        open_jobs = sorted(
            (job for job in self._term.jobs.values() if not job.ended),
            key=_accepted_at_s,
        )
        self._set_gauges(job for job in open_jobs if not job.begun)
        self._unready.report(open_jobs)
        waiting = self._oldest_waiting(open_jobs)
        if waiting:
            covered = covered_jobs(open_jobs, guaranteed)
            capacities = current_capacities()
            for job, ready in waiting:
                urgent = not job.spec.queue.priority
                service_capacities = capacities.get(job.spec.queue.service, [])
                other_jobs = self._others_of(job, reserved_for)
                reason = waiting_reason(
                    ready,
                    service_capacities,
                    beyond_guarantee=urgent and job.spec.job_id not in covered,
                    reserved=bool(other_jobs),
                    advised=job.spec.queue.advisor,
                    wait_for_rack=waits_for_rack(
                        job, ready, self._clock.wall_s()
                    ),
                )
                self._log(
                    job,
                    ready,
                    reason,
                    other_jobs if reason == RESERVED else (),
                    self._count_workers(job, service_capacities),
                )

    def _set_gauges(self, waiting: Iterable[ActiveJob]) -> None:
        now_s = self._clock.wall_s()
        ages_s: dict[str, list[float]] = defaultdict(list)
        for job in waiting:
            waited_s = now_s - job.spec.accepted_at_s
            ages_s[job.spec.workspace].append(waited_s)
        largest = sorted(ages_s, key=lambda name: -len(ages_s[name]))
        shown: dict[str, list[float]] = dict.fromkeys(self._labelled, [])
        for name in largest[:MAX_WORKSPACE_LABELS]:
            shown[name] = ages_s[name]
        rest = largest[MAX_WORKSPACE_LABELS:]
        if rest:
            shown[OTHERS] = [age for name in rest for age in ages_s[name]]
        for name, ages in shown.items():
            labels = {'workspace': name}
            metrics.workspace_waiting_jobs.set(len(ages), labels)
            oldest_s = max(ages, default=0.0)
            metrics.workspace_oldest_waiting_s.set(oldest_s, labels)
        # A workspace where nothing waits any more is set to zero once.
        self._labelled = {name for name, ages in shown.items() if ages}

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
            if found[job.spec.queue.priority] >= MAX_LOGGED_JOBS:
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
        """Return the other jobs of its service with reserved capacity."""
        others = (self._term.jobs.get(job_id) for job_id in reserved_for)
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
        capacities: Sequence[WorkerCapacity],
    ) -> WorkerCounts:
        """Count the workers of a job's service by state.

        :param capacities: those that accept work.
        """
        service = job.spec.queue.service
        listed = [
            session
            for session in self._term.sessions.values()
            if session.listed and session.entry.service == service
        ]
        return WorkerCounts(
            listed=len(listed),
            usable=len(capacities),
            empty=sum(1 for capacity in capacities if not capacity.runs),
            with_suspect=sum(
                1 for capacity in capacities if capacity.held_exclusively
            ),
        )

    def _log(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        reason: str,
        other_jobs: Sequence[str],
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
            kept_for=other_jobs[:MAX_NAMED_JOBS],
            workers_listed=counts.listed,
            workers_usable=counts.usable,
            workers_empty=counts.empty,
            workers_with_suspect=counts.with_suspect,
            waited_s=round(self._clock.wall_s() - spec.accepted_at_s, 1),
            begun=job.begun,
        )


def _accepted_at_s(job: ActiveJob) -> float:
    return job.spec.accepted_at_s


__all__ = ('WaitingReporter', 'WorkerCounts')
