"""The leader's term: takes in jobs, places tasks, notes ends, stores all.

Whatever the leader believes is in the store or at the workers, so that any
host can take over. A start is stored before it is ordered, and an end is
stored before it is acknowledged.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, Protocol

import msgspec

from curranthill.clock import Clock, wait_at_most
from curranthill.dispatch.jobs import ActiveJob, checkpoint_of
from curranthill.dispatch.journal import Journal
from curranthill.dispatch.leadership import Leadership, LeadershipLostError
from curranthill.dispatch.planner import Placement, Planner
from curranthill.dispatch.rooms import Room, room_needed
from curranthill.dispatch.runs import MARKED, STOPPING, UNKNOWN, Run
from curranthill.dispatch.session import RENEW_WITHOUT_STORE_S, WorkerSession
from curranthill.dispatch.workers import (
    DONE,
    RUN_FAILED,
    EndReport,
    WorkerConnector,
    WorkerEntry,
)
from curranthill.errors import StorageError
from curranthill.storage.rows import (
    HistoryLostError,
    RowRemoval,
    RowStore,
    StoredRow,
)
from curranthill.tasks import (
    CANCELLED,
    FAILED,
    QUEUED,
    RUNNING,
    JobProgress,
    JobSpec,
    Resources,
    Revision,
    TaskKey,
    Timing,
    decode,
    tables,
)
from curranthill.telemetry.events import events

#: Orders are given only so long after a confirmed write, in seconds: below
#: the silence after which another host takes over.
ORDER_FRESHNESS_S: Final = 1.2

#: The pause between two rounds of placement, in seconds: lets news that
#: comes together be decided together.
ROUND_PAUSE_S: Final = 0.004

#: A round is made at least so often, in seconds, for what becomes due.
ROUND_INTERVAL_S: Final = 0.25

#: The pause after a failed read of the store, in seconds.
READ_RETRY_S: Final = 0.2

#: How long one reading of a feed waits at the store, in seconds: a reading
#: that was lost in an outage is found out and repeated so soon.
FEED_WAIT_S: Final = 1.0

#: A worker whose tasks failed so often within the memory is avoided.
DISTRUST_FAILURES: Final = 2

#: How long a failed run counts against its worker, in seconds.
FAILURE_MEMORY_S: Final = 10.0

#: Rows of ended jobs are kept so much longer than promised, in seconds.
KEEP_MARGIN_S: Final = 30.0

#: How often rows of ended jobs are looked for, in seconds.
SWEEP_INTERVAL_S: Final = 10.0


class WorkerFeed(Protocol):
    """What the leader needs to follow the platform's list of workers."""

    @property
    def table(self) -> str:
        """Return the table that workers register in."""

    def decode(self, row: StoredRow) -> WorkerEntry:
        """Return a worker's entry."""


class RevisionSource(Protocol):
    """Holds the configuration in force."""

    @property
    def current(self) -> Revision | None:
        """Return the configuration, or nothing before the first."""


