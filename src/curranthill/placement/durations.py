"""Estimation of how long the work of a queue takes.

Callers' estimates are often wrong by a factor that is typical of their queue.
The ratio of run time to estimate of the latest steps is expected of the next.
"""

import math
from collections import OrderedDict
from collections.abc import Hashable, Iterable
from statistics import median
from typing import Final, NamedTuple

#: How many steps of a queue are stored: enough for a median that no single job
#: moves, few enough to follow callers whose jobs change.
MAX_STEPS: Final = 32

#: The weight of the prior, a ratio of one, in steps: so the first job of a
#: queue does not determine the estimate.
PRIOR_STEPS: Final = 3

#: The spread of the ratio of a queue of which nothing has run, as a natural
#: logarithm.
PRIOR_SPREAD: Final = 0.6

#: The least spread of a queue's ratio, as a logarithm: callers round their
#: estimates.
MIN_SPREAD: Final = 0.1

#: The standard deviation over the median absolute deviation (MAD).
DEVIATION_PER_MAD: Final = 1.48


class Ratio(NamedTuple):
    """Run time over estimate on a typical worker.

    :param log: the natural logarithm of the median.
    :param spread: the standard deviation of the logarithms, with the prior.
    """

    log: float
    spread: float

    @property
    def factor(self) -> float:
        """Return the median."""
        return math.exp(self.log)


_PRIOR_LOGS: Final = tuple(0.0 for _ in range(PRIOR_STEPS))

#: The ratio expected of a queue of which nothing has run.
UNKNOWN: Final = Ratio(0.0, PRIOR_SPREAD)


class DurationEstimator:
    """Estimates the ratio of run time to estimate of each queue."""

    def __init__(self) -> None:
        """Initialize without any recorded step."""
        self._steps: dict[str, OrderedDict[Hashable, float]] = {}
        self._cache: dict[str, Ratio] = {}

    def record(self, queue: str, step: Hashable, log_ratio: float) -> None:
        """Record the ratio of a step, replacing its previous one.

        :param log_ratio: the natural logarithm of the ratio.
        """
        steps = self._steps.setdefault(queue, OrderedDict())
        steps[step] = log_ratio
        if len(steps) > MAX_STEPS:
            steps.popitem(last=False)
        self._cache.pop(queue, None)

    def ratio_of(self, queue: str) -> Ratio:
        """Return the ratio expected of a queue's next steps."""
        known = self._cache.get(queue)
        if known is None:
            steps = self._steps.get(queue)
            known = _ratio(steps.values()) if steps else UNKNOWN
            self._cache[queue] = known
        return known


def _ratio(logs: Iterable[float]) -> Ratio:
    """Return the median and spread, combined with the prior."""
    found = list(logs)
    center = median([*found, *_PRIOR_LOGS])
    deviation = median(abs(one - center) for one in found)
    spread = max(MIN_SPREAD, DEVIATION_PER_MAD * deviation)
    weighted = len(found) * spread**2 + PRIOR_STEPS * PRIOR_SPREAD**2
    return Ratio(center, math.sqrt(weighted / (len(found) + PRIOR_STEPS)))


__all__ = ('UNKNOWN', 'DurationEstimator', 'Ratio')
