"""What is learnt of workers' speeds and of how long work takes."""

import math
import random
import unittest
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from curranthill.placement.durations import DurationEstimator
from curranthill.placement.speeds import Observation, Speed, SpeedEstimator
from curranthill.tasks import TaskKey

#: Tasks of the drawn steps, and how far their estimates are off.
WIDTH = 12
OFF = 0.6

#: One task in so many takes several times as long.
LONG_EVERY = 33
LONG_FACTOR = 7.0


def alike(number: int) -> list[float]:
    """Return the speeds of so many workers that are alike."""
    return [1.0 for _ in range(number)]


class Load:
    """Runs on workers of drawn speeds, as a book is told of them.

    :param speeds: by worker.
    """

    def __init__(self, speeds: Sequence[float], seed: int) -> None:
        """Start with nothing run."""
        self.speeds = speeds
        self.durations = DurationEstimator()
        self.estimator = SpeedEstimator(durations=self.durations)
        self._source = random.Random(seed)
        self._steps = 0

    def run(self, steps: int, *, off: float = OFF, uneven: float = 0.3) -> None:
        """Run so many steps, each on some of the workers."""
        for _ in range(steps):
            self._steps += 1
            mistake = self._source.gauss(0, off)
            for rank in range(WIDTH):
                number = self._source.randrange(len(self.speeds))
                own = self._source.gauss(0, uneven)
                if not self._source.randrange(LONG_EVERY):
                    own += math.log(LONG_FACTOR)
                progress_rate = self.speeds[number] * math.exp(-mistake - own)
                self.record(number, progress_rate, rank)
            self.estimator.refresh()

    def record(
        self, number: int, progress_rate: float, rank: int, job: str = ''
    ) -> None:
        """Tell of one run."""
        key = TaskKey(job or f'j{self._steps}', 0, 0, rank)
        self.estimator.record(
            Observation(f'w{number}', 1, 'batch', key, progress_rate)
        )

    def speed(self, number: int) -> Speed:
        """Return what is known of a worker."""
        return self.estimator.speed_of(f'w{number}', 1)


class SpeedTest(unittest.TestCase):
    """What the runs of a worker tell of it."""

    def test_nothing_is_known_of_a_new_worker(self) -> None:
        """It counts as a typical one."""
        estimator = SpeedEstimator(durations=DurationEstimator())
        estimator.refresh()
        self.assertEqual(estimator.speed_of('w0', 1).factor, 1.0)

    def test_workers_that_are_slow_for_good_are_known(self) -> None:
        """A quarter is half as fast; estimates are off by half."""
        load = Load([1.2 if one % 4 else 0.55 for one in range(40)], 1)
        load.run(60)
        for number, speed in enumerate(load.speeds):
            factor = load.speed(number).factor
            if speed < 1:
                self.assertAlmostEqual(factor, 0.55 / 1.2, delta=0.15)
            else:
                self.assertGreater(factor, 0.75)

    def test_alike_workers_count_as_alike(self) -> None:
        """Whatever their tasks and estimates did by chance."""
        for seed in range(5):
            load = Load(alike(40), seed)
            load.run(60)
            unlike = [one for one in range(40) if load.speed(one).factor != 1]
            self.assertLessEqual(len(unlike), 1)

    def test_a_long_task_makes_no_worker_slow(self) -> None:
        """Its worker did well before, and even one that is new."""
        load = Load(alike(10), 3)
        load.run(20, uneven=0.1)
        before = load.speed(0).estimate
        load.record(0, 1 / 20, 0, 'long')
        load.record(10, 1 / 20, 1, 'long')
        load.estimator.refresh()
        self.assertEqual(load.speed(0).factor, 1.0)
        self.assertGreater(load.speed(0).estimate, 0.9 * before)
        self.assertEqual(load.speed(10).factor, 1.0)

    def test_a_step_that_was_estimated_short_makes_no_worker_slow(self) -> None:
        """Six steps in a row, on one worker alone, all take four times."""
        load = Load(alike(10), 4)
        load.run(20, off=0.9)
        for number in range(3):
            for rank in range(8):
                load.record(0, 0.25, rank, f'short{number}')
        load.estimator.refresh()
        self.assertGreater(load.speed(0).factor, 0.6)

    def test_a_spell_of_seconds_is_not_for_good(self) -> None:
        """A few steps at a fifth of the pace, after many at the usual."""
        load = Load(alike(20), 5)
        load.run(60, uneven=0.15)
        for number in range(4):
            load.record(0, 0.2, 0, f'spell{number}')
            for worker in range(1, 8):
                load.record(worker, 1.0, worker, f'spell{number}')
        load.estimator.refresh()
        self.assertGreater(load.speed(0).estimate, 0.7)

    def test_another_incarnation_is_not_known(self) -> None:
        """A worker that started again may be another machine."""
        load = Load([0.4, 1.0, 1.0, 1.0], 6)
        load.run(40)
        self.assertLess(load.speed(0).factor, 0.6)
        self.assertEqual(load.estimator.speed_of('w0', 2).factor, 1.0)
        key = TaskKey('new', 0, 0, 0)
        load.estimator.record(Observation('w0', 2, 'batch', key, 1.0))
        load.estimator.refresh()
        self.assertEqual(load.estimator.speed_of('w0', 2).factor, 1.0)
        self.assertEqual(load.speed(0).factor, 1.0)

    def test_workers_that_are_gone_are_forgotten(self) -> None:
        """What is kept is bounded by the workers there are."""
        load = Load([0.4, 1.0, 1.0, 1.0], 6)
        load.run(40)
        load.estimator.forget_except(['w1', 'w2', 'w3'])
        self.assertEqual(load.speed(0).steps, 0)

    def test_the_ratio_of_a_queue_is_learnt(self) -> None:
        """Its work takes twice as long as estimated."""
        load = Load(alike(20), 7)
        for number in range(30):
            for rank in range(WIDTH):
                load.record(rank, 0.5, rank, f'half{number}')
        load.estimator.refresh()
        ratio = load.durations.ratio_of('batch')
        self.assertAlmostEqual(ratio.factor, 2.0, delta=0.3)


class DrawnSpeedTest(unittest.TestCase):
    """Speeds as they come."""

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
        """After some sixteen steps a worker, the slow ones come first."""
        speeds = [1.0 if one % share else slow for one in range(24)]
        load = Load(speeds, seed)
        load.run(60)
        ranked = sorted(range(24), key=lambda one: load.speed(one).estimate)
        first = ranked[: speeds.count(slow)]
        wrong = [one for one in first if speeds[one] != slow]
        self.assertLessEqual(len(wrong), 1)

    @settings(max_examples=25, deadline=None)
    @given(
        lie=st.sampled_from((0.01, 0.2, 5.0, 100.0)),
        seed=st.integers(0, 2**16),
    )
    def test_a_worker_that_lies_misleads_about_no_other(
        self,
        lie: float,
        seed: int,
    ) -> None:
        """Its paces are off by any factor."""
        load = Load([lie, *alike(15)], seed)
        load.run(60)
        for number in range(1, 16):
            estimate = load.speed(number).estimate
            self.assertAlmostEqual(math.log(estimate), 0.0, delta=0.35)
