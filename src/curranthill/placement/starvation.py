"""Jobs that wait with nothing running while most room is free.

Answers a cluster that is emptier than it looks: room kept for large gangs and
workers held for suspects pay off while room is short. While most of it is free
they only keep small jobs from starting.
"""

from collections.abc import Iterable
from typing import Final

from curranthill.placement.rooms import Room
from curranthill.tasks import Resources

#: A job has nothing running for so long before it takes room that is kept, in
#: seconds: with its start the wait stays below the 3 s that callers may see.
PATIENCE_S: Final = 2.0

#: Most room is free if less than this share is in use.
BUSY_SHARE: Final = 0.5


def is_most_room_free(rooms: Iterable[Room]) -> bool:
    """Return whether runs take less than half of what workers have.

    Accelerators count; processors where there are none.
    """
    all_room = Resources()
    free = Resources()
    for room in rooms:
        all_room = all_room.plus(room.entry.room)
        free = free.plus(room.free)
    used = all_room.minus(free)
    if all_room.gpus:
        return used.gpus < BUSY_SHARE * all_room.gpus
    return used.cpu_millis < BUSY_SHARE * all_room.cpu_millis


__all__ = ('BUSY_SHARE', 'PATIENCE_S', 'is_most_room_free')