class Leader:
    """One term of leadership."""

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        leadership: Leadership,
        connector: WorkerConnector,
        worker_feed: WorkerFeed,
        timing: Timing,
        revision: RevisionSource,
    ) -> None:
        """Start with nothing known."""
        self._store = store
        self._clock = clock
        self._leadership = leadership
        self._connector = connector
        self._worker_feed = worker_feed
        self._timing = timing
        self._revision = revision
        self._journal = Journal(leadership=leadership, clock=clock)
        self._jobs: dict[str, ActiveJob] = {}
        self._cancelled: set[str] = set()
        self._sessions: dict[str, WorkerSession] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        self._over = asyncio.Event()

    async def run(self) -> None:
        """Lead until the term is over or the task is cancelled."""
        events.log('leading', epoch=self._leadership.epoch)
        try:
            self._spawn(self._keep_journal())
            # Jobs first: an end that a worker reports must find its job.
            intake = await self._load_jobs()
            servers = await self._load_workers()
            self._spawn(self._follow(self._worker_feed.table, servers))
            self._spawn(self._follow(tables.INTAKE, intake))
            self._spawn(self._plan_rounds())
            self._spawn(self._sweep())
            await self._over.wait()
        except LeadershipLostError as lost:
            events.log('term_over', reason=str(lost))
        finally:
            self._leadership.abandon()
            await self._end_tasks()

    async def step_down(self) -> None:
        """Store what is known and give leadership to whoever comes first."""
        try:
            await self._journal.saved()
            await self._leadership.write(holder='')
        except LeadershipLostError as lost:
            events.log('step_down_needless', reason=str(lost))
        self._over.set()

    # What sessions ask and tell.

    def may_renew(self) -> bool:
        """Return whether leases may still be extended."""
        return self._leadership.age_s < RENEW_WITHOUT_STORE_S

    def may_order(self) -> bool:
        """Return whether starts and stops may still be ordered."""
        lost = self._leadership.lost
        return not lost and self._leadership.age_s < ORDER_FRESHNESS_S

    def session_changed(self, session: WorkerSession) -> None:
        """Make a round soon."""
        self._changed.set()

    def run_reported(self, session: WorkerSession, run: Run) -> None:
        """Keep the newest checkpoint; stop runs of jobs that are over."""
        job = self._jobs.get(run.key.job_id)
        if job is None or job.ended or job.runs.get(run.key) is not run:
            self._spawn(session.stop(run))
            return
        if run.checkpoint:
            job.progress.task(run.key).checkpoint = run.checkpoint

    def run_ended(self, session: WorkerSession, end: EndReport) -> None:
        """Note an end in its job's progress, if it is the newest run's."""
        events.log(
            'run_ended',
            task=str(end.task),
            attempt=end.attempt,
            how=end.kind,
            worker=session.worker_id,
            number=end.number,
        )
        if end.kind == RUN_FAILED:
            session.failed_ends_s.append(self._clock.monotonic_s())
        elif end.kind == DONE:
            session.failed_ends_s.clear()
        job = self._jobs.get(end.task.job_id)
        if job is None:
            return
        run = job.runs.get(end.task)
        if run is not None and run.attempt == end.attempt:
            job.runs.pop(end.task)
        task = job.progress.peek(end.task)
        if task is None or task.attempt != end.attempt or job.ended:
            return
        if task.worker != session.worker_id and not task.done:
            return
        task.worker = ''
        if end.checkpoint and job.step_of(end.task).checkpointable:
            task.checkpoint = end.checkpoint
        if end.kind == DONE:
            self._note_done(job, end)
        elif end.kind == RUN_FAILED:
            self._note_failure(job, end)
        elif not task.done:
            self._stop_fellows(job, end.task, end.attempt)
        self._journal.note(job)
        self._changed.set()

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
        )
        self._changed.set()
        job = self._jobs.get(run.key.job_id)
        if job is None:
            return
        if job.runs.get(run.key) is run:
            job.runs.pop(run.key)
        task = job.progress.peek(run.key)
        if task is None or task.attempt != run.attempt or task.done:
            return
        task.worker = ''
        self._stop_fellows(job, run.key, run.attempt)
        self._journal.note(job)

    def needs_of(self, key: TaskKey) -> Resources:
        """Return the room a task takes."""
        job = self._jobs.get(key.job_id)
        if job is None or key.step >= len(job.spec.steps):
            return Resources()
        return room_needed(job.step_of(key))

    async def ends_saved(self) -> None:
        """Return once all ends noted so far are stored."""
        await self._journal.saved()

    # Ends.

    def _note_done(self, job: ActiveJob, end: EndReport) -> None:
        for key in job.members_of(end.task):
            task = job.progress.task(key)
            task.done = True
            task.worker = ''
        now_s = self._clock.wall_s()
        if job.check_completed(now_s):
            events.log(
                'job_completed',
                job=job.spec.job_id,
                took_s=round(now_s - job.spec.accepted_at_s, 2),
                late_s=round(now_s - job.spec.objective_s, 2),
            )

    def _note_failure(self, job: ActiveJob, end: EndReport) -> None:
        failures = 0
        for key in job.members_of(end.task):
            task = job.progress.task(key)
            task.failures += 1
            failures = max(failures, task.failures)
        self._stop_fellows(job, end.task, end.attempt)
        if job.step_of(end.task).perpetual:
            return
        if failures >= job.spec.queue.attempts:
            self._end_job(job, FAILED)

    def _stop_fellows(self, job: ActiveJob, key: TaskKey, attempt: int) -> None:
        """Stop the rest of a gang that lost one of its members."""
        for member in job.members_of(key):
            run = job.runs.get(member)
            if run is not None and run.attempt == attempt and member != key:
                self._stop_run(run)

    def _end_job(self, job: ActiveJob, state: Any) -> None:
        """Make a job's state final and stop what it still runs."""
        job.progress.state = state
        job.progress.ended_at_s = self._clock.wall_s()
        events.log('job_ended', job=job.spec.job_id, state=state)
        for run in list(job.runs.values()):
            self._stop_run(run)
        self._journal.note(job)

    def _stop_run(self, run: Run) -> None:
        session = self._sessions.get(run.worker_id)
        if session is not None and run.state != STOPPING:
            self._spawn(session.stop(run))

    # Taking in what the store holds.

    async def _load_workers(self) -> int:
        """Open a session with each listed worker; return the version."""
        while True:
            try:
                listed = await self._store.scan(self._worker_feed.table)
            except StorageError as error:
                await self._read_failed(self._worker_feed.table, error)
                continue
            self._take_workers_anew(listed.rows)
            return listed.version

    def _take_workers_anew(self, rows: tuple[StoredRow, ...]) -> None:
        present = {row.key for row in rows}
        for worker_id, session in self._sessions.items():
            if worker_id not in present:
                session.listed = False
                session.wake()
        for row in rows:
            self._take_worker(row)

    async def _load_jobs(self) -> int:
        """Read all jobs with their progress; return the intake's version."""
        while True:
            try:
                intake = await self._store.scan(tables.INTAKE)
                progress = await self._store.scan(tables.PROGRESS)
            except StorageError as error:
                await self._read_failed(tables.INTAKE, error)
                continue
            known = {row.key: row.content for row in progress.rows}
            for row in intake.rows:
                self._take_intake(row, known.get(row.key))
            return intake.version

    async def _follow(self, table: str, version: int) -> None:
        """Take in changes of one table as they come."""
        while True:
            try:
                changes = await self._store.changes(table, version, FEED_WAIT_S)
            except HistoryLostError:
                events.log('feed_history_lost', table=table)
                version = await self._read_again(table)
                continue
            except StorageError as error:
                await self._read_failed(table, error)
                continue
            version = max(version, changes.version)
            for row in changes.rows:
                self._take_row(table, row)

    async def _read_again(self, table: str) -> int:
        if table == tables.INTAKE:
            return await self._load_jobs()
        return await self._load_workers()

    async def _read_failed(self, table: str, error: StorageError) -> None:
        events.log('store_read_failed', table=table, error=str(error))
        await self._clock.sleep(READ_RETRY_S)

    def _take_row(self, table: str, row: StoredRow) -> None:
        if table == tables.INTAKE:
            self._take_intake(row, None)
        elif row.removed:
            session = self._sessions.get(row.key)
            if session is not None:
                session.listed = False
                session.wake()
        else:
            self._take_worker(row)
        self._changed.set()

    def _take_worker(self, row: StoredRow) -> None:
        try:
            entry = self._worker_feed.decode(row)
        except (KeyError, ValueError, TypeError, msgspec.MsgspecError) as error:
            events.log('worker_entry_bad', worker=row.key, error=repr(error))
            return
        session = self._sessions.get(entry.worker_id)
        if session is None or session.gone:
            session = self._open_session(entry)
        elif not session.connected:
            session.connect(self._connector.connect(entry))
        if entry.leaving and not session.entry.leaving:
            events.log('worker_leaving', worker=entry.worker_id)
        session.entry = entry
        session.listed = True

    def _open_session(self, entry: WorkerEntry) -> WorkerSession:
        session = WorkerSession(
            entry=entry,
            worker=self._connector.connect(entry) if entry.address else None,
            owner=self,
            clock=self._clock,
            timing=self._timing,
            epoch=self._leadership.epoch,
        )
        self._sessions[entry.worker_id] = session
        self._spawn(session.run())
        return session

    def _take_intake(self, row: StoredRow, progress: bytes | None) -> None:
        if row.removed:
            return
        if row.key.endswith(tables.CANCEL_SUFFIX):
            self._cancel(row.key.removesuffix(tables.CANCEL_SUFFIX))
            return
        if row.key in self._jobs:
            return
        spec = decode(row.content, JobSpec)
        state = JobProgress(queue=spec.queue.name)
        if progress is not None:
            state = decode(progress, JobProgress)
        job = ActiveJob(spec=spec, progress=state)
        self._jobs[spec.job_id] = job
        self._recover_runs(job)
        if spec.job_id in self._cancelled:
            self._cancel(spec.job_id)

    def _recover_runs(self, job: ActiveJob) -> None:
        """Take each stored mark as a run that may exist."""
        for name, task in job.progress.tasks.items():
            if not task.worker:
                continue
            key = TaskKey.parse(f'{job.spec.job_id}.{name}')
            session = self._sessions.get(task.worker)
            if session is None:
                session = self._open_session(_unlisted(task.worker))
            run = self._new_run(job, key, task.attempt, session)
            run.state = UNKNOWN
            run.checkpoint = task.checkpoint
            session.wake()

    def _cancel(self, job_id: str) -> None:
        self._cancelled.add(job_id)
        job = self._jobs.get(job_id)
        if job is not None and not job.ended:
            self._end_job(job, CANCELLED)

    # Placement.

    async def _plan_rounds(self) -> None:
        """Make a round whenever something has changed."""
        while True:
            await wait_at_most(
                self._changed.wait(),
                timeout_s=ROUND_INTERVAL_S,
                clock=self._clock,
            )
            await self._clock.sleep(ROUND_PAUSE_S)
            self._changed.clear()
            self._plan_round()
            self._note_pending()

    def _plan_round(self) -> None:
        if not self.may_order():
            return
        planner = Planner(
            rooms=self._rooms(),
            guaranteed=self._guaranteed(),
            now_s=self._clock.wall_s(),
            fellows=self._fellows(),
        )
        plan = planner.plan(self._jobs.values())
        for run in plan.victims:
            events.log(
                'preempted',
                task=str(run.key),
                attempt=run.attempt,
                worker=run.worker_id,
                done_percent=run.done_percent,
            )
            self._stop_run(run)
        for placement in plan.placements:
            self._mark(placement)

    def _rooms(self) -> dict[str, list[Room]]:
        rooms: dict[str, list[Room]] = {}
        for session in self._sessions.values():
            if not session.accepts_work:
                continue
            room = Room(
                entry=session.entry,
                runs=session.runs.values(),
                doubt=self._doubt(session),
            )
            rooms.setdefault(session.entry.service, []).append(room)
        return rooms

    def _doubt(self, session: WorkerSession) -> float:
        """Return how many runs failed at a worker of late."""
        oldest_s = self._clock.monotonic_s() - FAILURE_MEMORY_S
        recent = [one for one in session.failed_ends_s if one > oldest_s]
        session.failed_ends_s = recent
        return len(recent) if len(recent) >= DISTRUST_FAILURES else 0

    def _guaranteed(self) -> dict[str, int]:
        revision = self._revision.current
        if revision is None:
            return {}
        return {one.name: one.guaranteed_gpus for one in revision.workspaces}

    def _fellows(self) -> dict[tuple[TaskKey, int], list[Run]]:
        """Return, for runs of gangs, the runs that end with them."""
        fellows: dict[tuple[TaskKey, int], list[Run]] = {}
        for job in self._jobs.values():
            if not any(step.gang for step in job.spec.steps):
                continue
            for run in job.runs.values():
                members = job.members_of(run.key)
                fellows[run.name] = [
                    job.runs[key] for key in members if key in job.runs
                ]
        return fellows

    def _mark(self, placement: Placement) -> None:
        """Store the starts, then order them."""
        job = placement.job
        tasks = tuple(key for key, _ in placement.workers)
        gang = placement.ready.step.gang
        shared = job.next_attempt(tasks)
        checkpoint = ''
        if gang:
            checkpoint = checkpoint_of(
                [job.progress.task(key) for key in tasks],
            )
        runs = []
        for key, worker_id in placement.workers:
            attempt = shared if gang else job.next_attempt((key,))
            task = job.progress.task(key)
            task.attempt = attempt
            task.worker = worker_id
            run = self._new_run(job, key, attempt, self._sessions[worker_id])
            run.checkpoint = checkpoint if gang else task.checkpoint
            runs.append(run)
        if job.progress.state == QUEUED:
            job.progress.state = RUNNING
        events.log(
            'placed',
            job=job.spec.job_id,
            step=placement.ready.number,
            occurrence=placement.ready.occurrence,
            tasks=[f'{run.key.rank}@{run.worker_id}' for run in runs],
            attempt=shared,
        )
        self._journal.note(job)
        self._spawn(self._start(job, runs))

    def _new_run(
        self,
        job: ActiveJob,
        key: TaskKey,
        attempt: int,
        session: WorkerSession,
    ) -> Run:
        run = Run(
            key=key,
            attempt=attempt,
            worker_id=session.worker_id,
            needs=room_needed(job.step_of(key)),
            priority=job.spec.queue.priority,
            checkpointable=job.step_of(key).checkpointable,
            state=MARKED,
            now_s=self._clock.monotonic_s(),
        )
        session.runs[run.name] = run
        job.runs[key] = run
        return run

    async def _start(self, job: ActiveJob, runs: list[Run]) -> None:
        """Order the starts once they are stored, one worker after another."""
        try:
            await self._journal.saved()
        except LeadershipLostError:
            return
        by_worker: dict[str, list[Run]] = {}
        for run in runs:
            by_worker.setdefault(run.worker_id, []).append(run)
        await asyncio.gather(
            *(self._start_at(job, group) for group in by_worker.values()),
        )

    async def _start_at(self, job: ActiveJob, runs: list[Run]) -> None:
        session = self._sessions[runs[0].worker_id]
        for run in runs:
            if job.ended:
                await session.stop(run)
            else:
                await session.start(run, job.spec.payload)

    def _note_pending(self) -> None:
        """Count each queue's jobs of which nothing has started."""
        counts: dict[str, int] = {}
        for job in self._jobs.values():
            if not job.ended and not job.begun:
                name = job.spec.queue.name
                counts[name] = counts.get(name, 0) + 1
        self._journal.note_pending(msgspec.json.encode(counts))

    # Housekeeping.

    async def _sweep(self) -> None:
        """Remove the rows of jobs that ended long ago."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_S)
            oldest_s = (
                self._clock.wall_s() - self._timing.status_s - KEEP_MARGIN_S
            )
            for job in list(self._jobs.values()):
                if job.ended and not job.runs:
                    if job.progress.ended_at_s < oldest_s:
                        self._forget(job.spec.job_id)

    def _forget(self, job_id: str) -> None:
        self._jobs.pop(job_id)
        self._cancelled.discard(job_id)
        self._journal.remove(
            [
                RowRemoval(tables.INTAKE, job_id),
                RowRemoval(tables.INTAKE, tables.cancel_key(job_id)),
                RowRemoval(tables.PROGRESS, job_id),
            ],
        )

    async def _keep_journal(self) -> None:
        try:
            await self._journal.run()
        except LeadershipLostError as lost:
            events.log('term_over', reason=str(lost))
        finally:
            self._over.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget_task)

    def _forget_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is None or isinstance(error, LeadershipLostError):
            return
        events.log('task_failed', error=repr(error))
        self._over.set()

    async def _end_tasks(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _unlisted(worker_id: str) -> WorkerEntry:
    """Return an entry for a worker that the platform lists no more."""
    return WorkerEntry(
        worker_id=worker_id,
        service='',
        address='',
        data_centre='',
        room=Resources(),
    )


__all__ = ('Leader', 'RevisionSource', 'WorkerFeed')
