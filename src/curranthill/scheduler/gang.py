"""One attempt of one job, from its reservation to its settled end.

The order is what makes it safe: every member is reserved before the start
mark, the mark is one transaction over the job's row and the leader's row,
and no member is started before the mark is known to be written.
"""

import asyncio
from collections.abc import Iterable
from typing import Literal, NamedTuple

from loguru import logger

from curranthill.errors import (
    ConflictError,
    CurranthillError,
    FencedError,
    LeaseLapsedError,
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
from curranthill.scheduler.members import RETRY_S, Members
from curranthill.scheduler.settle import BackOff, Settlement
from curranthill.scheduler.watch import LOST, MemberNews, WorkerWatch
from curranthill.workers import (
    FINISHED,
    RESERVED,
    RUNNING,
    STOPPED,
    TASK_FAILED,
    AttemptId,
)

#: How an attempt ended, or why it was given back unstarted.
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

    :param stored: the job's row as last written, if this process wrote it.
    :param failed_on: the worker on which a member failed.
    """

    end: End
    stored: StoredJob
    reason: str = ''
    failed_on: str = ''


class Gang:
    """Run one attempt.

    :param stored: the job's row as it was read.
    :param members: the workers, with slots.
    :param attempt: the attempt's number, above all earlier ones.
    :param watches: the watch of each worker by name.
    :param wait_for: what must have stopped before this may reserve.
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
        """Keep the parts; nothing is reserved yet."""
        self.stored = stored
        self.attempt_id = AttemptId(job=stored.job.job_id, attempt=attempt)
        self.stopped = asyncio.Event()
        self.state: str = ACCEPTED
        self._states: dict[str, str] = {}
        self._members = Members(
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
        self._wish: Literal['', 'cancel', 'preempt'] = ''

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the members in the order in which they are reserved."""
        return self._members.members

    def on_news(self, news: MemberNews) -> None:
        """Take in what a watch learnt of one member."""
        if self._states.get(news.worker) != news.state:
            self._states[news.worker] = news.state
            self._reasons[news.worker] = news.reason
            self._changed.set()

    def cancel(self) -> None:
        """Stop the attempt as soon as may be; the caller gave the job up."""
        self._wish = 'cancel'
        self._changed.set()

    def preempt(self) -> None:
        """Checkpoint and stop the attempt; the job will wait again."""
        self._wish = self._wish or 'preempt'
        self._changed.set()

    async def run(self) -> GangEnd:
        """Reserve, mark, start, wait and settle."""
        try:
            return await self._run_fresh()
        except (FencedError, LeaseLapsedError) as error:
            return self._abandon(error)
        finally:
            self.stopped.set()

    async def resume(self, states: dict[str, str]) -> GangEnd:
        """Go on with an attempt that another scheduler had marked.

        :param states: what its workers said when they were fenced.
        """
        try:
            return await self._run_adopted(states)
        except (FencedError, LeaseLapsedError) as error:
            return self._abandon(error)
        finally:
            self.stopped.set()

    async def _run_fresh(self) -> GangEnd:
        for stopped in self._wait_for:
            await stopped.wait()
        self.state = RESERVED
        refused = await self._members.reserve()
        if refused or self._wish:
            await self._members.release()
            return self._not_started(f'Refused by {refused}.')
        if not await self._mark():
            await self._members.release()
            return self._not_started('The start mark was not written.')
        return await self._start_and_settle()

    async def _run_adopted(self, states: dict[str, str]) -> GangEnd:
        for member in self.members:
            self._states[member.worker] = states.get(member.worker, LOST)
            if self._states[member.worker] in {RESERVED, RUNNING}:
                self._members.watch(member.worker)
        if self._broken() and await self._result_is_kept():
            # The last leader kept the result and died before the row.
            self._states.update(dict.fromkeys(self._states, FINISHED))
        return await self._start_and_settle()

    async def _result_is_kept(self) -> bool:
        job, attempt = self.attempt_id
        back_off = BackOff()
        while True:
            try:
                kept = await self._context.objects.get(
                    f'results/{job}/{attempt}',
                )
            except StorageError:
                await self._context.clock.sleep(back_off.next_s())
                continue
            return kept is not None

    async def _start_and_settle(self) -> GangEnd:
        if not self._broken() and await self._members.start(self.stored.job):
            self.state = RUNNING
            await self._wait_end()
        end = self._verdict()
        if end == 'finished':
            self.stopped.set()
            return await self._settle_result()
        checkpoint = ''
        if end == 'preempted':
            checkpoint = await self._members.checkpoint()
        started = await self._members.release()
        self.stopped.set()
        return await self._settle(end, checkpoint=checkpoint, started=started)

    async def _mark(self) -> bool:
        """Write the start mark; return whether it is known to be written.

        While the reply is lost and the table stays silent nothing is
        started and nothing is given back: the members stay reserved.
        """
        while True:
            await self._members.own_lease('mark')
            try:
                self.stored = await self._context.store.change(
                    self.stored,
                    self._marked_job(),
                    (self._context.election.check(),),
                )
            except ConflictError:
                return await self._marked_after_all()
            except NotSentError:
                return False
            except ReplyLostError:
                await self._context.clock.sleep(RETRY_S)
                continue
            return True

    def _marked_job(self) -> Job:
        token = self._context.election.token
        return self.stored.job._replace(
            state=next_state(RESERVED, 'mark'),
            attempt=self.attempt_id.attempt,
            members=self.members,
            epoch=token.epoch,
            holder=token.holder,
            started_at_s=self._context.clock.wall_s(),
        )

    async def _marked_after_all(self) -> bool:
        """Look whether the row holds this attempt's own mark."""
        found: StoredJob | None = None
        while found is None:
            await self._members.own_lease('mark')
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
        while not (self._broken() or self._complete()):
            await self._changed.wait()
            self._changed.clear()

    def _broken(self) -> bool:
        ended_badly = {TASK_FAILED, STOPPED, LOST}
        return bool(self._wish) or any(
            state in ended_badly for state in self._states.values()
        )

    def _complete(self) -> bool:
        return all(
            self._states.get(member.worker) == FINISHED
            for member in self.members
        )

    def _verdict(self) -> End:
        if self._complete():
            return 'finished'
        if TASK_FAILED in self._states.values():
            return 'failed'
        if self._wish == 'cancel':
            return 'cancelled'
        if {STOPPED, LOST}.intersection(self._states.values()):
            return 'lost'
        return 'preempted' if self._wish else 'lost'

    async def _settle_result(self) -> GangEnd:
        """Keep the result, write the row, then let the workers forget."""
        settlement = self._settlement()
        first = self._members.client(self.members[0])
        kept_bytes = await settlement.keep_result(first)
        if kept_bytes is None:
            await self._members.release()
            return await self._settle('lost', checkpoint='', started=True)
        self.stored = await settlement.finish(kept_bytes)
        await self._members.release()
        return GangEnd(end='finished', stored=self.stored)

    async def _settle(
        self,
        end: End,
        *,
        checkpoint: str,
        started: bool,
    ) -> GangEnd:
        failed_on = self._worker_in(TASK_FAILED)
        reason = self._reasons.get(failed_on, '')
        self.stored = await self._settlement().settle(
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

    def _settlement(self) -> Settlement:
        return Settlement(
            context=self._context,
            stored=self.stored,
            attempt_id=self.attempt_id,
        )

    def _worker_in(self, state: str) -> str:
        for worker, known in self._states.items():
            if known == state:
                return worker
        return ''

    def _not_started(self, reason: str) -> GangEnd:
        end: End = 'cancelled' if self._wish == 'cancel' else 'not_started'
        return GangEnd(end=end, stored=self.stored, reason=reason)

    def _abandon(self, error: CurranthillError) -> GangEnd:
        """Leave all as it is: another scheduler decides from here."""
        logger.bind(
            job=self.attempt_id.job,
            attempt=self.attempt_id.attempt,
            step=error.step,
            peer=error.peer,
        ).info('the attempt is left to another scheduler: {}', error.message)
        return GangEnd(end='abandoned', stored=self.stored)


def next_attempt(job: Job, epoch: int, last: int) -> int:
    """Return an attempt number above all that were used for a job.

    A new leader does not know which numbers an earlier one tried without a
    mark, so each epoch has a range of its own.
    """
    return max(job.attempt, last, epoch << 20) + 1


__all__ = ('Gang', 'GangEnd', 'next_attempt')
