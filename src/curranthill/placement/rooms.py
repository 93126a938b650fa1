"""Room on workers while one round of placements is worked out."""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from curranthill.placement.runs import (
    FILLING,
    PLAIN,
    SERVING,
    Run,
    RunKind,
    kind_of,
)
from curranthill.placement.workers import WorkerEntry
from curranthill.tasks import Resources, Step, TaskKey

#: Kinds of runs that are not put on one worker: what fills slows what serves
#: within seconds, by amounts that nobody knows before.
_DISTURBED: Final[dict[RunKind, RunKind]] = {
    FILLING: SERVING,
    SERVING: FILLING,
}


class Room:
    """One worker's room in one round.

    :param free: what no run takes now.
    :param soon: what will be free once the runs being stopped have ended,
        less what waiting urgent tasks have claimed of it.
    :param doubt: how far tasks here have failed or lagged of late; 0 is none.
    """

    __slots__ = ('_counts', '_kinds', 'doubt', 'entry', 'free', 'runs', 'soon')

    def __init__(
        self,
        *,
        entry: WorkerEntry,
        runs: Iterable[Run],
        doubt: float,
    ) -> None:
        """Add up the runs that take room."""
        self.entry = entry
        self.runs = [run for run in runs]
        self.doubt = doubt
        self._counts: dict[tuple[str, int, int], int] = {}
        self._kinds = Counter(run.kind for run in self.runs)
        free = entry.room
        soon = entry.room
        for run in self.runs:
            free = free.minus(run.needs)
            if not run.stop_wanted:
                soon = soon.minus(run.needs)
            self._count(run.key)
        self.free = free
        self.soon = soon

    def fits_now(self, needs: Resources) -> bool:
        """Return whether a task fits without taking what others claimed."""
        return self.free.covers(needs) and self.soon.covers(needs)

    def allows(self, key: TaskKey, step: Step) -> bool:
        """Return whether a step's own limits let a task run here."""
        label = step.label
        if label and label not in self.entry.labels:
            return False
        disturbed = _DISTURBED.get(kind_of(step), PLAIN)
        if disturbed != PLAIN and self._kinds[disturbed]:
            return False
        if not step.max_per_worker:
            return True
        count = self._counts.get((key.job_id, key.occurrence, key.step), 0)
        return count < step.max_per_worker

    def near(self, rack: str) -> bool:
        """Return whether this worker stands in a rack."""
        return rack in self.entry.labels

    def place(self, key: TaskKey, step: Step) -> None:
        """Take room for a task that starts now."""
        needs = room_needed(step)
        self._kinds[kind_of(step)] += 1
        self.free = self.free.minus(needs)
        self.soon = self.soon.minus(needs)
        self._count(key)

    def unplace(self, key: TaskKey, step: Step) -> None:
        """Give back what :meth:`place` took."""
        needs = room_needed(step)
        self._kinds[kind_of(step)] -= 1
        self.free = self.free.plus(needs)
        self.soon = self.soon.plus(needs)
        self._counts[(key.job_id, key.occurrence, key.step)] -= 1

    def claim(self, needs: Resources) -> None:
        """Keep room that is becoming free for a task that waits for it."""
        self.soon = self.soon.minus(needs)

    def evict(self, run: Run) -> None:
        """Count a run's room as becoming free."""
        if run in self.runs:
            self.soon = self.soon.plus(run.needs)
            self.runs.remove(run)

    def _count(self, key: TaskKey) -> None:
        step = (key.job_id, key.occurrence, key.step)
        self._counts[step] = self._counts.get(step, 0) + 1


def racks_of(rooms: Iterable[Room]) -> list[str]:
    """Return the racks in which the workers stand."""
    return sorted({room.entry.rack for room in rooms})


def room_needed(step: Step) -> Resources:
    """Return what a task of a step takes of a worker's room."""
    if step.fills:
        return step.needs._replace(cpu_millis=0)
    return step.needs


__all__ = ('Room', 'racks_of', 'room_needed')
