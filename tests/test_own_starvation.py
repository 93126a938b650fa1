"""The scheduler of a data centre: what fits starts, and gangs do in time."""

import unittest

from curranthill.jobs import Job
from curranthill.scheduler import policies
from curranthill.scheduler.reservation_windows import MIN_WINDOW_S
from tests.support import enqueue_job, make_job, make_state, members_on

#: How long what fits may wait for a gang that waits for overdue work, in
#: seconds.
MAX_WAIT_S = 2 * MIN_WINDOW_S

#: How long a gang may wait once the work that it waits for has ended, in
#: seconds: small jobs of the stream run on, and a pause may come between.
REST_WAIT_S = 120

#: Slots of a gang that needs both workers.
BOTH = 16


class Player:
    """Decides once a second; small jobs end after their estimates."""

    def __init__(self) -> None:
        """Start with two idle workers."""
        self.state = make_state(racks=1, workers=2)
        self.policy = policies.get('guarantees')(3)
        self.now_s = 0.0
        self._ends_s: dict[str, float] = {}
        self._number = 0

    def occupy(self, job: Job, worker: str) -> None:
        """Run a job on a worker; it ends when it is released."""
        self.state.place(
            enqueue_job(self.state, job, self.now_s),
            members_on((worker, job.slots)),
            non_preemptible=True,
            now_s=self.now_s,
            reason='test',
        )

    def stream(self) -> None:
        """Let one more small job wait; each runs for ten seconds."""
        self._number += 1
        name = f'stream-{self._number}'
        job = make_job(name, workspace='b', run_time_s=10.0)
        enqueue_job(self.state, job, self.now_s)

    def step(self) -> set[str]:
        """Go on by a second; return the jobs that start."""
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

    def started_s(
        self,
        job_id: str,
        within_s: float,
        *,
        streaming: bool = False,
    ) -> float | None:
        """Return after how long a job starts, if it does in time."""
        since_s = self.now_s
        while self.now_s - since_s < within_s:
            if streaming:
                self.stream()
            if job_id in self.step():
                return self.now_s - since_s
        return None


def wait_for_overdue(*, run_s: float, gang_s: float = 1.0) -> Player:
    """Return a play with work on one worker, for which a gang waits.

    :param run_s: the work's estimate; it has run for 400 s.
    :param gang_s: that of the gang.
    """
    player = Player()
    player.occupy(make_job('long', slots=8, run_time_s=run_s), 'r0-w0')
    gang = make_job('gang', slots=BOTH, run_time_s=gang_s)
    enqueue_job(player.state, gang, 1.0)
    player.now_s = 400.0
    player.step()
    return player


class OverdueTest(unittest.TestCase):
    """Work outlasts its estimate, and a gang waits for it."""

    def test_what_fits_starts_beside_a_job_that_is_overdue(self) -> None:
        """The gang keeps the idle worker for a while, not for ever."""
        player = wait_for_overdue(run_s=10.0)
        small = make_job('small', run_time_s=1.0)
        enqueue_job(player.state, small, player.now_s)
        self.assertIsNotNone(player.started_s('small', MAX_WAIT_S))

    def test_each_later_job_starts_in_time_as_well(self) -> None:
        """The gang's next turns end, too."""
        player = wait_for_overdue(run_s=10.0)
        for number in range(20):
            job_id = f'small-{number}'
            small = make_job(job_id, run_time_s=1000.0)
            enqueue_job(player.state, small, player.now_s)
            self.assertIsNotNone(player.started_s(job_id, MAX_WAIT_S))
            player.state.release(job_id)

    def test_gangs_do_not_take_turns_on_the_same_worker(self) -> None:
        """The pause is the worker's: four gangs wait for the same job."""
        player = wait_for_overdue(run_s=10.0)
        for number in range(3):
            workspace = f'other-{number}'
            gang = make_job(workspace, slots=BOTH, workspace=workspace)
            enqueue_job(player.state, gang, -1000.0)
        small = make_job('small', run_time_s=1000.0)
        enqueue_job(player.state, small, player.now_s)
        self.assertIsNotNone(player.started_s('small', MAX_WAIT_S))

    def test_a_long_gang_keeps_workers_for_no_longer(self) -> None:
        """How long it will run does not count, only how long it waits."""
        player = wait_for_overdue(run_s=10.0, gang_s=20.0)
        small = make_job('small', run_time_s=1000.0)
        enqueue_job(player.state, small, player.now_s)
        self.assertIsNotNone(player.started_s('small', MAX_WAIT_S))

    def test_what_ends_before_long_work_starts_beside_it(self) -> None:
        """It ends before the gang is expected to start."""
        player = wait_for_overdue(run_s=9000.0)
        enqueue_job(player.state, make_job('small', run_time_s=1.0), 400.0)
        self.assertIsNotNone(player.started_s('small', MAX_WAIT_S))

    def test_what_ends_after_long_work_waits(self) -> None:
        """The worker is kept as long as the estimate holds."""
        player = wait_for_overdue(run_s=2000.0)
        enqueue_job(player.state, make_job('small', run_time_s=5000.0), 400.0)
        self.assertIsNone(player.started_s('small', 1500.0))

    def test_a_gang_starts_soon_after_the_overdue_job_has_ended(self) -> None:
        """A stream of small jobs takes the worker in each pause."""
        player = wait_for_overdue(run_s=10.0)
        self.assertIsNone(player.started_s('gang', 300.0, streaming=True))
        player.state.release('long')
        started_s = player.started_s('gang', REST_WAIT_S, streaming=True)
        self.assertIsNotNone(started_s)


class StoppedGangTest(unittest.TestCase):
    """A gang of one second beside a stream of small jobs."""

    def test_a_gang_that_was_not_stopped_has_workers_kept(self) -> None:
        """After sixteen of its run times."""
        self.assert_starts(preemptions=0, within_s=60)

    def test_a_gang_that_was_stopped_often_has_workers_kept(self) -> None:
        """Stops lengthen the wait four times at most."""
        for preemptions in (2, 5, 12, 2000):
            with self.subTest(preemptions=preemptions):
                self.assert_starts(preemptions=preemptions, within_s=120)

    def assert_starts(self, *, preemptions: int, within_s: float) -> None:
        """Check that a gang of both workers starts in time."""
        player = Player()
        player.stream()
        player.step()
        gang = make_job(
            'gang',
            slots=BOTH,
            run_time_s=1.0,
            preemptions=preemptions,
        )
        enqueue_job(player.state, gang, player.now_s)
        started_s = player.started_s('gang', within_s, streaming=True)
        self.assertIsNotNone(started_s)


if __name__ == '__main__':
    unittest.main()
