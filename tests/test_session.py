"""One life of one worker, against replies that cross each other."""

import asyncio
import unittest

from curranthill.clock import Clock
from curranthill.dispatch.owner import SessionOwner
from curranthill.dispatch.probing import ProbeLimiter
from curranthill.dispatch.session import WorkerSession
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


class CrossingWorker:
    """Answers a renewal just as a start is given up.

    :param renewals: every renewal that was asked for.
    """

    def __init__(self) -> None:
        """Answer at once until a renewal is to be held."""
        self.renewals: list[LeaseOrder] = []
        self.hold = False
        self._held: asyncio.Future[None] | None = None

    async def start(self, order: StartOrder) -> float:
        """Give no answer; the held renewal is answered at this moment."""
        assert self._held is not None
        self.hold = False
        self._held.set_result(None)
        raise WorkerReplyLostError('No answer.', step='start')

    async def stop(self, task: TaskKey, attempt: int, token: int) -> float:
        """Accept a stop."""
        return 0.0

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """List nothing."""
        self.renewals.append(order)
        if self.hold:
            self._held = asyncio.get_running_loop().create_future()
            await self._held
        return LeaseReport(clock_s=0.0, runs=(), ends=())


class Owner:
    """Keeps what a session tells.

    :param vanished: why each run was given up, and the token of the newest
        renewal then.
    """

    def __init__(self, worker: CrossingWorker) -> None:
        """Start with nothing told."""
        self.vanished: list[tuple[str, int]] = []
        self._worker = worker

    def may_renew(self) -> bool:
        """Allow renewals."""
        return True

    def may_order(self) -> bool:
        """Allow orders."""
        return True

    def run_reported(self, session: WorkerSession, run: Run) -> None:
        """Pass over progress."""

    def fenced(self, session: WorkerSession) -> None:
        """Pass over another leader."""

    def resend_stop(self, session: WorkerSession, run: Run) -> None:
        """Pass over a stop without effect."""

    def run_ended(self, session: WorkerSession, end: EndReport) -> None:
        """Pass over an end."""

    def run_absent(
        self,
        session: WorkerSession,
        run: Run,
        reason: str,
    ) -> None:
        """Keep why a run was given up."""
        newest = self._worker.renewals[-1]
        self.vanished.append((reason, newest.token))

    def loss_resolved(self, run: Run, *, crashed: bool) -> None:
        """Pass over what a loss turns out to be."""

    def needs_of(self, key: TaskKey) -> Resources:
        """Return what every task takes."""
        return ONE_GPU

    async def ends_stored(self) -> None:
        """Store at once."""

    def session_changed(self, session: WorkerSession) -> None:
        """Pass over news."""


class AllOpen:
    """No data centre is closed."""

    def allows_starts(self, data_centre: str) -> bool:
        """Allow all."""
        return True


def open_session(
    worker: TaskWorker,
    owner: SessionOwner,
    clock: Clock,
    incarnation: int = 0,
) -> WorkerSession:
    """Return a session of a worker that a leader has just won."""
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
        closures=AllOpen(),
        probe_limiter=ProbeLimiter(clock=clock),
    )


def marked_run(
    clock: Clock,
    key: TaskKey = TASK,
    incarnation: int = 0,
) -> Run:
    """Return a run that is stored and not ordered yet."""
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
    """A list that was made before an order is known to be shut out."""

    def test_a_list_under_the_old_token_says_nothing_of_a_lost_start(
        self,
    ) -> None:
        """The start may yet take effect; only a list under the new token."""

        async def case() -> None:
            clock = ManualClock()
            worker = CrossingWorker()
            owner = Owner(worker)
            session = open_session(worker, owner, clock)
            serving = asyncio.ensure_future(session.run())
            await clock.advance(0.1)
            one = marked_run(clock)
            session.runs[one.name] = one
            worker.hold = True
            session.wake()
            await clock.advance(0.1)
            token = session.token
            await session.start(one, 'text')
            self.assertEqual(one.state, UNKNOWN)
            await clock.advance(1)
            self.assertEqual(owner.vanished, [('never started', token + 1)])
            serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)

        run(case())
