"""Accepted jobs of a soak that wait though there is room for them.

What runs, and what has ended, is read from the workers; only whether a job has
failed is asked by a caller. Every job of a soak has one step, whose turn comes
with the job.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from itertools import chain
from typing import Any, Final, NamedTuple

from curranthill.clock import Clock
from curranthill.standin.task_worker import TaskWorkerModel
from curranthill.tasks import ENDED, Resources, TaskKey

#: Waits count from so long after the last disturbance, in seconds.
CALM_S: Final = 14.0

#: The longest that a job may wait with room for it, in seconds.
WAIT_S: Final = 3.0

#: How many times the room that a job needs must be free.
ROOM_FACTOR: Final = 2

#: From this share of the accelerators in use on, a job may wait.
BUSY_SHARE: Final = 0.5

LOOK_INTERVAL_S: Final = 0.05


class Need(NamedTuple):
    """What a job asks for.

    :param tasks: how many start together: all of a gang, else one.
    :param width: how many tasks there are.
    """

    tasks: int
    width: int
    resources: Resources


class FreeRoom(NamedTuple):
    """What all workers have free.

    :param rooms: what each worker has free.
    """

    rooms: tuple[Resources, ...]
    gpus: int
    gpus_in_use: int

    @property
    def is_busy(self) -> bool:
        """Return whether so much is in use that a job may wait."""
        return self.gpus_in_use >= BUSY_SHARE * self.gpus

    def copies(self, needs: Resources) -> int:
        """Return how many tasks fit."""
        return sum(_copies(room, needs) for room in self.rooms)

    def has_enough(self, need: Need) -> bool:
        """Return whether there is room for many times what a job needs."""
        return self.copies(need.resources) >= ROOM_FACTOR * need.tasks


class Wait(NamedTuple):
    """One job that waits though there is room.

    :param room: what was free when it was last seen to wait.
    """

    need: Need
    room: FreeRoom
    since_s: float
    until_s: float

    @property
    def waited_s(self) -> float:
        """Return how long it has waited, in seconds."""
        return self.until_s - self.since_s

    def __str__(self) -> str:
        """Return what is seen of it."""
        copies = self.room.copies(self.need.resources)
        return (
            f'waited {self.waited_s:.1f} s with nothing running: {copies} of '
            f'its tasks would fit, {self.need.tasks} start together, '
            f'{self.room.gpus_in_use} of {self.room.gpus} accelerators are '
            'in use'
        )


class WaitWatch:
    """Looks for jobs that wait for too long.

    :param handed_in: returns all jobs that were handed in, by their ids.
    :param accepted: returns the ids of those that were accepted.
    :param workers: returns the workers that are listed now.
    :param former: returns every worker that there ever was.
    :param calm_s: returns the seconds since the last disturbance.
    :param state_of: asks a host for a job's state; empty without an answer.
    """

    def __init__(
        self,
        *,
        handed_in: Callable[[], Mapping[str, dict[str, Any]]],
        accepted: Callable[[], Iterable[str]],
        workers: Callable[[], Iterable[TaskWorkerModel]],
        former: Callable[[], Iterable[TaskWorkerModel]],
        calm_s: Callable[[], float],
        state_of: Callable[[str], Awaitable[str]],
        clock: Clock,
    ) -> None:
        """Start with nothing seen."""
        self._handed_in = handed_in
        self._accepted = accepted
        self._workers = workers
        self._former = former
        self._calm_s = calm_s
        self._state_of = state_of
        self._clock = clock
        self._ended: set[str] = set()
        self._waits: dict[str, Wait] = {}
        self._broken: dict[str, Wait] = {}
        self._longest_s: dict[str, float] = {}
        self._seen: set[str] = set()

    @property
    def faults(self) -> list[str]:
        """Return what was seen, a sentence each."""
        return [f'{job_id} has {wait}' for job_id, wait in self._broken.items()]

    @property
    def seen(self) -> set[str]:
        """Return the jobs that waited in calm, with room for them or not."""
        return self._seen

    @property
    def longest_s(self) -> float:
        """Return the longest wait beside free room, allowed or not."""
        return max(self._longest_s.values(), default=0)

    async def run(self) -> None:
        """Look again and again, until cancelled."""
        while True:
            await asyncio.sleep(LOOK_INTERVAL_S)
            await self.look()

    async def look(self) -> None:
        """Look at all accepted jobs once."""
        self._waits = self._waits_now()
        for job_id, wait in self._waits.items():
            known_s = self._longest_s.get(job_id, 0)
            self._longest_s[job_id] = max(known_s, wait.waited_s)
            if wait.waited_s < WAIT_S:
                continue
            if job_id in self._broken or await self._is_open(job_id):
                self._broken[job_id] = wait

    async def _is_open(self, job_id: str) -> bool:
        """Return whether a host says that a job has not ended."""
        state = await self._state_of(job_id)
        if state in ENDED:
            self._ended.add(job_id)
            self._seen.discard(job_id)
            self._longest_s.pop(job_id)
        return bool(state) and state not in ENDED

    def _waits_now(self) -> dict[str, Wait]:
        """Return each job that waits now with room for it."""
        if self._calm_s() < CALM_S:
            return {}
        jobs = self._handed_in()
        needs = {one: need_of(jobs[one]) for one in self._waiting(jobs)}
        self._seen.update(needs)
        room = _free_room(list(self._workers()), jobs)
        if room.is_busy:
            return {}
        return {
            job_id: self._wait(job_id, need, room)
            for job_id, need in needs.items()
            if room.has_enough(need)
        }

    def _wait(self, job_id: str, need: Need, room: FreeRoom) -> Wait:
        """Return a job's wait, which goes on or begins now."""
        now_s = self._clock.monotonic_s()
        known = self._waits.get(job_id)
        since_s = known.since_s if known else now_s
        return Wait(need, room, since_s, now_s)

    def _waiting(self, jobs: Mapping[str, dict[str, Any]]) -> list[str]:
        """Return the accepted jobs that have not ended and run nowhere."""
        former = list(self._former())
        running = {
            run.task.job_id
            for run in chain.from_iterable(
                worker.runs.values() for worker in former
            )
        }
        done = Counter(task.job_id for task in _done(former))
        waiting = []
        for job_id in self._accepted():
            if job_id in self._ended or job_id in running:
                continue
            need = need_of(jobs[job_id])
            # One end of a gang represents all of its tasks.
            if done[job_id] < need.width - need.tasks + 1:
                waiting.append(job_id)
            else:
                self._ended.add(job_id)
        return waiting


