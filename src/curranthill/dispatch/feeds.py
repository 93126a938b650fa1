"""Takes in what the store holds: jobs, cancellations and workers."""

from typing import Final, Protocol

from curranthill.clock import Clock
from curranthill.dispatch.leadership import Leadership
from curranthill.dispatch.looks import LookTurns
from curranthill.dispatch.owner import ClosureSource
from curranthill.dispatch.session import RAISES_PER_EPOCH, WorkerSession
from curranthill.dispatch.spawner import Spawner
from curranthill.dispatch.work import Work
from curranthill.dispatch.workers import WorkerConnector
from curranthill.placement import ActiveJob, WorkerEntry
from curranthill.storage.follower import RowsCallback, TableFollower
from curranthill.storage.rows import MalformedRecordError, RowStore, StoredRow
from curranthill.tasks import (
    JobProgress,
    JobSpec,
    Resources,
    TaskKey,
    Timing,
    decode,
    tables,
)
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: How long entries of workers are gathered between two readings, in seconds:
#: each worker rewrites its own every second or two, and hundreds of them would
#: have the leader ask without a rest.
GATHER_S: Final = 0.2


class WorkerFeed(Protocol):
    """What the leader needs to follow the platform's list of workers."""

    @property
    def table(self) -> str:
        """Return the table that workers register in."""

    def decode(self, row: StoredRow) -> WorkerEntry:
        """Return a worker's entry.

        :raises MalformedRecordError: if it is not as workers write them.
        """


