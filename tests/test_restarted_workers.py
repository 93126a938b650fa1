"""Workers that restart under the same id.

A restarted worker keeps no state and numbers its ends from 1 again. The leader
used to keep the numbers recorded from the previous incarnation: it skipped all
ends up to the last of them, and its next renewal acknowledged them unread. So
tasks that were done ran again, and failed runs were not counted against their
limit. In the log such a task has no `run_ended` after the restart but a
`run_vanished ... not listed` 1.3 s later, and then a second start. The event
`end_passed_over` reports a skipped end whose run is still tracked.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from curranthill.dispatch import (
    EndReport,
    LeaseOrder,
    LeaseReport,
    StartOrder,
)
from curranthill.dispatch.session import WorkerSession
from curranthill.placement import Run, WorkerEntry
from curranthill.standin.task_worker import TaskWorkerModel
from curranthill.tasks import TaskKey
from tests.domain import WORKER_CAPACITY, Domain, in_domain, make_spec
from tests.support import ManualClock
from tests.support import run as run_to_end
from tests.test_session import (
    OvertakingWorker,
    Owner,
    assigned_run,
    open_session,
)

FIRST = TaskKey('a1', 0, 0, 0)
SECOND = TaskKey('b2', 0, 0, 0)
LONG = TaskKey('c3', 0, 0, 0)


async def restarted(domain: Domain, name: str = 'w0') -> None:
    """Restart a worker under its id after one of its ends was recorded."""
    host = domain.start_host('h1')
    await domain.leader()
    await host.accept(make_spec('a1'))
    await domain.ended('a1')
    await domain.clock.advance(1)
    domain.restart_worker(name)


class EndNumberTest(unittest.TestCase):
    """Each incarnation numbers its ends from 1."""

    def test_a_task_done_after_the_restart_runs_once(self) -> None:
        """Its end has a number that the previous incarnation used too."""

        async def case(domain: Domain) -> None:
            await restarted(domain)
            await domain.hosts['h1'].accept(make_spec('b2'))
            self.assertEqual(await domain.ended('b2'), 'completed')
            await domain.clock.advance(5)
            self.assertEqual(domain.starts(SECOND), [1])

        in_domain(case, workers=1)

    def test_a_task_done_after_a_seen_restart_runs_once(self) -> None:
        """The leader detects the restart before it places the task."""

        async def case(domain: Domain) -> None:
            await restarted(domain)
            await domain.clock.advance(3)
            await domain.hosts['h1'].accept(make_spec('b2'))
            self.assertEqual(await domain.ended('b2'), 'completed')
            self.assertEqual(domain.starts(SECOND), [1])

        in_domain(case, workers=1)

    def test_failures_on_restarted_workers_are_counted(self) -> None:
        """No start follows the last failure that the queue allows."""

        async def case(domain: Domain) -> None:
            await restarted(domain)
            worker = domain.workers['w0']
            worker.failing = True
            await domain.hosts['h1'].accept(make_spec('b2', attempts=2))
            self.assertEqual(await domain.ended('b2'), 'failed')
            self.assertEqual(domain.starts(SECOND), [1, 2])

        in_domain(case, workers=1)

    def test_no_end_is_acknowledged_that_was_not_recorded(self) -> None:
        """The numbers of the previous incarnation do not apply to this one."""

        async def case(domain: Domain) -> None:
            await restarted(domain)
            worker = domain.workers['w0']
            worker.run_s = 0.002
            worker.disconnected = True
            await domain.hosts['h1'].accept(make_spec('b2'))
            await domain.clock.advance(2)
            worker.disconnected = False
            self.assertEqual(await domain.ended('b2'), 'completed')
            done = [end for end in worker.acknowledged if end.task == SECOND]
            self.assertEqual(len(done), 1)
            self.assertEqual(len(domain.starts(SECOND)), 1)

        in_domain(case, workers=1)

    def test_a_worker_that_restarts_behind_a_cut_loses_its_tasks(self) -> None:
        """It runs the task once more, and that end is recorded."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1'))
            await domain.ended('a1')
            await host.accept(make_spec('b2'))
            await domain.clock.until(lambda: bool(domain.starts(SECOND)))
            worker = domain.workers['w0']
            worker.disconnected = True
            await domain.clock.advance(0.7)
            domain.restart_worker('w0')
            worker.disconnected = False
            self.assertEqual(await domain.ended('b2'), 'completed')
            await domain.clock.advance(5)
            self.assertEqual(domain.starts(SECOND), [1, 2])

        in_domain(case, workers=1, run_s=2)


