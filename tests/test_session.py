"""A worker session whose concurrent calls get their responses out of order."""

import asyncio
import unittest

from curranthill.clock import Clock
from curranthill.dispatch.owner import SessionOwner
from curranthill.dispatch.probing import ProbeLimiter
from curranthill.dispatch.session import WorkerSession
from curranthill.dispatch.silence import SilentWorkers
from curranthill.dispatch.workers import (
    EndReport,
    LeaseOrder,
    LeaseReport,
    StartOrder,
    TaskWorker,
)
from curranthill.errors import WorkerReplyLostError
from curranthill.placement import ASSIGNED, UNKNOWN, Run, WorkerEntry
from curranthill.tasks import Resources, TaskKey, Timing
from tests.domain import ONE_GPU, WORKER_CAPACITY
from tests.support import ManualClock, run

TASK = TaskKey('a1', 0, 0, 0)


class OvertakingWorker:
    """Responds to a renewal at the moment when a start times out.

    :param renewals: every renewal that was received.
    """

    def __init__(self) -> None:
        """Initialize a worker that responds to renewals at once."""
        self.renewals: list[LeaseOrder] = []
        self.hold = False
        self._held: asyncio.Future[None] | None = None

    async def start(self, order: StartOrder) -> float:
        """Lose the response; release that of the held renewal instead."""
        assert self._held is not None
        self.hold = False
        self._held.set_result(None)
        raise WorkerReplyLostError('No answer.', step='start')

    async def stop(self, task: TaskKey, attempt: int, token: int) -> float:
        """Accept a stop."""
        return 0.0

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Report no runs."""
        self.renewals.append(order)
        if self.hold:
            self._held = asyncio.get_running_loop().create_future()
            await self._held
        return LeaseReport(clock_s=0.0, runs=(), ends=())


class Owner:
    """Records what a session reports.

    :param dropped: why each run was given up, and the token of the newest
        renewal then.
    """

    def __init__(self, worker: OvertakingWorker) -> None:
        """Initialize an owner without reports."""
        self.dropped: list[tuple[str, int]] = []
        self.silent_workers = SilentWorkers(clock=ManualClock())
        self._worker = worker

    def may_renew(self) -> bool:
        """Allow renewals."""
        return True

    def may_order(self) -> bool:
        """Allow orders."""
        return True

    def run_started(self, job_id: str) -> None:
        """Ignore a start."""

    def run_reported(self, session: WorkerSession, run: Run) -> None:
        """Ignore progress."""

    def fenced(self, session: WorkerSession) -> None:
        """Ignore another leader."""

    def resend_stop(self, session: WorkerSession, run: Run) -> None:
        """Ignore a stop without effect."""

    def run_ended(self, session: WorkerSession, end: EndReport) -> None:
        """Ignore an end."""

    def run_absent(
        self,
        session: WorkerSession,
        run: Run,
        reason: str,
    ) -> None:
        """Record why a run was dropped."""
        newest = self._worker.renewals[-1]
        self.dropped.append((reason, newest.token))

    def losses_resolved(
        self, worker_id: str, *, crashed: bool, incarnation: int = 0
    ) -> None:
        """Ignore the cause of losses."""

    def needs_of(self, key: TaskKey) -> Resources:
        """Return the resources of every task."""
        return ONE_GPU

    async def ends_stored(self) -> None:
        """Return at once, as if all ends were stored."""

    def is_stored(self, job_id: str) -> bool:
        """Return that every job is stored."""
        return True

    def session_changed(self, session: WorkerSession) -> None:
        """Ignore a change of the session."""


class AllOpen:
    """Reports every data centre as open."""

    def allows_starts(self, data_centre: str) -> bool:
        """Allow starts everywhere."""
        return True


def open_session(
    worker: TaskWorker,
    owner: SessionOwner,
    clock: Clock,
    incarnation: int = 0,
) -> WorkerSession:
    """Return the session of a worker at the start of a term."""
    return WorkerSession(
        entry=WorkerEntry(
            worker_id='w1',
            service='calc',
            address='10.0.0.1:80',
            data_centre='dc',
            capacity=WORKER_CAPACITY,
            incarnation=incarnation,
        ),
        worker=worker,
        owner=owner,
        clock=clock,
        timing=Timing(),
        token=1,
        previous_s=0.0,
        closed_data_centres=AllOpen(),
        probe_limiter=ProbeLimiter(clock=clock),
    )


def assigned_run(
    clock: Clock,
    key: TaskKey = TASK,
    incarnation: int = 0,
) -> Run:
    """Return a run whose assignment is stored and not ordered yet."""
    return Run(
        key=key,
        attempt=1,
        worker_id='w1',
        needs=ONE_GPU,
        priority=1,
        checkpointable=False,
        state=ASSIGNED,
        now_s=clock.monotonic_s(),
        incarnation=incarnation,
    )


class CrossingReplyTest(unittest.TestCase):
    """A report made before an order was fenced off does not resolve it."""

    def test_a_report_under_the_old_token_does_not_resolve_a_lost_start(
        self,
    ) -> None:
        """The start may still take effect until one under the new token."""

        async def case() -> None:
            clock = ManualClock()
            worker = OvertakingWorker()
            owner = Owner(worker)
            session = open_session(worker, owner, clock)
            serving = asyncio.ensure_future(session.run())
            await clock.advance(0.1)
            one = assigned_run(clock)
            session.runs[one.name] = one
            worker.hold = True
            session.wake()
            await clock.advance(0.1)
            token = session.token
            await session.start(one, 'text')
            self.assertEqual(one.state, UNKNOWN)
            await clock.advance(1)
            self.assertEqual(owner.dropped, [('never started', token + 1)])
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)

        run(case())
