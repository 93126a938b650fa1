"""How fast a task must run to end in time, and what a worker is worth to it.

Answers workers of unlike speed: a gang is as late as its slowest member, so
urgent work keeps off the workers on which it would end too late, and work with
slack takes those first.
"""

import math
from typing import Final, NamedTuple

from curranthill.placement.capacity import LEVEL, WorkerCapacity
from curranthill.placement.jobs import ActiveJob, ReadyStep
from curranthill.placement.order import is_urgent
from curranthill.tasks import JobSpec

#: The most levels of lateness that are told apart; a level is that of rooms.
MOST_LEVELS: Final = 5

#: Added to the rank of workers that are too slow, so that they come last.
LATE_RANK: Final = 100

#: With less than this share of its run time left a task is late wherever it
#: runs, so that no speed is required.
LEAST_TIME_SHARE: Final = 0.3


class Pace(NamedTuple):
    """The speed that a step requires, not the measured pace of a run.

    :param needed: the least speed, of a typical worker's, that ends a task
        just in time; 0 if any does.
    :param spares: whether it leaves fast workers to urgent work.
    """

    needed: float = 0.0
    spares: bool = False

    @property
    def is_met_somewhere(self) -> bool:
        """Return whether a task ends in time on a typical worker."""
        return 0 < self.needed <= 1

    def lateness(self, speed: float) -> int:
        """Return by how many levels a worker is too slow."""
        if speed >= self.needed:
            return 0
        levels = math.log(self.needed / speed) / LEVEL
        return min(math.ceil(levels), MOST_LEVELS)

    def excess(self, worker: WorkerCapacity) -> int:
        """Return by how many levels a worker ends later than a typical one."""
        if worker.speed >= min(self.needed, 1.0):
            return 0
        return self.lateness(worker.speed) - self.lateness(1.0)

    def rank(self, worker: WorkerCapacity) -> int:
        """Return a worker's rank, the least first; all late ones come last."""
        if worker.speed < self.needed:
            return LATE_RANK + self.lateness(worker.speed)
        return worker.level if self.spares else 0

    def holds_up(self, worker: WorkerCapacity) -> bool:
        """Return whether a gang's other members would wait for one here.

        An urgent gang minds that only where it makes it late.
        """
        if self.spares:
            return worker.level < 0
        return worker.speed < min(self.needed, 1.0)


#: Any speed is as good as another.
ANY: Final = Pace()


def pace_of(
    job: ActiveJob,
    ready: ReadyStep,
    ratio: float,
    now_s: float,
) -> Pace:
    """Return what a step that starts now asks of its workers.

    :param ratio: run time over estimate in the job's queue.
    """
    spec = job.spec
    expected_s = ready.step.run_s * ratio
    if spec.times or not expected_s:
        return ANY
    left_s = job.objective_s - now_s - _after_s(spec, ready.number)
    if left_s < LEAST_TIME_SHARE * expected_s:
        return ANY
    return Pace(expected_s / left_s, not is_urgent(job))


def _after_s(spec: JobSpec, number: int) -> float:
    """Return the estimated longest chain of steps that wait for a step."""
    ends_s: dict[int, float] = {number: 0.0}
    for later, step in enumerate(spec.steps):
        before_s = [ends_s[one] for one in step.after if one in ends_s]
        if before_s:
            ends_s[later] = max(before_s) + step.estimate_s
    return max(ends_s.values())


__all__ = ('ANY', 'Pace', 'pace_of')
