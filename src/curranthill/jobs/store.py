"""Jobs in the table: every change is one conditional write.

An open job is one row under its home, so that a scheduler reads its open
jobs by page. A job that ends moves to a row of its own in the same
transaction; one that is adopted leaves a row that says where it went.
"""

import uuid
from contextlib import suppress
from typing import Final, NamedTuple

from curranthill.clock import Clock
from curranthill.errors import ConflictError
from curranthill.jobs.lifecycle import next_state
from curranthill.jobs.records import (
    ENDED,
    Job,
    job_from_document,
    job_to_document,
)
from curranthill.storage import (
    ABSENT,
    Check,
    Committer,
    Row,
    Table,
    Write,
    WriteBudget,
)

PAGE_ROWS: Final = 200

#: Ended jobs are found for deletion by buckets of this many seconds.
EXPIRY_BUCKET_S: Final = 3600


class StoredJob(NamedTuple):
    """A job with the key and version of its row."""

    job: Job
    key: str
    version: int


class KeyRecord(NamedTuple):
    """What an idempotency key stands for."""

    job_id: str
    request_digest: str


class JobStore:
    """Read and change jobs.

    :param table: the platform's table.
    :param clock: for waits between two looks at a lost reply.
    :param retention_s: how long an ended job and its key are kept.
    :param budget: bounds this process's writes.
    """

    def __init__(
        self,
        *,
        table: Table,
        clock: Clock,
        retention_s: float = 86400,
        budget: WriteBudget | None = None,
    ) -> None:
        """Keep the table."""
        self._table = table
        self._clock = clock
        self._retention_s = retention_s
        self._committer = Committer(
            table=table,
            clock=clock,
            budget=budget,
        )

    async def accept(self, job: Job, key: KeyRecord | None) -> StoredJob:
        """Keep a new job, with its idempotency key if it has one.

        :raises ConflictError: if the key is taken.
        """
        row_key = open_key(job.home, job.job_id)
        writes = [Write(row_key, ABSENT, job_to_document(job))]
        if key is not None:
            writes.append(Write(job.key_row, ABSENT, key._asdict()))
        versions = await self._committer.commit(writes)
        return StoredJob(job, row_key, versions[row_key])

    async def key_record(self, key_row: str) -> KeyRecord | None:
        """Return what an idempotency key stands for, if it is taken."""
        row = await self._table.read(key_row)
        return KeyRecord(**row.document) if row else None

    async def load(self, job_id: str) -> StoredJob | None:
        """Return a job wherever it is, or nothing."""
        birth = accepting_data_centre(job_id)
        found = await self._stored(open_key(birth, job_id))
        if found is None:
            found = await self._stored(ended_key(job_id))
        if found is None:
            moved = await self._table.read(moved_key(job_id))
            if moved is not None:
                home = moved.document['home']
                found = await self._stored(open_key(home, job_id))
        if found is None:
            # It may have ended between the first look and this one.
            found = await self._stored(ended_key(job_id))
        return found

    async def scan_open(self, home: str) -> list[StoredJob]:
        """Return all open jobs of a data centre, page by page."""
        prefix = f'open/{home}/'
        found: list[StoredJob] = []
        after = ''
        while True:
            page = await self._table.scan(prefix, after, PAGE_ROWS)
            found.extend(_stored(row) for row in page.rows)
            after = page.after
            if not after:
                return found

    async def change(
        self,
        stored: StoredJob,
        job: Job,
        checks: tuple[Check, ...] = (),
    ) -> StoredJob:
        """Write an open job's new record if its row is still ``stored``.

        :param checks: other rows that must not have changed.
        :raises ConflictError: if another writer was first.
        """
        if job.state in ENDED:
            return await self._end(stored, job, checks)
        write = Write(stored.key, stored.version, job_to_document(job))
        versions = await self._committer.commit((write,), checks)
        return StoredJob(job, stored.key, versions[stored.key])

    async def move(self, stored: StoredJob, home: str) -> StoredJob:
        """Give an open job another home; its old home can no longer mark it.

        :raises ConflictError: if another writer was first.
        """
        job = stored.job._replace(home=home)
        row_key = open_key(home, job.job_id)
        forward = await self._table.read(moved_key(job.job_id))
        writes = (
            Write(stored.key, stored.version, None),
            Write(row_key, ABSENT, job_to_document(job)),
            Write(
                moved_key(job.job_id),
                forward.version if forward else ABSENT,
                {'home': home},
            ),
        )
        versions = await self._committer.commit(writes)
        return StoredJob(job, row_key, versions[row_key])

    async def request_cancel(self, job_id: str) -> StoredJob | None:
        """Cancel a job that has no start mark, else ask for its stop.

        Returns the job as it is then; an ended job is left as it ended.

        :raises ConflictError: if the row kept changing.
        """
        for _ in range(8):
            stored = await self.load(job_id)
            if stored is None or stored.job.state in ENDED:
                return stored
            job = stored.job._replace(cancel_requested=True)
            if job.state == 'accepted':
                job = job._replace(
                    state=next_state(job.state, 'cancel'),
                    ended_at_s=self._clock.wall_s(),
                    reason='Cancelled before it started.',
                )
            elif stored.job.cancel_requested:
                return stored
            with suppress(ConflictError):
                return await self.change(stored, job)
        raise ConflictError('The job kept changing.', step='cancel')

    async def delete_expired(self, limit: int) -> int:
        """Delete up to ``limit`` ended jobs that are past their retention.

        Several hosts may do so at once: each delete is conditional.
        """
        page = await self._table.scan('expiry/', '', limit)
        now_s = self._clock.wall_s()
        deleted = 0
        for row in page.rows:
            if float(row.document['expires_at_s']) > now_s:
                break
            try:
                await self._delete(row)
            except ConflictError:
                continue
            deleted += 1
        return deleted

    async def _end(
        self,
        stored: StoredJob,
        job: Job,
        checks: tuple[Check, ...],
    ) -> StoredJob:
        expires_at_s = job.ended_at_s + self._retention_s
        bucket = int(expires_at_s // EXPIRY_BUCKET_S)
        expiry_key = f'expiry/{bucket:010d}/{job.job_id}'
        final_key = ended_key(job.job_id)
        versions = await self._committer.commit(
            (
                Write(final_key, ABSENT, job_to_document(job)),
                Write(
                    expiry_key,
                    ABSENT,
                    {'job_id': job.job_id, 'expires_at_s': expires_at_s},
                ),
                Write(stored.key, stored.version, None),
            ),
            checks,
        )
        return StoredJob(job, final_key, versions[final_key])

    async def _delete(self, expiry: Row) -> None:
        job_id = expiry.document['job_id']
        writes = [Write(expiry.key, expiry.version, None)]
        ended = await self._table.read(ended_key(job_id))
        if ended is not None:
            writes.append(Write(ended.key, ended.version, None))
            key_row = ended.document.get('key_row')
            key = await self._table.read(key_row) if key_row else None
            if key is not None:
                writes.append(Write(key.key, key.version, None))
        await self._committer.commit(writes)

    async def _stored(self, key: str) -> StoredJob | None:
        row = await self._table.read(key)
        return _stored(row) if row else None


def new_job_id(data_centre: str) -> str:
    """Return a new id; it says where the job was accepted."""
    return f'{data_centre}-{uuid.uuid4().hex}'


def accepting_data_centre(job_id: str) -> str:
    """Return the data centre that accepted a job."""
    return job_id.rpartition('-')[0]


def open_key(home: str, job_id: str) -> str:
    """Return the row of an open job."""
    return f'open/{home}/{job_id}'


def ended_key(job_id: str) -> str:
    """Return the row of an ended job."""
    return f'ended/{job_id}'


def moved_key(job_id: str) -> str:
    """Return the row that says where an adopted job went."""
    return f'moved/{job_id}'


def _stored(row: Row) -> StoredJob:
    return StoredJob(job_from_document(row.document), row.key, row.version)


__all__ = (
    'JobStore',
    'KeyRecord',
    'StoredJob',
    'accepting_data_centre',
    'ended_key',
    'moved_key',
    'new_job_id',
    'open_key',
)
