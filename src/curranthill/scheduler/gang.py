"""One attempt of a job, from its reservation to its final state.

Safety rests on the order of the steps: every member is reserved before the
start record is written, the start record is one transaction over the job's row
and the leader row, and no member is started before the start record is known to
be written.
"""

import asyncio
from collections.abc import Iterable
from typing import Literal, NamedTuple

from loguru import logger

from curranthill.errors import (
    ConflictError,
    CurranthillError,
    FencedError,
    LeaseExpiredError,
    NotSentError,
    ReplyLostError,
    StorageError,
)
from curranthill.jobs import (
    ACCEPTED,
    START_RECORDED,
    Job,
    Member,
    StoredJob,
    next_state,
)
from curranthill.scheduler.context import Context
from curranthill.scheduler.finalize import BackOff, Finalization
from curranthill.scheduler.members import RETRY_S, GangMembers
from curranthill.scheduler.watch import LOST, MemberUpdate, WorkerWatch
from curranthill.workers import (
    FINISHED,
    RESERVED,
    RUNNING,
    STOPPED,
    TASK_FAILED,
    AttemptId,
)

#: How an attempt ended, or why it was released without a start.
End = Literal[
    'finished',
    'failed',
    'lost',
    'cancelled',
    'preempted',
    'not_started',
    'abandoned',
]


class GangEnd(NamedTuple):
    """The end of one attempt.

    :param stored: the job's row as this process last read or wrote it.
    :param failed_on: the worker on which a member failed.
    """

    end: End
    stored: StoredJob
    reason: str = ''
    failed_on: str = ''