class Feeds:
    """Reads the tables at the start of a term and follows them.

    :param leadership: the term, which bounds the tokens of its sessions.
    :param closures: the data centres where nothing starts.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        work: Work,
        spawner: Spawner,
        connector: WorkerConnector,
        worker_feed: WorkerFeed,
        timing: Timing,
        leadership: Leadership,
        closures: ClosureSource,
    ) -> None:
        """Start with nothing read."""
        self._closures = closures
        self._looks = LookTurns(clock=clock)
        self._store = store
        self._clock = clock
        self._work = work
        self._spawner = spawner
        self._connector = connector
        self._worker_feed = worker_feed
        self._timing = timing
        self._leadership = leadership
        self._progress: dict[str, bytes] = {}
        self._bad: dict[tuple[str, str], int] = {}

    async def start(self) -> None:
        """Read everything once, then follow what changes."""
        # Jobs first: an end that a worker reports must find its job.
        intake = self._follower(tables.INTAKE, self._take_jobs, self._take_jobs)
        await self._read_progress()
        await intake.read()
        # Of the rest only the state is kept.
        for job_id, content in self._progress.items():
            if job_id not in self._work.jobs:
                self._note_ended(job_id, content)
        self._progress.clear()
        workers = self._follower(
            self._worker_feed.table,
            self._take_workers_anew,
            self._take_workers,
            gather_s=GATHER_S,
        )
        await workers.read()
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
        """Read how far all jobs have come.

        Only the leader writes progress, so what is read here is still true
        when the jobs are read, and a job accepted in between has none.
        """
        progress = self._follower(
            tables.PROGRESS,
            self._take_progress,
            self._take_progress,
        )
        await progress.read()

    def _note_ended(self, job_id: str, content: bytes) -> None:
        try:
            progress = decode(content, JobProgress)
        except MalformedRecordError as error:
            events.log('progress_bad', job=job_id, error=error.message)
            metrics.records_bad.add(1, {'kind': 'progress'})
            return
        if progress.ended_at_s:
            self._work.ended_at_s[job_id] = progress.ended_at_s

    def _take_progress(self, rows: tuple[StoredRow, ...]) -> None:
        self._progress.update({row.key: row.content for row in rows})

    def _take_jobs(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            try:
                self._take_intake(row)
            except MalformedRecordError as error:
                # Of a job whose progress is unknown nothing may start.
                self._tell_bad(row, 'job', error)
        self._work.changed.set()

    def _tell_bad(
        self,
        row: StoredRow,
        kind: str,
        error: MalformedRecordError,
    ) -> None:
        """Tell once of a version of a row that can't be read."""
        name = (row.table, row.key)
        if self._bad.get(name) == row.version:
            return
        self._bad[name] = row.version
        events.log(
            f'{kind}_row_bad',
            key=row.key,
            version=row.version,
            error=error.message,
        )
        metrics.records_bad.add(1, {'kind': kind})

    def _take_workers_anew(self, rows: tuple[StoredRow, ...]) -> None:
        present = {row.key for row in rows}
        for worker_id in list(self._work.sessions):
            if worker_id not in present:
                self._delist(worker_id)
        self._take_workers(rows)

    def _take_workers(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.removed:
                self._delist(row.key)
            else:
                self._take_worker(row)
        self._work.changed.set()

    def _delist(self, worker_id: str) -> None:
        session = self._work.sessions.get(worker_id)
        if session is not None and session.listed:
            events.log('worker_delisted', worker=worker_id)
            session.listed = False
            session.wake()

    def _take_worker(self, row: StoredRow) -> None:
        try:
            entry = self._worker_feed.decode(row)
        except MalformedRecordError as error:
            self._tell_bad(row, 'worker', error)
            self._mark_unreadable(row.key)
            return
        session = self._work.sessions.get(entry.worker_id)
        if session is None or session.gone:
            session = self._open_session(entry)
        elif entry.address != session.entry.address:
            session.connect(self._connector.connect(entry))
        if entry.leaving and not session.entry.leaving:
            events.log('worker_leaving', worker=entry.worker_id)
        session.relist(entry)

    def _mark_unreadable(self, worker_id: str) -> None:
        """Place nothing at a worker whose entry can't be read.

        It may live and be what it was: what runs there goes on, its lease is
        renewed at the address known before, and a good entry makes it usable.
        """
        session = self._work.sessions.get(worker_id)
        if session is not None:
            session.readable = False

    def _open_session(self, entry: WorkerEntry) -> WorkerSession:
        token = self._leadership.epoch * RAISES_PER_EPOCH
        former = self._work.sessions.get(entry.worker_id)
        if former is not None:
            # A worker that was given up may have seen all of its tokens; one
            # that it rejects would be taken for another leader's.
            token = former.token + 1
        session = WorkerSession(
            entry=entry,
            worker=self._connector.connect(entry) if entry.address else None,
            owner=self._work,
            clock=self._clock,
            timing=self._timing,
            token=token,
            former_s=self._leadership.former_s,
            closures=self._closures,
            looks=self._looks,
        )
        if former is not None:
            session.doubtful.take_over(former.doubtful)
        self._work.sessions[entry.worker_id] = session
        self._spawner.spawn(session.run())
        return session

    def _take_intake(self, row: StoredRow) -> None:
        if row.removed:
            return
        if row.key.endswith(tables.CANCEL_SUFFIX):
            self._work.cancel(row.key.removesuffix(tables.CANCEL_SUFFIX))
            return
        if row.key in self._work.jobs or row.key in self._work.ended_at_s:
            self._work.handed_in_again(row.key)
            return
        spec = decode(row.content, JobSpec)
        state = JobProgress(queue=spec.queue.name)
        progress = self._progress.get(spec.job_id)
        if progress is not None:
            state = decode(progress, JobProgress)
        job = self._work.take_job(spec, state)
        self._recover_runs(job)
        self._work.recovered(job)

    def _recover_runs(self, job: ActiveJob) -> None:
        """Take each stored mark as a run that may exist."""
        for name, task in job.progress.tasks.items():
            if task.worker:
                key = TaskKey.parse(f'{job.spec.job_id}.{name}')
                self.recover(job, key)

    def recover(self, job: ActiveJob, key: TaskKey) -> None:
        """Take a task's stored mark as a run that may exist."""
        worker_id = job.progress.task(key).worker
        session = self._work.sessions.get(worker_id)
        if session is None or session.gone:
            session = self._open_session(_unlisted(worker_id))
        self._work.recover_run(job, key, session)


def _unlisted(worker_id: str) -> WorkerEntry:
    """Return an entry for a worker that the platform lists no more."""
    return WorkerEntry(
        worker_id=worker_id,
        service='',
        address='',
        data_centre='',
        capacity=Resources(),
    )


__all__ = ('Feeds', 'WorkerFeed')
