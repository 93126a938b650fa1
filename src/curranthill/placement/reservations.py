"""Room kept for a gang that does not fit yet.

Answers a stream of small jobs before a large gang: each would take the first
worker that gets free, and the gang would wait for ever.
"""

from collections.abc import Sequence
from typing import Final

from curranthill.placement.jobs import ReadyStep
from curranthill.placement.rooms import Room, room_needed

#: How many gangs that do not fit keep room for themselves in one round; more
#: would leave room unused that smaller jobs could fill.
RESERVATIONS: Final = 1


def reserve(ready: ReadyStep, groups: Sequence[Sequence[Room]]) -> None:
    """Keep room for a gang in the group where most is free."""
    needs = room_needed(ready.step)
    group = max(
        groups,
        key=lambda rooms: sum(max(room.soon.gpus, 0) for room in rooms),
    )
    for room in _rooms_to_keep(ready, group):
        room.claim(needs)


def _rooms_to_keep(ready: ReadyStep, rooms: Sequence[Room]) -> list[Room]:
    """Return a room for each task, the emptiest first, as if it were idle."""
    needs = room_needed(ready.step)
    kept: list[Room] = []
    for room in sorted(rooms, key=lambda one: -one.soon.gpus):
        free = room.entry.room
        while len(kept) < len(ready.tasks) and free.covers(needs):
            free = free.minus(needs)
            kept.append(room)
    return kept


__all__ = ('RESERVATIONS', 'reserve')
