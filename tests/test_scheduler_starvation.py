"""Starvation: jobs that fit start in time beside gangs that wait."""

import unittest

from curranthill.jobs import Job
from curranthill.scheduler import policies
from curranthill.scheduler.reservation_windows import MIN_WINDOW_S
from tests.support import enqueue_job, make_job, make_state, members_on

#: How long a job that fits may wait while workers are reserved for a gang that
#: waits for overdue work, in seconds.
MAX_WAIT_S = 2 * MIN_WINDOW_S

#: How long a gang may wait once the work that it waits for has ended, in
#: seconds: small jobs of the stream are still running, and a cooldown may come
#: first.
MAX_GANG_WAIT_S = 120

#: Slots of a gang that needs both workers.
BOTH_WORKERS = 16


class SchedulerSimulation:
    """Runs the policy once a second; jobs that it starts run for 10 s."""

    def __init__(self) -> None:
        """Initialize with two idle workers."""
        self.state = make_state(racks=1, workers=2)
        self.policy = policies.get('guarantees')(3)
        self.now_s = 0.0
        self._ends_s: dict[str, float] = {}
        self._number = 0

    def occupy(self, job: Job, worker: str) -> None:
        """Run a job on a worker until it is released."""
        self.state.place(
            enqueue_job(self.state, job, self.now_s),
            members_on((worker, job.slots)),
            non_preemptible=True,
            now_s=self.now_s,
            reason='test',
        )

    def add_stream_job(self) -> None:
        """Queue one more small job, which runs for ten seconds."""
        self._number += 1
        name = f'stream-{self._number}'
        job = make_job(name, workspace='b', run_time_s=10.0)
        enqueue_job(self.state, job, self.now_s)

    def step(self) -> set[str]:
        """Advance time by a second; return the jobs that start."""
        self.now_s += 1.0
        for job_id, end_s in list(self._ends_s.items()):
            if end_s <= self.now_s:
                self._ends_s.pop(job_id)
                self.state.release(job_id)
        started = {
            decision.job.job_id
            for decision in self.policy.decide(self.state, self.now_s)
        }
        for job_id in started:
            self._ends_s[job_id] = self.now_s + 10.0
        return started

    def wait_s(
        self,
        job_id: str,
        within_s: float,
        *,
        streaming: bool = False,
    ) -> float | None:
        """Return how long a job waits until it starts, if it does in time."""
        since_s = self.now_s
        while self.now_s - since_s < within_s:
            if streaming:
                self.add_stream_job()
            if job_id in self.step():
                return self.now_s - since_s
        return None


def simulate_overdue_job(
    *,
    run_s: float,
    gang_s: float = 1.0,
) -> SchedulerSimulation:
    """Return a simulation of a gang that waits for a job on one worker.

    :param run_s: the estimate of the job, which has run for 400 s.
    :param gang_s: the estimate of the gang.
    """
    simulation = SchedulerSimulation()
    simulation.occupy(make_job('long', slots=8, run_time_s=run_s), 'r0-w0')
    gang = make_job('gang', slots=BOTH_WORKERS, run_time_s=gang_s)
    enqueue_job(simulation.state, gang, 1.0)
    simulation.now_s = 400.0
    simulation.step()
    return simulation


class OverdueTest(unittest.TestCase):
    """A gang waits for a job that outlasts its estimate."""

    def test_what_fits_starts_beside_a_job_that_is_overdue(self) -> None:
        """The idle worker is reserved for a window only."""
        simulation = simulate_overdue_job(run_s=10.0)
        small = make_job('small', run_time_s=1.0)
        enqueue_job(simulation.state, small, simulation.now_s)
        self.assertIsNotNone(simulation.wait_s('small', MAX_WAIT_S))

    def test_each_later_job_starts_in_time_as_well(self) -> None:
        """Later reservation windows of the gang end as well."""
        simulation = simulate_overdue_job(run_s=10.0)
        for number in range(20):
            job_id = f'small-{number}'
            small = make_job(job_id, run_time_s=1000.0)
            enqueue_job(simulation.state, small, simulation.now_s)
            self.assertIsNotNone(simulation.wait_s(job_id, MAX_WAIT_S))
            simulation.state.release(job_id)

    def test_the_cooldown_of_a_worker_applies_to_all_gangs(self) -> None:
        """Four gangs that wait for one job cannot reserve a worker in turn."""
        simulation = simulate_overdue_job(run_s=10.0)
        for number in range(3):
            workspace = f'other-{number}'
            gang = make_job(workspace, slots=BOTH_WORKERS, workspace=workspace)
            enqueue_job(simulation.state, gang, -1000.0)
        small = make_job('small', run_time_s=1000.0)
        enqueue_job(simulation.state, small, simulation.now_s)
        self.assertIsNotNone(simulation.wait_s('small', MAX_WAIT_S))

    def test_the_run_time_of_a_gang_does_not_extend_its_window(self) -> None:
        """The window depends on the expected wait only."""
        simulation = simulate_overdue_job(run_s=10.0, gang_s=20.0)
        small = make_job('small', run_time_s=1000.0)
        enqueue_job(simulation.state, small, simulation.now_s)
        self.assertIsNotNone(simulation.wait_s('small', MAX_WAIT_S))

    def test_what_ends_before_long_work_starts_beside_it(self) -> None:
        """A job that ends before the gang is expected to start runs."""
        simulation = simulate_overdue_job(run_s=9000.0)
        enqueue_job(simulation.state, make_job('small', run_time_s=1.0), 400.0)
        self.assertIsNotNone(simulation.wait_s('small', MAX_WAIT_S))

    def test_what_ends_after_long_work_waits(self) -> None:
        """The worker stays reserved while the estimate holds."""
        simulation = simulate_overdue_job(run_s=2000.0)
        enqueue_job(
            simulation.state, make_job('small', run_time_s=5000.0), 400.0
        )
        self.assertIsNone(simulation.wait_s('small', 1500.0))

    def test_a_gang_starts_soon_after_the_overdue_job_has_ended(self) -> None:
        """Small jobs use the worker during each cooldown."""
        simulation = simulate_overdue_job(run_s=10.0)
        self.assertIsNone(simulation.wait_s('gang', 300.0, streaming=True))
        simulation.state.release('long')
        wait_s = simulation.wait_s(
            'gang',
            MAX_GANG_WAIT_S,
            streaming=True,
        )
        self.assertIsNotNone(wait_s)


class PreemptedGangTest(unittest.TestCase):
    """A gang that runs for one second, beside a stream of small jobs."""

    def test_a_gang_that_was_not_preempted_gets_a_reservation(self) -> None:
        """Workers are reserved after sixteen of its run times."""
        self.assert_starts(preemptions=0, within_s=60)

    def test_a_gang_that_was_preempted_often_gets_a_reservation(self) -> None:
        """Preemptions lengthen the wait at most fourfold."""
        for preemptions in (2, 5, 12, 2000):
            with self.subTest(preemptions=preemptions):
                self.assert_starts(preemptions=preemptions, within_s=120)

    def assert_starts(self, *, preemptions: int, within_s: float) -> None:
        """Check that a gang on both workers starts in time."""
        simulation = SchedulerSimulation()
        simulation.add_stream_job()
        simulation.step()
        gang = make_job(
            'gang',
            slots=BOTH_WORKERS,
            run_time_s=1.0,
            preemptions=preemptions,
        )
        enqueue_job(simulation.state, gang, simulation.now_s)
        wait_s = simulation.wait_s('gang', within_s, streaming=True)
        self.assertIsNotNone(wait_s)


if __name__ == '__main__':
    unittest.main()
