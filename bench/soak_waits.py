"""Finds accepted jobs of a soak that wait though there is capacity for them.

Which tasks run or have completed is read from the workers; a host is only asked
whether a job has failed. Every job of a soak has a single step, which can start
as soon as the job is accepted.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from itertools import chain
from typing import Any, Final, NamedTuple

from curranthill.clock import Clock
from curranthill.standin.task_worker import TaskWorkerModel
from curranthill.tasks import ENDED, Resources, TaskKey

#: The time after a disturbance in which no wait is measured, in seconds.
RECOVERY_S: Final = 14.0

#: The longest that a job may wait while there is capacity for it, in seconds.
MAX_WAIT_S: Final = 3.0

#: How many times the capacity that a job needs must be free for its wait to
#: count.
CAPACITY_FACTOR: Final = 2

#: A job may wait while at least this share of the accelerators is in use.
BUSY_SHARE: Final = 0.5

CHECK_INTERVAL_S: Final = 0.05


class Demand(NamedTuple):
    """The resources that a job needs.

    :param tasks: how many tasks start together: all of a gang, else one.
    :param width: how many tasks the job has.
    :param resources: what each task needs.
    """

    tasks: int
    width: int
    resources: Resources


class FreeCapacity(NamedTuple):
    """The free capacity of all workers.

    :param workers: the free capacity of each worker.
    :param gpus: the accelerators of all workers.
    """

    workers: tuple[Resources, ...]
    gpus: int
    gpus_in_use: int

    @property
    def is_busy(self) -> bool:
        """Return whether enough is in use for a job to be allowed to wait."""
        return self.gpus_in_use >= BUSY_SHARE * self.gpus

    def fitting_tasks(self, resources: Resources) -> int:
        """Return how many tasks with these needs fit on all workers."""
        return sum(_fitting_tasks(free, resources) for free in self.workers)

    def has_enough(self, demand: Demand) -> bool:
        """Return whether CAPACITY_FACTOR times a job's needs is free."""
        return (
            self.fitting_tasks(demand.resources)
            >= CAPACITY_FACTOR * demand.tasks
        )


class Wait(NamedTuple):
    """The wait of one job though there is capacity for it.

    :param free: the free capacity at the last check.
    :param since_s: when the wait began, on the monotonic clock.
    :param until_s: the time of the last check.
    """

    demand: Demand
    free: FreeCapacity
    since_s: float
    until_s: float

    @property
    def waited_s(self) -> float:
        """Return the duration of the wait, in seconds."""
        return self.until_s - self.since_s

    def __str__(self) -> str:
        """Describe the wait and the free capacity."""
        fitting = self.free.fitting_tasks(self.demand.resources)
        return (
            f'waited {self.waited_s:.1f} s with nothing running: {fitting} of '
            f'its tasks would fit, {self.demand.tasks} start together, '
            f'{self.free.gpus_in_use} of {self.free.gpus} accelerators are '
            'in use'
        )