class Gang:
    """Runs one attempt of a job.

    :param stored: the job's row as it was read.
    :param members: the workers, with slots.
    :param attempt: the attempt's number, above all previous ones.
    :param watches: the watch of each worker by name.
    :param wait_for: events, each set once a preempted attempt has stopped;
        awaited before the members are reserved.
    """

    def __init__(
        self,
        *,
        context: Context,
        stored: StoredJob,
        members: Iterable[Member],
        attempt: int,
        watches: dict[str, WorkerWatch],
        wait_for: Iterable[asyncio.Event] = (),
    ) -> None:
        """Initialize without reserved members."""
        self.stored = stored
        self.attempt_id = AttemptId(job=stored.job.job_id, attempt=attempt)
        self.stopped = asyncio.Event()
        self.state: str = ACCEPTED
        self._states: dict[str, str] = {}
        self._members = GangMembers(
            context=context,
            attempt_id=self.attempt_id,
            members=members,
            states=self._states,
            watches=watches,
        )
        self._context = context
        self._wait_for = tuple(wait_for)
        self._reasons: dict[str, str] = {}
        self._changed = asyncio.Event()
        self._stop_request: Literal['', 'cancel', 'preempt'] = ''

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the members in the order in which they are reserved."""
        return self._members.members

    def on_update(self, update: MemberUpdate) -> None:
        """Apply the state of a member as learned by a watch."""
        if self._states.get(update.worker) != update.state:
            self._states[update.worker] = update.state
            self._reasons[update.worker] = update.reason
            self._changed.set()

    def cancel(self) -> None:
        """Request a stop of the attempt: its job has been cancelled."""
        self._stop_request = 'cancel'
        self._changed.set()

    def preempt(self) -> None:
        """Request a checkpoint and a stop; the job is queued again."""
        self._stop_request = self._stop_request or 'preempt'
        self._changed.set()

    async def run(self) -> GangEnd:
        """Reserve the members, record the start, start, wait and finalize."""
        try:
            return await self._run_new()
        except (FencedError, LeaseExpiredError) as error:
            return self._abandon(error)
        finally:
            self.stopped.set()

    async def resume(self, states: dict[str, str]) -> GangEnd:
        """Resume an attempt whose start another scheduler recorded.

        :param states: the states that its workers reported when fenced.
        """
        try:
            return await self._run_adopted(states)
        except (FencedError, LeaseExpiredError) as error:
            return self._abandon(error)
        finally:
            self.stopped.set()

    async def _run_new(self) -> GangEnd:
        for stopped in self._wait_for:
            await stopped.wait()
        self.state = RESERVED
        rejected_by = await self._members.reserve()
        if rejected_by or self._stop_request:
            await self._members.release()
            return self._not_started(f'Rejected by {rejected_by}.')
        if not await self._record_start():
            await self._members.release()
            return self._not_started('The start record was not written.')
        return await self._start_and_finalize()

    async def _run_adopted(self, states: dict[str, str]) -> GangEnd:
        for member in self.members:
            self._states[member.worker] = states.get(member.worker, LOST)
            if self._states[member.worker] in {RESERVED, RUNNING}:
                self._members.watch(member.worker)
        if self._must_stop() and await self._result_is_stored():
            # The previous leader stored the result but did not write the row.
            self._states.update(dict.fromkeys(self._states, FINISHED))
        return await self._start_and_finalize()

    async def _result_is_stored(self) -> bool:
        job, attempt = self.attempt_id
        back_off = BackOff()
        while True:
            try:
                stored_result = await self._context.objects.get(
                    f'results/{job}/{attempt}',
                )
            except StorageError:
                await self._context.clock.sleep(back_off.next_s())
                continue
            return stored_result is not None

    async def _start_and_finalize(self) -> GangEnd:
        if not self._must_stop() and await self._members.start(self.stored.job):
            self.state = RUNNING
            await self._wait_end()
        end = self._outcome()
        if end == 'finished':
            self.stopped.set()
            return await self._finalize_result()
        checkpoint = ''
        if end == 'preempted':
            checkpoint = await self._members.checkpoint()
        started = await self._members.release()
        self.stopped.set()
        return await self._finalize(end, checkpoint=checkpoint, started=started)

    async def _record_start(self) -> bool:
        """Write the start record; return whether it is known to be written.

        While the reply is lost and the table does not respond, nothing is
        started and nothing is released: the members stay reserved.
        """
        while True:
            await self._members.wait_for_lease('mark')
            try:
                self.stored = await self._context.store.change(
                    self.stored,
                    self._started_job(),
                    (self._context.election.check(),),
                )
            except ConflictError:
                return await self._start_is_recorded()
            except NotSentError:
                return False
            except ReplyLostError:
                await self._context.clock.sleep(RETRY_S)
                continue
            return True

    def _started_job(self) -> Job:
        token = self._context.election.token
        return self.stored.job._replace(
            state=next_state(RESERVED, 'mark'),
            attempt=self.attempt_id.attempt,
            members=self.members,
            epoch=token.epoch,
            holder=token.holder,
            started_at_s=self._context.clock.wall_s(),
        )

    async def _start_is_recorded(self) -> bool:
        """Return whether the row holds this attempt's own start record."""
        found: StoredJob | None = None
        while found is None:
            await self._members.wait_for_lease('mark')
            try:
                found = await self._context.store.load(self.attempt_id.job)
            except StorageError:
                await self._context.clock.sleep(RETRY_S)
                continue
            if found is None:
                return False
        self.stored = found
        return (
            found.job.state == START_RECORDED
            and found.job.attempt == self.attempt_id.attempt
        )

    async def _wait_end(self) -> None:
        while not (self._must_stop() or self._complete()):
            await self._changed.wait()
            self._changed.clear()

    def _must_stop(self) -> bool:
        failure_states = {TASK_FAILED, STOPPED, LOST}
        return bool(self._stop_request) or any(
            state in failure_states for state in self._states.values()
        )

    def _complete(self) -> bool:
        return all(
            self._states.get(member.worker) == FINISHED
            for member in self.members
        )

    def _outcome(self) -> End:
        if self._complete():
            return 'finished'
        if TASK_FAILED in self._states.values():
            return 'failed'
        if self._stop_request == 'cancel':
            return 'cancelled'
        if {STOPPED, LOST}.intersection(self._states.values()):
            return 'lost'
        return 'preempted' if self._stop_request else 'lost'

    async def _finalize_result(self) -> GangEnd:
        """Store the result, write the row, then release the members."""
        finalization = self._finalization()
        first = self._members.client(self.members[0])
        result_bytes = await finalization.store_result(first)
        if result_bytes is None:
            await self._members.release()
            return await self._finalize('lost', checkpoint='', started=True)
        self.stored = await finalization.finish(result_bytes)
        await self._members.release()
        return GangEnd(end='finished', stored=self.stored)

    async def _finalize(
        self,
        end: End,
        *,
        checkpoint: str,
        started: bool,
    ) -> GangEnd:
        failed_on = self._worker_in(TASK_FAILED)
        reason = self._reasons.get(failed_on, '')
        self.stored = await self._finalization().finalize(
            end,
            reason=reason,
            failed_on=failed_on,
            checkpoint=checkpoint,
            started=started,
        )
        return GangEnd(
            end=end,
            stored=self.stored,
            reason=reason,
            failed_on=failed_on,
        )

    def _finalization(self) -> Finalization:
        return Finalization(
            context=self._context,
            stored=self.stored,
            attempt_id=self.attempt_id,
        )

    def _worker_in(self, state: str) -> str:
        for worker, member_state in self._states.items():
            if member_state == state:
                return worker
        return ''

    def _not_started(self, reason: str) -> GangEnd:
        end: End = (
            'cancelled' if self._stop_request == 'cancel' else 'not_started'
        )
        return GangEnd(end=end, stored=self.stored, reason=reason)

    def _abandon(self, error: CurranthillError) -> GangEnd:
        """Change nothing further: another scheduler takes over the attempt."""
        logger.bind(
            job=self.attempt_id.job,
            attempt=self.attempt_id.attempt,
            step=error.step,
            peer=error.peer,
        ).info('the attempt is left to another scheduler: {}', error.message)
        return GangEnd(end='abandoned', stored=self.stored)


def next_attempt(job: Job, epoch: int, last: int) -> int:
    """Return an attempt number above all that were used for a job.

    A new leader does not know which numbers a previous one used without a
    start record, so each epoch has a range of its own.
    """
    return max(job.attempt, last, epoch << 20) + 1


__all__ = ('Gang', 'GangEnd', 'next_attempt')