class IncarnationTest(unittest.TestCase):
    """State of one incarnation is not applied to another."""

    def test_nothing_starts_on_capacity_of_a_previous_incarnation(self) -> None:
        """The new one has no accelerators; its entry is read later."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            worker.restart()
            await host.accept(make_spec('a1'))
            await domain.clock.advance(3)
            seen = len(worker.starts)
            await host.accept(make_spec('b2'))
            await domain.clock.advance(3)
            self.assertEqual(len(worker.starts), seen)

        in_domain(case, workers=1, run_s=60)

    def test_a_queued_start_is_placed_again(self) -> None:
        """The worker restarts between the stored assignment and the order."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            worker.late_starts = 1
            worker.late_s = 60
            await host.accept(make_spec('a1', priority=0))
            await domain.clock.advance(0.2)
            await host.accept(make_spec('b2'))
            await domain.clock.advance(0.2)
            none = worker.entry.capacity._replace(gpus=0)
            worker.entry = worker.entry._replace(capacity=none)
            domain.restart_worker('w0')
            await domain.clock.advance(5)
            self.assertEqual(worker.starts, [])

        in_domain(case, workers=1)

    def test_a_ticket_of_a_previous_incarnation_is_not_used(self) -> None:
        """A ticket is requested again for the new one."""

        async def case(domain: Domain) -> None:
            domain.advisor.good = {'w0'}
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', advisor=True))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            asked = domain.advisor.requests
            domain.restart_worker('w0')
            await domain.clock.until(lambda: len(domain.starts(FIRST)) == 2)
            self.assertGreater(domain.advisor.requests, asked)

        in_domain(case, workers=1, run_s=60)

    def test_a_worker_that_moves_is_reached_at_its_new_address(self) -> None:
        """It restarts under its id at another address."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            worker.entry = worker.entry._replace(address='10.0.0.99:80')
            domain.restart_worker('w0')
            await host.accept(make_spec('a1'))
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(domain.connected, ['10.0.0.0:80', '10.0.0.99:80'])

        in_domain(case, workers=1)

    def test_failures_are_forgotten_with_the_incarnation(
        self,
    ) -> None:
        """A worker that failed tasks and restarted is used like any other."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            worker.failing = True
            await host.accept(make_spec('a1', attempts=2))
            await domain.ended('a1')
            worker.failing = False
            session = domain.session('w0')
            self.assertEqual(len(session.failure_times_s), 2)
            domain.restart_worker('w0')
            await domain.clock.advance(1)
            self.assertEqual(session.failure_times_s, [])

        in_domain(case, workers=1)


class TakeoverTest(unittest.TestCase):
    """A restart while there is no leader."""

    def test_a_restart_between_two_leaders_loses_only_its_runs(self) -> None:
        """The new leader finds the assigned run absent and starts it once."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1'))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            await host.kill()
            domain.restart_worker('w0')
            domain.start_host('h2')
            self.assertEqual(await domain.ended('a1'), 'completed')
            await domain.clock.advance(5)
            self.assertEqual(domain.starts(FIRST), [1, 2])

        in_domain(case, workers=1, run_s=2)


class SteadyWorker(TaskWorkerModel):
    """A worker whose clock happens to continue over a restart."""

    def restart(self) -> None:
        """Restart with everything but the clock reset."""
        super().restart()
        self._clock_start_s = 0.0


class YoungWorker(TaskWorkerModel):
    """A worker that has just started, so that its clock shows little."""

    def __init__(
        self,
        *,
        entry: WorkerEntry,
        clock: ManualClock,
        run_s: float,
    ) -> None:
        """Start the clock of the worker."""
        super().__init__(entry=entry, clock=clock, run_s=run_s)
        self._clock_start_s = clock.monotonic_s()


class SlowResponseWorker(TaskWorkerModel):
    """A worker that starts at once and responds after the run has ended."""

    async def start(self, order: StartOrder) -> float:
        """Delay the response."""
        clock_s = await super().start(order)
        await self.clock.sleep(0.3)
        return clock_s


class SlowReportWorker(SteadyWorker):
    """A worker whose reports arrive after responses to newer orders.

    :param is_reporting: whether a report is in transit.
    """

    def __init__(
        self,
        *,
        entry: WorkerEntry,
        clock: ManualClock,
        run_s: float,
    ) -> None:
        """Initialize a worker without a report in transit."""
        super().__init__(entry=entry, clock=clock, run_s=run_s)
        self.is_reporting = False

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Delay the report."""
        report = await super().renew(order)
        self.is_reporting = True
        await self.clock.sleep(0.03)
        self.is_reporting = False
        return report


