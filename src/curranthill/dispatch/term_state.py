"""The state of one term: its jobs, their runs and the worker sessions.

All of it is also in the store or at the workers, so that any host can take
over.
"""

import asyncio
from typing import Final

from curranthill.clock import Clock
from curranthill.dispatch.cleanup import IntakeCleanup
from curranthill.dispatch.crashes import UNLISTED, LossCounter
from curranthill.dispatch.first_starts import FirstStarts
from curranthill.dispatch.isolation import JobIsolation, isolated
from curranthill.dispatch.leadership import Leadership
from curranthill.dispatch.progress_writer import ProgressWriter
from curranthill.dispatch.run_estimates import RunEstimates
from curranthill.dispatch.session import WorkerSession
from curranthill.dispatch.silence import SilentWorkers
from curranthill.dispatch.spawner import Spawner
from curranthill.dispatch.workers import DONE, RUN_FAILED, EndReport
from curranthill.placement import (
    ASSIGNED,
    UNKNOWN,
    ActiveJob,
    Run,
    kind_of,
    resources_needed,
)
from curranthill.storage.rows import RowRemoval
from curranthill.tasks import (
    CANCELLED,
    FAILED,
    JobProgress,
    JobSpec,
    JobState,
    Resources,
    TaskKey,
    record_checkpoint,
    tables,
)
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events
from curranthill.telemetry.labels import workspace_labels

#: Orders are given only for this long after a confirmed write, in seconds: less
#: than the silence after which another host takes over.
ORDER_FRESHNESS_S: Final = 1.2


