"""The replay of loads with the decisions of ``placement``."""

import unittest

from bench.replay import LOADS, Day, Load, Outcome, compare, difference
from curranthill.placement import NONE_DISABLED


def play(load: Load, *, workers: int = 24, seed: int = 3) -> Outcome:
    """Play one day."""
    return Day(
        load=load, workers=workers, seed=seed, disabled=NONE_DISABLED
    ).play()


class ReplayTest(unittest.TestCase):
    """The results of a replayed day."""

    def test_a_seed_replays_the_same_day(self) -> None:
        """The results are equal to the last digit."""
        self.assertEqual(play(LOADS['burst']), play(LOADS['burst']))

    def test_nearly_all_credit_is_earned_with_enough_capacity(self) -> None:
        """A quarter of the usual load; some runs fail at random."""
        outcome = play(Load(rate=0.25))
        self.assertGreater(outcome.credit, 0.9)
        self.assertLess(outcome.wasted_share, 0.05)

    def test_too_much_load_costs_the_lower_priorities_first(self) -> None:
        """Urgent jobs use their capacity."""
        outcome = play(Load(rate=4.0))
        self.assertLess(outcome.credit, 0.95)
        self.assertGreater(outcome.urgent, outcome.middle)

    def test_days_are_compared_in_pairs(self) -> None:
        """A mechanism against itself differs by nothing."""
        days = compare(LOADS['burst'], 24, 3, NONE_DISABLED)
        self.assertEqual(difference(days, days), (0.0, 0.0))
