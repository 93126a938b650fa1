"""Handles callers' job requests, which any host can serve from the store."""

import asyncio
import math
import random
from typing import Any, Final, Protocol

from curranthill.admission import (
    Forecast,
    Refusal,
    check_admission,
    retry_after_s,
)
from curranthill.clock import Clock, wait_at_most
from curranthill.errors import (
    FAILED,
    NOT_RUN,
    UNKNOWN,
    RefusedError,
    ReplyLostError,
    StorageError,
)
from curranthill.storage.health import StoreHealth
from curranthill.storage.limits import MAX_ROW_BYTES
from curranthill.storage.rows import (
    MalformedRecordError,
    RowCheck,
    RowConflictError,
    RowPut,
    RowStore,
    StoredRow,
    StoreRejectedError,
)
from curranthill.tasks import (
    ENDED,
    JobProgress,
    JobSpec,
    Queue,
    decode,
    decode_job,
    encode,
    tables,
)
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events
from curranthill.telemetry.labels import workspace_labels

#: How long a request is retried while the store refuses it, in seconds: long
#: enough to outlast a short excess of the store's rate limit, short enough for
#: callers to try another host in time.
REFUSED_TIMEOUT_S: Final = 0.25

#: How long a request waits for the outcome of a write, in seconds: two or three
#: attempts at a store that replies late; the caller then has to ask again.
OUTCOME_TIMEOUT_S: Final = 1.5

#: A response is sent within this share of the caller's timeout, which leaves
#: time to ask another host.
RESPONSE_SHARE: Final = 0.45

#: Delay between two attempts, in seconds.
RETRY_DELAY_S: Final = 0.05

#: Jitter of the time after which refused callers retry, in seconds: half a unit
#: of the header, so that its rounding spreads them.
RETRY_JITTER_S: Final = 0.5

#: After how many seconds a caller should retry what could not be read.
RETRY_AFTER_S: Final = 1.0


#: The most bytes of a job's id: the names of its rows begin with it.
MAX_JOB_ID_BYTES: Final = 128


class ForecastSource(Protocol):
    """Provides the forecast of the leader."""

    def newest(self) -> tuple[Forecast | None, float]:
        """Return the latest forecast, if any, and its age in seconds."""

    def record_lost_reply(self) -> None:
        """Record a call to the store that got no reply."""


