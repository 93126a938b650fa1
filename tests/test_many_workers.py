"""A leader of many more workers than have runs.

When a new leader probed all workers at once, a host with one core was busy for
2.2 to 2.9 s with 3,000 workers. It was replaced as silent, and so was its
successor, so that nothing started any more.
"""

import unittest
from unittest.mock import patch

from curranthill.dispatch.rounds import PlacementRounds
from curranthill.tasks import TaskKey
from tests.domain import Domain, in_domain, make_spec

#: The most concurrent probes: at 0.8 ms of a core each, they delay a heartbeat
#: of the leader by 0.1 s at most.
MAX_CONCURRENT = 120

FIRST = TaskKey('a1', 0, 0, 0)


class TakeoverTest(unittest.TestCase):
    """The first probes of a new leader."""

    def test_few_workers_are_probed_at_once(self) -> None:
        """The limit holds whatever their number is."""

        async def case(domain: Domain) -> None:
            domain.renewal_delay_s = 0.02
            domain.start_host('h1')
            await domain.leader()
            await domain.clock.advance(2)
            self.assertEqual(domain.renewals.total, 400)
            self.assertLessEqual(domain.renewals.max_concurrent, MAX_CONCURRENT)

        in_domain(case, workers=400)

    def test_a_task_starts_before_all_workers_are_probed(self) -> None:
        """It starts within a second, with 400 workers that respond slowly."""

        async def case(domain: Domain) -> None:
            domain.renewal_delay_s = 0.02
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1'))
            await domain.clock.until(
                lambda: bool(domain.starts(FIRST)),
                within_s=1.0,
            )

        in_domain(case, workers=400)

    def test_unresponsive_workers_do_not_delay_the_others(self) -> None:
        """200 workers that are cut off are listed before a reachable one."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            host.cut_off.update(f'w{number}' for number in range(200))
            await domain.leader()
            await host.accept(make_spec('a1'))
            await domain.clock.until(
                lambda: bool(domain.starts(FIRST)),
                within_s=1.0,
            )

        in_domain(case, workers=201)


class RoundTest(unittest.TestCase):
    """Rounds that find nothing to place."""

    def test_a_round_without_waiting_work_reads_no_capacity(self) -> None:
        """Everything runs; ends and reports still trigger rounds."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1'))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            with patch.object(PlacementRounds, '_capacities') as capacities:
                await domain.clock.advance(3)
                self.assertFalse(capacities.called)
            await host.accept(make_spec('b2'))
            second = TaskKey('b2', 0, 0, 0)
            await domain.clock.until(
                lambda: bool(domain.starts(second)),
                within_s=0.5,
            )

        in_domain(case, run_s=60)


if __name__ == '__main__':
    unittest.main()
