"""Reads and follows the stored jobs, cancellations and worker entries."""

from typing import Final, Protocol

from curranthill.clock import Clock
from curranthill.dispatch.leadership import Leadership
from curranthill.dispatch.owner import ClosedDataCentreSource
from curranthill.dispatch.probing import ProbeLimiter
from curranthill.dispatch.progress_writer import ProgressWriter
from curranthill.dispatch.session import TOKENS_PER_EPOCH, WorkerSession
from curranthill.dispatch.spawner import Spawner
from curranthill.dispatch.stored_parts import StoredParts
from curranthill.dispatch.term_state import TermState
from curranthill.dispatch.workers import WorkerConnector
from curranthill.placement import ActiveJob, WorkerEntry
from curranthill.storage.follower import RowsCallback, TableFollower
from curranthill.storage.rows import MalformedRecordError, RowStore, StoredRow
from curranthill.tasks import (
    JobProgress,
    Resources,
    TaskKey,
    Timing,
    check_progress,
    decode,
    decode_job,
    tables,
)
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: How long changes of worker entries are gathered between two reads, in
#: seconds: each worker rewrites its entry every second or two, so with
#: hundreds of workers the leader would otherwise read without a pause.
GATHER_S: Final = 0.2


class WorkerFeed(Protocol):
    """The platform's list of workers, as the leader follows it."""

    @property
    def table(self) -> str:
        """Return the table in which workers register."""

    def decode(self, row: StoredRow) -> WorkerEntry:
        """Decode a worker's entry.

        :raises MalformedRecordError: if the row is not a valid entry.
        """