class NoIncarnationWorker(TaskWorkerModel):
    """A worker that does not report its incarnation."""

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Omit the incarnation."""
        report = await super().renew(order)
        return report._replace(incarnation=0)


class CountingWorker(TaskWorkerModel):
    """A worker that records the renewals it receives.

    :param orders: the renewals, in order.
    """

    def __init__(
        self,
        *,
        entry: WorkerEntry,
        clock: ManualClock,
        run_s: float,
    ) -> None:
        """Initialize a worker without renewals."""
        super().__init__(entry=entry, clock=clock, run_s=run_s)
        self.orders: list[LeaseOrder] = []

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Record the order."""
        self.orders.append(order)
        return await super().renew(order)


class DelayedStoreOwner(Owner):
    """An owner that stores ends only when a test allows it.

    :param ended: the tasks whose ends were recorded.
    """

    def __init__(self) -> None:
        """Initialize an owner whose store is unavailable."""
        super().__init__(OvertakingWorker())
        self.ended: list[TaskKey] = []
        self.stored = asyncio.Event()

    def run_ended(self, session: WorkerSession, end: EndReport) -> None:
        """Record the task."""
        self.ended.append(end.task)

    def run_absent(
        self,
        session: WorkerSession,
        run: Run,
        reason: str,
    ) -> None:
        """Ignore a run that was dropped."""

    async def ends_stored(self) -> None:
        """Wait for the store."""
        await self.stored.wait()


Model = TypeVar('Model', bound=TaskWorkerModel)


class SingleWorker(Generic[Model]):
    """One worker whose tasks take hardly any time, and its session.

    :param owner: its store is unavailable until a test sets ``stored``.
    """

    def __init__(self, *, kind: type[Model], incarnation: int) -> None:
        """Initialize a worker that the session has not reached yet."""
        self.clock = ManualClock()
        entry = WorkerEntry('w1', 'calc', '10.0.0.1:80', 'dc', WORKER_CAPACITY)
        self.model = kind(entry=entry, clock=self.clock, run_s=0.01)
        self.owner = DelayedStoreOwner()
        self.session = open_session(
            self.model,
            self.owner,
            self.clock,
            incarnation,
        )

    def order_start(self, key: TaskKey) -> asyncio.Future[None]:
        """Order a start, as a round does once the assignment is stored."""
        one = assigned_run(self.clock, key, self.session.incarnation)
        self.session.runs[one.name] = one
        return asyncio.ensure_future(self.session.start(one, 'text'))

    async def run_task(self, key: TaskKey) -> None:
        """Order a start and wait for its response."""
        order = self.order_start(key)
        await self.clock.until(order.done)


def with_single_worker(
    case: Callable[[SingleWorker[Model]], Awaitable[None]],
    kind: type[Model],
    *,
    incarnation: int = 1,
) -> None:
    """Run a test on a worker that its session has just reached."""

    async def main() -> None:
        single = SingleWorker(kind=kind, incarnation=incarnation)
        serving = asyncio.ensure_future(single.session.run())
        await single.clock.advance(0.1)
        await case(single)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    run_to_end(main())


