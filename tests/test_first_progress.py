"""Urgent runs that report no progress are moved in time.

A worker that looks healthy may stall a new run for seconds. With one report
every 1.5 s an urgent job would miss its objective before that is noticed.
"""

import unittest

from curranthill.tasks import JobSpec, Step, TaskKey
from tests.domain import ONE_GPU, Domain, in_domain, make_spec

FIRST = TaskKey('a1', 0, 0, 0)

#: How soon an urgent task has started elsewhere, in seconds: half of the run
#: time of the quick work that callers wait for.
MOVED_S = 1.0

QUICK = Step(width=1, needs=ONE_GPU, estimate_s=2.0)
GANG = Step(width=2, needs=ONE_GPU, estimate_s=2.0, gang=True, max_per_worker=1)


def urgent(step: Step = QUICK) -> JobSpec:
    """Return an urgent job."""
    return make_spec('a1', step, priority=0)


class FirstProgressTest(unittest.TestCase):
    """How an urgent run without progress is detected within a second."""

    def test_an_urgent_task_without_progress_starts_elsewhere_in_time(
        self,
    ) -> None:
        """Its objective leaves about one more run time of slack."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            for worker in domain.workers.values():
                worker.stalled = True
            await host.accept(urgent())
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            stuck = next(one for one in domain.workers.values() if one.runs)
            for worker in domain.workers.values():
                worker.stalled = worker is stuck
            await domain.clock.until(
                lambda: len(domain.starts(FIRST)) == 2,
                within_s=MOVED_S,
            )
            self.assertEqual(await domain.ended('a1', within_s=3), 'completed')

        in_domain(case, run_s=2)

    def test_work_that_is_not_urgent_reports_at_the_usual_interval(
        self,
    ) -> None:
        """It can wait, and each report costs its worker a call."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            for worker in domain.workers.values():
                worker.stalled = True
            await host.accept(make_spec('a1', QUICK, priority=1))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            before = domain.renewals.total
            await domain.clock.advance(MOVED_S)
            self.assertEqual(domain.starts(FIRST), [1])
            self.assertLessEqual(domain.renewals.total - before, 3)

        in_domain(case, run_s=2)

    def test_a_slow_worker_keeps_its_urgent_task(self) -> None:
        """The task takes seven times as long, but reports progress."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(urgent())
            self.assertEqual(await domain.ended('a1', within_s=30), 'completed')
            self.assertEqual(domain.starts(FIRST), [1])

        in_domain(case, run_s=14)

    def test_a_gang_is_not_stalled_before_all_its_members_run(self) -> None:
        """One member waits for the other, whose start is delayed."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.workers['w0'].start_delay_s = 0.5
            domain.workers['w1'].stalled = True
            await host.accept(urgent(GANG))
            await domain.clock.advance(1.1)
            domain.workers['w1'].stalled = False
            self.assertEqual(await domain.ended('a1', within_s=6), 'completed')
            self.assertEqual(domain.starts(FIRST), [1])

        in_domain(case, run_s=3)

    def test_frequent_reports_end_with_the_first_progress(self) -> None:
        """From then on reports come at the usual interval."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(urgent())
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            await domain.clock.advance(1)
            before = domain.renewals.total
            await domain.clock.advance(3)
            self.assertLessEqual(domain.renewals.total - before, 3)

        in_domain(case, run_s=8)
