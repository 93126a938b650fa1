"""What a soak takes for a job that waits though there is room for it."""

import unittest
from typing import Any

from bench.soak_waits import CALM_S, WAIT_S, WaitWatch
from curranthill.dispatch import EndReport
from curranthill.placement import WorkerEntry
from curranthill.standin.task_worker import ActiveRun, TaskWorkerModel
from curranthill.tasks import Resources, TaskKey
from tests.support import ManualClock, run

ROOM = Resources(cpu_millis=8000, memory_mb=8192, gpus=8)
WAITING = 'a1'
RUNNING = 'b1'

#: Above the longest wait that is allowed, in seconds.
TOO_LONG_S = WAIT_S + 0.5


def job(count: int = 1, *, gpu: int = 1, gang: bool = False) -> dict[str, Any]:
    """Return a job as callers hand it in."""
    step = {
        'count': count,
        'cpu': 500,
        'mem_mb': 64,
        'gpu': gpu,
        'gang': gang,
    }
    return {'spec': 'text', 'steps': [step]}


class Watched:
    """Four workers, one accepted job, and a job that takes room."""

    def __init__(self, waiting: dict[str, Any]) -> None:
        """Start with nothing running and calm."""
        self.clock = ManualClock()
        self.calm_s = CALM_S
        self.state = 'queued'
        self.jobs = {WAITING: waiting, RUNNING: job(100, gpu=8)}
        self.accepted = {WAITING}
        self.workers = [self._worker(f'w{number}') for number in range(4)]
        self.watch = WaitWatch(
            handed_in=lambda: self.jobs,
            accepted=lambda: self.accepted,
            workers=lambda: self.workers,
            former=lambda: self.workers,
            calm_s=lambda: self.calm_s,
            state_of=self._state_of,
            clock=self.clock,
        )

    def place(self, job_id: str, worker: int) -> None:
        """Have a worker run a task of a job."""
        task = TaskKey(job_id, 0, 0, worker)
        self.workers[worker].runs[(task, 1)] = ActiveRun(task, 1, 0.0)

    def end(self, rank: int, *, voided: bool = False) -> None:
        """Have a worker list the end of a task of the waiting job."""
        task = TaskKey(WAITING, 0, 0, rank)
        end = EndReport(rank + 1, task, 1, 'done', '')
        self.workers[0].ends.append(end)
        if voided:
            self.workers[0].expired_ends.add(end)

    def faults_after(self, seconds_s: float) -> list[str]:
        """Look twice, so many seconds apart; return what was found."""

        async def look() -> None:
            await self.watch.look()
            await self.clock.advance(seconds_s)
            await self.watch.look()

        run(look())
        return self.watch.faults

    async def _state_of(self, job_id: str) -> str:
        return self.state

    def _worker(self, name: str) -> TaskWorkerModel:
        entry = WorkerEntry(
            worker_id=name,
            service='calc',
            address='',
            data_centre='dc',
            capacity=ROOM,
        )
        return TaskWorkerModel(entry=entry, clock=self.clock)


class FoundTest(unittest.TestCase):
    """A job waits for too long."""

    def test_a_job_that_waits_beside_free_room_is_found(self) -> None:
        """Its wait, and what is free, are told."""
        watched = Watched(job())
        faults = watched.faults_after(TOO_LONG_S)
        self.assertEqual(
            faults,
            [
                'a1 has waited 3.5 s with nothing running: 32 of its tasks '
                'would fit, 1 start together, 0 of 32 accelerators are in use',
            ],
        )

    def test_a_gang_that_fits_twice_is_found(self) -> None:
        """Just under half of the accelerators are in use besides."""
        watched = Watched(job(6, gpu=2, gang=True))
        watched.place(RUNNING, 0)
        self.assertEqual(len(watched.faults_after(TOO_LONG_S)), 1)

    def test_workers_with_one_run_each_have_room(self) -> None:
        """Also where that run keeps its worker for itself."""
        watched = Watched(job(2, gang=True))
        watched.jobs[RUNNING] = job(100)
        for number in range(4):
            watched.place(RUNNING, number)
        self.assertEqual(len(watched.faults_after(TOO_LONG_S)), 1)

    def test_the_rest_of_a_job_that_is_no_gang_is_found(self) -> None:
        """One of its two tasks is done."""
        watched = Watched(job(2))
        watched.end(0)
        self.assertEqual(len(watched.faults_after(TOO_LONG_S)), 1)

    def test_an_end_that_was_voided_is_no_end(self) -> None:
        """Nobody had heard of it before the lease lapsed."""
        watched = Watched(job())
        watched.end(0, voided=True)
        self.assertEqual(len(watched.faults_after(TOO_LONG_S)), 1)


class PassedTest(unittest.TestCase):
    """A job may wait, or does not."""

    def test_a_wait_within_the_bound_is_passed(self) -> None:
        """It is still shorter than the longest one."""
        watched = Watched(job())
        self.assertEqual(watched.faults_after(WAIT_S - 0.5), [])
        self.assertEqual(watched.watch.longest_s, WAIT_S - 0.5)

    def test_a_job_may_wait_after_a_disturbance(self) -> None:
        """Everything has so long to heal."""
        watched = Watched(job())
        watched.calm_s = CALM_S - 0.1
        self.assertEqual(watched.faults_after(TOO_LONG_S), [])

    def test_a_job_may_wait_while_half_is_in_use(self) -> None:
        """Though it would fit."""
        watched = Watched(job())
        watched.place(RUNNING, 0)
        watched.place(RUNNING, 1)
        self.assertEqual(watched.faults_after(TOO_LONG_S), [])
        self.assertEqual(watched.watch.seen, {WAITING})

    def test_a_gang_that_does_not_fit_twice_may_wait(self) -> None:
        """It fits once."""
        watched = Watched(job(3, gpu=8, gang=True))
        self.assertEqual(watched.faults_after(TOO_LONG_S), [])

    def test_a_job_that_runs_is_passed(self) -> None:
        """One of its tasks does."""
        watched = Watched(job(2))
        watched.place(WAITING, 0)
        self.assertEqual(watched.faults_after(TOO_LONG_S), [])

    def test_one_end_represents_a_whole_gang(self) -> None:
        """Its other members need not end."""
        watched = Watched(job(2, gang=True))
        watched.end(0)
        self.assertEqual(watched.faults_after(TOO_LONG_S), [])

    def test_a_job_that_is_shown_as_failed_is_passed(self) -> None:
        """Workers do not show that it has ended."""
        watched = Watched(job())
        watched.state = 'failed'
        self.assertEqual(watched.faults_after(TOO_LONG_S), [])
        self.assertEqual(watched.watch.longest_s, 0)

    def test_a_job_that_nobody_accepted_is_passed(self) -> None:
        """Its caller got no answer."""
        watched = Watched(job())
        watched.accepted.clear()
        self.assertEqual(watched.faults_after(TOO_LONG_S), [])

    def test_a_wait_that_is_interrupted_counts_anew(self) -> None:
        """The job runs for a moment in between."""
        watched = Watched(job())
        watched.faults_after(WAIT_S - 0.5)
        watched.place(WAITING, 0)
        watched.faults_after(0.1)
        watched.workers[0].runs.clear()
        self.assertEqual(watched.faults_after(WAIT_S - 0.5), [])
