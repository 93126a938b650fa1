"""Invariants that the workers' view of all runs must satisfy."""

from collections import Counter
from collections.abc import Callable, Iterable
from itertools import chain
from typing import Final

from curranthill.standin.task_worker import TaskWorkerModel
from curranthill.tasks import TaskKey

#: After a task has crashed this many workers its starts are counted, and the
#: maximum number of these starts: the limits of the platform.
MAX_CRASHES: Final = 3
MAX_STARTS_AFTER: Final = 2


class InvariantChecker:
    """Checks all workers and collects violations of the invariants.

    :param workers: returns every worker that ever existed.
    :param attempts: runs of one task that may fail.
    :param violations: one sentence each.
    """

    def __init__(
        self,
        *,
        workers: Callable[[], Iterable[TaskWorkerModel]],
        attempts: int,
    ) -> None:
        """Initialize the checker without violations."""
        self.violations: list[str] = []
        self._workers = workers
        self._attempts = attempts
        self._exhausted: dict[TaskKey, int] = {}
        self._crashing: dict[TaskKey, int] = {}

    def check(self) -> None:
        """Check the current runs, and the starts since the last check."""
        workers = list(self._workers())
        for worker in workers:
            worker.end_due_runs()
        runs = chain.from_iterable(worker.runs.values() for worker in workers)
        ended = acknowledged_ends(workers, 'done')
        for task, count in Counter(run.task for run in runs).items():
            if count > 1:
                self.violations.append(f'{task} runs {count} times')
            if task in ended:
                self.violations.append(f'{task} runs after its end')
        self._check_failures(workers)
        self._check_crashes(workers)

    def _check_crashes(self, workers: list[TaskWorkerModel]) -> None:
        """Check that a task starts at most twice after three crashes."""
        crashes = Counter(
            chain.from_iterable(worker.crashes for worker in workers)
        )
        if not crashes:
            return
        orders = chain.from_iterable(worker.starts for worker in workers)
        starts = Counter(order.task for order in orders)
        for task, count in crashes.items():
            if count < MAX_CRASHES:
                continue
            before = self._crashing.setdefault(task, starts[task])
            if starts[task] > before + MAX_STARTS_AFTER:
                self.violations.append(f'{task} goes on crashing workers')

    def _check_failures(self, workers: list[TaskWorkerModel]) -> None:
        """Check that no task starts after its last allowed failure."""
        orders = chain.from_iterable(worker.starts for worker in workers)
        starts = Counter(order.task for order in orders)
        for task, before in self._exhausted.items():
            if starts[task] > before:
                self.violations.append(f'{task} starts after its last failure')
        for task, failures in acknowledged_ends(workers, 'failed').items():
            if failures >= self._attempts:
                self._exhausted[task] = starts[task]


def acknowledged_ends(
    workers: Iterable[TaskWorkerModel],
    kind: str,
) -> Counter[TaskKey]:
    """Count the ends of one kind that workers know to be recorded."""
    return Counter(
        end.task
        for worker in workers
        for end in worker.acknowledged
        if end.kind == kind and end not in worker.expired_ends
    )
