"""Takes in what the store holds: jobs, cancellations and workers."""

from typing import Final, Protocol

import msgspec

from curranthill.clock import Clock
from curranthill.dispatch.jobs import ActiveJob
from curranthill.dispatch.session import WorkerSession
from curranthill.dispatch.spawner import Spawner
from curranthill.dispatch.work import Work
from curranthill.dispatch.workers import WorkerConnector, WorkerEntry
from curranthill.errors import StorageError
from curranthill.storage.rows import HistoryLostError, RowStore, StoredRow
from curranthill.tasks import (
    JobProgress,
    JobSpec,
    Resources,
    TaskKey,
    Timing,
    decode,
    tables,
)
from curranthill.telemetry.events import events

#: The pause after a failed read of the store, in seconds.
READ_RETRY_S: Final = 0.2

#: How long one reading of a feed waits at the store, in seconds: a reading
#: that was lost in an outage is found out and repeated so soon.
FEED_WAIT_S: Final = 1.0


#: What a malformed row may raise when it is decoded.
_MALFORMED: Final = (KeyError, ValueError, TypeError, msgspec.MsgspecError)


class WorkerFeed(Protocol):
    """What the leader needs to follow the platform's list of workers."""

    @property
    def table(self) -> str:
        """Return the table that workers register in."""

    def decode(self, row: StoredRow) -> WorkerEntry:
        """Return a worker's entry."""


class Feeds:
    """Reads the tables at the start of a term and follows them.

    :param epoch: the number of the term, for the tokens of its sessions.
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
        epoch: int,
    ) -> None:
        """Start with nothing read."""
        self._store = store
        self._clock = clock
        self._work = work
        self._spawner = spawner
        self._connector = connector
        self._worker_feed = worker_feed
        self._timing = timing
        self._epoch = epoch

    async def start(self) -> None:
        """Read everything once, then follow what changes."""
        # Jobs first: an end that a worker reports must find its job.
        intake = await self._load_jobs()
        workers = await self._load_workers()
        self._spawner.spawn(self._follow(self._worker_feed.table, workers))
        self._spawner.spawn(self._follow(tables.INTAKE, intake))

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
        for worker_id, session in self._work.sessions.items():
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
            session = self._work.sessions.get(row.key)
            if session is not None:
                session.listed = False
                session.wake()
        else:
            self._take_worker(row)
        self._work.changed.set()

    def _take_worker(self, row: StoredRow) -> None:
        try:
            entry = self._worker_feed.decode(row)
        except _MALFORMED as error:
            events.log('worker_entry_bad', worker=row.key, error=repr(error))
            return
        session = self._work.sessions.get(entry.worker_id)
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
            owner=self._work,
            clock=self._clock,
            timing=self._timing,
            epoch=self._epoch,
        )
        self._work.sessions[entry.worker_id] = session
        self._spawner.spawn(session.run())
        return session

    def _take_intake(self, row: StoredRow, progress: bytes | None) -> None:
        if row.removed:
            return
        if row.key.endswith(tables.CANCEL_SUFFIX):
            self._work.cancel(row.key.removesuffix(tables.CANCEL_SUFFIX))
            return
        if row.key in self._work.jobs:
            return
        spec = decode(row.content, JobSpec)
        state = JobProgress(queue=spec.queue.name)
        if progress is not None:
            state = decode(progress, JobProgress)
        job = self._work.take_job(spec, state)
        self._recover_runs(job)

    def _recover_runs(self, job: ActiveJob) -> None:
        """Take each stored mark as a run that may exist."""
        for name, task in job.progress.tasks.items():
            if not task.worker:
                continue
            key = TaskKey.parse(f'{job.spec.job_id}.{name}')
            session = self._work.sessions.get(task.worker)
            if session is None:
                session = self._open_session(_unlisted(task.worker))
            self._work.recover_run(job, key, session)


def _unlisted(worker_id: str) -> WorkerEntry:
    """Return an entry for a worker that the platform lists no more."""
    return WorkerEntry(
        worker_id=worker_id,
        service='',
        address='',
        data_centre='',
        room=Resources(),
    )


__all__ = ('Feeds', 'WorkerFeed')
