"""Callers of a soak that hand in gangs, and tasks that take long.

Some gangs ask for more workers than there are: such a gang may be refused, or
wait for ever, and must not keep others waiting.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from bench.soak_callers import FAITHFUL_CALLERS, SoakCallers, open_session
from bench.soak_workers import ROOM
from curranthill.tasks import TaskKey

#: Job ids begin with the number of their caller.
CALLER: Final = FAITHFUL_CALLERS + 1

#: With so many jobs of these callers open they hand in no more, so that all
#: of them can end soon after the last fault.
MOST_OPEN: Final = 30

#: The same once the faults are over: so few that most room stays free.
MOST_OPEN_AFTER: Final = 5

#: The longest pause between two jobs, in seconds.
PAUSE_S: Final = 0.5

#: One of so many jobs asks for more workers than there are, at most so often.
IMPOSSIBLE_EVERY: Final = 10
FIRST_IMPOSSIBLE: Final = 3
MOST_IMPOSSIBLE: Final = 3

#: The estimates of those, in seconds: so long that their turn comes before that
#: of others until a short soak has ended.
WIDE_LENGTH_S: Final = (20.0, 30.0)


class Shape(NamedTuple):
    """One kind of job.

    :param length_s: the shortest and the longest that its tasks take.
    """

    tasks: int
    cpu: int
    gpu: int
    gang: bool
    length_s: tuple[float, float]


#: Small gangs, gangs of two tasks a worker that leave accelerators unused, and
#: gangs of whole workers.
GANGS: Final = (
    Shape(2, 500, 1, gang=True, length_s=(1.0, 6.0)),
    Shape(3, 500, 2, gang=True, length_s=(1.0, 6.0)),
    Shape(7, 3900, 1, gang=True, length_s=(4.0, 12.0)),
    Shape(2, 4000, ROOM.gpus, gang=True, length_s=(4.0, 12.0)),
    Shape(4, 4000, ROOM.gpus, gang=True, length_s=(4.0, 12.0)),
)

#: The same, and tasks that take long.
SHAPES: Final = (
    *GANGS,
    Shape(1, 500, 1, gang=False, length_s=(15.0, 35.0)),
    Shape(1, 500, 1, gang=False, length_s=(15.0, 35.0)),
    Shape(3, 500, 1, gang=False, length_s=(15.0, 35.0)),
)


class GangCallers(SoakCallers):
    """Hands in gangs, a bounded number at a time.

    :param impossible: jobs that ask for more workers than there are.
    :param slower: set once only few gangs, and nothing long, are to come.
    """

    def __init__(
        self,
        *,
        addresses: list[str],
        drawn: random.Random,
        workers: int,
        most_impossible: int = MOST_IMPOSSIBLE,
        lengths_s: dict[TaskKey, float],
        ended: Callable[[str], bool],
    ) -> None:
        """Start with no job handed in.

        :param workers: how many workers there are.
        :param most_impossible: how many jobs may ask for more than those.
        :param lengths_s: is told how long each task takes.
        :param ended: returns whether a job has ended.
        """
        super().__init__(addresses=addresses, drawn=drawn)
        self.impossible: set[str] = set()
        self.slower = asyncio.Event()
        self._lengths_s = lengths_s
        self._ended = ended
        self._most_impossible = most_impossible
        self._open: set[str] = set()
        self._wide = Shape(
            workers + 1,
            4000,
            ROOM.gpus,
            gang=True,
            length_s=WIDE_LENGTH_S,
        )

    async def run(self) -> None:
        """Call until stopped; return once each job has its answer."""
        number = 0
        async with open_session() as session, asyncio.TaskGroup() as callers:
            while not self.stopped.is_set():
                await asyncio.sleep(self._drawn.uniform(0, PAUSE_S))
                self._open = {
                    one
                    for one in self._open
                    if one in self.accepted and not self._ended(one)
                }
                slower = self.slower.is_set()
                most_open = MOST_OPEN_AFTER if slower else MOST_OPEN
                if len(self._open) < most_open:
                    number += 1
                    job_id = f'{CALLER:04x}{number:012x}'
                    callers.create_task(self._hand_in(session, job_id))

    async def _hand_in(self, session: Any, job_id: str) -> None:
        await super()._hand_in(session, job_id)
        if job_id in self.accepted and job_id not in self.impossible:
            self._open.add(job_id)

    def _new_job(self, job_id: str) -> dict[str, Any]:
        """Draw a job, and how long its tasks take."""
        shapes = GANGS if self.slower.is_set() else SHAPES
        shape = self._drawn.choice(shapes)
        number = int(job_id[-4:], 16)
        if (
            number % IMPOSSIBLE_EVERY == FIRST_IMPOSSIBLE
            and len(self.impossible) < self._most_impossible
        ):
            shape = self._wide
            self.impossible.add(job_id)
        length_s = self._drawn.uniform(*shape.length_s)
        for rank in range(shape.tasks):
            self._lengths_s[TaskKey(job_id, 0, 0, rank)] = length_s
        step = {
            'count': shape.tasks,
            'cpu': shape.cpu,
            'mem_mb': 64,
            'gpu': shape.gpu,
            'estimate_ms': int(1000 * length_s),
            'gang': shape.gang,
        }
        self.jobs[job_id] = {'spec': 'text', 'steps': [step]}
        return self.jobs[job_id]


__all__ = ('MOST_IMPOSSIBLE', 'GangCallers')
