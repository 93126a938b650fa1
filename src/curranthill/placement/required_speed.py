"""The speed that a step requires of its workers to end in time.

Workers differ in speed, and a gang is as late as its slowest member. Urgent
work avoids the workers on which it would end too late; work with slack is
placed on these first.
"""

import math
from typing import Final, NamedTuple

from curranthill.placement.capacity import SPEED_LEVEL, WorkerCapacity
from curranthill.placement.jobs import ActiveJob, ReadyStep
from curranthill.placement.order import is_urgent
from curranthill.tasks import JobSpec

#: The maximum lateness in speed levels: beyond it, workers rank equally.
MAX_LEVELS: Final = 5

#: Added to the rank of workers that are too slow, so that they rank last.
LATE_RANK: Final = 100

#: With less than this share of its expected run time left, a task is late on
#: any worker, so no speed is required.
MIN_TIME_SHARE: Final = 0.3


class RequiredSpeed(NamedTuple):
    """The speed that a step requires of its workers.

    :param min_speed: the least speed with which a task ends in time, as a
        multiple of a typical worker's; 0 if any speed does.
    :param spares_fast: whether the step leaves fast workers to urgent work.
    """

    min_speed: float = 0.0
    spares_fast: bool = False

    @property
    def is_met_by_typical(self) -> bool:
        """Return whether a task ends in time on a typical worker."""
        return 0 < self.min_speed <= 1

    def lateness(self, speed: float) -> int:
        """Return by how many speed levels a worker is too slow."""
        if speed >= self.min_speed:
            return 0
        levels = math.log(self.min_speed / speed) / SPEED_LEVEL
        return min(math.ceil(levels), MAX_LEVELS)

    def excess_lateness(self, worker: WorkerCapacity) -> int:
        """Return how many levels later a worker is than a typical one."""
        if worker.speed >= min(self.min_speed, 1.0):
            return 0
        return self.lateness(worker.speed) - self.lateness(1.0)

    def rank(self, worker: WorkerCapacity) -> int:
        """Return a worker's rank, the lowest first; too slow ones are last."""
        if worker.speed < self.min_speed:
            return LATE_RANK + self.lateness(worker.speed)
        return worker.level if self.spares_fast else 0

    def delays_gang(self, worker: WorkerCapacity) -> bool:
        """Return whether a gang member on this worker would delay the gang.

        For an urgent gang only a delay that makes it late counts.
        """
        if self.spares_fast:
            return worker.level < 0
        return worker.speed < min(self.min_speed, 1.0)


#: No speed is required.
ANY: Final = RequiredSpeed()


def required_speed(
    job: ActiveJob,
    ready: ReadyStep,
    ratio: float,
    now_s: float,
) -> RequiredSpeed:
    """Return the speed that a step requires if it starts now.

    :param ratio: run time over estimate in the job's queue.
    :param now_s: wall-clock seconds.
    """
    spec = job.spec
    expected_s = ready.step.run_s * ratio
    if spec.times or not expected_s:
        return ANY
    left_s = job.objective_s - now_s - _later_chain_s(spec, ready.number)
    if left_s < MIN_TIME_SHARE * expected_s:
        return ANY
    return RequiredSpeed(expected_s / left_s, not is_urgent(job))


def _later_chain_s(spec: JobSpec, number: int) -> float:
    """Return the estimated time of the longest chain of steps after a step."""
    ends_s: dict[int, float] = {number: 0.0}
    for later, step in enumerate(spec.steps):
        before_s = [ends_s[one] for one in step.after if one in ends_s]
        if before_s:
            ends_s[later] = max(before_s) + step.estimate_s
    return max(ends_s.values())


__all__ = ('ANY', 'RequiredSpeed', 'required_speed')
