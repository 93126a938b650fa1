"""Rounds over full clusters: the recorded plans, and the cost of planning."""

import unittest
from unittest.mock import PropertyMock, patch

from bench.full_cluster import draw_cluster, plan_round
from bench.record_rounds import plan_digest, read_recorded_rounds
from curranthill.placement import Run


class RecordedRoundsTest(unittest.TestCase):
    """A change of the implementation must not change the decisions.

    After a change of policy the rounds are recorded again (``python -m
    bench.record_rounds``), and the commit says which plans differ.
    """

    def test_plans_equal_the_recorded_ones(self) -> None:
        """Clusters of 24, 60 and 176 workers, 10 to 40 waiting jobs."""
        for one in read_recorded_rounds():
            drawn = [one[name] for name in ('workers', 'waiting', 'seed')]
            with self.subTest(drawn=drawn):
                workers, waiting, seed = drawn
                plan = plan_round(
                    draw_cluster(workers=workers, waiting=waiting, seed=seed),
                )
                self.assertEqual(plan_digest(plan), one['sha256'])


class CostTest(unittest.TestCase):
    """The cost of a round, counted rather than timed."""

    def test_the_loss_of_a_run_is_computed_a_few_times_only(self) -> None:
        """40 jobs wait for 176 workers; 59,000 sums took 265 ms."""
        cluster = draw_cluster(workers=176, waiting=40, seed=1)
        runs = sum(len(worker_runs) for worker_runs in cluster.runs.values())
        with patch.object(
            Run,
            'loss_core_s',
            new_callable=PropertyMock,
            return_value=1.0,
        ) as loss:
            plan_round(cluster)
        self.assertLess(loss.call_count, 10 * runs)
