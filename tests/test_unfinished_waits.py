"""Every wait of the leader for a worker is bounded in time."""

import asyncio
import unittest
from typing import Final

from curranthill.tasks import TaskKey
from tests.domain import Domain, in_domain, make_spec

TASK: Final = TaskKey('a1', 0, 0, 0)

#: A lease, its margin, and some lost renewals, in seconds.
EXPIRY_S: Final = 9.0


class RejectedStartTest(unittest.TestCase):
    """A rejected start is retried."""

    def test_a_start_that_was_fenced_off_once_is_retried(self) -> None:
        """The worker restarts and accepts the token that it rejected."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            worker.start_rejection = 'fence'
            await host.accept(make_spec('a1'))
            await domain.clock.until(lambda: bool(worker.rejected_starts))
            worker.start_rejection = ''
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(len(domain.starts(TASK)), 1)

        in_domain(case, workers=1)


class FencingWorkerTest(unittest.TestCase):
    """A worker that fences off each start and accepts renewals."""

    def test_its_tasks_start_at_another_worker(self) -> None:
        """Otherwise the same worker would be chosen again each time."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.workers['w0'].start_rejection = 'fence'
            await host.accept(make_spec('a1'))
            self.assertEqual(await domain.ended('a1', EXPIRY_S), 'completed')

        in_domain(case, workers=2)


class RejectedRenewalTest(unittest.TestCase):
    """A worker that rejects each renewal counts as unreachable."""

    def test_an_idle_worker_that_was_unreachable_is_used_again(self) -> None:
        """It rejects the one renewal that would show that it is back."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await domain.clock.advance(1)
            worker = domain.workers['w0']
            worker.down = True
            accepting = asyncio.ensure_future(
                host.handler.accept(make_spec('a1'), 3.0),
            )
            while domain.session('w0').reachable:
                # The worker is down for the start, not for a later renewal.
                await domain.clock.advance(0.0005)
            worker.down = False
            worker.renewal_rejection = '503'
            await domain.clock.advance(1)
            worker.renewal_rejection = ''
            await accepting
            self.assertEqual(await domain.ended('a1'), 'completed')

        in_domain(case, workers=1)

    def test_runs_end_where_each_renewal_is_rejected(self) -> None:
        """No renewal takes effect, so their lease expires."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1'))
            await domain.clock.until(lambda: bool(domain.starts(TASK)))
            used = next(
                worker for worker in domain.workers.values() if worker.starts
            )
            used.renewal_rejection = '503'
            await domain.clock.until(
                lambda: len(domain.starts(TASK)) == 2,
                within_s=EXPIRY_S,
            )
            self.assertEqual(len(used.starts), 1)
            self.assertEqual(await domain.ended('a1'), 'completed')

        in_domain(case, workers=2, run_s=9)


class QueuedStartTest(unittest.TestCase):
    """Starts are sent to a worker sequentially."""

    def test_starts_do_not_queue_for_an_unresponsive_worker(self) -> None:
        """Each of them would wait for a response and extend the lease."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await domain.clock.advance(1)
            domain.workers['w0'].disconnected = True
            tasks = [TaskKey(f'j{one}', 0, 0, 0) for one in range(8)]
            for task in tasks:
                await host.accept(make_spec(task.job_id))
            domain.add_worker('w1')
            await domain.clock.until(
                lambda: all(domain.starts(task) for task in tasks),
                within_s=EXPIRY_S,
            )

        in_domain(case, workers=1)


if __name__ == '__main__':
    unittest.main()
