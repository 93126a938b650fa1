"""Where the tasks of a step fit without stopping anything.

Answers ordinary load: trusted workers first, then those that a task fills
best, so that whole workers and racks stay free for large gangs.
"""

import heapq
from collections.abc import Sequence
from typing import NamedTuple

from curranthill.placement.jobs import ReadyStep
from curranthill.placement.rooms import Room, ServiceRooms, room_needed
from curranthill.tasks import Resources, TaskKey

Fit = list[tuple[TaskKey, Room]]


class _Rank(NamedTuple):
    """A worker's place among those that a task fits on, the least first.

    :param slowness: counts only for urgent work.
    :param speed_grade: between workers that a task fills alike.
    """

    doubt: float
    slowness: int
    left_gpus: int
    speed_grade: int
    free_cpu_millis: int
    place: int


class _GroupRank(NamedTuple):
    """A group's place among those that a step fits in, the least first."""

    doubt: float
    slowness: int


def groups_of(
    ready: ReadyStep,
    rooms: ServiceRooms,
    *,
    patient: bool,
) -> list[Sequence[Room]]:
    """Return the sets of rooms that a step may be placed in, best first.

    Tasks that run longer away from a rack wait for it, unless it could never
    hold them.

    :param patient: whether to go on waiting for the right rack.
    """
    racks = _near_racks(ready, rooms)
    if racks is None:
        return [rooms.rooms]
    groups: list[Sequence[Room]] = [rooms.in_rack(rack) for rack in racks]
    if not groups or not patient:
        groups.append(rooms.rooms)
    return groups


def choose_group(
    ready: ReadyStep,
    groups: Sequence[Sequence[Room]],
    *,
    swift: bool = False,
) -> Fit:
    """Take rooms of one group: the first without doubt, or the least doubted.

    A gang with one member on a worker that fails all it starts fails whole,
    each time it is put there.

    :param swift: whether the group with the fastest rooms comes first.
    """
    best: tuple[_GroupRank, Sequence[Room]] | None = None
    for group in groups:
        chosen = choose_rooms(ready, group, swift=swift)
        if not chosen:
            continue
        rank = _group_rank(chosen, swift=swift)
        if not rank.doubt and not swift:
            return chosen
        _give_back(ready, chosen)
        if best is None or rank < best[0]:
            best = (rank, group)
    return choose_rooms(ready, best[1], swift=swift) if best else []


def choose_rooms(
    ready: ReadyStep,
    rooms: Sequence[Room],
    *,
    swift: bool = False,
) -> Fit:
    """Take rooms for the tasks, in order; a gang takes all or none.

    :param swift: whether the fastest workers come first; else, of workers
        that a task fills alike, the slowest do, and the others stay free for
        urgent work.
    """
    needs = room_needed(ready.step)
    queue = [
        _rank(room, needs, index, swift=swift)
        for index, room in enumerate(rooms)
        if room.fits_now(needs) and room.allows(ready.tasks[0], ready.step)
    ]
    heapq.heapify(queue)
    chosen: Fit = []
    for key in ready.tasks:
        if not queue:
            break
        index = heapq.heappop(queue).place
        room = rooms[index]
        room.place(key, ready.step)
        chosen.append((key, room))
        if room.fits_now(needs) and room.allows(key, ready.step):
            heapq.heappush(queue, _rank(room, needs, index, swift=swift))
    whole = ready.step.gang or ready.step.same_rack
    if whole and len(chosen) < len(ready.tasks):
        _give_back(ready, chosen)
        return []
    return chosen


def _rank(
    room: Room,
    needs: Resources,
    index: int,
    *,
    swift: bool,
) -> _Rank:
    return _Rank(
        doubt=room.doubt,
        slowness=-room.speed_grade if swift else 0,
        left_gpus=room.free.gpus - needs.gpus,
        speed_grade=room.speed_grade,
        free_cpu_millis=room.free.cpu_millis,
        place=index,
    )


def _group_rank(chosen: Fit, *, swift: bool) -> _GroupRank:
    """Rank the rooms taken of one group; a gang is as slow as its slowest."""
    doubt = sum(room.doubt for _, room in chosen)
    slowness = max(-room.speed_grade for _, room in chosen)
    return _GroupRank(doubt=doubt, slowness=slowness if swift else 0)


def _give_back(ready: ReadyStep, chosen: Fit) -> None:
    for key, room in chosen:
        room.unplace(key, ready.step)


def _near_racks(ready: ReadyStep, rooms: ServiceRooms) -> list[str] | None:
    """Return the racks in which a step runs fast; nothing if it does anywhere.

    Racks that could never hold what must start together are left out.
    """
    step = ready.step
    together = step.gang or step.same_rack
    wanted = len(ready.tasks) if together else 1
    if step.near_rack:
        fits = rooms.holds_in(step.near_rack, step, wanted)
        return [step.near_rack] if fits else []
    if step.same_rack and rooms.racks:
        return rooms.racks_that_hold(step, wanted)
    return None


__all__ = ('Fit', 'choose_group', 'choose_rooms', 'groups_of')
