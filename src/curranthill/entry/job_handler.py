"""What any host does for callers: accept, tell, cancel, count."""

import asyncio
import random
from typing import Any, Final, Protocol

from curranthill.admission import (
    Forecast,
    Refusal,
    check_admission,
    retry_delay_s,
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
from curranthill.storage.rows import (
    MalformedRecordError,
    RowCheck,
    RowConflictError,
    RowPut,
    RowStore,
    StoredRow,
)
from curranthill.tasks import (
    ENDED,
    QUEUED,
    JobProgress,
    JobSpec,
    Queue,
    decode,
    encode,
    tables,
)
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events
from curranthill.telemetry.labels import workspace_labels

#: How long a request waits for a store that refuses, in seconds: long enough
#: for one moment over the store's rate, short enough for callers to turn to
#: another host in time.
REFUSED_PATIENCE_S: Final = 0.25

#: How long a request waits to learn what became of a write, in seconds: two
#: or three tries of a store that replies late; the caller asks again then.
UNCERTAIN_PATIENCE_S: Final = 1.5

#: An answer comes within this share of the caller's patience, so that there
#: is time to ask another host.
ANSWER_SHARE: Final = 0.45

#: The pause between two tries, in seconds.
RETRY_DELAY_S: Final = 0.05

#: The spread of the moments at which refused callers come back, in seconds:
#: half a unit of the header, so that its rounding spreads them.
RETURN_SPREAD_S: Final = 0.5

#: When a caller should ask again for what could not be read, in seconds.
RETRY_AFTER_S: Final = 1.0


class OutlookSource(Protocol):
    """Knows what waits."""

    def newest(self) -> tuple[Forecast | None, float]:
        """Return the newest outlook, if any, and its age in seconds."""

    def missed(self) -> None:
        """Take note of a call of the store that had no answer."""


class JobHandler:
    """Callers' requests, answered from the store by any host."""

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        health: StoreHealth,
        outlooks: OutlookSource,
    ) -> None:
        """Keep the store."""
        self._health = health
        self._outlooks = outlooks
        self._store = store
        self._clock = clock

    async def accept(self, spec: JobSpec, patience_s: float) -> None:
        """Store a job; a repeat of the same id changes nothing.

        A try whose effect is unknown is repeated under the same condition,
        so the job is stored once, whichever try takes effect. Only a job of
        which no try can have taken effect is refused as not run.

        :param patience_s: how long the caller waits.
        :raises RefusedError: if the job was not stored or may not have been.
        """
        if not self._health.reachable:
            # Known to be away: refuse at once instead of after a timeout.
            raise self._refusal(spec, None, uncertain=False)
        if await self._is_stored_though_refused(spec):
            return
        insertion = asyncio.ensure_future(self._insert(spec))
        try:
            stored = await wait_at_most(
                insertion,
                timeout_s=min(UNCERTAIN_PATIENCE_S, patience_s * ANSWER_SHARE),
                clock=self._clock,
            )
        finally:
            insertion.cancel()
        if not stored:
            # It may be stored yet: nobody may be told soon that it is not.
            self._outlooks.missed()
            raise self._refusal(spec, None, uncertain=True)
        insertion.result()

    async def state(self, job_id: str) -> str | None:
        """Return a job's state, or nothing if there is no such job.

        :raises RefusedError: if the store cannot be read.
        """
        progress = await self._progress(job_id)
        return progress.state if progress else None

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job; return whether there is one.

        :raises RefusedError: if the cancellation may not have been stored.
        """
        progress = await self._progress(job_id)
        if progress is None:
            return False
        if progress.state in ENDED:
            return True
        put = RowPut(tables.INTAKE, tables.cancel_key(job_id), b'1')
        until_s = self._clock.monotonic_s() + UNCERTAIN_PATIENCE_S
        while True:
            try:
                await self._store.commit(puts=(put,))
            except StorageError as error:
                if self._clock.monotonic_s() > until_s:
                    raise self._unreadable(job_id, error) from error
                await self._clock.sleep(RETRY_DELAY_S)
            else:
                events.log('cancel_stored', job=job_id)
                return True

    async def pending(self, queue: Queue, *, count_afresh: bool) -> int:
        """Return how many jobs of a queue have not begun.

        :param count_afresh: whether the leader's own count may be old.
        :raises RefusedError: if the store cannot be read.
        """
        try:
            if count_afresh:
                return await self._count(queue.name)
            row = await self._store.read(tables.LEADER, tables.PENDING_KEY)
            counts = decode(row.content, dict[str, int]) if row else {}
        except (StorageError, MalformedRecordError) as error:
            raise self._unreadable(queue.name, error) from error
        return counts.get(queue.name, 0)

    async def _count(self, queue: str) -> int:
        """Count accepted jobs of which no leader has started anything."""
        accepted = await self._store.scan(tables.INTAKE)
        listed = await self._store.scan(tables.PROGRESS)
        progress = {
            row.key: decode(row.content, JobProgress) for row in listed.rows
        }
        waiting = 0
        for row in accepted.rows:
            if row.key.endswith(tables.CANCEL_SUFFIX):
                continue
            spec = decode(row.content, JobSpec)
            known = progress.get(row.key, JobProgress(queue=spec.queue.name))
            begun = known.state != QUEUED or known.tasks
            if spec.queue.name == queue and not begun:
                waiting += 1
        return waiting

    async def _insert(self, spec: JobSpec) -> None:
        """Try to store a job until it is stored, or refused for sure."""
        began_s = self._clock.monotonic_s()
        uncertain = False
        while True:
            failure = await self._try_insert(spec)
            if failure is None:
                return
            uncertain = uncertain or isinstance(failure, ReplyLostError)
            tried_s = self._clock.monotonic_s() - began_s
            if not uncertain and tried_s > REFUSED_PATIENCE_S:
                raise self._refusal(spec, failure, uncertain=False)
            await self._clock.sleep(RETRY_DELAY_S)

    async def _try_insert(self, spec: JobSpec) -> StorageError | None:
        """Store a job; return what went wrong, if anything."""
        try:
            await self._store.commit(
                checks=(RowCheck(tables.INTAKE, spec.job_id, 0),),
                puts=(RowPut(tables.INTAKE, spec.job_id, encode(spec)),),
            )
        except RowConflictError:
            events.log('accepted_before', job=spec.job_id)
        except StorageError as error:
            return error
        return None

    async def _progress(self, job_id: str) -> JobProgress | None:
        """Return how far a job has come, or nothing if there is none.

        The leader writes the first progress when it starts a task, and drops
        the accepted job once its end is stored; so the progress is looked at
        once more if the accepted job is not there either.
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
        until_s = self._clock.monotonic_s() + REFUSED_PATIENCE_S
        while True:
            try:
                return await self._store.read(table, job_id)
            except StorageError as error:
                if self._clock.monotonic_s() > until_s:
                    raise self._unreadable(job_id, error) from error
                await self._clock.sleep(RETRY_DELAY_S)

    async def _is_stored_though_refused(self, spec: JobSpec) -> bool:
        """Raise if a job is refused now; return whether it is stored already.

        A refusal is final, so an earlier try is looked for first. Where that
        cannot be read the job is not refused.

        :raises RefusedError: if the job is refused.
        """
        outlook, age_s = self._outlooks.newest()
        refusal = check_admission(spec, outlook, age_s)
        if refusal is None:
            return False
        try:
            known = await self._progress(spec.job_id)
        except RefusedError:
            return False
        if known is not None:
            events.log('accepted_before', job=spec.job_id)
            return True
        raise self._turned_away(spec, refusal, age_s)

    def _turned_away(
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
        metrics.turned_away.add(
            1,
            {
                'workspace': workspace_labels.label(spec.workspace),
                'reason': refusal.reason,
            },
        )
        spread_s = random.uniform(0, refusal.jitter_s)
        return RefusedError(
            f'Job {spec.job_id} is not accepted and does not run: '
            f'{refusal.reason}.',
            step='admit',
            status=503,
            outcome=NOT_RUN,
            retry_after_s=refusal.retry_delay_s + spread_s,
            peer='leader',
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
        return RefusedError(
            f'Job {spec.job_id} was not accepted and does not run.',
            step='accept',
            status=503,
            outcome=NOT_RUN,
            retry_after_s=retry_delay_s(
                spec,
                jitter_s=random.uniform(-RETURN_SPREAD_S, RETURN_SPREAD_S),
            ),
            peer=peer,
        )

    def _unreadable(self, name: str, reason: Any) -> RefusedError:
        return RefusedError(
            f'The store does not answer for {name} now.',
            step='read',
            status=503,
            outcome=FAILED,
            retry_after_s=RETRY_AFTER_S,
            peer=reason.peer,
        )


__all__ = ('JobHandler',)
