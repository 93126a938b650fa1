"""Reservation of capacity for a gang that does not fit yet.

Without it a stream of small jobs starves a large gang: each takes the next
worker that gets free. Capacity is reserved only if the gang fits once the
current runs have ended; otherwise it would be withheld from others for ever.
"""

from collections.abc import Iterable, Sequence
from itertools import repeat
from typing import Final

from curranthill.placement.capacity import (
    WorkerCapacity,
    max_tasks_once_free,
    resources_needed,
)
from curranthill.placement.jobs import ReadyStep

#: How many gangs that do not fit hold a reservation in one round; more would
#: leave capacity idle that smaller jobs could use.
MAX_RESERVATIONS: Final = 1

#: A gang that needs more than this share of the workers could never start
#: beside a continuous sequence of small jobs.
WIDE_GANG_SHARE: Final = 0.5


def find_workers_to_reserve(
    ready: ReadyStep,
    groups: Sequence[Sequence[WorkerCapacity]],
) -> list[WorkerCapacity]:
    """Return a worker for each task of a gang, in the group with most free.

    Empty if no group can hold the gang, whatever ends there.
    """
    best: list[WorkerCapacity] = []
    most_gpus = -1
    for group in groups:
        free_gpus = sum(max(worker.unclaimed.gpus, 0) for worker in group)
        if free_gpus > most_gpus:
            reserved = _workers_to_reserve(ready, group)
            if reserved:
                best = reserved
                most_gpus = free_gpus
    return best


def wait_for_capacity_s(workers: Iterable[WorkerCapacity]) -> float:
    """Return how long the runs on some workers take to end, by estimates."""
    return max(
        (run.remaining_s for worker in workers for run in worker.runs),
        default=0.0,
    )


def reserve(
    ready: ReadyStep, workers: Sequence[WorkerCapacity], *, total_workers: int
) -> None:
    """Reserve capacity for a task on each of the workers.

    :param total_workers: how many workers there are; a starving job can't use
        what is reserved for a gang that needs most of them.
    """
    needs = resources_needed(ready.step)
    reserved = len({worker.entry.worker_id for worker in workers})
    wide = reserved > WIDE_GANG_SHARE * total_workers
    for worker in workers:
        if wide:
            worker.claim(needs)
        else:
            worker.reserve(needs)


def _workers_to_reserve(
    ready: ReadyStep, workers: Sequence[WorkerCapacity]
) -> list[WorkerCapacity]:
    """Return a worker for each task, the emptiest first; empty if too few."""
    wanted = len(ready.tasks)
    reserved: list[WorkerCapacity] = []
    for worker in sorted(workers, key=lambda one: -one.unclaimed.gpus):
        if len(reserved) >= wanted:
            break
        reserved.extend(repeat(worker, max_tasks_once_free(worker, ready.step)))
    return reserved[:wanted] if len(reserved) >= wanted else []


__all__ = (
    'MAX_RESERVATIONS',
    'find_workers_to_reserve',
    'reserve',
    'wait_for_capacity_s',
)
