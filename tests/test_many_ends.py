"""More run ends at a worker than one report lists.

A worker lists the ends with the lowest numbers, 500 at a time, and the others
once these are acknowledged. Whatever the report leaves out used to count as
absent.
"""

import unittest
from collections import Counter
from unittest.mock import patch

from curranthill.placement import ActiveJob
from curranthill.standin.task_worker import (
    MAX_LISTED_ENDS,
    TaskWorkerModel,
)
from curranthill.tasks import ENDED, JobProgress, Resources, Step
from tests.domain import Domain, in_domain, make_spec
from tests.invariants import acknowledged_ends

#: More ends than two reports list.
MANY = 2 * MAX_LISTED_ENDS + 200

TINY = Resources(cpu_millis=20, memory_mb=20)


def many_tasks(width: int = MANY, estimate_s: float = 1.0) -> Step:
    """Return a step of tasks that all fit on one worker."""
    return Step(width=width, needs=TINY, estimate_s=estimate_s)


def start_counts(domain: Domain) -> Counter[int]:
    """Return how many tasks started how often at any worker."""
    starts = Counter(
        order.task
        for worker in domain.workers.values()
        for order in worker.starts
    )
    return Counter(starts.values())


def busiest(domain: Domain) -> TaskWorkerModel:
    """Return the worker with the most runs."""
    return max(domain.workers.values(), key=lambda one: len(one.runs))


async def cut_while_all_end(domain: Domain, cut_s: float = 4.0) -> None:
    """Cut the busiest worker off until its runs have ended."""
    worker = busiest(domain)
    worker.disconnected = True
    await domain.clock.advance(cut_s)
    worker.end_due_runs()
    assert len(worker.ends) > MAX_LISTED_ENDS, len(worker.ends)
    worker.disconnected = False


class CutWorkerTest(unittest.TestCase):
    """Many runs end while their worker is cut off for less than its lease."""

    def test_tasks_whose_ends_are_held_back_run_once(self) -> None:
        """Their runs counted as absent, and started again after `done`."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', many_tasks(estimate_s=8)))
            await domain.clock.until(lambda: len(busiest(domain).runs) == MANY)
            await domain.clock.advance(5)
            await cut_while_all_end(domain)
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(start_counts(domain), {1: MANY})

        in_domain(case, workers=2, run_s=8.0)

    def test_failures_whose_ends_are_held_back_are_counted(self) -> None:
        """Their runs were replaced first, so that the ends did not count."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', many_tasks(), attempts=3))
            await domain.clock.until(lambda: len(busiest(domain).runs) == MANY)
            worker = busiest(domain)
            worker.failing = True
            await cut_while_all_end(domain)
            worker.failing = False
            await domain.clock.advance(5)
            failed = acknowledged_ends(domain.workers.values(), 'failed')
            self.assertEqual(len(failed), MANY)
            tasks = domain.progress('a1').tasks.values()
            self.assertEqual({one.failures for one in tasks}, {1})

        in_domain(case, workers=2, run_s=60.0)

    def test_a_new_leader_runs_tasks_with_held_back_ends_once(self) -> None:
        """Their stored assignments counted as never started."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', many_tasks(estimate_s=8)))
            await domain.clock.until(lambda: len(busiest(domain).runs) == MANY)
            await domain.clock.advance(5)
            busiest(domain).disconnected = True
            await domain.clock.advance(1)
            await host.kill()
            domain.start_host('h2')
            await cut_while_all_end(domain, 3)
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(start_counts(domain), {1: MANY})

        in_domain(case, workers=2, run_s=8.0)


class ContinuousStartsTest(unittest.TestCase):
    """Starts and ends of many short tasks overlap."""

    def test_ends_are_acknowledged_while_tasks_start(self) -> None:
        """With a start under way in each renewal none was acknowledged."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            short = many_tasks(3 * MAX_LISTED_ENDS, estimate_s=0.2)
            await host.accept(make_spec('a1', short))
            worker = domain.workers['w0']
            most = 0
            while domain.state('a1') not in ENDED:
                await domain.clock.advance(0.02)
                most = max(most, len(worker.ends))
                self.assertLess(domain.clock.monotonic_s(), 1010)
            self.assertEqual(start_counts(domain), {1: 3 * MAX_LISTED_ENDS})
            self.assertLess(most, MAX_LISTED_ENDS)

        in_domain(case, workers=1, run_s=0.2)


class WideStepTest(unittest.TestCase):
    """A step of many tasks ends one task after the other."""

    def test_each_end_looks_at_few_tasks(self) -> None:
        """Each end went through all tasks that were done before."""
        width = 1000
        spec = make_spec('a1', many_tasks(width))
        job = ActiveJob(spec=spec, progress=JobProgress(queue='queue-1'))
        with patch.object(
            JobProgress,
            'find_task',
            autospec=True,
            side_effect=JobProgress.find_task,
        ) as find_task:
            for key in job.keys_of(0, 0):
                job.progress.task(key).done = True
                completed = job.check_completed(now_s=0.0)
        self.assertTrue(completed)
        self.assertLess(find_task.call_count, 3 * width)


if __name__ == '__main__':
    unittest.main()