class TermState:
    """Updates jobs and runs from what the worker sessions report.

    Placement rounds read this state, and the progress writer stores it.

    :param ended_at_s: when jobs ended of which only the final state is kept,
        in wall-clock seconds.
    :param changed: set whenever a placement round may find something new.
    :param isolation: sets jobs aside whose events can't be recorded.
    :param losses: counts the runs that are lost with their workers.
    :param run_started: as :meth:`FirstStarts.record`.
    :param is_stored: as :meth:`ProgressWriter.is_stored`.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        leadership: Leadership,
        writer: ProgressWriter,
        spawner: Spawner,
        cleanup: IntakeCleanup,
    ) -> None:
        """Initialize a term without jobs and workers."""
        self._cleanup = cleanup
        self.jobs: dict[str, ActiveJob] = {}
        self.ended_at_s: dict[str, float] = {}
        self.sessions: dict[str, WorkerSession] = {}
        self.changed = asyncio.Event()
        self._clock = clock
        self._leadership = leadership
        self._writer = writer
        self.is_stored = writer.is_stored
        self._spawner = spawner
        self.estimates = RunEstimates()
        self._cancelled: set[str] = set()
        self.run_started = FirstStarts(
            clock=clock, jobs=self.jobs, writer=writer
        ).record
        self.isolation = JobIsolation(jobs=self.jobs, writer=writer)
        self.losses = LossCounter(
            clock=clock,
            jobs=self.jobs,
            writer=writer,
            give_up=self._end_job,
            isolated=self.isolation.of,
        )

    # The interface that worker sessions use, see `SessionOwner`.

    def may_renew(self) -> bool:
        """Return whether leases may still be extended."""
        return self._leadership.may_renew

    @property
    def silent_workers(self) -> SilentWorkers:
        """Return the workers that do not respond, as stored."""
        return self._leadership.silent

    def may_order(self) -> bool:
        """Return whether starts and stops may still be ordered."""
        over = self._leadership.lost or self._leadership.resigning
        return not over and self._leadership.age_s < ORDER_FRESHNESS_S

    def session_changed(self, session: WorkerSession) -> None:
        """Request a placement round."""
        self.changed.set()

    @isolated
    def run_reported(self, session: WorkerSession, run: Run) -> None:
        """Store the newest checkpoint; stop runs of jobs that have ended."""
        job = self.jobs.get(run.key.job_id)
        if job is None or job.ended or job.runs.get(run.key) is not run:
            run.stop_wanted = True
            self._spawner.spawn_isolated(session.stop(run), name='stop')
            return
        task = job.progress.find_task(run.key)
        if task is None:
            return
        record_checkpoint(task, run.checkpoint)
        self.estimates.record(session, job, run)
        self.losses.clear_if_perpetual(run)

    def fenced(self, session: WorkerSession) -> None:
        """End the term, as a worker has seen another leader's token."""
        events.log('fenced', worker=session.worker_id, token=session.token)
        self._leadership.abandon()
        self._spawner.over.set()

    def resend_stop(self, session: WorkerSession, run: Run) -> None:
        """Order a stop again that has had no effect yet."""
        self._spawner.spawn_isolated(session.stop(run), name='stop')

    @isolated
    def run_ended(self, session: WorkerSession, end: EndReport) -> None:
        """Record the end of a run in its job's progress, if it counts."""
        self.run_started(end.task.job_id)
        job = self.jobs.get(end.task.job_id)
        counts = job is not None and self._end_counts(
            job, end, session.worker_id
        )
        events.log(
            'run_ended',
            task=str(end.task),
            attempt=end.attempt,
            how=end.kind,
            worker=session.worker_id,
            number=end.number,
            counts=counts,
        )
        metrics.runs_ended.add(1, {'how': end.kind})
        if end.kind == RUN_FAILED:
            session.failure_times_s.append(self._clock.monotonic_s())
        elif end.kind == DONE:
            session.failure_times_s.clear()
        if job is None:
            return
        run = job.runs.get(end.task)
        if run is not None and run.attempt == end.attempt:
            job.runs.pop(end.task)
            if end.kind == DONE and not job.step_of(end.task).gang:
                self.estimates.record(session, job, run)
        if counts:
            self._record_end(job, end)
            self._writer.record(job)
            self.changed.set()
        self._drop_if_ended(job)

    @isolated
    def run_absent(
        self,
        session: WorkerSession,
        run: Run,
        reason: str,
    ) -> None:
        """Release the task of a run that does not exist and never will."""
        events.log(
            'run_vanished',
            task=str(run.key),
            attempt=run.attempt,
            worker=session.worker_id,
            reason=reason,
            state=run.state,
            worked_s=round(run.age_s, 2),
            worker_leaving=session.entry.leaving,
        )
        self.changed.set()
        if reason == UNLISTED:
            # The worker has confirmed its start and does not run it.
            session.failure_times_s.append(self._clock.monotonic_s())
        job = self.jobs.get(run.key.job_id)
        if job is None:
            return
        if job.runs.get(run.key) is run:
            job.runs.pop(run.key)
        self._drop_if_ended(job)
        task = job.progress.find_task(run.key)
        if task is None or task.attempt != run.attempt or task.done:
            return
        task.worker = ''
        self._stop_other_members(job, run.key, run.attempt)
        self._writer.record(job)
        self.losses.record(run, reason, draining=session.entry.leaving)

    def losses_resolved(
        self, worker_id: str, *, crashed: bool, incarnation: int = 0
    ) -> None:
        """Count runs with expired leases as crashes, or not as losses."""
        self.losses.resolve(worker_id, crashed=crashed, incarnation=incarnation)

    def needs_of(self, key: TaskKey) -> Resources:
        """Return the resources of a task; none if its job is not known."""
        job = self.jobs.get(key.job_id)
        if job is None or key.step >= len(job.spec.steps):
            return Resources()
        return resources_needed(job.step_of(key))

    async def ends_stored(self) -> None:
        """Return once all that was recorded so far is stored, or rejected."""
        await self._writer.stored()

    # Jobs.

    def add_job(self, spec: JobSpec, progress: JobProgress) -> ActiveJob:
        """Add an accepted job."""
        job = ActiveJob(spec=spec, progress=progress)
        self.jobs[spec.job_id] = job
        return job

    def resume_job(self, job: ActiveJob) -> None:
        """Resume a job whose stored runs have been recovered."""
        if job.spec.job_id in self._cancelled:
            self.cancel(job.spec.job_id)
        self.losses.track(job)
        self._drop_if_ended(job)

    def drop_duplicate(self, job_id: str) -> None:
        """Remove the new intake row of a job that is already known."""
        if job_id in self.ended_at_s:
            self._cleanup.add(job_id)

    def cancel(self, job_id: str) -> None:
        """Cancel a job, also one whose row has not been read yet."""
        self._cancelled.add(job_id)
        job = self.jobs.get(job_id)
        if job is not None and not job.ended:
            self._end_job(job, CANCELLED)

    def evacuate_draining_workers(self) -> None:
        """Stop runs on draining workers that can continue elsewhere."""
        for session in self.sessions.values():
            if not session.entry.leaving:
                continue
            for run in list(session.runs.values()):
                if run.checkpointable and not run.stop_wanted:
                    events.log(
                        'moved_away',
                        task=str(run.key),
                        worker=session.worker_id,
                    )
                    self.stop_run(run)

    def forget(self, job_id: str) -> None:
        """Remove the stored state of a job that ended long ago.

        It is kept while the job's intake row may exist: without it, that row
        would be taken for a new job.
        """
        if self._cleanup.is_pending(job_id):
            return
        self.ended_at_s.pop(job_id)
        self._writer.remove(RowRemoval(tables.PROGRESS, job_id))
        if job_id in self._cancelled:
            self._cancelled.discard(job_id)
            self._cleanup.add(tables.cancel_key(job_id))

    def new_run(
        self,
        job: ActiveJob,
        key: TaskKey,
        attempt: int,
        session: WorkerSession,
    ) -> Run:
        """Add a run that uses capacity of its worker from now on."""
        step = job.step_of(key)
        run = Run(
            key=key,
            attempt=attempt,
            worker_id=session.worker_id,
            needs=resources_needed(step),
            priority=job.spec.queue.priority,
            checkpointable=step.checkpointable,
            state=ASSIGNED,
            now_s=self._clock.monotonic_s(),
            estimate_s=step.run_s,
            perpetual=step.perpetual,
            kind=kind_of(step),
            incarnation=session.incarnation,
        )
        job.reset_wait(key)
        session.runs[run.name] = run
        job.runs[key] = run
        return run

    def recover_run(
        self,
        job: ActiveJob,
        key: TaskKey,
        session: WorkerSession,
    ) -> None:
        """Recover a run that may exist from a stored assignment."""
        task = job.progress.task(key)
        run = self.new_run(job, key, task.attempt, session)
        run.state = UNKNOWN
        run.exclusive = job.is_exclusive(key)
        run.incarnation = task.incarnation
        run.checkpoint = task.checkpoint
        session.wake()

    # Ends.

    def _end_counts(
        self, job: ActiveJob, end: EndReport, worker_id: str
    ) -> bool:
        """Return whether the end of a run says something about its task.

        It does if the run is the newest one, and also if a run that was
        dropped when its lease expired turns out to be done: a newer run is
        then superfluous.
        """
        task = job.progress.find_task(end.task)
        if task is None or task.done or job.ended:
            return False
        if task.attempt != end.attempt:
            return end.kind == DONE
        return task.worker == worker_id or end.kind == DONE

    def _record_end(self, job: ActiveJob, end: EndReport) -> None:
        task = job.progress.task(end.task)
        if task.attempt == end.attempt:
            task.worker = ''
        if job.step_of(end.task).checkpointable:
            record_checkpoint(task, end.checkpoint)
        if end.kind == DONE and not job.step_of(end.task).perpetual:
            self.finish_task(job, end.task, end.attempt)
        elif end.kind == RUN_FAILED:
            self._record_failure(job, end)
        else:
            self._stop_other_members(job, end.task, end.attempt)

    def _drop_if_ended(self, job: ActiveJob) -> None:
        """Reduce a job that has ended and has no runs to its final state.

        A leader that takes over then reads only the jobs that still matter:
        reading 400 ended jobs in full took a host with 5 Mbit/s over a second.
        """
        job_id = job.spec.job_id
        if job_id not in self.jobs or not job.ended or job.runs:
            return
        metrics.jobs_ended.add(1, {'state': job.progress.state})
        self.jobs.pop(job_id)
        self.losses.forget(job)
        self.ended_at_s[job_id] = job.progress.ended_at_s
        job.progress.tasks.clear()
        job.progress.done_steps.clear()
        job.progress.done_ranges.clear()
        self._writer.record(job)
        self._cleanup.add(job_id)

    def finish_task(
        self, job: ActiveJob, key: TaskKey, attempt: int = 0
    ) -> None:
        """Set a task, and the other members of its gang, to done.

        :param attempt: runs of any other attempt are superfluous and stopped.
        """
        for member in job.members_of(key):
            task = job.progress.task(member)
            task.done = True
            task.worker = ''
            run = job.runs.get(member)
            if run is not None and run.attempt != attempt:
                self.stop_run(run)
        job.step_done(key.occurrence, key.step)
        self.check_completion(job)

    def check_completion(self, job: ActiveJob) -> None:
        """End a job if all its tasks are done."""
        self._writer.record(job)
        now_s = self._clock.wall_s()
        if job.check_completed(now_s):
            events.log(
                'job_completed',
                job=job.spec.job_id,
                took_s=round(now_s - job.spec.accepted_at_s, 2),
                late_s=round(now_s - job.spec.objective_s, 2),
            )
            self._drop_if_ended(job)

    def _record_failure(self, job: ActiveJob, end: EndReport) -> None:
        failures = 0
        for key in job.members_of(end.task):
            task = job.progress.task(key)
            if end.attempt > task.failed_attempt:
                # An attempt counts once, however many members fail.
                task.failed_attempt = end.attempt
                task.failures += 1
            failures = max(failures, task.failures)
        self._stop_other_members(job, end.task, end.attempt)
        if job.step_of(end.task).perpetual:
            return
        if failures >= job.spec.queue.attempts:
            reason = f'Task {end.task} failed {failures} times.'
            self._end_job(job, FAILED, reason)

    def _stop_other_members(
        self, job: ActiveJob, key: TaskKey, attempt: int
    ) -> None:
        """Stop the rest of a gang after one of its members was lost."""
        for member in job.members_of(key):
            run = job.runs.get(member)
            if run is not None and run.attempt == attempt and member != key:
                self.stop_run(run)

    def _end_job(
        self,
        job: ActiveJob,
        state: JobState,
        reason: str = '',
    ) -> None:
        """Set a job's final state and stop its remaining runs."""
        job.progress.state = state
        job.progress.reason = reason
        job.progress.ended_at_s = self._clock.wall_s()
        events.log(
            'job_ended',
            job=job.spec.job_id,
            state=state,
            reason=reason,
        )
        for run in list(job.runs.values()):
            self.stop_run(run)
        self._writer.record(job)
        self._drop_if_ended(job)

    def stop_run(self, run: Run) -> None:
        """Order a run to stop, unless it is being stopped already."""
        session = self.sessions.get(run.worker_id)
        if session is None or run.stop_wanted:
            return
        run.stop_wanted = True
        job = self.jobs.get(run.key.job_id)
        workspace = workspace_labels.label(job.spec.workspace if job else '')
        metrics.runs_stopped.add(1, {'workspace': workspace})
        self._spawner.spawn_isolated(session.stop(run), name='stop')


__all__ = ('TermState',)
