"""Estimation of workers' speeds and of run times."""

import math
import random
import unittest
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from curranthill.placement.durations import DurationEstimator
from curranthill.placement.speeds import Observation, Speed, SpeedEstimator
from curranthill.tasks import TaskKey

#: The number of tasks of the random steps, and the spread of their estimates
#: as a logarithm.
WIDTH = 12
ESTIMATE_ERROR = 0.6

#: One task in this many takes LONG_FACTOR times as long.
LONG_EVERY = 33
LONG_FACTOR = 7.0


def equal_speeds(number: int) -> list[float]:
    """Return the speeds of a number of equal workers."""
    return [1.0 for _ in range(number)]


class Load:
    """Records random runs on workers of given speeds in an estimator.

    :param speeds: by worker.
    """

    def __init__(self, speeds: Sequence[float], seed: int) -> None:
        """Initialize without any run."""
        self.speeds = speeds
        self.durations = DurationEstimator()
        self.estimator = SpeedEstimator(durations=self.durations)
        self._source = random.Random(seed)
        self._steps = 0

    def run(
        self,
        steps: int,
        *,
        estimate_error: float = ESTIMATE_ERROR,
        task_spread: float = 0.3,
    ) -> None:
        """Run a number of steps, each on some of the workers."""
        for _ in range(steps):
            self._steps += 1
            step_error = self._source.gauss(0, estimate_error)
            for rank in range(WIDTH):
                number = self._source.randrange(len(self.speeds))
                task_error = self._source.gauss(0, task_spread)
                if not self._source.randrange(LONG_EVERY):
                    task_error += math.log(LONG_FACTOR)
                progress_rate = self.speeds[number] * math.exp(
                    -step_error - task_error
                )
                self.record(number, progress_rate, rank)
            self.estimator.refresh()

    def record(
        self, number: int, progress_rate: float, rank: int, job: str = ''
    ) -> None:
        """Record one run."""
        key = TaskKey(job or f'j{self._steps}', 0, 0, rank)
        self.estimator.record(
            Observation(f'w{number}', 1, 'batch', key, progress_rate)
        )

    def speed(self, number: int) -> Speed:
        """Return the estimated speed of a worker."""
        return self.estimator.speed_of(f'w{number}', 1)