class UnseenRestartTest(unittest.TestCase):
    """Neither an entry nor a failed call has shown the restart."""

    def test_a_start_shows_the_restart_before_an_acknowledgement(
        self,
    ) -> None:
        """The end to acknowledge is stored just after the restart."""

        async def case(single: SingleWorker[TaskWorkerModel]) -> None:
            await single.run_task(FIRST)
            await single.clock.until(lambda: FIRST in single.owner.ended)
            single.model.restart()
            await single.run_task(SECOND)
            await single.clock.advance(0.05)
            single.owner.stored.set()
            await single.clock.advance(2)
            self.assertEqual(single.owner.ended, [FIRST, SECOND])

        with_single_worker(case, TaskWorkerModel)

    def test_nothing_is_acknowledged_while_a_start_has_no_response(
        self,
    ) -> None:
        """It may have reached another incarnation, and ended there."""

        async def case(single: SingleWorker[TaskWorkerModel]) -> None:
            await single.run_task(FIRST)
            await single.clock.until(lambda: FIRST in single.owner.ended)
            single.model.restart()
            single.model.late_starts = 1
            single.model.late_s = 0.0
            order = single.order_start(SECOND)
            await single.clock.advance(0.1)
            single.owner.stored.set()
            await single.clock.advance(2)
            await order
            self.assertEqual(single.owner.ended, [FIRST, SECOND])

        with_single_worker(case, TaskWorkerModel)

    def test_nothing_is_acknowledged_before_a_report_lists_the_start(
        self,
    ) -> None:
        """The start got a response, whose clock shows no restart."""

        async def case(single: SingleWorker[SteadyWorker]) -> None:
            await single.run_task(FIRST)
            await single.clock.until(lambda: FIRST in single.owner.ended)
            single.model.restart()
            await single.run_task(SECOND)
            await single.clock.advance(0.05)
            single.owner.stored.set()
            await single.clock.advance(2)
            self.assertEqual(single.owner.ended, [FIRST, SECOND])

        with_single_worker(case, SteadyWorker)

    def test_a_report_does_not_confirm_a_start_in_the_next_incarnation(
        self,
    ) -> None:
        """The worker restarts between its report and the start."""

        async def case(single: SingleWorker[SlowReportWorker]) -> None:
            await single.run_task(FIRST)
            await single.clock.until(lambda: FIRST in single.owner.ended)
            while not single.model.is_reporting:
                await single.clock.advance(0.001)
            single.model.restart()
            await single.run_task(SECOND)
            single.owner.stored.set()
            await single.clock.advance(2)
            self.assertEqual(single.owner.ended, [FIRST, SECOND])

        with_single_worker(case, SlowReportWorker)

    def test_an_idle_worker_gets_no_acknowledgement_twice(self) -> None:
        """By the next start its clock has passed the last reading."""

        async def case(single: SingleWorker[YoungWorker]) -> None:
            single.owner.stored.set()
            await single.run_task(FIRST)
            await single.clock.advance(0.2)
            single.model.restart()
            single.model.run_s = 0.0
            await single.clock.advance(5)
            await single.run_task(SECOND)
            await single.clock.advance(2)
            self.assertEqual(single.owner.ended, [FIRST, SECOND])

        with_single_worker(case, YoungWorker)

    def test_a_renewal_after_a_lost_response_acknowledges_nothing(self) -> None:
        """The worker may have restarted meanwhile."""

        async def case(single: SingleWorker[CountingWorker]) -> None:
            await single.run_task(FIRST)
            await single.clock.until(lambda: FIRST in single.owner.ended)
            single.model.late_starts = 1
            order = single.order_start(SECOND)
            await single.clock.until(order.done)
            single.owner.stored.set()
            asked = len(single.model.orders)
            await single.clock.advance(1)
            numbers = [one.acknowledged for one in single.model.orders[asked:]]
            self.assertEqual(numbers[:2], [0, 1])

        with_single_worker(case, CountingWorker)

    def test_a_clock_that_is_reset_shows_a_restart(self) -> None:
        """This applies to workers that do not report an incarnation."""

        async def case(single: SingleWorker[NoIncarnationWorker]) -> None:
            single.owner.stored.set()
            await single.run_task(FIRST)
            await single.clock.advance(2)
            single.model.restart()
            await single.run_task(SECOND)
            await single.clock.advance(2)
            self.assertEqual(single.owner.ended, [FIRST, SECOND])
            self.assertTrue(single.session.accepts_work)

        with_single_worker(case, NoIncarnationWorker, incarnation=0)

    def test_a_report_with_an_earlier_clock_shows_a_restart(self) -> None:
        """No order got a response since, and no incarnation is reported."""

        async def case(single: SingleWorker[NoIncarnationWorker]) -> None:
            single.owner.stored.set()
            await single.run_task(FIRST)
            await single.clock.advance(2)
            single.model.restart()
            single.model.late_starts = 1
            single.model.late_s = 0.0
            await single.run_task(SECOND)
            await single.clock.advance(2)
            self.assertEqual(single.owner.ended, [FIRST, SECOND])

        with_single_worker(case, NoIncarnationWorker, incarnation=0)


class LateResponseTest(unittest.TestCase):
    """A start whose response comes after the report that lists its end."""

    def test_its_end_is_acknowledged_as_usual(self) -> None:
        """No report is awaited for a run that has already ended."""

        async def case(single: SingleWorker[SlowResponseWorker]) -> None:
            single.model.run_s_by_task[LONG] = 60.0
            single.owner.stored.set()
            await single.run_task(LONG)
            await single.clock.advance(1)
            await single.run_task(FIRST)
            await single.clock.advance(3)
            await single.run_task(SECOND)
            await single.clock.advance(3)
            acknowledged = [end.task for end in single.model.acknowledged]
            self.assertEqual(acknowledged, [FIRST, SECOND])

        with_single_worker(case, SlowResponseWorker)


class ReturnTest(unittest.TestCase):
    """The same incarnation is listed again after it was given up."""

    def test_a_worker_that_was_given_up_does_not_end_the_term(self) -> None:
        """A session that counted tokens from the start would be fenced off."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            leader = host.leader
            await host.accept(make_spec('a1'))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            worker = domain.workers['w0']
            # Lost responses increment the token a few times.
            worker.disconnected = True
            await domain.clock.advance(1.5)
            worker.disconnected = False
            await domain.clock.advance(1)
            worker.disconnected = True
            domain.delist_worker('w0')
            await domain.clock.advance(20)
            worker.disconnected = False
            domain.list_worker(worker.entry)
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertIs(host.leader, leader)

        in_domain(case, workers=1, run_s=30)


if __name__ == '__main__':
    unittest.main()
