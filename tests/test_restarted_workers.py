"""A worker that starts again under the id that it had.

Workers crashed and came back under their old ids with nothing left of before:
they counted their ends from 1 once more. The leader kept the numbers that it
had noted from the former incarnation, so it passed over every end up to that
number, and its next renewal acknowledged it unread. Tasks that were done ran
again, and failed runs were not counted against their limit. The log of a task
that ran twice has `run_ended ... number 1` of its worker before the restart;
after it no line when the run was done, `run_vanished ... not listed` 1.3 s
later, and a new start. The next end noted from that worker had number 2. With
a line added for it, the case below reads `end_passed_over ... number 1, noted
1`, which settled the cause.
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
from curranthill.standin.tasks import TaskWorkerModel
from curranthill.tasks import TaskKey
from tests.domain import WORKER_CAPACITY, Domain, in_domain, make_spec
from tests.support import ManualClock, run as run_to_end
from tests.test_session import (
    CrossingWorker,
    Owner,
    marked_run,
    open_session,
)

FIRST = TaskKey('a1', 0, 0, 0)
SECOND = TaskKey('b2', 0, 0, 0)
LONG = TaskKey('c3', 0, 0, 0)


async def restarted(domain: Domain, name: str = 'w0') -> None:
    """Have a worker noted one end and start again under its id."""
    host = domain.start_host('h1')
    await domain.leader()
    await host.accept(make_spec('a1'))
    await domain.ended('a1')
    await domain.clock.advance(1)
    domain.restart_worker(name)


class EndNumberTest(unittest.TestCase):
    """Ends are numbered anew in each incarnation."""

    def test_a_task_done_after_the_restart_runs_once(self) -> None:
        """Its end has a number that the former incarnation used too."""

        async def case(domain: Domain) -> None:
            await restarted(domain)
            await domain.hosts['h1'].accept(make_spec('b2'))
            self.assertEqual(await domain.ended('b2'), 'completed')
            await domain.clock.advance(5)
            self.assertEqual(domain.starts(SECOND), [1])

        in_domain(case, workers=1)

    def test_a_task_done_after_a_seen_restart_runs_once(self) -> None:
        """The leader hears of the restart before it places the task."""

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

    def test_no_end_is_acknowledged_that_was_not_noted(self) -> None:
        """The numbers of the former incarnation say nothing of this one."""

        async def case(domain: Domain) -> None:
            await restarted(domain)
            worker = domain.workers['w0']
            worker.run_s = 0.002
            worker.cut = True
            await domain.hosts['h1'].accept(make_spec('b2'))
            await domain.clock.advance(2)
            worker.cut = False
            self.assertEqual(await domain.ended('b2'), 'completed')
            done = [end for end in worker.acknowledged if end.task == SECOND]
            self.assertEqual(len(done), 1)
            self.assertEqual(len(domain.starts(SECOND)), 1)

        in_domain(case, workers=1)

    def test_a_worker_that_restarts_behind_a_cut_loses_its_tasks(self) -> None:
        """It runs the task again once, and that end is heard."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1'))
            await domain.ended('a1')
            await host.accept(make_spec('b2'))
            await domain.clock.until(lambda: bool(domain.starts(SECOND)))
            worker = domain.workers['w0']
            worker.cut = True
            await domain.clock.advance(0.7)
            domain.restart_worker('w0')
            worker.cut = False
            self.assertEqual(await domain.ended('b2'), 'completed')
            await domain.clock.advance(5)
            self.assertEqual(domain.starts(SECOND), [1, 2])

        in_domain(case, workers=1, run_s=2)


class IncarnationTest(unittest.TestCase):
    """What is known of one incarnation is not taken for another's."""

    def test_nothing_starts_by_the_room_of_a_former_incarnation(self) -> None:
        """The new one has no accelerators; its entry comes later."""

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

    def test_a_start_that_waited_for_its_turn_is_placed_anew(self) -> None:
        """The worker restarts between the stored mark and the order."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            worker.late_next = 1
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

    def test_a_ticket_of_a_former_incarnation_is_not_used(self) -> None:
        """The advisor is asked again for the new one."""

        async def case(domain: Domain) -> None:
            domain.advisor.good = {'w0'}
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', advisor=True))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            asked = domain.advisor.questions
            domain.restart_worker('w0')
            await domain.clock.until(lambda: len(domain.starts(FIRST)) == 2)
            self.assertGreater(domain.advisor.questions, asked)

        in_domain(case, workers=1, run_s=60)

    def test_a_worker_that_moves_is_reached_at_its_new_address(self) -> None:
        """It starts again under its id elsewhere."""

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

    def test_failures_elsewhere_are_forgotten_with_the_incarnation(
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
    """A restart while nobody leads."""

    def test_a_restart_between_two_leaders_loses_only_what_ran(self) -> None:
        """The new leader finds the marked run gone and starts it once."""

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
    """Has a clock that happens to go on over a restart."""

    def restart(self) -> None:
        """Start anew but for the clock."""
        super().restart()
        self._born_s = 0.0


class SlowlyAnsweringWorker(TaskWorkerModel):
    """Starts at once and answers later, when the run is over."""

    async def start(self, order: StartOrder) -> float:
        """Keep the answer back."""
        clock_s = await super().start(order)
        await self.clock.sleep(0.3)
        return clock_s


class SilentWorker(TaskWorkerModel):
    """Does not tell which of its incarnations answers."""

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Leave the incarnation out."""
        report = await super().renew(order)
        return report._replace(incarnation=0)


