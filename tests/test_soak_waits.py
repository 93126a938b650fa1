"""How a soak finds jobs that wait though there is capacity for them."""

import unittest
from typing import Any

from bench.soak_waits import MAX_WAIT_S, RECOVERY_S, WaitChecker
from curranthill.dispatch import EndReport
from curranthill.placement import WorkerEntry
from curranthill.standin.task_worker import ActiveRun, TaskWorkerModel
from curranthill.tasks import Resources, TaskKey
from tests.support import ManualClock, run

WORKER_CAPACITY = Resources(cpu_millis=8000, memory_mb=8192, gpus=8)
WAITING_JOB = 'a1'
RUNNING_JOB = 'b1'

#: Longer than the longest wait that is allowed, in seconds.
TOO_LONG_S = MAX_WAIT_S + 0.5


def job(count: int = 1, *, gpu: int = 1, gang: bool = False) -> dict[str, Any]:
    """Return a job as callers submit it."""
    step = {
        'count': count,
        'cpu': 500,
        'mem_mb': 64,
        'gpu': gpu,
        'gang': gang,
    }
    return {'spec': 'text', 'steps': [step]}


class CheckedCluster:
    """Four workers, one accepted job, and a job that uses capacity."""

    def __init__(self, waiting: dict[str, Any]) -> None:
        """Initialize without runs, with the last disturbance long ago."""
        self.clock = ManualClock()
        self.since_disturbance_s = RECOVERY_S
        self.state = 'queued'
        self.jobs = {WAITING_JOB: waiting, RUNNING_JOB: job(100, gpu=8)}
        self.accepted = {WAITING_JOB}
        self.workers = [self._worker(f'w{number}') for number in range(4)]
        self.checker = WaitChecker(
            submitted=lambda: self.jobs,
            accepted=lambda: self.accepted,
            workers=lambda: self.workers,
            all_workers=lambda: self.workers,
            since_disturbance_s=lambda: self.since_disturbance_s,
            state_of=self._state_of,
            clock=self.clock,
        )

    def run_task(self, job_id: str, worker: int) -> None:
        """Make a worker run a task of a job."""
        task = TaskKey(job_id, 0, 0, worker)
        self.workers[worker].runs[(task, 1)] = ActiveRun(task, 1, 0.0)

    def end(self, rank: int, *, expired: bool = False) -> None:
        """Make a worker list the end of a task of the waiting job.

        :param expired: whether the lease expired before the end was reported.
        """
        task = TaskKey(WAITING_JOB, 0, 0, rank)
        end = EndReport(rank + 1, task, 1, 'done', '')
        self.workers[0].ends.append(end)
        if expired:
            self.workers[0].expired_ends.add(end)

    def violations_after(self, delay_s: float) -> list[str]:
        """Check twice, some seconds apart; return the violations."""

        async def check_twice() -> None:
            await self.checker.check()
            await self.clock.advance(delay_s)
            await self.checker.check()

        run(check_twice())
        return self.checker.violations

    async def _state_of(self, job_id: str) -> str:
        return self.state

    def _worker(self, name: str) -> TaskWorkerModel:
        entry = WorkerEntry(
            worker_id=name,
            service='calc',
            address='',
            data_centre='dc',
            capacity=WORKER_CAPACITY,
        )
        return TaskWorkerModel(entry=entry, clock=self.clock)


