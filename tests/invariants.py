"""What must never happen, as the workers see it."""

from collections import Counter
from collections.abc import Callable, Iterable
from itertools import chain
from typing import Final

from curranthill.standin.tasks import TaskWorkerModel
from curranthill.tasks import TaskKey

#: Workers that a task may have crashed before its starts are counted, and how
#: often it may be started after that: what the platform allows.
CRASHES_KNOWN: Final = 3
STARTS_AFTER: Final = 2


class InvariantChecker:
    """Looks at all workers and remembers what must never happen.

    :param workers: returns every worker that there ever was.
    :param attempts: runs of one task that may fail.
    :param violations: what was seen, a sentence each.
    """

    def __init__(
        self,
        *,
        workers: Callable[[], Iterable[TaskWorkerModel]],
        attempts: int,
    ) -> None:
        """Start with nothing seen."""
        self.violations: list[str] = []
        self._workers = workers
        self._attempts = attempts
        self._spent: dict[TaskKey, int] = {}
        self._crashing: dict[TaskKey, int] = {}

    def check(self) -> None:
        """Check the runs of this moment and the starts since the last."""
        workers = list(self._workers())
        for worker in workers:
            worker.tick()
        runs = chain.from_iterable(worker.runs.values() for worker in workers)
        noted = noted_ends(workers, 'done')
        for task, count in Counter(run.task for run in runs).items():
            if count > 1:
                self.violations.append(f'{task} runs {count} times')
            if task in noted:
                self.violations.append(f'{task} runs after its end')
        self._look_at_failures(workers)
        self._look_at_crashes(workers)

    def _look_at_crashes(self, workers: list[TaskWorkerModel]) -> None:
        """Check that a task starts twice at most after three crashes."""
        crashes = Counter(
            chain.from_iterable(worker.crashes for worker in workers)
        )
        if not crashes:
            return
        orders = chain.from_iterable(worker.starts for worker in workers)
        starts = Counter(order.task for order in orders)
        for task, count in crashes.items():
            if count < CRASHES_KNOWN:
                continue
            before = self._crashing.setdefault(task, starts[task])
            if starts[task] > before + STARTS_AFTER:
                self.violations.append(f'{task} goes on crashing workers')

    def _look_at_failures(self, workers: list[TaskWorkerModel]) -> None:
        """Check that nothing starts after its last allowed failure."""
        orders = chain.from_iterable(worker.starts for worker in workers)
        starts = Counter(order.task for order in orders)
        for task, before in self._spent.items():
            if starts[task] > before:
                self.violations.append(f'{task} starts after its last failure')
        for task, failures in noted_ends(workers, 'failed').items():
            if failures >= self._attempts:
                self._spent[task] = starts[task]


def noted_ends(
    workers: Iterable[TaskWorkerModel],
    kind: str,
) -> Counter[TaskKey]:
    """Count the ends of one kind that workers were told are noted."""
    return Counter(
        end.task
        for worker in workers
        for end in worker.acknowledged
        if end.kind == kind and end not in worker.voided
    )
