"""Room kept for a gang that does not fit yet.

Answers a stream of small jobs before a large gang: each would take the first
worker that gets free, and the gang would wait for ever. Only room that runs
will give back is kept: a gang that they cannot let in would keep it from others
for ever.
"""

from collections.abc import Iterable, Sequence
from itertools import repeat
from typing import Final

from curranthill.placement.jobs import ReadyStep
from curranthill.placement.rooms import Room, copies_once_free, room_needed

#: How many gangs that do not fit keep room for themselves in one round; more
#: would leave room unused that smaller jobs could fill.
RESERVATIONS: Final = 1

#: A gang that needs more than this share of the workers could never start
#: beside small jobs that come one after the other.
WIDE_SHARE: Final = 0.5


def find_room_to_keep(
    ready: ReadyStep,
    groups: Sequence[Sequence[Room]],
) -> list[Room]:
    """Return a room for each task of a gang, in the group where most is free.

    Empty if no group can hold the gang, whatever ends there.
    """
    best: list[Room] = []
    most_gpus = -1
    for group in groups:
        free_gpus = sum(max(room.soon.gpus, 0) for room in group)
        if free_gpus > most_gpus:
            kept = _rooms_to_keep(ready, group)
            if kept:
                best = kept
                most_gpus = free_gpus
    return best


def wait_for_room_s(rooms: Iterable[Room]) -> float:
    """Return how long what runs in rooms goes on, by its estimates."""
    return max(
        (run.left_s for room in rooms for run in room.runs),
        default=0.0,
    )


def keep(ready: ReadyStep, rooms: Sequence[Room], *, of_workers: int) -> None:
    """Keep room for a task in each of the rooms.

    :param of_workers: how many workers there are; who starves takes nothing
        from a gang that needs most of them.
    """
    needs = room_needed(ready.step)
    kept = len({room.entry.worker_id for room in rooms})
    wide = kept > WIDE_SHARE * of_workers
    for room in rooms:
        if wide:
            room.claim(needs)
        else:
            room.keep(needs)


def _rooms_to_keep(ready: ReadyStep, rooms: Sequence[Room]) -> list[Room]:
    """Return a room for each task, the emptiest first; empty if too few."""
    wanted = len(ready.tasks)
    kept: list[Room] = []
    for room in sorted(rooms, key=lambda one: -one.soon.gpus):
        if len(kept) >= wanted:
            break
        kept.extend(repeat(room, copies_once_free(room, ready.step)))
    return kept[:wanted] if len(kept) >= wanted else []


__all__ = ('RESERVATIONS', 'find_room_to_keep', 'keep', 'wait_for_room_s')
