"""One attempt of one job, from its reservation to its settled end.

The order is what makes it safe: every member is reserved before the start
mark, the mark is one transaction over the job's row and the leader's row,
and no member is started before the mark is known to be written.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final, Literal, NamedTuple

from loguru import logger

from curranthill.errors import (
    ConflictError,
    CurranthillError,
    FencedError,
    LeaseLapsedError,
    NotSentError,
    ReplyLostError,
    StorageError,
    WorkerBusyError,
    WorkerError,
)
from curranthill.jobs import ACCEPTED, MARKED, Job, Member, Stored, next_state
from curranthill.scheduler.context import Context
from curranthill.scheduler.settle import BackOff, Settlement
from curranthill.scheduler.watch import LOST, MemberNews, WorkerWatch
from curranthill.workers import (
    FINISHED,
    RESERVED,
    RUNNING,
    STOPPED,
    TASK_FAILED,
    AttemptId,
    LeaseRequest,
    Task,
    Worker,
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

_RETRY_S: Final = 0.2
_START_TRIES: Final = 5


class GangEnd(NamedTuple):
    """The end of one attempt.

    :param stored: the job's row as last written, if this process wrote it.
    :param busy: workers that refused a reservation.
    :param failed_on: the worker on which a member failed.
    """

    end: End
    stored: Stored
    reason: str = ''
    busy: tuple[str, ...] = ()
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
        stored: Stored,
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
        # A fixed order keeps two gangs from holding each other up.
        self._members = tuple(sorted(members))
        self._context = context
        self._watches = watches
        self._wait_for = tuple(wait_for)
        self._states: dict[str, str] = {}
        self._reasons: dict[str, str] = {}
        self._changed = asyncio.Event()
        self._wish: Literal['', 'cancel', 'preempt'] = ''
        self._ever_started = True

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the members in the order in which they are reserved."""
        return self._members

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
        busy = await self._reserve()
        if busy or self._wish:
            await self._release_all()
            return self._not_started('A reservation was refused.', busy)
        marked = await self._mark()
        if not marked:
            await self._release_all()
            return self._not_started('The start mark was not written.', ())
        return await self._start_and_settle()

    async def _run_adopted(self, states: dict[str, str]) -> GangEnd:
        self._states.update(states)
        for member in self._members:
            if states.get(member.worker) in {RESERVED, RUNNING}:
                self._watches[member.worker].add(self.attempt_id)
        missing = [
            member.worker
            for member in self._members
            if member.worker not in states
        ]
        for worker in missing:
            self._states[worker] = LOST
        if self._broken() and await self._result_is_kept():
            # The last leader kept the result and died before the row.
            self._states = dict.fromkeys(self._states, FINISHED)
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
        started = await self._start_all()
        if started:
            self.state = RUNNING
            await self._wait_end()
        end = self._verdict()
        checkpoint = ''
        if end != 'finished':
            checkpoint = await self._stop_all(graceful=end == 'preempted')
        self.stopped.set()
        return await self._settle(end, checkpoint)

    async def _reserve(self) -> tuple[str, ...]:
        """Reserve all members; return the workers that refused."""
        self.state = RESERVED
        for member in self._members:
            await self._own_lease('reserve')
            watch = self._watches.get(member.worker)
            if watch is None:
                return (member.worker,)
            try:
                await self._client(member).reserve(
                    self._context.election.token,
                    LeaseRequest(
                        attempt_id=self.attempt_id,
                        slots=member.slots,
                        term_s=self._context.leases.reserve_term_s,
                    ),
                )
            except FencedError:
                raise
            except WorkerError as error:
                self._log('refused a reservation: {}', error)
                return (member.worker,)
            self._states[member.worker] = RESERVED
            watch.add(self.attempt_id)
        return ()

    async def _mark(self) -> bool:
        """Write the start mark; return whether it is known to be written.

        While the reply is lost and the table stays silent nothing is
        started and nothing is given back: the members stay reserved.
        """
        election = self._context.election
        job = self.stored.job._replace(
            state=next_state(RESERVED, 'mark'),
            attempt=self.attempt_id.attempt,
            members=self._members,
            epoch=election.token.epoch,
            holder=election.token.holder,
            started_at_s=self._context.clock.wall_s(),
        )
        while True:
            await self._own_lease('mark')
            try:
                self.stored = await self._context.store.change(
                    self.stored,
                    job,
                    (election.check(),),
                )
            except ConflictError:
                return await self._marked_after_all()
            except NotSentError:
                return False
            except ReplyLostError:
                await self._context.clock.sleep(_RETRY_S)
                continue
            return True

    async def _marked_after_all(self) -> bool:
        """Look whether the row holds this attempt's own mark."""
        while True:
            await self._own_lease('mark')
            try:
                found = await self._context.store.load(self.attempt_id.job)
            except StorageError:
                await self._context.clock.sleep(_RETRY_S)
                continue
            break
        if found is None:
            return False
        self.stored = found
        return (
            found.job.state == MARKED
            and found.job.attempt == self.attempt_id.attempt
        )

    async def _start_all(self) -> bool:
        """Start all members; return whether each one took the call."""
        if self._broken():
            return False
        results = await asyncio.gather(
            *(
                self._start(rank, member)
                for rank, member in enumerate(self._members)
            ),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, (FencedError, LeaseLapsedError)):
                raise result
        failed = [
            result for result in results if isinstance(result, BaseException)
        ]
        for error in failed:
            self._log('did not start a member: {}', error)
        return not failed

    async def _start(self, rank: int, member: Member) -> None:
        job = self.stored.job
        task = Task(
            service=job.service,
            kind=job.kind,
            body=job.body,
            rank=rank,
            members=len(self._members),
            checkpoint=job.checkpoint,
        )
        for attempt in range(_START_TRIES):
            await self._own_lease('start')
            try:
                await self._client(member).start(
                    self._context.election.token,
                    self.attempt_id,
                    task,
                )
            except (FencedError, WorkerBusyError):
                raise
            except WorkerError:
                if attempt == _START_TRIES - 1:
                    self._states[member.worker] = LOST
                    raise
                await self._context.clock.sleep(_RETRY_S)
                continue
            return

    async def _wait_end(self) -> None:
        while not (self._broken() or self._complete()):
            await self._changed.wait()
            self._changed.clear()

    async def _own_lease(self, step: str) -> None:
        """Wait until the lease holds, margin included.

        While the table is away the incumbent waits; once another scheduler
        leads it gives up.

        :raises LeaseLapsedError: if this process no longer leads.
        """
        election = self._context.election
        while election.leading and election.lease_left_s() <= 0:
            await self._context.clock.sleep(_RETRY_S)
        election.require(step)

    def _broken(self) -> bool:
        ended_badly = {TASK_FAILED, STOPPED, LOST}
        return bool(self._wish) or any(
            state in ended_badly for state in self._states.values()
        )

    def _complete(self) -> bool:
        return all(
            self._states.get(member.worker) == FINISHED
            for member in self._members
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

    async def _stop_all(self, *, graceful: bool) -> str:
        """Stop every member; return the checkpoint if all gave one.

        A worker that does not answer stops its member by itself once the
        lease lapses, which nothing renews any more.
        """
        if not graceful:
            await self._release_all()
            return ''
        checkpoints = await asyncio.gather(
            *(self._checkpoint(member) for member in self._members),
        )
        await self._release_all()
        return min(checkpoints) if all(checkpoints) else ''

    async def _checkpoint(self, member: Member) -> str:
        try:
            checkpoint = await self._client(member).stop(
                self._context.election.token,
                self.attempt_id,
                self._context.placement.grace_s,
            )
        except FencedError:
            raise
        except WorkerError:
            return ''
        return checkpoint if self.stored.job.checkpointable else ''

    async def _release_all(self) -> None:
        """Release each member; keep whether any had started."""
        answers = await asyncio.gather(
            *(self._release(member) for member in self._members),
        )
        self._ever_started = any(answers)

    async def _release(self, member: Member) -> bool:
        """Release one member; True unless it provably never started."""
        watch = self._watches.get(member.worker)
        if watch is not None:
            watch.discard(self.attempt_id)
        deadline_s = self._context.clock.monotonic_s()
        deadline_s += self._context.leases.member_term_s
        while self._context.clock.monotonic_s() < deadline_s:
            try:
                return await self._client(member).release(
                    self._context.election.token,
                    self.attempt_id,
                )
            except FencedError:
                raise
            except WorkerError:
                await self._context.clock.sleep(_RETRY_S)
        return True

    async def _settle(self, end: End, checkpoint: str) -> GangEnd:
        settlement = Settlement(
            context=self._context,
            stored=self.stored,
            attempt_id=self.attempt_id,
        )
        failed_on = self._worker_in(TASK_FAILED)
        complete = end == 'finished'
        if complete:
            kept = await settlement.keep_result(self._client(self._members[0]))
            if kept is None:
                end = 'lost'
            else:
                self.stored = await settlement.finish(kept)
        if end != 'finished':
            self.stored = await settlement.settle(
                end,
                reason=self._reasons.get(failed_on, ''),
                failed_on=failed_on,
                checkpoint=checkpoint,
                started=self._ever_started,
            )
        if complete:
            # Only now may the worker forget the result.
            await self._release_all()
        return GangEnd(
            end=end,
            stored=self.stored,
            reason=self._reasons.get(failed_on, ''),
            failed_on=failed_on,
        )

    def _worker_in(self, state: str) -> str:
        for worker, known in self._states.items():
            if known == state:
                return worker
        return ''

    def _not_started(self, reason: str, busy: tuple[str, ...]) -> GangEnd:
        end: End = 'cancelled' if self._wish == 'cancel' else 'not_started'
        return GangEnd(end=end, stored=self.stored, reason=reason, busy=busy)

    def _abandon(self, error: CurranthillError) -> GangEnd:
        """Leave all as it is: another scheduler decides from here."""
        self._log('is left to another scheduler: {}', error)
        return GangEnd(end='abandoned', stored=self.stored)

    def _client(self, member: Member) -> Worker:
        return self._context.worker_at(member.address)

    def _log(self, message: str, error: BaseException) -> None:
        logger.bind(
            job=self.attempt_id.job,
            attempt=self.attempt_id.attempt,
            workspace=self.stored.job.workspace,
            step=getattr(error, 'step', ''),
            peer=getattr(error, 'peer', ''),
        ).info('attempt ' + message, error)


#: Told when an attempt has ended.
EndListener = Callable[[Gang, GangEnd], None]


def next_attempt(job: Job, epoch: int, last: int) -> int:
    """Return an attempt number above all that were used for a job.

    A new leader does not know which numbers an earlier one tried without a
    mark, so each epoch has a range of its own.
    """
    return max(job.attempt, last, epoch << 20) + 1


__all__ = ('EndListener', 'Gang', 'GangEnd', 'next_attempt')
