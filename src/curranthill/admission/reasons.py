"""What a waiting job waits for, in an operator's words.

Answers the question of a workspace that complains: too much waits, or the
room that is free does not do for this job.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Final, NamedTuple

from curranthill.placement import ReadyStep, room_needed
from curranthill.tasks import Resources, Step

#: Why a step does not start now.
NO_WORKER: Final = 'no worker is large enough'
NO_ROOM: Final = 'no room'
BEYOND_GUARANTEE: Final = 'no room, and beyond its guarantee'
RACK: Final = 'room in one rack'
KEPT: Final = 'room that is kept for others'


class FreeWorker(NamedTuple):
    """A worker that may take work.

    :param room: all that it has.
    :param free: what nothing takes now.
    """

    rack: str
    labels: tuple[str, ...]
    room: Resources
    free: Resources


def waits_for(
    ready: ReadyStep,
    workers: Sequence[FreeWorker],
    *,
    beyond_guarantee: bool,
) -> str:
    """Return what a step waits for that may start by its turn.

    :param workers: those of the step's service.
    :param beyond_guarantee: whether it is urgent, and its workspace's
        guarantee is in use.
    """
    step = ready.step
    wanted = len(ready.tasks) if step.gang else 1
    if sum(_fitting(step, one, one.room) for one in workers) < wanted:
        return NO_WORKER
    by_rack: Counter[str] = Counter()
    for worker in workers:
        by_rack[worker.rack] += _fitting(step, worker, worker.free)
    if sum(by_rack.values()) < wanted:
        return BEYOND_GUARANTEE if beyond_guarantee else NO_ROOM
    if step.near_rack and by_rack[step.near_rack] < wanted:
        return RACK
    if step.same_rack and max(by_rack.values()) < wanted:
        return RACK
    return KEPT


def _fitting(step: Step, worker: FreeWorker, room: Resources) -> int:
    """Return how many tasks of a step fit into a worker's room."""
    if step.label and step.label not in worker.labels:
        return 0
    most = step.max_per_worker or step.width
    for have, need in zip(room, room_needed(step), strict=True):
        if need > 0:
            most = min(most, have // need)
    return max(most, 0)


__all__ = (
    'BEYOND_GUARANTEE',
    'KEPT',
    'NO_ROOM',
    'NO_WORKER',
    'RACK',
    'FreeWorker',
    'waits_for',
)
