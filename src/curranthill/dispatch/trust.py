"""What the ends that workers list tell of the workers themselves."""

from collections.abc import Iterable, Mapping

from curranthill.clock import Clock
from curranthill.dispatch.session import WorkerSession
from curranthill.dispatch.workers import DONE, RUN_FAILED, EndReport
from curranthill.placement import (
    HELD_S,
    ON_TRIAL,
    RUNNING,
    ActiveJob,
    Standing,
    StartWatch,
)
from curranthill.tasks import TaskKey
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events


class WorkerTrust:
    """Keeps the records of all workers, and tells of those on trial.

    :param sessions: by worker; each holds the record of its incarnation.
    """

    def __init__(
        self,
        *,
        sessions: Mapping[str, WorkerSession],
        clock: Clock,
    ) -> None:
        """Start with nothing known of any worker."""
        self._sessions = sessions
        self._clock = clock
        self._starts: dict[str, StartWatch] = {}
        self._on_trial: set[str] = set()

    def note_starts(self, worker_ids: Iterable[str]) -> None:
        """Take note of workers that are given something to start."""
        now_s = self._clock.monotonic_s()
        for worker_id in worker_ids:
            session = self._sessions[worker_id]
            if not session.record.troubles:
                self._starts_of(session).note_start(now_s)

    def note_end(
        self,
        session: WorkerSession,
        job: ActiveJob | None,
        end: EndReport,
    ) -> None:
        """Take note of an end, while its run is still known."""
        now_s = self._clock.monotonic_s()
        if end.kind == DONE:
            run = session.runs.get((end.task, end.attempt))
            if run is not None:
                session.record.note_held(run.settled_s, now_s)
        elif end.kind == RUN_FAILED:
            task = job.members_of(end.task)[0] if job else end.task
            if session.record.note_trouble(task, now_s):
                self._starts_of(session).note_surprise(now_s)
            if job is not None:
                job.note_failure(end.task, session.worker_id)
                self._excuse_workers(job, task)

    def standing(self, session: WorkerSession) -> Standing:
        """Return how far a worker is trusted now."""
        now_s = self._clock.monotonic_s()
        record = session.record
        wave_began_s = self._starts_of(session).wave_began_s
        if record.troubles or wave_began_s is not None:
            for run in session.runs.values():
                if run.state == RUNNING and now_s - run.settled_s >= HELD_S:
                    record.note_held(run.settled_s, now_s)
        standing = record.standing(now_s, wave_began_s)
        if (standing.trust == ON_TRIAL) != (
            session.worker_id in self._on_trial
        ):
            self._tell(session, standing)
        return standing

    def look_for_waves(self) -> None:
        """Find out which services are in a wave of failures."""
        now_s = self._clock.monotonic_s()
        for watch in self._starts.values():
            watch.look(now_s)

    def risky_services(self) -> frozenset[str]:
        """Return the services that are in a wave of failures."""
        return frozenset(
            service for service, watch in self._starts.items() if watch.is_wave
        )

    def wary_services(self) -> frozenset[str]:
        """Return the services that are in a wave or were in one of late."""
        return frozenset(
            service
            for service, watch in self._starts.items()
            if watch.wave_began_s is not None
        )

    def show(self) -> None:
        """Set the gauge of workers on trial, those of the past left out."""
        for session in list(self._sessions.values()):
            if session.worker_id in self._on_trial:
                self.standing(session)
        self._on_trial.intersection_update(self._sessions)
        metrics.workers_doubted.set(len(self._on_trial))

    def _starts_of(self, session: WorkerSession) -> StartWatch:
        return self._starts.setdefault(session.entry.service, StartWatch())

    def _excuse_workers(self, job: ActiveJob, task: TaskKey) -> None:
        """Hold a task's failures against itself if sound workers failed it."""
        now_s = self._clock.monotonic_s()
        failed_on = job.failed_on(task)
        known = map(self._sessions.get, failed_on)
        records = [session.record for session in known if session]
        sound = any(one.is_sound_but_for(task, now_s) for one in records)
        if sound and len(failed_on) > 1:
            for record in records:
                record.excuse(task)

    def _tell(self, session: WorkerSession, standing: Standing) -> None:
        """Tell that a worker is on trial from now on, or no longer."""
        record = session.record
        if standing.trust == ON_TRIAL:
            self._on_trial.add(session.worker_id)
            events.log(
                'worker_doubted',
                worker=session.worker_id,
                reason=f'{len(record.troubles)} runs failed or stood still',
                tasks=[str(one.task) for one in record.troubles],
            )
            return
        self._on_trial.discard(session.worker_id)
        held = 'a start held since'
        forgotten = 'nothing is held against it any more'
        events.log(
            'worker_trusted',
            worker=session.worker_id,
            reason=held if record.troubles else forgotten,
        )


__all__ = ('WorkerTrust',)
