"""A worker that starts again under the id that it had.

A worker crashed, or was cut off and crashed meanwhile, and came back under
its old id with nothing left of before: it counted its ends from 1 once more.
The leader kept the numbers that it had noted from the former incarnation, so
it passed over every end up to that number. The log of a task that ran twice
reads `run_ended ... number 1` before the restart, then `run_vanished ... not
listed` 0.5 s after the second run was done, then a new start; the next end
that was noted there has number 2. The same renewals acknowledged up to the
old number, so the worker forgot ends that nobody had read: tasks that were
done ran again, and failed runs were not counted against their limit.
"""

import unittest

from curranthill.tasks import TaskKey
from tests.domain import Domain, in_domain, make_spec

FIRST = TaskKey('a1', 0, 0, 0)
SECOND = TaskKey('b2', 0, 0, 0)


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


if __name__ == '__main__':
    unittest.main()
