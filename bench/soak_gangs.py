"""Callers of a soak that submit gangs and long tasks.

Some gangs need more workers than there are. Such a gang may be refused or wait
forever, and must not delay other jobs.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from bench.soak_callers import PERSISTENT_CALLERS, SoakCallers, open_session
from bench.soak_workers import WORKER_CAPACITY
from curranthill.tasks import TaskKey

#: The number of this caller, with which its job ids begin.
CALLER_NUMBER: Final = PERSISTENT_CALLERS + 1

#: No further job is submitted while this many are open, so that all of them can
#: end soon after the last fault.
MAX_OPEN_JOBS: Final = 30

#: The same limit after the last fault: so low that most capacity stays free.
MAX_OPEN_JOBS_AFTER_FAULTS: Final = 5

#: The longest pause between two submissions, in seconds.
MAX_PAUSE_S: Final = 0.5

#: One job in each interval needs more workers than there are, beginning with
#: the first such job and up to a maximum number.
IMPOSSIBLE_INTERVAL: Final = 10
FIRST_IMPOSSIBLE: Final = 3
MAX_IMPOSSIBLE: Final = 3

#: The range of their run times, in seconds: so long that they precede other
#: jobs in the service order until a short soak has ended.
IMPOSSIBLE_RUN_S: Final = (20.0, 30.0)


class JobShape(NamedTuple):
    """A kind of jobs.

    :param run_s_range: the shortest and the longest run time of its tasks.
    """

    tasks: int
    cpu: int
    gpu: int
    gang: bool
    run_s_range: tuple[float, float]


#: Small gangs, gangs with two tasks per worker that leave accelerators unused,
#: and gangs that use whole workers.
GANG_SHAPES: Final = (
    JobShape(2, 500, 1, gang=True, run_s_range=(1.0, 6.0)),
    JobShape(3, 500, 2, gang=True, run_s_range=(1.0, 6.0)),
    JobShape(7, 3900, 1, gang=True, run_s_range=(4.0, 12.0)),
    JobShape(2, 4000, WORKER_CAPACITY.gpus, gang=True, run_s_range=(4.0, 12.0)),
    JobShape(4, 4000, WORKER_CAPACITY.gpus, gang=True, run_s_range=(4.0, 12.0)),
)

#: The same gangs, and jobs with long tasks.
ALL_SHAPES: Final = (
    *GANG_SHAPES,
    JobShape(1, 500, 1, gang=False, run_s_range=(15.0, 35.0)),
    JobShape(1, 500, 1, gang=False, run_s_range=(15.0, 35.0)),
    JobShape(3, 500, 1, gang=False, run_s_range=(15.0, 35.0)),
)


class GangCallers(SoakCallers):
    """Submits gangs and long tasks, with a bounded number of open jobs.

    :param impossible: jobs that need more workers than there are.
    :param reduced_load: set once only few gangs and no long tasks are to be
        submitted.
    """

    def __init__(
        self,
        *,
        addresses: list[str],
        rng: random.Random,
        workers: int,
        max_impossible: int = MAX_IMPOSSIBLE,
        run_s_by_task: dict[TaskKey, float],
        has_ended: Callable[[str], bool],
    ) -> None:
        """Initialize without submitted jobs.

        :param workers: how many workers there are.
        :param max_impossible: how many jobs may need more workers than that.
        :param run_s_by_task: receives the run time of each task.
        :param has_ended: returns whether a job has ended.
        """
        super().__init__(addresses=addresses, rng=rng)
        self.impossible: set[str] = set()
        self.reduced_load = asyncio.Event()
        self._run_s_by_task = run_s_by_task
        self._has_ended = has_ended
        self._max_impossible = max_impossible
        self._open_jobs: set[str] = set()
        self._impossible_shape = JobShape(
            workers + 1,
            4000,
            WORKER_CAPACITY.gpus,
            gang=True,
            run_s_range=IMPOSSIBLE_RUN_S,
        )

    async def run(self) -> None:
        """Submit jobs until stopped, and wait for the last responses."""
        number = 0
        async with open_session() as session, asyncio.TaskGroup() as callers:
            while not self.stopped.is_set():
                await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))
                self._open_jobs = {
                    one
                    for one in self._open_jobs
                    if one in self.accepted and not self._has_ended(one)
                }
                reduced_load = self.reduced_load.is_set()
                max_open_jobs = (
                    MAX_OPEN_JOBS_AFTER_FAULTS
                    if reduced_load
                    else MAX_OPEN_JOBS
                )
                if len(self._open_jobs) < max_open_jobs:
                    number += 1
                    job_id = f'{CALLER_NUMBER:04x}{number:012x}'
                    callers.create_task(self._submit(session, job_id))

    async def _submit(self, session: Any, job_id: str) -> None:
        await super()._submit(session, job_id)
        if job_id in self.accepted and job_id not in self.impossible:
            self._open_jobs.add(job_id)

    def _draw_job(self, job_id: str) -> dict[str, Any]:
        """Draw and record a job and the run time of its tasks."""
        shapes = GANG_SHAPES if self.reduced_load.is_set() else ALL_SHAPES
        shape = self._rng.choice(shapes)
        number = int(job_id[-4:], 16)
        if (
            number % IMPOSSIBLE_INTERVAL == FIRST_IMPOSSIBLE
            and len(self.impossible) < self._max_impossible
        ):
            shape = self._impossible_shape
            self.impossible.add(job_id)
        run_s = self._rng.uniform(*shape.run_s_range)
        for rank in range(shape.tasks):
            self._run_s_by_task[TaskKey(job_id, 0, 0, rank)] = run_s
        step = {
            'count': shape.tasks,
            'cpu': shape.cpu,
            'mem_mb': 64,
            'gpu': shape.gpu,
            'estimate_ms': int(1000 * run_s),
            'gang': shape.gang,
        }
        self.jobs[job_id] = {'spec': 'text', 'steps': [step]}
        return self.jobs[job_id]


__all__ = ('MAX_IMPOSSIBLE', 'GangCallers')