class JobHandler:
    """Accepts, cancels, counts and looks up jobs in the store."""

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        health: StoreHealth,
        forecasts: ForecastSource,
        row_bytes: int = MAX_ROW_BYTES,
    ) -> None:
        """Initialize with the store and what admission depends on.

        :param row_bytes: the most bytes of a row of the store.
        """
        self._row_bytes = row_bytes
        self._health = health
        self._forecasts = forecasts
        self._store = store
        self._clock = clock

    async def accept(self, spec: JobSpec, timeout_s: float) -> None:
        """Store a job; repeating a request with the same id has no effect.

        An attempt whose outcome is unknown is repeated with the same
        precondition, so the job is stored once, whichever attempt succeeds. A
        job is refused as not run only if no attempt can have succeeded.

        :param timeout_s: how long the caller waits, in seconds.
        :raises RefusedError: if the job was not stored or may not have been.
        """
        content = encode(spec)
        if len(spec.job_id.encode()) > MAX_JOB_ID_BYTES:
            raise self._too_large(spec, 'its id is too long')
        if len(content) > self._row_bytes:
            raise self._too_large(spec, f'it has {len(content)} bytes')
        if not self._health.reachable:
            # The store is known to be unreachable: refuse without a timeout.
            raise self._refusal(spec, None, uncertain=False)
        if await self._is_stored_despite_refusal(spec):
            return
        insertion = asyncio.ensure_future(self._insert(spec, content))
        try:
            stored = await wait_at_most(
                insertion,
                timeout_s=min(OUTCOME_TIMEOUT_S, timeout_s * RESPONSE_SHARE),
                clock=self._clock,
            )
        finally:
            insertion.cancel()
        if not stored:
            # The job may still be stored. This suspends load shedding, so that
            # a repeated request is not soon refused as not run.
            self._forecasts.record_lost_reply()
            raise self._refusal(spec, None, uncertain=True)
        insertion.result()

    async def state(self, job_id: str) -> str | None:
        """Return the state of a job, or nothing if there is no such job.

        :raises RefusedError: if the store cannot be read.
        """
        progress = await self._find_progress(job_id)
        return progress.state if progress else None

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job; return whether it exists.

        :raises RefusedError: if the cancellation may not have been stored.
        """
        progress = await self._find_progress(job_id)
        if progress is None:
            return False
        if progress.state in ENDED:
            return True
        await self._store_cancel(job_id)
        events.log('cancel_stored', job=job_id)
        return True

    async def pending(self, queue: Queue, *, recount: bool) -> int:
        """Return how many jobs of a queue have not started.

        :param recount: whether to count the rows instead of reading the
            leader's count, which may be outdated.
        :raises RefusedError: if the store cannot be read.
        """
        try:
            if not recount:
                row = await self._store.read(tables.LEADER, tables.PENDING_KEY)
                counts = decode(row.content, dict[str, int]) if row else {}
                if tables.COUNTS_LEFT_OUT not in counts:
                    return counts.get(queue.name, 0)
            return await self._count(queue.name)
        except (StorageError, MalformedRecordError) as error:
            raise self._unreadable(queue.name, error) from error

    async def _count(self, queue: str) -> int:
        """Count the accepted jobs of which no leader has started a task."""
        accepted = await self._store.scan(tables.INTAKE)
        listed = await self._store.scan(tables.PROGRESS)
        progress = {row.key: row.content for row in listed.rows}
        return sum(
            _is_waiting(row, progress.get(row.key), queue)
            for row in accepted.rows
            if not row.key.endswith(tables.CANCEL_SUFFIX)
        )

    async def _store_cancel(self, job_id: str) -> None:
        put = RowPut(tables.INTAKE, tables.cancel_key(job_id), b'1')
        until_s = self._clock.monotonic_s() + OUTCOME_TIMEOUT_S
        while True:
            try:
                await self._store.commit(puts=(put,))
            except StoreRejectedError as error:
                raise self._unreadable(job_id, error) from error
            except StorageError as error:
                if self._clock.monotonic_s() > until_s:
                    raise self._unreadable(job_id, error) from error
            else:
                return
            await self._clock.sleep(RETRY_DELAY_S)

    async def _insert(self, spec: JobSpec, content: bytes) -> None:
        """Repeat storing a job until it is stored or certainly refused."""
        started_s = self._clock.monotonic_s()
        uncertain = False
        while True:
            failure = await self._try_insert(spec, content)
            if failure is None:
                return
            uncertain = uncertain or isinstance(failure, ReplyLostError)
            elapsed_s = self._clock.monotonic_s() - started_s
            if isinstance(failure, StoreRejectedError):
                elapsed_s = math.inf
            if not uncertain and elapsed_s > REFUSED_TIMEOUT_S:
                raise self._refusal(spec, failure, uncertain=False)
            await self._clock.sleep(RETRY_DELAY_S)

    async def _try_insert(
        self, spec: JobSpec, content: bytes
    ) -> StorageError | None:
        """Store a job; return the error if the store failed."""
        try:
            await self._store.commit(
                checks=(RowCheck(tables.INTAKE, spec.job_id, 0),),
                puts=(RowPut(tables.INTAKE, spec.job_id, content),),
            )
        except RowConflictError:
            events.log('accepted_before', job=spec.job_id)
        except StorageError as error:
            return error
        return None

    async def _find_progress(self, job_id: str) -> JobProgress | None:
        """Return the progress of a job, or nothing if there is no such job.

        The leader writes the first progress when it starts a task and removes
        the accepted job once its end is stored. So if neither row is found,
        the progress may have been written in between and is read again.
        """
        try:
            for _ in range(2):
                row = await self._read(tables.PROGRESS, job_id)
                if row is not None:
                    return decode(row.content, JobProgress)
                row = await self._read(tables.INTAKE, job_id)
                if row is not None:
                    spec = decode(row.content, JobSpec)
                    return JobProgress(queue=spec.queue.name)
        except MalformedRecordError as error:
            raise self._unreadable(job_id, error) from error
        return None

    async def _read(self, table: str, job_id: str) -> StoredRow | None:
        until_s = self._clock.monotonic_s() + REFUSED_TIMEOUT_S
        while True:
            try:
                return await self._store.read(table, job_id)
            except StorageError as error:
                if self._clock.monotonic_s() > until_s:
                    raise self._unreadable(job_id, error) from error
                await self._clock.sleep(RETRY_DELAY_S)

    async def _is_stored_despite_refusal(self, spec: JobSpec) -> bool:
        """Apply admission control; return whether the job is already stored.

        A refusal is final, so the job of an earlier attempt is looked up first.
        If it cannot be read, the job is not refused.

        :raises RefusedError: if the job is refused.
        """
        forecast, age_s = self._forecasts.newest()
        refusal = check_admission(spec, forecast, age_s)
        if refusal is None:
            return False
        try:
            known = await self._find_progress(spec.job_id)
        except RefusedError:
            return False
        if known is not None:
            events.log('accepted_before', job=spec.job_id)
            return True
        raise self._shedding_error(spec, refusal, age_s)

    def _shedding_error(
        self,
        spec: JobSpec,
        refusal: Refusal,
        age_s: float,
    ) -> RefusedError:
        events.log(
            'turned_away',
            job=spec.job_id,
            queue=spec.queue.name,
            priority=spec.queue.priority,
            workspace=spec.workspace,
            reason=refusal.reason,
            expected_wait_s=refusal.wait_s,
            outlook_age_s=round(age_s, 2),
        )
        metrics.jobs_refused.add(
            1,
            {
                'workspace': workspace_labels.label(spec.workspace),
                'reason': refusal.reason,
            },
        )
        jitter_s = random.uniform(0, refusal.jitter_s)
        return RefusedError(
            f'Job {spec.job_id} is not accepted and does not run: '
            f'{refusal.reason}.',
            step='admit',
            status=503,
            outcome=NOT_RUN,
            retry_after_s=refusal.retry_after_s + jitter_s,
            peer='leader',
        )

    def _too_large(self, spec: JobSpec, reason: str) -> RefusedError:
        """Return the refusal of a job that no row can hold."""
        events.log('job_too_large', job=spec.job_id, reason=reason)
        return RefusedError(
            f'Job {spec.job_id} is too large to be stored and does not run: '
            f'{reason}.',
            step='accept',
            status=413,
            outcome=NOT_RUN,
        )

    def _refusal(
        self,
        spec: JobSpec,
        reason: StorageError | None,
        *,
        uncertain: bool,
    ) -> RefusedError:
        peer = reason.peer if reason else 'store'
        if uncertain:
            return RefusedError(
                f'Job {spec.job_id} may have been accepted; ask again.',
                step='accept',
                status=504,
                outcome=UNKNOWN,
                peer=peer,
            )
        if isinstance(reason, StoreRejectedError):
            return self._too_large(spec, reason.message)
        return RefusedError(
            f'Job {spec.job_id} was not accepted and does not run.',
            step='accept',
            status=503,
            outcome=NOT_RUN,
            retry_after_s=retry_after_s(
                spec,
                jitter_s=random.uniform(-RETRY_JITTER_S, RETRY_JITTER_S),
            ),
            peer=peer,
        )

    def _unreadable(self, name: str, reason: Any) -> RefusedError:
        return RefusedError(
            f'The store does not respond to requests for {name}.',
            step='read',
            status=503,
            outcome=FAILED,
            retry_after_s=RETRY_AFTER_S,
            peer=reason.peer,
        )


def _is_waiting(row: StoredRow, progress: bytes | None, queue: str) -> bool:
    """Return whether a row is a job of a queue of which no task has started.

    Rows that can't be read count as none: other writers may have stored them.
    """
    try:
        spec = decode_job(row)
        begun = progress is not None and decode(progress, JobProgress).begun
    except MalformedRecordError:
        return False
    return spec.queue.name == queue and not begun


__all__ = ('JobHandler',)
