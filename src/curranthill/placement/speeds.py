"""How fast workers are, from the progress of gangs that they share.

Answers a cluster of unlike workers: a gang is as slow as its slowest member,
so urgent gangs that land on a slow worker are late without having waited.
The members of a gang have the same work, so what differs in their progress is
the worker. Tasks of other steps differ in length and tell nothing.
"""

import math
import statistics
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Final

from curranthill.placement.jobs import ActiveJob
from curranthill.placement.runs import Run

#: What the newest reading of a worker counts for against all earlier ones: a
#: worker that turns slow is known as such after two or three reports.
NEWEST_SHARE: Final = 0.4

#: Speeds are told apart in steps of this much, as a logarithm: twice the error
#: of one reading of a tenth of a gang's work.
SPEED_STEP: Final = 0.1

#: No reading counts for more than this, as a logarithm: a tenth of the speed.
FARTHEST: Final = 2.3


class Speeds:
    """Each worker's speed against the others, learnt anew by each leader."""

    def __init__(self) -> None:
        """Start with all workers as equals."""
        self._logs: dict[str, float] = {}

    def grade_of(self, worker_id: str) -> int:
        """Return a worker's speed in steps above or below the ordinary."""
        return round(self._logs.get(worker_id, 0.0) / SPEED_STEP)

    def learn(self, jobs: Iterable[ActiveJob]) -> None:
        """Take in what the gangs of jobs have reported since the last call."""
        for job in jobs:
            for gang in _gangs(job):
                self._compare(gang)

    def forget_except(self, worker_ids: Iterable[str]) -> None:
        """Drop workers that are gone; a new life may be another machine."""
        kept = set(worker_ids)
        self._logs = {
            worker_id: speed
            for worker_id, speed in self._logs.items()
            if worker_id in kept
        }

    def _compare(self, gang: Sequence[Run]) -> None:
        """Compare the workers of one gang.

        What the gang does on an ordinary worker is the median over its
        workers, so that one that stands still moves no other.
        """
        members = {run.worker_id: run for run in gang if run.rate > 0}
        if len(members) < 2:
            return
        gang_log = statistics.median(
            math.log(run.rate) - self._logs.get(worker_id, 0.0)
            for worker_id, run in members.items()
        )
        for worker_id, run in members.items():
            if run.rate_is_new:
                self._note(worker_id, math.log(run.rate) - gang_log)

    def _note(self, worker_id: str, reading: float) -> None:
        reading = max(-FARTHEST, min(reading, FARTHEST))
        known = self._logs.get(worker_id, 0.0)
        self._logs[worker_id] = known + NEWEST_SHARE * (reading - known)


def _gangs(job: ActiveJob) -> Iterable[list[Run]]:
    """Yield the runs of each gang of a job of which something is new.

    Where the data lies near one rack, members elsewhere are slower by that.
    """
    by_step: dict[tuple[int, int], list[Run]] = defaultdict(list)
    for key, run in job.runs.items():
        step = job.step_of(key)
        if step.gang and not step.near_rack:
            by_step[key.occurrence, key.step].append(run)
    for runs in by_step.values():
        if any(run.rate_is_new for run in runs):
            yield runs
            for run in runs:
                run.rate_is_new = False


__all__ = ('Speeds',)