class ReportedWaitTest(unittest.TestCase):
    """Jobs that wait for too long are reported."""

    def test_a_job_that_waits_with_free_capacity_is_found(self) -> None:
        """The text names its wait and the free capacity."""
        cluster = CheckedCluster(job())
        violations = cluster.violations_after(TOO_LONG_S)
        self.assertEqual(
            violations,
            [
                'a1 has waited 3.5 s with nothing running: 32 of its tasks '
                'would fit, 1 start together, 0 of 32 accelerators are in use',
            ],
        )

    def test_a_gang_that_fits_twice_is_found(self) -> None:
        """Other jobs use just under half of the accelerators."""
        cluster = CheckedCluster(job(6, gpu=2, gang=True))
        cluster.run_task(RUNNING_JOB, 0)
        self.assertEqual(len(cluster.violations_after(TOO_LONG_S)), 1)

    def test_workers_with_one_run_each_have_capacity(self) -> None:
        """Even if that run has its worker for itself."""
        cluster = CheckedCluster(job(2, gang=True))
        cluster.jobs[RUNNING_JOB] = job(100)
        for number in range(4):
            cluster.run_task(RUNNING_JOB, number)
        self.assertEqual(len(cluster.violations_after(TOO_LONG_S)), 1)

    def test_the_rest_of_a_job_that_is_no_gang_is_found(self) -> None:
        """One of its two tasks is done."""
        cluster = CheckedCluster(job(2))
        cluster.end(0)
        self.assertEqual(len(cluster.violations_after(TOO_LONG_S)), 1)

    def test_an_expired_end_does_not_count(self) -> None:
        """It had not been reported when the lease expired."""
        cluster = CheckedCluster(job())
        cluster.end(0, expired=True)
        self.assertEqual(len(cluster.violations_after(TOO_LONG_S)), 1)


class AllowedWaitTest(unittest.TestCase):
    """Jobs that may wait, or don't wait, are not reported."""

    def test_a_wait_within_the_bound_is_allowed(self) -> None:
        """It is shorter than the longest allowed wait."""
        cluster = CheckedCluster(job())
        self.assertEqual(cluster.violations_after(MAX_WAIT_S - 0.5), [])
        self.assertEqual(cluster.checker.longest_wait_s, MAX_WAIT_S - 0.5)

    def test_a_job_may_wait_after_a_disturbance(self) -> None:
        """The system has this long to recover."""
        cluster = CheckedCluster(job())
        cluster.since_disturbance_s = RECOVERY_S - 0.1
        self.assertEqual(cluster.violations_after(TOO_LONG_S), [])

    def test_a_job_may_wait_while_half_is_in_use(self) -> None:
        """Even though it would fit."""
        cluster = CheckedCluster(job())
        cluster.run_task(RUNNING_JOB, 0)
        cluster.run_task(RUNNING_JOB, 1)
        self.assertEqual(cluster.violations_after(TOO_LONG_S), [])
        self.assertEqual(cluster.checker.waited, {WAITING_JOB})

    def test_a_gang_that_does_not_fit_twice_may_wait(self) -> None:
        """It fits once."""
        cluster = CheckedCluster(job(3, gpu=8, gang=True))
        self.assertEqual(cluster.violations_after(TOO_LONG_S), [])

    def test_a_job_that_runs_is_ignored(self) -> None:
        """One of its tasks is enough."""
        cluster = CheckedCluster(job(2))
        cluster.run_task(WAITING_JOB, 0)
        self.assertEqual(cluster.violations_after(TOO_LONG_S), [])

    def test_one_end_represents_a_whole_gang(self) -> None:
        """Its other members need not end."""
        cluster = CheckedCluster(job(2, gang=True))
        cluster.end(0)
        self.assertEqual(cluster.violations_after(TOO_LONG_S), [])

    def test_a_job_that_is_shown_as_failed_is_ignored(self) -> None:
        """The workers' records do not show its end."""
        cluster = CheckedCluster(job())
        cluster.state = 'failed'
        self.assertEqual(cluster.violations_after(TOO_LONG_S), [])
        self.assertEqual(cluster.checker.longest_wait_s, 0)

    def test_a_job_without_acceptance_is_ignored(self) -> None:
        """Its caller received no response."""
        cluster = CheckedCluster(job())
        cluster.accepted.clear()
        self.assertEqual(cluster.violations_after(TOO_LONG_S), [])

    def test_an_interrupted_wait_starts_anew(self) -> None:
        """The job runs briefly in between."""
        cluster = CheckedCluster(job())
        cluster.violations_after(MAX_WAIT_S - 0.5)
        cluster.run_task(WAITING_JOB, 0)
        cluster.violations_after(0.1)
        cluster.workers[0].runs.clear()
        self.assertEqual(cluster.violations_after(MAX_WAIT_S - 0.5), [])
