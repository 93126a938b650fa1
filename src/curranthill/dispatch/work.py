"""The work of one term: jobs, their runs, and what is learnt of both.

Whatever is kept here is in the store or at the workers too, so that any host
can take over.
"""

import asyncio
from typing import Final

from curranthill.clock import Clock
from curranthill.dispatch.cleanup import IntakeCleanup
from curranthill.dispatch.crashes import LossCounts
from curranthill.dispatch.journal import Journal
from curranthill.dispatch.learning import Learning
from curranthill.dispatch.leadership import RENEW_WITHOUT_STORE_S, Leadership
from curranthill.dispatch.session import WorkerSession
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
    tables,
)
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events
from curranthill.telemetry.labels import workspace_labels

#: Orders are given only so long after a confirmed write, in seconds: below
#: the silence after which another host takes over.
ORDER_FRESHNESS_S: Final = 1.2


class Work:
    """Jobs and runs; told by sessions, asked by rounds, stored by a journal.

    :param ended_at_s: jobs of which only the state is kept, and their ends in
        wall-clock seconds.
    :param changed: set whenever a round of placement may find something new.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        leadership: Leadership,
        journal: Journal,
        spawner: Spawner,
        cleanup: IntakeCleanup,
    ) -> None:
        """Start without jobs and workers."""
        self._cleanup = cleanup
        self.jobs: dict[str, ActiveJob] = {}
        self.ended_at_s: dict[str, float] = {}
        self.sessions: dict[str, WorkerSession] = {}
        self.changed = asyncio.Event()
        self._clock = clock
        self._leadership = leadership
        self._journal = journal
        self._spawner = spawner
        self.learning = Learning()
        self._cancelled: set[str] = set()
        self._losses = LossCounts(
            jobs=self.jobs,
            journal=journal,
            give_up=self._end_job,
        )

    # What sessions ask and tell.

    def may_renew(self) -> bool:
        """Return whether leases may still be extended."""
        if self._leadership.resigning:
            return False
        return self._leadership.age_s < RENEW_WITHOUT_STORE_S

    def may_order(self) -> bool:
        """Return whether starts and stops may still be ordered."""
        over = self._leadership.lost or self._leadership.resigning
        return not over and self._leadership.age_s < ORDER_FRESHNESS_S

    def session_changed(self, session: WorkerSession) -> None:
        """Make a round soon."""
        self.changed.set()

    def run_reported(self, session: WorkerSession, run: Run) -> None:
        """Keep the newest checkpoint; stop runs of jobs that are over."""
        job = self.jobs.get(run.key.job_id)
        if job is None or job.ended or job.runs.get(run.key) is not run:
            run.stop_wanted = True
            self._spawner.spawn(session.stop(run))
            return
        task = job.progress.peek(run.key)
        if task is None:
            return
        if run.checkpoint:
            task.checkpoint = run.checkpoint
        self.learning.note(session, job, run)
        self._losses.clear_if_lasting(run)

    def fenced(self, session: WorkerSession) -> None:
        """End the term: a worker has seen another leader's token."""
        events.log('fenced', worker=session.worker_id, token=session.token)
        self._leadership.abandon()
        self._spawner.over.set()

    def stop_again(self, session: WorkerSession, run: Run) -> None:
        """Order a stop once more that has had no effect yet."""
        self._spawner.spawn(session.stop(run))

    def run_ended(self, session: WorkerSession, end: EndReport) -> None:
        """Note an end in its job's progress, if it is the newest run's."""
        job = self.jobs.get(end.task.job_id)
        counts = job is not None and self._counts(job, end, session.worker_id)
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
            session.troubles_s.append(self._clock.monotonic_s())
        elif end.kind == DONE:
            session.troubles_s.clear()
        if job is None:
            return
        run = job.runs.get(end.task)
        if run is not None and run.attempt == end.attempt:
            job.runs.pop(end.task)
            if end.kind == DONE and not job.step_of(end.task).gang:
                self.learning.note(session, job, run)
        if counts:
            self._note_end(job, end)
            self._journal.note(job)
            self.changed.set()
        self._settle(job)

    def run_vanished(
        self,
        session: WorkerSession,
        run: Run,
        reason: str,
    ) -> None:
        """Let the task start anew: this run will never exist again."""
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
        job = self.jobs.get(run.key.job_id)
        if job is None:
            return
        if job.runs.get(run.key) is run:
            job.runs.pop(run.key)
        self._settle(job)
        task = job.progress.peek(run.key)
        if task is None or task.attempt != run.attempt or task.done:
            return
        task.worker = ''
        self._stop_fellows(job, run.key, run.attempt)
        self._journal.note(job)
        self._losses.note(run, reason, leaving=session.entry.leaving)

    def loss_settled(self, run: Run, *, crashed: bool) -> None:
        """Count a lapsed run as a crash of its worker, or not at all."""
        self._losses.settle(run, crashed=crashed)

    def needs_of(self, key: TaskKey) -> Resources:
        """Return the room a task takes."""
        job = self.jobs.get(key.job_id)
        if job is None or key.step >= len(job.spec.steps):
            return Resources()
        return resources_needed(job.step_of(key))

    async def ends_saved(self) -> None:
        """Return once all ends noted so far are stored."""
        await self._journal.saved()

    # Jobs.

    def take_job(self, spec: JobSpec, progress: JobProgress) -> ActiveJob:
        """Take in an accepted job."""
        job = ActiveJob(spec=spec, progress=progress)
        self.jobs[spec.job_id] = job
        return job

    def recovered(self, job: ActiveJob) -> None:
        """Go on with a job whose stored runs have been taken in."""
        if job.spec.job_id in self._cancelled:
            self.cancel(job.spec.job_id)
        self._settle(job)

    def handed_in_again(self, job_id: str) -> None:
        """Drop the new row of a job that is known already."""
        if job_id in self.ended_at_s:
            self._cleanup.add(job_id)

    def cancel(self, job_id: str) -> None:
        """Cancel a job, known already or not."""
        self._cancelled.add(job_id)
        job = self.jobs.get(job_id)
        if job is not None and not job.ended:
            self._end_job(job, CANCELLED)

    def empty_leaving_workers(self) -> None:
        """Stop what can go on elsewhere from its checkpoint."""
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
        """Drop the state of a job that ended long ago.

        As long as the job's own row may be there its state stays: without it
        the job would be taken for a new one.
        """
        if self._cleanup.awaits(job_id):
            return
        self.ended_at_s.pop(job_id)
        self._journal.remove(RowRemoval(tables.PROGRESS, job_id))
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
        """Add a run that takes room at its worker from now on."""
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
        """Take a stored mark as a run that may exist."""
        task = job.progress.task(key)
        run = self.new_run(job, key, task.attempt, session)
        run.state = UNKNOWN
        run.exclusive = job.is_exclusive(key)
        run.incarnation = task.incarnation
        run.checkpoint = task.checkpoint
        session.wake()

    # Ends.

    def _counts(self, job: ActiveJob, end: EndReport, worker_id: str) -> bool:
        """Return whether an end tells something of its task.

        It is that of the newest run, or a late "done" of a run that was
        given up when its lease lapsed: then the newer run is needless.
        """
        task = job.progress.peek(end.task)
        if task is None or task.done or job.ended:
            return False
        if task.attempt != end.attempt:
            return end.kind == DONE
        return task.worker == worker_id or end.kind == DONE

    def _note_end(self, job: ActiveJob, end: EndReport) -> None:
        task = job.progress.task(end.task)
        if task.attempt == end.attempt:
            task.worker = ''
        if end.checkpoint and job.step_of(end.task).checkpointable:
            task.checkpoint = end.checkpoint
        if end.kind == DONE and not job.step_of(end.task).perpetual:
            self.finish(job, end.task, end.attempt)
        elif end.kind == RUN_FAILED:
            self._note_failure(job, end)
        else:
            self._stop_fellows(job, end.task, end.attempt)

    def _settle(self, job: ActiveJob) -> None:
        """Drop what nobody needs of a job that ended and runs no more.

        A leader that takes over then reads only the jobs that matter: with
        400 ended jobs, a host with 5 Mbit/s took over a second for the rest.
        """
        job_id = job.spec.job_id
        if job_id not in self.jobs or not job.ended or job.runs:
            return
        metrics.jobs_ended.add(1, {'state': job.progress.state})
        self.jobs.pop(job_id)
        self.ended_at_s[job_id] = job.progress.ended_at_s
        job.progress.tasks.clear()
        job.progress.done_steps.clear()
        self._journal.note(job)
        self._cleanup.add(job_id)

    def finish(self, job: ActiveJob, key: TaskKey, attempt: int = 0) -> None:
        """Take a task and its fellows as done.

        :param attempt: runs of any other attempt are needless and stopped.
        """
        for member in job.members_of(key):
            task = job.progress.task(member)
            task.done = True
            task.worker = ''
            run = job.runs.get(member)
            if run is not None and run.attempt != attempt:
                self.stop_run(run)
        self.complete(job)

    def complete(self, job: ActiveJob) -> None:
        """End a job if all its tasks are done."""
        self._journal.note(job)
        now_s = self._clock.wall_s()
        if job.check_completed(now_s):
            events.log(
                'job_completed',
                job=job.spec.job_id,
                took_s=round(now_s - job.spec.accepted_at_s, 2),
                late_s=round(now_s - job.spec.objective_s, 2),
            )
            self._settle(job)

    def _note_failure(self, job: ActiveJob, end: EndReport) -> None:
        failures = 0
        for key in job.members_of(end.task):
            task = job.progress.task(key)
            if end.attempt > task.failed_attempt:
                # Other members of this attempt may have failed too.
                task.failed_attempt = end.attempt
                task.failures += 1
            failures = max(failures, task.failures)
        self._stop_fellows(job, end.task, end.attempt)
        if job.step_of(end.task).perpetual:
            return
        if failures >= job.spec.queue.attempts:
            reason = f'Task {end.task} failed {failures} times.'
            self._end_job(job, FAILED, reason)

    def _stop_fellows(self, job: ActiveJob, key: TaskKey, attempt: int) -> None:
        """Stop the rest of a gang that lost one of its members."""
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
        """Make a job's state final and stop what it still runs."""
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
        self._journal.note(job)
        self._settle(job)

    def stop_run(self, run: Run) -> None:
        """Order a run to stop, unless it is stopping already."""
        session = self.sessions.get(run.worker_id)
        if session is None or run.stop_wanted:
            return
        run.stop_wanted = True
        job = self.jobs.get(run.key.job_id)
        workspace = workspace_labels.label(job.spec.workspace if job else '')
        metrics.runs_stopped.add(1, {'workspace': workspace})
        self._spawner.spawn(session.stop(run))


__all__ = ('Work',)
