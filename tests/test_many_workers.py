"""A leader over many more workers than hold anything.

All workers were looked at in one go after a takeover: with 3,000 of them a
host of one core did nothing else for 2.2 to 2.9 s, was taken for dead, and so
was the next leader. Nothing started any more.
"""

import unittest
from unittest.mock import patch

from curranthill.dispatch.rounds import PlacementRounds
from curranthill.tasks import TaskKey
from tests.domain import Domain, in_domain, make_spec

#: Workers looked at side by side: with 0.8 ms of a core each, the heartbeat of
#: a leader that is due meanwhile is late by 0.1 s at most.
MOST_AT_ONCE = 120

FIRST = TaskKey('a1', 0, 0, 0)


class TakeoverTest(unittest.TestCase):
    """The first looks of a new leader."""

    def test_few_workers_are_looked_at_at_once(self) -> None:
        """However many there are."""

        async def case(domain: Domain) -> None:
            domain.renewal_delay_s = 0.02
            domain.start_host('h1')
            await domain.leader()
            await domain.clock.advance(2)
            self.assertEqual(domain.renewals.total, 400)
            self.assertLessEqual(domain.renewals.most_at_once, MOST_AT_ONCE)

        in_domain(case, workers=400)

    def test_a_task_starts_before_all_are_looked_at(self) -> None:
        """Within a second, with 400 workers that take a while to answer."""

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

    def test_workers_that_do_not_answer_hold_up_no_others(self) -> None:
        """Two hundred are cut off, and listed before the one that is not."""

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
    """PlacementRounds that find nothing to place."""

    def test_a_round_without_waiting_work_looks_at_no_worker(self) -> None:
        """All runs; ends and reports cause rounds all the same."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1'))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            with patch.object(PlacementRounds, '_capacities') as rooms:
                await domain.clock.advance(3)
                self.assertFalse(rooms.called)
            await host.accept(make_spec('b2'))
            second = TaskKey('b2', 0, 0, 0)
            await domain.clock.until(
                lambda: bool(domain.starts(second)),
                within_s=0.5,
            )

        in_domain(case, run_s=60)


if __name__ == '__main__':
    unittest.main()
