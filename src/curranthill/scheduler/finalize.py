"""Finalization of an attempt: its result is stored, then its job's row."""

import random
from typing import Final

from loguru import logger

from curranthill.errors import (
    ConflictError,
    LeaseExpiredError,
    StorageError,
    WorkerError,
)
from curranthill.jobs import ACCEPTED, ENDED, Job, StoredJob, next_state
from curranthill.scheduler.context import Context
from curranthill.workers import AttemptId, Worker

#: Delays between retries during an outage of the platform, in seconds.
_MIN_WAIT_S: Final = 0.1
_MAX_WAIT_S: Final = 5.0

#: How often a result is requested before it counts as lost.
_MAX_FETCH_ATTEMPTS: Final = 5


class BackOff:
    """Exponential delays, with jitter so that callers do not retry in step."""

    def __init__(self) -> None:
        """Initialize with the minimum delay."""
        self._wait_s = _MIN_WAIT_S

    def next_s(self) -> float:
        """Return the next delay, in seconds."""
        wait_s = self._wait_s
        self._wait_s = min(_MAX_WAIT_S, 2 * wait_s)
        return random.uniform(wait_s / 2, wait_s)  # noqa: S311


class Finalization:
    """Writes the end of one attempt, however long an outage lasts.

    :param stored: the job's row with the attempt's start record.
    """

    def __init__(
        self,
        *,
        context: Context,
        stored: StoredJob,
        attempt_id: AttemptId,
    ) -> None:
        """Initialize with the row to be finalized."""
        self._context = context
        self._stored = stored
        self._attempt_id = attempt_id

    async def store_result(self, worker: Worker) -> int | None:
        """Copy the result from its worker to the object store.

        Returns its length in bytes, or nothing if the worker lost it. Until
        it is stored, the worker and this process both hold it.
        """
        body = await self._fetch(worker)
        job, attempt = self._attempt_id
        if body is None:
            stored_result = await self._context.objects.get(
                f'results/{job}/{attempt}',
            )
            return None if stored_result is None else len(stored_result)
        back_off = BackOff()
        while True:
            try:
                await self._context.objects.put(
                    f'results/{job}/{attempt}',
                    body,
                )
            except ConflictError:
                # Another scheduler has stored this attempt's result first.
                return len(body)
            except StorageError as error:
                self._log('cannot store the result, retrying', error)
                await self._context.clock.sleep(back_off.next_s())
                self._require_leading()
                continue
            return len(body)

    async def finish(self, result_bytes: int) -> StoredJob:
        """Write that the job finished."""
        job = self._stored.job
        return await self._write(
            job._replace(
                state=next_state(job.state, 'finish'),
                result_bytes=result_bytes,
                ended_at_s=self._context.clock.wall_s(),
            ),
        )

    async def finalize(
        self,
        end: str,
        *,
        reason: str,
        failed_on: str,
        checkpoint: str,
        started: bool,
    ) -> StoredJob:
        """Write the state of a job whose attempt did not finish."""
        job = self._stored.job
        if end == 'failed':
            job = self._after_failure(job, reason, failed_on)
        elif end == 'cancelled':
            job = self._ended(job, 'cancel', 'Cancelled while it ran.')
        elif end == 'preempted' and job.idempotent:
            job = job._replace(
                state=next_state(next_state(job.state, 'preempt'), 'requeue'),
                preemptions=job.preemptions + 1,
                checkpoint=checkpoint or job.checkpoint,
            )
        else:
            job = self._after_loss(job, started=started)
        return await self._write(job)

    def _after_failure(self, job: Job, reason: str, failed_on: str) -> Job:
        failed = (*job.failed_on, failed_on)
        job = job._replace(failed_on=failed)
        limit = self._context.placement.failures
        # A gang that needs every worker cannot fail on different ones.
        given_up = len(set(failed)) >= limit or len(failed) >= 2 * limit
        if job.idempotent and not given_up:
            return job._replace(state=next_state(job.state, 'requeue'))
        return self._ended(job, 'fail', reason or 'The task failed.')

    def _after_loss(self, job: Job, *, started: bool) -> Job:
        if not started:
            return job._replace(state=next_state(job.state, 'requeue'))
        job = job._replace(losses=job.losses + 1)
        if job.losses >= self._context.placement.losses:
            return self._ended(
                job,
                'fail',
                f'Its workers were lost {job.losses} times while they ran it:'
                ' it is taken to crash them.',
            )
        if job.idempotent:
            return job._replace(state=next_state(job.state, 'requeue'))
        return self._ended(
            job,
            'lose',
            'A worker was lost while it ran; whether it took effect is not'
            ' known, and it is not run again.',
        )

    def _ended(self, job: Job, change: str, reason: str) -> Job:
        return job._replace(
            state=next_state(job.state, change),
            reason=reason,
            ended_at_s=self._context.clock.wall_s(),
        )

    async def _fetch(self, worker: Worker) -> bytes | None:
        back_off = BackOff()
        for _ in range(_MAX_FETCH_ATTEMPTS):
            try:
                return await worker.fetch_result(self._attempt_id)
            except WorkerError as error:
                self._log('cannot fetch the result', error)
                await self._context.clock.sleep(back_off.next_s())
        return None

    async def _write(self, job: Job) -> StoredJob:
        """Retry until the row is written or another writer decided the job."""
        back_off = BackOff()
        while True:
            try:
                return await self._context.store.change(
                    self._stored,
                    job,
                    (self._context.election.check(),),
                )
            except ConflictError:
                found = await self._reload(back_off)
                if found is None or not self._is_own(found):
                    return found or self._stored
                self._stored = found
                job = job._replace(cancel_requested=found.job.cancel_requested)
                job = self._apply_cancel(job)
            except StorageError as error:
                self._log('cannot write the final state, retrying', error)
                await self._context.clock.sleep(back_off.next_s())
            self._require_leading()

    async def _reload(self, back_off: BackOff) -> StoredJob | None:
        while True:
            try:
                return await self._context.store.load(self._attempt_id.job)
            except StorageError:
                await self._context.clock.sleep(back_off.next_s())
                self._require_leading()

    def _is_own(self, found: StoredJob) -> bool:
        """Return whether the row still holds this attempt's start record."""
        return (
            found.job.state not in ENDED
            and found.job.state != ACCEPTED
            and found.job.attempt == self._attempt_id.attempt
        )

    def _apply_cancel(self, job: Job) -> Job:
        """Prefer a cancellation requested meanwhile over another run."""
        if job.cancel_requested and job.state == ACCEPTED:
            return self._ended(job, 'cancel', 'Cancelled while it ran.')
        return job

    def _require_leading(self) -> None:
        if not self._context.election.leading:
            raise LeaseExpiredError(
                'Another scheduler leads.',
                step='settle',
                peer=self._context.election.token.holder,
            )

    def _log(self, message: str, error: BaseException) -> None:
        logger.bind(
            job=self._attempt_id.job,
            workspace=self._stored.job.workspace,
            step=getattr(error, 'step', ''),
            peer=getattr(error, 'peer', ''),
        ).warning('{}: {}', message, error)


__all__ = ('BackOff', 'Finalization')
