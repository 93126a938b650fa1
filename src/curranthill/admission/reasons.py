"""What a waiting job waits for, in an operator's words.

Answers the question of a workspace that complains: too much waits, or the
room that is free does not do for this job.
"""

from collections.abc import Sequence
from typing import Final

from curranthill.placement import ReadyStep, WorkerCapacity
from curranthill.placement.capacity import ServiceCapacity, copies
from curranthill.placement.fitting import choose_workers, groups_of

#: Why a step does not start now.
NO_WORKER: Final = 'no worker is large enough'
NO_ROOM: Final = 'no room'
BEYOND_GUARANTEE: Final = 'no room, and beyond its guarantee'
RACK: Final = 'room in one rack'
RESERVED: Final = 'room that is kept for others'
EXCLUSIVE: Final = 'an empty worker, as a suspect'
ADVISED: Final = 'workers that its advisor allows'
TURN: Final = 'its turn, it fits and no room is kept'


def waiting_reason(
    ready: ReadyStep,
    workers: Sequence[WorkerCapacity],
    *,
    beyond_guarantee: bool,
    reserved: bool = True,
    advised: bool = False,
    wait_for_rack: bool = True,
) -> str:
    """Return what a step waits for that may start by its turn.

    :param workers: those of the step's service; left as they are.
    :param beyond_guarantee: whether it is urgent, and its workspace's
        guarantee is in use.
    :param reserved: whether room is kept for other jobs of the service.
    :param advised: whether only workers that an advisor allows may run it.
    :param wait_for_rack: whether it goes on waiting for the right rack.
    """
    step = ready.step
    wanted = len(ready.tasks) if step.gang else 1
    if sum(copies(worker, step) for worker in workers) < wanted:
        return NO_WORKER
    groups = groups_of(
        ready, ServiceCapacity(workers=workers), wait_for_rack=wait_for_rack
    )
    if any(_fits(ready, group) for group in groups):
        return _reason_of_fit(reserved=reserved, advised=advised)
    if ready.exclusive and _fits(ready._replace(exclusive=False), workers):
        return EXCLUSIVE
    if _fits(ready, workers):
        return RACK
    return BEYOND_GUARANTEE if beyond_guarantee else NO_ROOM


def _reason_of_fit(*, reserved: bool, advised: bool) -> str:
    """Return why a step does not start that fits."""
    if reserved:
        return RESERVED
    return ADVISED if advised else TURN


def _fits(ready: ReadyStep, workers: Sequence[WorkerCapacity]) -> bool:
    chosen = choose_workers(ready, workers)
    for key, worker in chosen:
        worker.unplace(key, ready.step)
    return bool(chosen)


__all__ = (
    'ADVISED',
    'EXCLUSIVE',
    'BEYOND_GUARANTEE',
    'RESERVED',
    'NO_ROOM',
    'NO_WORKER',
    'RACK',
    'TURN',
    'waiting_reason',
)
