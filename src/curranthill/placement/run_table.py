"""The newest runs of a job's tasks."""

from collections import Counter
from typing import Any

from curranthill.placement.occurrences import Occurrences
from curranthill.placement.runs import Run
from curranthill.tasks import TaskKey


class RunTable(dict[TaskKey, Run]):
    """The newest run of each task that may exist.

    Each change is passed on to the occurrences of the job.
    """

    def __init__(self, *, occurrences: Occurrences) -> None:
        """Initialize without runs."""
        super().__init__()
        self._occurrences = occurrences
        self._counts: Counter[int] = Counter()

    def __setitem__(self, key: TaskKey, run: Run) -> None:
        """Add a run, or replace it by a newer one."""
        if key not in self:
            self._counts[key.occurrence] += 1
        super().__setitem__(key, run)
        self._occurrences.open(key.occurrence, key.step)

    def pop(self, key: TaskKey, *default: Any) -> Any:
        """Remove a run."""
        if key in self:
            self._counts[key.occurrence] -= 1
            if not self._counts[key.occurrence]:
                self._counts.pop(key.occurrence)
        self._occurrences.unsettle(key.occurrence, key.step)
        return super().pop(key, *default)

    def any_beside(self, occurrence: int) -> bool:
        """Return whether there is a run of another occurrence."""
        return len(self._counts) > (occurrence in self._counts)


__all__ = ('RunTable',)