class WaitChecker:
    """Collects the jobs that wait for too long.

    :param submitted: returns all submitted jobs by their ids.
    :param accepted: returns the ids of the accepted ones.
    :param workers: returns the workers that are listed now.
    :param all_workers: returns every worker that ever existed.
    :param since_disturbance_s: returns the time since the last disturbance, in
        seconds.
    :param state_of: asks a host for a job's state; empty without a response.
    """

    def __init__(
        self,
        *,
        submitted: Callable[[], Mapping[str, dict[str, Any]]],
        accepted: Callable[[], Iterable[str]],
        workers: Callable[[], Iterable[TaskWorkerModel]],
        all_workers: Callable[[], Iterable[TaskWorkerModel]],
        since_disturbance_s: Callable[[], float],
        state_of: Callable[[str], Awaitable[str]],
        clock: Clock,
    ) -> None:
        """Initialize the checker without violations."""
        self._submitted = submitted
        self._accepted = accepted
        self._workers = workers
        self._all_workers = all_workers
        self._since_disturbance_s = since_disturbance_s
        self._state_of = state_of
        self._clock = clock
        self._ended: set[str] = set()
        self._waits: dict[str, Wait] = {}
        self._violations: dict[str, Wait] = {}
        self._longest_waits_s: dict[str, float] = {}
        self._waited: set[str] = set()

    @property
    def violations(self) -> list[str]:
        """Return one sentence for each job that waited for too long."""
        return [
            f'{job_id} has {wait}' for job_id, wait in self._violations.items()
        ]

    @property
    def waited(self) -> set[str]:
        """Return the jobs that waited after recovery, even without capacity."""
        return self._waited

    @property
    def longest_wait_s(self) -> float:
        """Return the longest wait with free capacity, too long or not."""
        return max(self._longest_waits_s.values(), default=0)

    async def run(self) -> None:
        """Check all jobs periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self) -> None:
        """Check all accepted jobs once."""
        self._waits = self._current_waits()
        for job_id, wait in self._waits.items():
            previous_s = self._longest_waits_s.get(job_id, 0)
            self._longest_waits_s[job_id] = max(previous_s, wait.waited_s)
            if wait.waited_s < MAX_WAIT_S:
                continue
            if job_id in self._violations or await self._is_open(job_id):
                self._violations[job_id] = wait

    async def _is_open(self, job_id: str) -> bool:
        """Return whether a host reports that a job has not ended."""
        state = await self._state_of(job_id)
        if state in ENDED:
            self._ended.add(job_id)
            self._waited.discard(job_id)
            self._longest_waits_s.pop(job_id)
        return bool(state) and state not in ENDED

    def _current_waits(self) -> dict[str, Wait]:
        """Return the waits of the jobs for which there is capacity now."""
        if self._since_disturbance_s() < RECOVERY_S:
            return {}
        jobs = self._submitted()
        demands = {one: demand_of(jobs[one]) for one in self._waiting(jobs)}
        self._waited.update(demands)
        free = _free_capacity(list(self._workers()), jobs)
        if free.is_busy:
            return {}
        return {
            job_id: self._wait(job_id, demand, free)
            for job_id, demand in demands.items()
            if free.has_enough(demand)
        }

    def _wait(self, job_id: str, demand: Demand, free: FreeCapacity) -> Wait:
        """Return a job's wait, which continues or begins now."""
        now_s = self._clock.monotonic_s()
        previous = self._waits.get(job_id)
        since_s = previous.since_s if previous else now_s
        return Wait(demand, free, since_s, now_s)

    def _waiting(self, jobs: Mapping[str, dict[str, Any]]) -> list[str]:
        """Return the accepted jobs that have neither ended nor any run."""
        all_workers = list(self._all_workers())
        running = {
            run.task.job_id
            for run in chain.from_iterable(
                worker.runs.values() for worker in all_workers
            )
        }
        completed = Counter(
            task.job_id for task in _completed_tasks(all_workers)
        )
        waiting = []
        for job_id in self._accepted():
            if job_id in self._ended or job_id in running:
                continue
            demand = demand_of(jobs[job_id])
            # The end of one member of a gang stands for all of its tasks.
            if completed[job_id] < demand.width - demand.tasks + 1:
                waiting.append(job_id)
            else:
                self._ended.add(job_id)
        return waiting


def demand_of(job: Mapping[str, Any]) -> Demand:
    """Return the resources that a job needs, from its submitted fields."""
    step = job['steps'][0]
    return Demand(
        tasks=step['count'] if step['gang'] else 1,
        width=step['count'],
        resources=Resources(step['cpu'], step['mem_mb'], step['gpu']),
    )


def _completed_tasks(workers: Iterable[TaskWorkerModel]) -> set[TaskKey]:
    """Return the completed tasks.

    An end that was still listed when the worker's lease expired does not count,
    since its task may have been given up.
    """
    return {
        end.task
        for worker in workers
        for end in (*worker.acknowledged, *worker.ends)
        if end.kind == 'done' and end not in worker.expired_ends
    }


def _free_capacity(
    workers: Sequence[TaskWorkerModel],
    jobs: Mapping[str, dict[str, Any]],
) -> FreeCapacity:
    """Return the free capacity of workers."""
    free = tuple(_free_on_worker(worker, jobs) for worker in workers)
    gpus = sum(worker.entry.capacity.gpus for worker in workers)
    return FreeCapacity(free, gpus, gpus - sum(one.gpus for one in free))


def _free_on_worker(
    worker: TaskWorkerModel,
    jobs: Mapping[str, dict[str, Any]],
) -> Resources:
    """Return the capacity of a worker that its runs don't use."""
    free = worker.entry.capacity
    for run in worker.runs.values():
        free = free.minus(demand_of(jobs[run.task.job_id]).resources)
    return free


def _fitting_tasks(free: Resources, resources: Resources) -> int:
    """Return how many tasks with these needs fit on a worker."""
    return max(
        0,
        min(
            available // needed
            for available, needed in zip(free, resources, strict=True)
            if needed > 0
        ),
    )


__all__ = ('MAX_WAIT_S', 'RECOVERY_S', 'WaitChecker')
