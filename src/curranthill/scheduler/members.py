"""Calls to the workers of the members of one attempt."""

import asyncio
from collections.abc import Iterable
from typing import Final

from loguru import logger

from curranthill.errors import (
    FencedError,
    LeaseExpiredError,
    WorkerBusyError,
    WorkerError,
)
from curranthill.jobs import Job, Member
from curranthill.scheduler.context import Context
from curranthill.scheduler.watch import LOST, WorkerWatch
from curranthill.workers import (
    RESERVED,
    AttemptId,
    LeaseRequest,
    Task,
    Worker,
)

#: The delay between attempts of a call, in seconds.
RETRY_S: Final = 0.2

#: How often a start is sent before its member counts as lost.
_MAX_START_ATTEMPTS: Final = 5


class GangMembers:
    """Reserves, starts, stops and releases the members of one attempt.

    :param members: the workers with their slots.
    :param states: the known state of each member by worker; updated here.
    :param watches: the watch of each worker by name.
    """

    def __init__(
        self,
        *,
        context: Context,
        attempt_id: AttemptId,
        members: Iterable[Member],
        states: dict[str, str],
        watches: dict[str, WorkerWatch],
    ) -> None:
        """Initialize with the members in their order of reservation."""
        # A fixed order prevents two gangs from deadlocking.
        self.members = tuple(sorted(members))
        self._context = context
        self._attempt_id = attempt_id
        self._states = states
        self._watches = watches
        self._any_started = False

    async def reserve(self) -> tuple[str, ...]:
        """Reserve all members; return the worker that rejected, if any."""
        for member in self.members:
            await self.wait_for_lease('reserve')
            if not await self._reserve(member):
                return (member.worker,)
        return ()

    def watch(self, worker: str) -> None:
        """Have the worker's watch renew the member's lease."""
        watch = self._watches.get(worker)
        if watch is not None:
            watch.add(self._attempt_id)

    async def start(self, job: Job) -> bool:
        """Start all members; return whether all workers accepted."""
        results = await asyncio.gather(
            *(
                self._start(rank, member, job)
                for rank, member in enumerate(self.members)
            ),
            return_exceptions=True,
        )
        failed = [
            result for result in results if isinstance(result, BaseException)
        ]
        for error in failed:
            if isinstance(error, (FencedError, LeaseExpiredError)):
                raise error
            self._log('failed to start a member', error)
        return not failed

    async def checkpoint(self) -> str:
        """Stop all members; return the least checkpoint if all returned one."""
        checkpoints = await asyncio.gather(
            *(self._checkpoint(member) for member in self.members),
        )
        return min(checkpoints) if all(checkpoints) else ''

    async def release(self) -> bool:
        """Release all members; return whether any may ever have started.

        A worker that does not respond stops its member when the lease, which
        is no longer renewed, expires.
        """
        may_have_started = await asyncio.gather(
            *(self._release(member) for member in self.members),
        )
        # A worker that has crashed meanwhile reports no start. If its report
        # alone counted, work that must run at most once would run again.
        return self._any_started or any(may_have_started)

    async def wait_for_lease(self, step: str) -> None:
        """Wait until the leader's lease is valid, margin included.

        During an outage of the table the leader waits; once another scheduler
        leads, it stops waiting.

        :raises LeaseExpiredError: if this process no longer leads.
        """
        election = self._context.election
        while election.leading and election.lease_left_s() <= 0:
            await self._context.clock.sleep(RETRY_S)
        election.require(step)

    def client(self, member: Member) -> Worker:
        """Return the client of a member's worker."""
        return self._context.worker_at(member.address)

    async def _reserve(self, member: Member) -> bool:
        if member.worker not in self._watches:
            return False
        request = LeaseRequest(
            attempt_id=self._attempt_id,
            slots=member.slots,
            term_s=self._context.leases.reserve_term_s,
        )
        token = self._context.election.token
        try:
            await self.client(member).reserve(token, request)
        except FencedError:
            raise
        except WorkerError as error:
            self._log('had a reservation rejected', error)
            return False
        self._states[member.worker] = RESERVED
        self.watch(member.worker)
        return True

    async def _start(self, rank: int, member: Member, job: Job) -> None:
        task = Task(
            service=job.service,
            kind=job.kind,
            body=job.body,
            rank=rank,
            members=len(self.members),
            checkpoint=job.checkpoint,
        )
        for attempts_left in reversed(range(_MAX_START_ATTEMPTS)):
            try:
                return await self._start_once(member, task)
            except (FencedError, WorkerBusyError):
                raise
            except WorkerError:
                if not attempts_left:
                    self._states[member.worker] = LOST
                    raise
            await self._context.clock.sleep(RETRY_S)
        return None

    async def _start_once(self, member: Member, task: Task) -> None:
        await self.wait_for_lease('start')
        token = self._context.election.token
        await self.client(member).start(token, self._attempt_id, task)
        self._any_started = True

    async def _checkpoint(self, member: Member) -> str:
        try:
            return await self.client(member).stop(
                self._context.election.token,
                self._attempt_id,
                self._context.placement.grace_s,
            )
        except FencedError:
            raise
        except WorkerError:
            return ''

    async def _release(self, member: Member) -> bool:
        """Release one member; return whether it may ever have started.

        Without a response from its worker it counts as started.
        """
        watch = self._watches.get(member.worker)
        if watch is not None:
            watch.discard(self._attempt_id)
        clock = self._context.clock
        until_s = clock.monotonic_s() + self._context.leases.member_term_s
        while clock.monotonic_s() < until_s:
            try:
                return await self.client(member).release(
                    self._context.election.token,
                    self._attempt_id,
                )
            except FencedError:
                raise
            except WorkerError:
                await clock.sleep(RETRY_S)
        return True

    def _log(self, message: str, error: BaseException) -> None:
        logger.bind(
            job=self._attempt_id.job,
            attempt=self._attempt_id.attempt,
            step=getattr(error, 'step', ''),
            peer=getattr(error, 'peer', ''),
        ).info('attempt {}: {}', message, error)


__all__ = ('RETRY_S', 'GangMembers')