def need_of(job: Mapping[str, Any]) -> Need:
    """Return what a job asks for, from its fields as they are handed in."""
    step = job['steps'][0]
    return Need(
        tasks=step['count'] if step['gang'] else 1,
        width=step['count'],
        resources=Resources(step['cpu'], step['mem_mb'], step['gpu']),
    )


def _done(workers: Iterable[TaskWorkerModel]) -> set[TaskKey]:
    """Return the tasks that are done; a voided end may be given up."""
    return {
        end.task
        for worker in workers
        for end in (*worker.acknowledged, *worker.ends)
        if end.kind == 'done' and end not in worker.expired_ends
    }


def _free_room(
    workers: Sequence[TaskWorkerModel],
    jobs: Mapping[str, dict[str, Any]],
) -> FreeRoom:
    """Return what workers have free."""
    rooms = tuple(_free(worker, jobs) for worker in workers)
    gpus = sum(worker.entry.capacity.gpus for worker in workers)
    return FreeRoom(rooms, gpus, gpus - sum(room.gpus for room in rooms))


def _free(
    worker: TaskWorkerModel,
    jobs: Mapping[str, dict[str, Any]],
) -> Resources:
    """Return what a worker's runs leave of its room."""
    free = worker.entry.capacity
    for run in worker.runs.values():
        free = free.minus(need_of(jobs[run.task.job_id]).resources)
    return free


def _copies(free: Resources, needs: Resources) -> int:
    """Return how many tasks fit into a room."""
    return max(
        0,
        min(
            have // need
            for have, need in zip(free, needs, strict=True)
            if need > 0
        ),
    )


__all__ = ('CALM_S', 'WAIT_S', 'WaitWatch')