class Feeds:
    """Reads the tables at the start of a term, then follows their changes.

    :param leadership: the term, whose epoch determines the fencing tokens.
    :param closed_data_centres: the data centres in which nothing may start.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        term: TermState,
        writer: ProgressWriter,
        spawner: Spawner,
        connector: WorkerConnector,
        worker_feed: WorkerFeed,
        timing: Timing,
        leadership: Leadership,
        closed_data_centres: ClosedDataCentreSource,
    ) -> None:
        """Initialize the feeds before the first read."""
        self._closed_data_centres = closed_data_centres
        self._probe_limiter = ProbeLimiter(clock=clock)
        self._store = store
        self._clock = clock
        self._term = term
        self._writer = writer
        self._spawner = spawner
        self._connector = connector
        self._worker_feed = worker_feed
        self._timing = timing
        self._leadership = leadership
        self._progress: dict[str, bytes] = {}
        self._parts = StoredParts()
        self._bad_versions: dict[tuple[str, str], int] = {}

    async def start(self) -> None:
        """Read all tables once, then follow their changes."""
        # Jobs are read first, so that each end a worker reports has its job.
        intake = self._follower(
            tables.INTAKE, self._apply_jobs, self._apply_jobs
        )
        await self._read_progress()
        await self._read_parts()
        await intake.read()
        # Of jobs without an intake row only the final state is kept.
        for job_id, content in self._progress.items():
            if job_id not in self._term.jobs:
                self._record_ended(job_id, content)
        self._progress.clear()
        for removal in self._parts.pop_unused():
            self._writer.remove(removal)
        self._writer.are_jobs_read = True
        workers = self._follower(
            self._worker_feed.table,
            self._replace_workers,
            self._apply_workers,
            gather_s=GATHER_S,
        )
        await workers.read()
        self._leadership.silent.retain(self._term.sessions)
        self._spawner.spawn(intake.follow())
        self._spawner.spawn(workers.follow())

    def _follower(
        self,
        table: str,
        on_snapshot: RowsCallback,
        on_changes: RowsCallback,
        *,
        gather_s: float = 0.0,
    ) -> TableFollower:
        return TableFollower(
            store=self._store,
            clock=self._clock,
            table=table,
            on_snapshot=on_snapshot,
            on_changes=on_changes,
            gather_s=gather_s,
        )

    async def _read_progress(self) -> None:
        """Read the progress of all jobs.

        Only the leader writes progress, so it does not change until the jobs
        are read; a job accepted in between has none.
        """
        progress = self._follower(
            tables.PROGRESS,
            self._keep_progress,
            self._keep_progress,
        )
        await progress.read()

    async def _read_parts(self) -> None:
        """Read the progress that is spread over rows, if there is any."""
        if not self._leadership.spreads:
            return
        parts = self._follower(
            tables.PROGRESS_PARTS, self._parts.add, self._parts.add
        )
        await parts.read()

    def _record_ended(self, job_id: str, content: bytes) -> None:
        try:
            progress = decode(content, JobProgress)
        except MalformedRecordError as error:
            events.log('progress_bad', job=job_id, error=error.message)
            metrics.malformed_records.add(1, {'kind': 'progress'})
            return
        if progress.ended_at_s:
            self._term.ended_at_s[job_id] = progress.ended_at_s

    def _keep_progress(self, rows: tuple[StoredRow, ...]) -> None:
        self._progress.update({row.key: row.content for row in rows})

    def _apply_jobs(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            try:
                self._apply_intake(row)
            except MalformedRecordError as error:
                # A job whose progress is unknown must not start.
                self._log_bad_row(row, 'job', error)
            except Exception as error:
                self._term.isolation.set_aside(row.key, error)
        self._term.changed.set()

    def _log_bad_row(
        self,
        row: StoredRow,
        kind: str,
        error: MalformedRecordError,
    ) -> None:
        """Log an unreadable row, once for each of its versions."""
        name = (row.table, row.key)
        if self._bad_versions.get(name) == row.version:
            return
        self._bad_versions[name] = row.version
        events.log(
            f'{kind}_row_bad',
            key=row.key,
            version=row.version,
            error=error.message,
        )
        metrics.malformed_records.add(1, {'kind': kind})

    def _replace_workers(self, rows: tuple[StoredRow, ...]) -> None:
        present = {row.key for row in rows}
        for worker_id in list(self._term.sessions):
            if worker_id not in present:
                self._delist(worker_id)
        self._apply_workers(rows)

    def _apply_workers(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.removed:
                self._delist(row.key)
            else:
                self._apply_worker(row)
        self._term.changed.set()

    def _delist(self, worker_id: str) -> None:
        session = self._term.sessions.get(worker_id)
        if session is not None and session.listed:
            events.log('worker_delisted', worker=worker_id)
            session.listed = False
            session.wake()

    def _apply_worker(self, row: StoredRow) -> None:
        try:
            entry = self._worker_feed.decode(row)
        except MalformedRecordError as error:
            self._log_bad_row(row, 'worker', error)
            self._mark_unreadable(row.key)
            return
        session = self._term.sessions.get(entry.worker_id)
        if session is None or session.removed:
            session = self._open_session(entry)
        elif entry.address != session.entry.address:
            session.connect(self._connector.connect(entry))
        if entry.leaving and not session.entry.leaving:
            events.log('worker_leaving', worker=entry.worker_id)
            self._term.losses.record_draining(session.runs.values())
        session.update_entry(entry)

    def _mark_unreadable(self, worker_id: str) -> None:
        """Exclude a worker from placement while its entry can't be read.

        The worker may be unchanged: its runs continue, its lease is renewed at
        its last known address, and a valid entry makes it usable again.
        """
        session = self._term.sessions.get(worker_id)
        if session is not None:
            session.readable = False

    def _open_session(self, entry: WorkerEntry) -> WorkerSession:
        token = self._leadership.epoch * TOKENS_PER_EPOCH
        previous = self._term.sessions.get(entry.worker_id)
        if previous is not None:
            # The removed worker may have seen every token of its session. If it
            # rejected one as too low, another leader would be assumed.
            token = previous.token + 1
        session = WorkerSession(
            entry=entry,
            worker=self._connector.connect(entry) if entry.address else None,
            owner=self._term,
            clock=self._clock,
            timing=self._timing,
            token=token,
            previous_s=self._leadership.previous_s,
            closed_data_centres=self._closed_data_centres,
            probe_limiter=self._probe_limiter,
        )
        self._term.sessions[entry.worker_id] = session
        self._spawner.spawn_isolated(session.run(), name='session')
        return session

    def _apply_intake(self, row: StoredRow) -> None:
        if row.removed:
            return
        if row.key.endswith(tables.CANCEL_SUFFIX):
            self._term.cancel(row.key.removesuffix(tables.CANCEL_SUFFIX))
            return
        if row.key in self._term.jobs or row.key in self._term.ended_at_s:
            self._term.drop_duplicate(row.key)
            return
        spec = decode_job(row)
        state = JobProgress(queue=spec.queue.name)
        progress = self._progress.get(spec.job_id)
        layout = None
        if progress is not None:
            own_row = decode(progress, JobProgress)
            layout = own_row.layout
            state = self._parts.join(spec.job_id, own_row)
        check_progress(spec, state)
        job = self._term.add_job(spec, state)
        if layout is not None:
            self._writer.adopt(job, layout)
        if state.done_ranges:
            self._writer.adopt_ranges(job)
        self._recover_runs(job)
        self._term.resume_job(job)

    def _recover_runs(self, job: ActiveJob) -> None:
        """Recover a run from each stored assignment, as it may exist."""
        for name, task in job.progress.tasks.items():
            if task.worker:
                key = TaskKey.parse(f'{job.spec.job_id}.{name}')
                self.recover(job, key)

    def recover(self, job: ActiveJob, key: TaskKey) -> None:
        """Recover the run of a task's stored assignment, as it may exist."""
        worker_id = job.progress.task(key).worker
        session = self._term.sessions.get(worker_id)
        if session is None or session.removed:
            session = self._open_session(_unlisted_entry(worker_id))
        self._term.recover_run(job, key, session)


def _unlisted_entry(worker_id: str) -> WorkerEntry:
    """Return an entry for a worker that the platform does not list."""
    return WorkerEntry(
        worker_id=worker_id,
        service='',
        address='',
        data_centre='',
        capacity=Resources(),
    )


__all__ = ('Feeds', 'WorkerFeed')
