"""Capacity reserved for a gang that does not fit yet.

Answers a stream of small jobs before a large gang: each would take the first
worker that gets free, and the gang would wait for ever. Only room that runs
will give back is kept: a gang that they cannot let in would keep it from others
for ever.
"""

from collections.abc import Iterable, Sequence
from itertools import repeat
from typing import Final

from curranthill.placement.capacity import (
    WorkerCapacity,
    copies_once_free,
    resources_needed,
)
from curranthill.placement.jobs import ReadyStep

#: How many gangs that do not fit keep room for themselves in one round; more
#: would leave room unused that smaller jobs could fill.
RESERVATIONS: Final = 1

#: A gang that needs more than this share of the workers could never start
#: beside small jobs that come one after the other.
WIDE_SHARE: Final = 0.5


def find_workers_to_reserve(
    ready: ReadyStep,
    groups: Sequence[Sequence[WorkerCapacity]],
) -> list[WorkerCapacity]:
    """Return a room for each task of a gang, in the group where most is free.

    Empty if no group can hold the gang, whatever ends there.
    """
    best: list[WorkerCapacity] = []
    most_gpus = -1
    for group in groups:
        free_gpus = sum(max(worker.soon.gpus, 0) for worker in group)
        if free_gpus > most_gpus:
            reserved = _workers_to_reserve(ready, group)
            if reserved:
                best = reserved
                most_gpus = free_gpus
    return best


def wait_for_capacity_s(workers: Iterable[WorkerCapacity]) -> float:
    """Return how long what runs in rooms goes on, by its estimates."""
    return max(
        (run.left_s for worker in workers for run in worker.runs),
        default=0.0,
    )


def reserve(
    ready: ReadyStep, workers: Sequence[WorkerCapacity], *, of_workers: int
) -> None:
    """Keep room for a task in each of the rooms.

    :param of_workers: how many workers there are; who starves takes nothing
        from a gang that needs most of them.
    """
    needs = resources_needed(ready.step)
    reserved = len({worker.entry.worker_id for worker in workers})
    wide = reserved > WIDE_SHARE * of_workers
    for worker in workers:
        if wide:
            worker.claim(needs)
        else:
            worker.reserve(needs)


def _workers_to_reserve(
    ready: ReadyStep, workers: Sequence[WorkerCapacity]
) -> list[WorkerCapacity]:
    """Return a room for each task, the emptiest first; empty if too few."""
    wanted = len(ready.tasks)
    reserved: list[WorkerCapacity] = []
    for worker in sorted(workers, key=lambda one: -one.soon.gpus):
        if len(reserved) >= wanted:
            break
        reserved.extend(repeat(worker, copies_once_free(worker, ready.step)))
    return reserved[:wanted] if len(reserved) >= wanted else []


__all__ = (
    'RESERVATIONS',
    'find_workers_to_reserve',
    'reserve',
    'wait_for_capacity_s',
)
