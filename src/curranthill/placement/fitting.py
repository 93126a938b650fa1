"""Where the tasks of a step fit without stopping anything.

Answers ordinary load: trusted workers first, then those on which a task ends in
time, then those that it fills best, so that whole workers and racks stay free
for large gangs.
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
from curranthill.placement.paces import ANY, Pace
from curranthill.tasks import Resources, TaskKey

#: A task waits so many of its estimated run times for room in the right rack:
#: away from it, it runs longer by about as much.
RACK_WAIT_FACTOR: Final = 2.0

#: The clocks of the host that accepted a job and of the leader differ by no
#: more than this unless one was set, in seconds.
MAX_SKEW_S: Final = 5.0

Fit = list[tuple[TaskKey, WorkerCapacity]]


class _Rank(NamedTuple):
    """A worker's rank among those that a task fits on, the least first.

    :param position: its place in the list of workers.
    """

    failure_score: float
    shared_with_suspect: bool
    speed: int
    left_gpus: int
    left_cpu_millis: int
    position: int


def waits_for_rack(job: ActiveJob, ready: ReadyStep, now_s: float) -> bool:
    """Return whether a job goes on waiting for the right rack."""
    waited_s = now_s - job.spec.accepted_at_s
    if waited_s < -MAX_SKEW_S:
        # Clocks that differ so much were set; nobody knows the wait.
        return False
    return waited_s <= RACK_WAIT_FACTOR * ready.step.estimate_s


def groups_of(
    ready: ReadyStep,
    workers: ServiceCapacity,
    *,
    wait_for_rack: bool,
) -> list[Sequence[WorkerCapacity]]:
    """Return the sets of rooms that a step may be placed in, best first.

    Tasks that run longer away from a rack wait for it, unless it could never
    hold them.

    :param wait_for_rack: whether to go on waiting for the right rack.
    """
    racks = _near_racks(ready, workers)
    if racks is None:
        return [workers.workers]
    groups: list[Sequence[WorkerCapacity]] = [
        workers.in_rack(rack) for rack in racks
    ]
    if not groups or not wait_for_rack:
        groups.append(workers.workers)
    return groups


def in_time(
    groups: Sequence[Sequence[WorkerCapacity]],
    pace: Pace,
) -> list[Sequence[WorkerCapacity]]:
    """Return each group without the workers that would delay the gang."""
    return [
        [worker for worker in group if not pace.holds_up(worker)]
        for group in groups
    ]


def choose_group(
    ready: ReadyStep,
    groups: Sequence[Sequence[WorkerCapacity]],
    pace: Pace = ANY,
) -> Fit:
    """Take rooms of one group: the first without fault, or the least faulty.

    A gang with one member on a worker that fails all it starts fails whole,
    each time it is put there, and with one on a slow worker it is late whole.
    """
    best: tuple[float, Sequence[WorkerCapacity]] | None = None
    for group in groups:
        chosen = _choose_alike(ready, group, pace)
        # Recent failures and levels too slow: one of each weighs the same.
        fault = sum(
            worker.failure_score + pace.excess(worker) for _, worker in chosen
        )
        if chosen and not fault:
            return chosen
        give_back(ready, chosen)
        if chosen and (best is None or fault < best[0]):
            best = (fault, group)
    return _choose_alike(ready, best[1], pace) if best else []


def choose_workers(
    ready: ReadyStep,
    workers: Sequence[WorkerCapacity],
    pace: Pace = ANY,
) -> Fit:
    """Take rooms for the tasks, in order; a gang takes all or none."""
    needs = resources_needed(ready.step)
    queue = [
        _rank(worker, needs, index, pace)
        for index, worker in enumerate(workers)
        if _takes(worker, ready, ready.tasks[0])
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
        if _takes(worker, ready, key):
            heapq.heappush(queue, _rank(worker, needs, index, pace))
    whole = ready.step.gang or ready.step.same_rack
    if whole and len(chosen) < len(ready.tasks):
        give_back(ready, chosen)
        return []
    return chosen


def _takes(worker: WorkerCapacity, ready: ReadyStep, key: TaskKey) -> bool:
    """Return whether a room takes one more task of a step now."""
    needs = resources_needed(ready.step)
    return worker.fits_now(needs, starving=ready.starving) and worker.allows(
        key,
        ready.step,
        exclusive=ready.exclusive,
        # Two suspects side by side would not tell which one crashes.
        starving=ready.starving and not ready.suspect,
    )


def _choose_alike(
    ready: ReadyStep,
    workers: Sequence[WorkerCapacity],
    pace: Pace,
) -> Fit:
    """Take rooms; for a gang ones that are alike, where these have room.

    Its members end together: on fast workers they would wait for those on slow
    ones.
    """
    chosen = choose_workers(ready, workers, pace)
    held_up = {pace.holds_up(worker) for _, worker in chosen}
    if len(held_up) < 2 or not ready.step.gang:
        return chosen
    give_back(ready, chosen)
    slow = [
        worker
        for worker in workers
        if pace.holds_up(worker) and worker.speed >= pace.needed
    ]
    usual = [worker for worker in workers if not pace.holds_up(worker)]
    return (
        choose_workers(ready, slow, pace)
        or choose_workers(ready, usual, pace)
        or choose_workers(ready, workers, pace)
    )


def _rank(
    worker: WorkerCapacity, needs: Resources, index: int, pace: Pace
) -> _Rank:
    return _Rank(
        failure_score=worker.failure_score,
        shared_with_suspect=worker.shared_with_suspect,
        speed=pace.rank(worker),
        left_gpus=worker.free.gpus - needs.gpus,
        left_cpu_millis=worker.free.cpu_millis,
        position=index,
    )


def give_back(ready: ReadyStep, chosen: Fit) -> None:
    """Give back the rooms that were taken for tasks."""
    for key, worker in chosen:
        worker.unplace(key, ready.step)


def _near_racks(ready: ReadyStep, workers: ServiceCapacity) -> list[str] | None:
    """Return the racks in which a step runs fast; nothing if it does anywhere.

    Racks that could never hold what must start together are left out.
    """
    step = ready.step
    together = step.gang or step.same_rack
    wanted = len(ready.tasks) if together else 1
    if step.near_rack:
        fits = workers.holds_in(step.near_rack, step, wanted)
        return [step.near_rack] if fits else []
    if step.same_rack and workers.racks:
        return workers.racks_that_hold(step, wanted)
    return None


__all__ = (
    'MAX_SKEW_S',
    'RACK_WAIT_FACTOR',
    'Fit',
    'choose_group',
    'choose_workers',
    'give_back',
    'groups_of',
    'in_time',
    'waits_for_rack',
)
