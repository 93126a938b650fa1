"""How long the work of a queue takes, against what its callers estimate.

Answers estimates that are off by a factor of their queue: what is learnt of
the steps that ran lately is expected of the next one.
"""

import math
from collections import OrderedDict
from collections.abc import Hashable, Iterable
from statistics import median
from typing import Final, NamedTuple

#: How many steps of a queue are remembered: enough for a median that no
#: single job moves, few enough to follow callers whose jobs change.
STEPS_KEPT: Final = 32

#: As many steps as these count for a ratio of one, so that the first job of a
#: queue does not speak for all.
PRIOR_STEPS: Final = 3

#: How far the estimates of a queue are off that nothing is known of, as a
#: logarithm.
UNKNOWN_SPREAD: Final = 0.6

#: The least spread of a queue's steps, as a logarithm: callers round.
LEAST_SPREAD: Final = 0.1

#: What the median distance from the median is to a standard deviation.
DEVIATION_PER_MEDIAN: Final = 1.48


class Ratio(NamedTuple):
    """Run time over estimate on a typical worker.

    :param log: the logarithm of the median.
    :param spread: how far steps lie from it, as a logarithm.
    """

    log: float
    spread: float

    @property
    def factor(self) -> float:
        """Return the median."""
        return math.exp(self.log)


_START: Final = tuple(0.0 for _ in range(PRIOR_STEPS))

#: What is expected of a queue of which nothing has run.
UNKNOWN: Final = Ratio(0.0, UNKNOWN_SPREAD)


class DurationEstimator:
    """Ratios of run time to estimate, by queue."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self._steps: dict[str, OrderedDict[Hashable, float]] = {}
        self._known: dict[str, Ratio] = {}

    def record(self, queue: str, step: Hashable, log_ratio: float) -> None:
        """Take note of a step's ratio; it takes the place of a former one."""
        steps = self._steps.setdefault(queue, OrderedDict())
        steps[step] = log_ratio
        if len(steps) > STEPS_KEPT:
            steps.popitem(last=False)
        self._known.pop(queue, None)

    def ratio_of(self, queue: str) -> Ratio:
        """Return what is expected of a queue's steps."""
        known = self._known.get(queue)
        if known is None:
            steps = self._steps.get(queue)
            known = _ratio(steps.values()) if steps else UNKNOWN
            self._known[queue] = known
        return known


def _ratio(logs: Iterable[float]) -> Ratio:
    """Return median and spread, with some steps of none as a start."""
    found = list(logs)
    middle = median([*found, *_START])
    off = median(abs(one - middle) for one in found)
    spread = max(LEAST_SPREAD, DEVIATION_PER_MEDIAN * off)
    weighed = len(found) * spread**2 + PRIOR_STEPS * UNKNOWN_SPREAD**2
    return Ratio(middle, math.sqrt(weighed / (len(found) + PRIOR_STEPS)))


__all__ = ('UNKNOWN', 'DurationEstimator', 'Ratio')
