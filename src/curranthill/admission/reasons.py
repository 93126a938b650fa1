"""The reason why a job waits, in words for operators.

It shows whether the cluster is overloaded, or whether the free capacity does
not suit this job.
"""

from collections.abc import Sequence
from typing import Final

from curranthill.placement import ReadyStep, WorkerCapacity
from curranthill.placement.capacity import ServiceCapacity, max_tasks
from curranthill.placement.fitting import candidate_groups, choose_workers

#: The reasons why a step does not start now.
NO_WORKER: Final = 'no worker is large enough'
NO_CAPACITY: Final = 'no room'
BEYOND_GUARANTEE: Final = 'no room, and beyond its guarantee'
RACK: Final = 'room in one rack'
RESERVED: Final = 'room that is kept for others'
EXCLUSIVE: Final = 'an empty worker, as a suspect'
ADVISED: Final = 'workers that its advisor allows'
NEXT_ROUND: Final = 'its turn, it fits and no room is kept'


def waiting_reason(
    ready: ReadyStep,
    workers: Sequence[WorkerCapacity],
    *,
    beyond_guarantee: bool,
    reserved: bool = True,
    advised: bool = False,
    wait_for_rack: bool = True,
) -> str:
    """Return what a ready step waits for.

    :param workers: the workers of the step's service; left unchanged.
    :param beyond_guarantee: whether it is urgent and the guarantee of its
        workspace is in use.
    :param reserved: whether capacity is reserved for other jobs of the
        service.
    :param advised: whether only workers that an advisor allows may run it.
    :param wait_for_rack: whether it continues to wait for the right rack.
    """
    step = ready.step
    wanted = len(ready.tasks) if step.gang else 1
    if sum(max_tasks(worker, step) for worker in workers) < wanted:
        return NO_WORKER
    groups = candidate_groups(
        ready, ServiceCapacity(workers=workers), wait_for_rack=wait_for_rack
    )
    if any(_fits(ready, group) for group in groups):
        return _reason_of_fit(reserved=reserved, advised=advised)
    if ready.exclusive and _fits(ready._replace(exclusive=False), workers):
        return EXCLUSIVE
    if _fits(ready, workers):
        return RACK
    return BEYOND_GUARANTEE if beyond_guarantee else NO_CAPACITY


def _reason_of_fit(*, reserved: bool, advised: bool) -> str:
    """Return why a step that fits does not start."""
    if reserved:
        return RESERVED
    return ADVISED if advised else NEXT_ROUND


def _fits(ready: ReadyStep, workers: Sequence[WorkerCapacity]) -> bool:
    chosen = choose_workers(ready, workers)
    for key, worker in chosen:
        worker.release(key, ready.step)
    return bool(chosen)


__all__ = (
    'ADVISED',
    'BEYOND_GUARANTEE',
    'EXCLUSIVE',
    'NEXT_ROUND',
    'NO_CAPACITY',
    'NO_WORKER',
    'RACK',
    'RESERVED',
    'waiting_reason',
)
