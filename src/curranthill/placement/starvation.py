"""Jobs that wait with nothing running while most room is free.

Answers a cluster that is emptier than it looks: room kept for large gangs and
workers held for suspects pay off while room is short. While most of it is free
they only keep small jobs from starting.
"""

from collections.abc import Iterable
from typing import Final

from curranthill.placement.capacity import WorkerCapacity
from curranthill.tasks import Resources

#: A job has nothing running for so long before it takes room that is kept, in
#: seconds: with its start the wait stays below the 3 s that callers may see.
MAX_IDLE_S: Final = 2.0

#: Most room is free if less than this share of the accelerators is in use.
BUSY_SHARE: Final = 0.5

#: The same for processors and memory: tasks that need few accelerators may use
#: up these first, and then room is short.
BUSY_OTHER_SHARE: Final = 0.75


def is_mostly_free(workers: Iterable[WorkerCapacity]) -> bool:
    """Return whether room is not short."""
    have = Resources()
    free = Resources()
    for worker in workers:
        have = have.plus(worker.entry.capacity)
        free = free.plus(worker.free)
    used = have.minus(free)
    return (
        _is_most_free(used.gpus, have.gpus, BUSY_SHARE)
        and _is_most_free(used.cpu_millis, have.cpu_millis, BUSY_OTHER_SHARE)
        and _is_most_free(used.memory_mb, have.memory_mb, BUSY_OTHER_SHARE)
    )


def _is_most_free(used: int, have: int, busy_share: float) -> bool:
    return not have or used < busy_share * have


__all__ = ('MAX_IDLE_S', 'is_mostly_free')
