"""Choice of workers for the tasks of a step, without stopping any run.

Workers without recent failures are preferred, then those on which a task ends
in time, then those that it fills best (best fit), so that whole workers and
racks stay free for large gangs.
"""

import heapq
from collections.abc import Sequence
from typing import Final, NamedTuple

from curranthill.placement.capacity import (
    ServiceCapacity,
    WorkerCapacity,
    resources_needed,
)
from curranthill.placement.jobs import ActiveJob, ReadyStep
from curranthill.placement.required_speed import ANY, RequiredSpeed
from curranthill.tasks import Resources, TaskKey

#: How long a task waits for free capacity in the right rack, in estimated run
#: times: in another rack it runs longer by about as much.
RACK_WAIT_FACTOR: Final = 2.0

#: The maximum clock skew between the leader and the host that accepted a job,
#: in seconds, unless one of the clocks was set.
MAX_SKEW_S: Final = 5.0

Fit = list[tuple[TaskKey, WorkerCapacity]]


class _Rank(NamedTuple):
    """A worker's rank among those that a task fits on; the lowest is first.

    :param speed: the worker's rank by speed, see :class:`RequiredSpeed`.
    :param left_gpus: the accelerators that stay free beside the task.
    :param left_cpu_millis: the processor time that is free now.
    :param position: its index in the list of workers.
    """

    failure_score: float
    shared_with_suspect: bool
    speed: int
    left_gpus: int
    left_cpu_millis: int
    position: int


def waits_for_rack(job: ActiveJob, ready: ReadyStep, now_s: float) -> bool:
    """Return whether a job continues to wait for the right rack.

    :param now_s: wall-clock seconds.
    """
    waited_s = now_s - job.spec.accepted_at_s
    if waited_s < -MAX_SKEW_S:
        # One of the clocks was set, so the wait is unknown.
        return False
    return waited_s <= RACK_WAIT_FACTOR * ready.step.estimate_s


def candidate_groups(
    ready: ReadyStep,
    capacity: ServiceCapacity,
    *,
    wait_for_rack: bool,
) -> list[Sequence[WorkerCapacity]]:
    """Return the sets of workers that a step may be placed on, best first.

    Tasks that run longer outside of a rack wait for it, unless it could never
    hold them.

    :param wait_for_rack: whether to continue to wait for the right rack.
    """
    racks = _fast_racks(ready, capacity)
    if racks is None:
        return [capacity.workers]
    groups: list[Sequence[WorkerCapacity]] = [
        capacity.in_rack(rack) for rack in racks
    ]
    if not groups or not wait_for_rack:
        groups.append(capacity.workers)
    return groups


def without_delaying_workers(
    groups: Sequence[Sequence[WorkerCapacity]],
    required: RequiredSpeed,
) -> list[Sequence[WorkerCapacity]]:
    """Return each group without the workers that would delay the gang."""
    return [
        [worker for worker in group if not required.delays_gang(worker)]
        for group in groups
    ]


def choose_group(
    ready: ReadyStep,
    groups: Sequence[Sequence[WorkerCapacity]],
    required: RequiredSpeed = ANY,
) -> Fit:
    """Choose workers of the first group without a penalty.

    If all groups have one, that with the lowest penalty is used. One member
    on a worker that fails every task fails the whole gang, each time it is
    placed there, and one on a slow worker makes all of it late.
    """
    best: tuple[float, Sequence[WorkerCapacity]] | None = None
    for group in groups:
        chosen = _choose_uniform(ready, group, required)
        # A recent failure counts as much as one speed level too slow.
        penalty = sum(
            worker.failure_score + required.excess_lateness(worker)
            for _, worker in chosen
        )
        if chosen and not penalty:
            return chosen
        release_all(ready, chosen)
        if chosen and (best is None or penalty < best[0]):
            best = (penalty, group)
    return _choose_uniform(ready, best[1], required) if best else []


def choose_workers(
    ready: ReadyStep,
    workers: Sequence[WorkerCapacity],
    required: RequiredSpeed = ANY,
) -> Fit:
    """Choose workers for the tasks, in order; for a gang all or none."""
    needs = resources_needed(ready.step)
    queue = [
        _rank(worker, needs, index, required)
        for index, worker in enumerate(workers)
        if _accepts_task(worker, ready, ready.tasks[0])
    ]
    heapq.heapify(queue)
    chosen: Fit = []
    for key in ready.tasks:
        if not queue:
            break
        index = heapq.heappop(queue).position
        worker = workers[index]
        worker.place(key, ready.step, exclusive=ready.exclusive)
        chosen.append((key, worker))
        if _accepts_task(worker, ready, key):
            heapq.heappush(queue, _rank(worker, needs, index, required))
    whole = ready.step.gang or ready.step.same_rack
    if whole and len(chosen) < len(ready.tasks):
        release_all(ready, chosen)
        return []
    return chosen


def _accepts_task(
    worker: WorkerCapacity, ready: ReadyStep, key: TaskKey
) -> bool:
    """Return whether one more task of a step can start on a worker now."""
    needs = resources_needed(ready.step)
    return worker.fits_now(needs, starving=ready.starving) and worker.allows(
        key,
        ready.step,
        exclusive=ready.exclusive,
        # If two suspects share a worker, a crash can be due to either.
        starving=ready.starving and not ready.suspect,
    )


def _choose_uniform(
    ready: ReadyStep,
    workers: Sequence[WorkerCapacity],
    required: RequiredSpeed,
) -> Fit:
    """Choose workers; for a gang ones of similar speed, if it fits there.

    Its members end together, so those on fast workers would wait for those on
    slow ones.
    """
    chosen = choose_workers(ready, workers, required)
    delaying = {required.delays_gang(worker) for _, worker in chosen}
    if len(delaying) < 2 or not ready.step.gang:
        return chosen
    release_all(ready, chosen)
    slow = [
        worker
        for worker in workers
        if required.delays_gang(worker) and worker.speed >= required.min_speed
    ]
    usual = [worker for worker in workers if not required.delays_gang(worker)]
    return (
        choose_workers(ready, slow, required)
        or choose_workers(ready, usual, required)
        or choose_workers(ready, workers, required)
    )


def _rank(
    worker: WorkerCapacity,
    needs: Resources,
    index: int,
    required: RequiredSpeed,
) -> _Rank:
    return _Rank(
        failure_score=worker.failure_score,
        shared_with_suspect=worker.shared_with_suspect,
        speed=required.rank(worker),
        left_gpus=worker.free.gpus - needs.gpus,
        left_cpu_millis=worker.free.cpu_millis,
        position=index,
    )


def release_all(ready: ReadyStep, chosen: Fit) -> None:
    """Release the workers that were chosen for tasks."""
    for key, worker in chosen:
        worker.release(key, ready.step)


def _fast_racks(
    ready: ReadyStep, capacity: ServiceCapacity
) -> list[str] | None:
    """Return the racks in which a step runs fast; nothing if it does in any.

    Racks that could never hold the tasks that start together are left out.
    """
    step = ready.step
    together = step.gang or step.same_rack
    wanted = len(ready.tasks) if together else 1
    if step.near_rack:
        fits = capacity.rack_fits(step.near_rack, step, wanted)
        return [step.near_rack] if fits else []
    if step.same_rack and capacity.racks:
        return capacity.racks_fitting(step, wanted)
    return None


__all__ = (
    'MAX_SKEW_S',
    'RACK_WAIT_FACTOR',
    'Fit',
    'candidate_groups',
    'choose_group',
    'choose_workers',
    'release_all',
    'waits_for_rack',
    'without_delaying_workers',
)
