"""Jobs in the table. Each change is one conditional write.

An open job is a row under the prefix of its home data centre, so that a
scheduler can scan its open jobs page by page. When a job ends, the same
transaction moves it to a row outside this prefix. When another data centre
takes a job over, a forwarding row records its new home.
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
    WriteRateLimiter,
)

PAGE_ROWS: Final = 200

#: The width of the time buckets by which expired jobs are found, in seconds.
EXPIRY_BUCKET_S: Final = 3600


class StoredJob(NamedTuple):
    """A job with the key and version of its row."""

    job: Job
    key: str
    version: int


class KeyRecord(NamedTuple):
    """The job and the request that an idempotency key was used for."""

    job_id: str
    request_digest: str


class JobStore:
    """Reads and changes the stored jobs.

    :param table: the platform's table.
    :param clock: for timestamps and for the delay before the effect of a write
        with a lost reply is checked.
    :param retention_s: how long an ended job and its key are kept, in seconds.
    :param rate_limiter: limits the write rate of this process.
    """

    def __init__(
        self,
        *,
        table: Table,
        clock: Clock,
        retention_s: float = 86400,
        rate_limiter: WriteRateLimiter | None = None,
    ) -> None:
        """Initialize with a committer for conditional writes."""
        self._table = table
        self._clock = clock
        self._retention_s = retention_s
        self._committer = Committer(
            table=table,
            clock=clock,
            rate_limiter=rate_limiter,
        )

    async def accept(self, job: Job, key: KeyRecord | None) -> StoredJob:
        """Store a new job together with its idempotency key, if any.

        :raises ConflictError: if the key is already in use.
        """
        row_key = open_key(job.home, job.job_id)
        writes = [Write(row_key, ABSENT, job_to_document(job))]
        if key is not None:
            writes.append(Write(job.key_row, ABSENT, key._asdict()))
        versions = await self._committer.commit(writes)
        return StoredJob(job, row_key, versions[row_key])

    async def key_record(self, key_row: str) -> KeyRecord | None:
        """Return the record of an idempotency key, if the key is in use."""
        row = await self._table.read(key_row)
        return KeyRecord(**row.document) if row else None

    async def load(self, job_id: str) -> StoredJob | None:
        """Return a job, open, moved or ended, or None if it is unknown."""
        accepted_at = accepting_data_centre(job_id)
        found = await self._read_job(open_key(accepted_at, job_id))
        if found is None:
            found = await self._read_job(ended_key(job_id))
        if found is None:
            moved = await self._table.read(moved_key(job_id))
            if moved is not None:
                home = moved.document['home']
                found = await self._read_job(open_key(home, job_id))
        if found is None:
            # The job may have ended since its ended row was first read.
            found = await self._read_job(ended_key(job_id))
        return found

    async def scan_open(self, home: str) -> list[StoredJob]:
        """Return all open jobs of a data centre."""
        prefix = f'open/{home}/'
        found: list[StoredJob] = []
        after = ''
        while True:
            page = await self._table.scan(prefix, after, PAGE_ROWS)
            found.extend(_stored_job(row) for row in page.rows)
            after = page.after
            if not after:
                return found

    async def change(
        self,
        stored: StoredJob,
        job: Job,
        checks: tuple[Check, ...] = (),
    ) -> StoredJob:
        """Replace an open job's record unless its row has changed.

        :param stored: the row as it was read.
        :param job: the new record.
        :param checks: other rows that must not have changed.
        :raises ConflictError: if another writer changed a row first.
        """
        if job.state in ENDED:
            return await self._end(stored, job, checks)
        write = Write(stored.key, stored.version, job_to_document(job))
        versions = await self._committer.commit((write,), checks)
        return StoredJob(job, stored.key, versions[stored.key])

    async def move(self, stored: StoredJob, home: str) -> StoredJob:
        """Move an open job to another home data centre.

        Its row under the old home is deleted, so the scheduler there can no
        longer write a start record.

        :raises ConflictError: if another writer changed a row first.
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
        """Cancel a job that is still accepted, or request its stop.

        Returns the job as stored afterwards. An ended job is left unchanged.

        :raises ConflictError: if each attempt met a concurrent change.
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
        raise ConflictError(
            'The job was changed concurrently at each attempt.', step='cancel'
        )

    async def delete_expired(self, limit: int) -> int:
        """Delete up to ``limit`` ended jobs that are past their retention.

        Returns the number of deleted jobs. Several hosts may run this at the
        same time, because each delete is conditional.
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
        row_key = ended_key(job.job_id)
        versions = await self._committer.commit(
            (
                Write(row_key, ABSENT, job_to_document(job)),
                Write(
                    expiry_key,
                    ABSENT,
                    {'job_id': job.job_id, 'expires_at_s': expires_at_s},
                ),
                Write(stored.key, stored.version, None),
            ),
            checks,
        )
        return StoredJob(job, row_key, versions[row_key])

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

    async def _read_job(self, key: str) -> StoredJob | None:
        row = await self._table.read(key)
        return _stored_job(row) if row else None


def new_job_id(data_centre: str) -> str:
    """Return a new id that contains the accepting data centre."""
    return f'{data_centre}-{uuid.uuid4().hex}'


def accepting_data_centre(job_id: str) -> str:
    """Return the data centre that accepted a job."""
    return job_id.rpartition('-')[0]


def open_key(home: str, job_id: str) -> str:
    """Return the row key of an open job."""
    return f'open/{home}/{job_id}'


def ended_key(job_id: str) -> str:
    """Return the row key of an ended job."""
    return f'ended/{job_id}'


def moved_key(job_id: str) -> str:
    """Return the row key of the forwarding record of a moved job."""
    return f'moved/{job_id}'


def _stored_job(row: Row) -> StoredJob:
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
