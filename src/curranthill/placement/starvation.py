"""Starving jobs: nothing of them runs while most capacity is free.

Reserving capacity for large gangs and workers for suspects pays off while
capacity is scarce. While most of it is free, this only prevents small jobs
from starting.
"""

from collections.abc import Iterable
from typing import Final

from curranthill.placement.capacity import WorkerCapacity
from curranthill.tasks import Resources

#: How long a job may have nothing running before it uses reserved capacity, in
#: seconds: together with the start of its run, the wait stays below the 3 s
#: that callers may see.
MAX_IDLE_S: Final = 2.0

#: Most capacity is free if less than this share of the accelerators is in use.
BUSY_SHARE: Final = 0.5

#: The same for processors and memory: tasks that need few accelerators may
#: exhaust these first, and then capacity is scarce.
BUSY_OTHER_SHARE: Final = 0.75


def is_mostly_free(workers: Iterable[WorkerCapacity]) -> bool:
    """Return whether most capacity of some workers is free."""
    capacity = Resources()
    free = Resources()
    for worker in workers:
        capacity = capacity.plus(worker.entry.capacity)
        free = free.plus(worker.free)
    used = capacity.minus(free)
    return (
        _is_mostly_unused(used.gpus, capacity.gpus, BUSY_SHARE)
        and _is_mostly_unused(
            used.cpu_millis, capacity.cpu_millis, BUSY_OTHER_SHARE
        )
        and _is_mostly_unused(
            used.memory_mb, capacity.memory_mb, BUSY_OTHER_SHARE
        )
    )


def _is_mostly_unused(used: int, capacity: int, busy_share: float) -> bool:
    return not capacity or used < busy_share * capacity


__all__ = ('MAX_IDLE_S', 'is_mostly_free')