class SpeedTest(unittest.TestCase):
    """Estimates from the runs of workers."""

    def test_a_new_worker_counts_as_typical(self) -> None:
        """Its factor is 1."""
        estimator = SpeedEstimator(durations=DurationEstimator())
        estimator.refresh()
        self.assertEqual(estimator.speed_of('w0', 1).factor, 1.0)

    def test_lastingly_slow_workers_are_detected(self) -> None:
        """A quarter is half as fast; estimates are wrong by half."""
        load = Load([1.2 if one % 4 else 0.55 for one in range(40)], 1)
        load.run(60)
        for number, speed in enumerate(load.speeds):
            factor = load.speed(number).factor
            if speed < 1:
                self.assertAlmostEqual(factor, 0.55 / 1.2, delta=0.15)
            else:
                self.assertGreater(factor, 0.75)

    def test_equal_workers_count_as_equal(self) -> None:
        """Despite random tasks and estimates."""
        for seed in range(5):
            load = Load(equal_speeds(40), seed)
            load.run(60)
            different = [
                one for one in range(40) if load.speed(one).factor != 1
            ]
            self.assertLessEqual(len(different), 1)

    def test_a_long_task_makes_no_worker_slow(self) -> None:
        """Neither a worker with earlier runs, nor a new one."""
        load = Load(equal_speeds(10), 3)
        load.run(20, task_spread=0.1)
        before = load.speed(0).estimate
        load.record(0, 1 / 20, 0, 'long')
        load.record(10, 1 / 20, 1, 'long')
        load.estimator.refresh()
        self.assertEqual(load.speed(0).factor, 1.0)
        self.assertGreater(load.speed(0).estimate, 0.9 * before)
        self.assertEqual(load.speed(10).factor, 1.0)

    def test_a_step_that_was_estimated_short_makes_no_worker_slow(self) -> None:
        """Three steps in a row, on one worker only, all take four times."""
        load = Load(equal_speeds(10), 4)
        load.run(20, estimate_error=0.9)
        for number in range(3):
            for rank in range(8):
                load.record(0, 0.25, rank, f'short{number}')
        load.estimator.refresh()
        self.assertGreater(load.speed(0).factor, 0.6)

    def test_a_short_slowdown_is_not_lasting(self) -> None:
        """A few steps at a fifth of the rate, after many at the usual one."""
        load = Load(equal_speeds(20), 5)
        load.run(60, task_spread=0.15)
        for number in range(4):
            load.record(0, 0.2, 0, f'spell{number}')
            for worker in range(1, 8):
                load.record(worker, 1.0, worker, f'spell{number}')
        load.estimator.refresh()
        self.assertGreater(load.speed(0).estimate, 0.7)

    def test_another_incarnation_counts_as_typical(self) -> None:
        """A restarted worker may be another machine."""
        load = Load([0.4, 1.0, 1.0, 1.0], 6)
        load.run(40)
        self.assertLess(load.speed(0).factor, 0.6)
        self.assertEqual(load.estimator.speed_of('w0', 2).factor, 1.0)
        key = TaskKey('new', 0, 0, 0)
        load.estimator.record(Observation('w0', 2, 'batch', key, 1.0))
        load.estimator.refresh()
        self.assertEqual(load.estimator.speed_of('w0', 2).factor, 1.0)
        self.assertEqual(load.speed(0).factor, 1.0)

    def test_removed_workers_are_dropped(self) -> None:
        """The stored data is bounded by the number of workers."""
        load = Load([0.4, 1.0, 1.0, 1.0], 6)
        load.run(40)
        load.estimator.retain(['w1', 'w2', 'w3'])
        self.assertEqual(load.speed(0).steps, 0)

    def test_the_ratio_of_a_queue_is_learned(self) -> None:
        """Its work takes twice as long as estimated."""
        load = Load(equal_speeds(20), 7)
        for number in range(30):
            for rank in range(WIDTH):
                load.record(rank, 0.5, rank, f'half{number}')
        load.estimator.refresh()
        ratio = load.durations.ratio_of('batch')
        self.assertAlmostEqual(ratio.factor, 2.0, delta=0.3)


class RandomSpeedTest(unittest.TestCase):
    """Random speeds."""

    @settings(max_examples=25, deadline=None)
    @given(
        slow=st.floats(0.3, 0.6),
        share=st.integers(3, 8),
        seed=st.integers(0, 2**16),
    )
    def test_the_order_is_right(
        self,
        slow: float,
        share: int,
        seed: int,
    ) -> None:
        """After some sixteen steps per worker the slow ones rank first."""
        speeds = [1.0 if one % share else slow for one in range(24)]
        load = Load(speeds, seed)
        load.run(60)
        ranked = sorted(range(24), key=lambda one: load.speed(one).estimate)
        first = ranked[: speeds.count(slow)]
        wrong = [one for one in first if speeds[one] != slow]
        self.assertLessEqual(len(wrong), 1)

    @settings(max_examples=25, deadline=None)
    @given(
        error_factor=st.sampled_from((0.01, 0.2, 5.0, 100.0)),
        seed=st.integers(0, 2**16),
    )
    def test_wrong_reports_of_a_worker_affect_no_other(
        self,
        error_factor: float,
        seed: int,
    ) -> None:
        """Its progress rates are wrong by any factor."""
        load = Load([error_factor, *equal_speeds(15)], seed)
        load.run(60)
        for number in range(1, 16):
            estimate = load.speed(number).estimate
            self.assertAlmostEqual(math.log(estimate), 0.0, delta=0.35)