class CountingWorker(TaskWorkerModel):
    """Keeps every renewal that it was asked for.

    :param orders: the renewals, in order.
    """

    def __init__(
        self,
        *,
        entry: WorkerEntry,
        clock: ManualClock,
        run_s: float,
    ) -> None:
        """Start with none."""
        super().__init__(entry=entry, clock=clock, run_s=run_s)
        self.orders: list[LeaseOrder] = []

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Keep the order."""
        self.orders.append(order)
        return await super().renew(order)


class SlowlySavedOwner(Owner):
    """Stores ends when it is told to.

    :param ended: the tasks whose ends were noted.
    """

    def __init__(self) -> None:
        """Start with a store that is away."""
        super().__init__(CrossingWorker())
        self.ended: list[TaskKey] = []
        self.stored = asyncio.Event()

    def run_ended(self, session: WorkerSession, end: EndReport) -> None:
        """Keep the task."""
        self.ended.append(end.task)

    def run_vanished(
        self,
        session: WorkerSession,
        run: Run,
        reason: str,
    ) -> None:
        """Pass over a run that was given up."""

    async def ends_stored(self) -> None:
        """Wait for the store."""
        await self.stored.wait()


Model = TypeVar('Model', bound=TaskWorkerModel)


class Lone(Generic[Model]):
    """One worker, whose tasks take hardly any time, and a session of it.

    :param owner: whose store is away until a test gives it back.
    """

    def __init__(self, *, kind: type[Model], incarnation: int) -> None:
        """Start with a worker that the session has not reached yet."""
        self.clock = ManualClock()
        entry = WorkerEntry('w1', 'calc', '10.0.0.1:80', 'dc', WORKER_CAPACITY)
        self.model = kind(entry=entry, clock=self.clock, run_s=0.01)
        self.owner = SlowlySavedOwner()
        self.session = open_session(
            self.model,
            self.owner,
            self.clock,
            incarnation,
        )

    def order_start(self, key: TaskKey) -> asyncio.Future[None]:
        """Order a start, as a round does after it was stored."""
        one = marked_run(self.clock, key, self.session.incarnation)
        self.session.runs[one.name] = one
        return asyncio.ensure_future(self.session.start(one, 'text'))

    async def run_task(self, key: TaskKey) -> None:
        """Order a start and wait for its answer."""
        order = self.order_start(key)
        await self.clock.until(order.done)


def by_itself(
    case: Callable[[Lone[Model]], Awaitable[None]],
    kind: type[Model],
    *,
    incarnation: int = 1,
) -> None:
    """Run a test on a worker that its session has just reached."""

    async def main() -> None:
        lone = Lone(kind=kind, incarnation=incarnation)
        serving = asyncio.ensure_future(lone.session.run())
        await lone.clock.advance(0.1)
        await case(lone)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    run_to_end(main())


class UnseenRestartTest(unittest.TestCase):
    """No entry and no broken call has told of the restart."""

    def test_a_start_tells_of_the_restart_before_an_acknowledgement(
        self,
    ) -> None:
        """The end to acknowledge is stored just after the restart."""

        async def case(lone: Lone[TaskWorkerModel]) -> None:
            await lone.run_task(FIRST)
            await lone.clock.until(lambda: FIRST in lone.owner.ended)
            lone.model.restart()
            await lone.run_task(SECOND)
            await lone.clock.advance(0.05)
            lone.owner.stored.set()
            await lone.clock.advance(2)
            self.assertEqual(lone.owner.ended, [FIRST, SECOND])

        by_itself(case, TaskWorkerModel)

    def test_nothing_is_acknowledged_while_a_start_is_unanswered(self) -> None:
        """It may have reached another incarnation, and ended there."""

        async def case(lone: Lone[TaskWorkerModel]) -> None:
            await lone.run_task(FIRST)
            await lone.clock.until(lambda: FIRST in lone.owner.ended)
            lone.model.restart()
            lone.model.late_next = 1
            lone.model.late_s = 0.0
            order = lone.order_start(SECOND)
            await lone.clock.advance(0.1)
            lone.owner.stored.set()
            await lone.clock.advance(2)
            await order
            self.assertEqual(lone.owner.ended, [FIRST, SECOND])

        by_itself(case, TaskWorkerModel)

    def test_nothing_is_acknowledged_before_a_list_shows_the_start(
        self,
    ) -> None:
        """The start was answered, by a clock that tells of no restart."""

        async def case(lone: Lone[SteadyWorker]) -> None:
            await lone.run_task(FIRST)
            await lone.clock.until(lambda: FIRST in lone.owner.ended)
            lone.model.restart()
            await lone.run_task(SECOND)
            await lone.clock.advance(0.05)
            lone.owner.stored.set()
            await lone.clock.advance(2)
            self.assertEqual(lone.owner.ended, [FIRST, SECOND])

        by_itself(case, SteadyWorker)

    def test_an_idle_worker_is_told_no_number_twice(self) -> None:
        """Its clock has passed the last reading by the next start."""

        async def case(lone: Lone[TaskWorkerModel]) -> None:
            lone.owner.stored.set()
            await lone.run_task(FIRST)
            await lone.clock.advance(0.2)
            lone.model.restart()
            lone.model.run_s = 0.0
            await lone.clock.advance(1 + lone.clock.monotonic_s())
            await lone.run_task(SECOND)
            await lone.clock.advance(2)
            self.assertEqual(lone.owner.ended, [FIRST, SECOND])

        by_itself(case, TaskWorkerModel)

    def test_a_renewal_after_a_lost_answer_acknowledges_nothing(self) -> None:
        """Whoever answers it may have started again meanwhile."""

        async def case(lone: Lone[CountingWorker]) -> None:
            await lone.run_task(FIRST)
            await lone.clock.until(lambda: FIRST in lone.owner.ended)
            lone.model.late_next = 1
            order = lone.order_start(SECOND)
            await lone.clock.until(order.done)
            lone.owner.stored.set()
            asked = len(lone.model.orders)
            await lone.clock.advance(1)
            numbers = [one.acknowledged for one in lone.model.orders[asked:]]
            self.assertEqual(numbers[:2], [0, 1])

        by_itself(case, CountingWorker)

    def test_a_clock_that_starts_anew_tells_of_a_restart(self) -> None:
        """Where workers do not tell their incarnations."""

        async def case(lone: Lone[SilentWorker]) -> None:
            lone.owner.stored.set()
            await lone.run_task(FIRST)
            await lone.clock.advance(2)
            lone.model.restart()
            await lone.run_task(SECOND)
            await lone.clock.advance(2)
            self.assertEqual(lone.owner.ended, [FIRST, SECOND])
            self.assertTrue(lone.session.accepts_work)

        by_itself(case, SilentWorker, incarnation=0)

    def test_a_list_with_an_earlier_clock_tells_of_a_restart(self) -> None:
        """No order was answered since, and the incarnation is not told."""

        async def case(lone: Lone[SilentWorker]) -> None:
            lone.owner.stored.set()
            await lone.run_task(FIRST)
            await lone.clock.advance(2)
            lone.model.restart()
            lone.model.late_next = 1
            lone.model.late_s = 0.0
            await lone.run_task(SECOND)
            await lone.clock.advance(2)
            self.assertEqual(lone.owner.ended, [FIRST, SECOND])

        by_itself(case, SilentWorker, incarnation=0)


class LateAnswerTest(unittest.TestCase):
    """A start whose answer is overtaken by the list that shows its end."""

    def test_its_end_is_acknowledged_all_the_same(self) -> None:
        """Nothing waits for a list to show a run that is over."""

        async def case(lone: Lone[SlowlyAnsweringWorker]) -> None:
            lone.model.lengths_s[LONG] = 60.0
            lone.owner.stored.set()
            await lone.run_task(LONG)
            await lone.clock.advance(1)
            await lone.run_task(FIRST)
            await lone.clock.advance(3)
            await lone.run_task(SECOND)
            await lone.clock.advance(3)
            noted = [end.task for end in lone.model.acknowledged]
            self.assertEqual(noted, [FIRST, SECOND])

        by_itself(case, SlowlyAnsweringWorker)


class ReturnTest(unittest.TestCase):
    """The same incarnation comes back after it was given up."""

    def test_a_worker_that_was_given_up_does_not_end_the_term(self) -> None:
        """It has seen tokens that a fresh count would fall below."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            leader = host.leader
            await host.accept(make_spec('a1'))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            worker = domain.workers['w0']
            # Lost answers raise the token a few times.
            worker.cut = True
            await domain.clock.advance(1.5)
            worker.cut = False
            await domain.clock.advance(1)
            worker.cut = True
            domain.delist_worker('w0')
            await domain.clock.advance(20)
            worker.cut = False
            domain.list_worker(worker.entry)
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertIs(host.leader, leader)

        in_domain(case, workers=1, run_s=30)


if __name__ == '__main__':
    unittest.main()
