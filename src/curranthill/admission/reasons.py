"""What a waiting job waits for, in an operator's words.

Answers the question of a workspace that complains: too much waits, or the
room that is free does not do for this job.
"""

from collections.abc import Sequence
from typing import Final

from curranthill.placement import ReadyStep, Room
from curranthill.placement.fitting import choose_rooms, groups_of
from curranthill.placement.rooms import ServiceRooms, copies

#: Why a step does not start now.
NO_WORKER: Final = 'no worker is large enough'
NO_ROOM: Final = 'no room'
BEYOND_GUARANTEE: Final = 'no room, and beyond its guarantee'
RACK: Final = 'room in one rack'
KEPT: Final = 'room that is kept for others'
ALONE: Final = 'an empty worker, as a suspect'
ADVISED: Final = 'workers that its advisor allows'
TURN: Final = 'its turn, it fits and no room is kept'


def waits_for(
    ready: ReadyStep,
    rooms: Sequence[Room],
    *,
    beyond_guarantee: bool,
    kept: bool = True,
    advised: bool = False,
    patient: bool = True,
) -> str:
    """Return what a step waits for that may start by its turn.

    :param rooms: those of the step's service; left as they are.
    :param beyond_guarantee: whether it is urgent, and its workspace's
        guarantee is in use.
    :param kept: whether room is kept for other jobs of the service.
    :param advised: whether only workers that an advisor allows may run it.
    :param patient: whether it goes on waiting for the right rack.
    """
    step = ready.step
    wanted = len(ready.tasks) if step.gang else 1
    if sum(copies(room, step) for room in rooms) < wanted:
        return NO_WORKER
    groups = groups_of(ready, ServiceRooms(rooms=rooms), patient=patient)
    if any(_fits(ready, group) for group in groups):
        return _reason_of_fit(kept=kept, advised=advised)
    if ready.alone and _fits(ready._replace(alone=False), rooms):
        return ALONE
    if _fits(ready, rooms):
        return RACK
    return BEYOND_GUARANTEE if beyond_guarantee else NO_ROOM


def _reason_of_fit(*, kept: bool, advised: bool) -> str:
    """Return why a step does not start that fits."""
    if kept:
        return KEPT
    return ADVISED if advised else TURN


def _fits(ready: ReadyStep, rooms: Sequence[Room]) -> bool:
    chosen = choose_rooms(ready, rooms)
    for key, room in chosen:
        room.unplace(key, ready.step)
    return bool(chosen)


__all__ = (
    'ADVISED',
    'ALONE',
    'BEYOND_GUARANTEE',
    'KEPT',
    'NO_ROOM',
    'NO_WORKER',
    'RACK',
    'TURN',
    'waits_for',
)
