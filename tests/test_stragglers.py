"""Which runs are moved to another worker."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from curranthill.placement import RUNNING, SLOW, STALLED, Run, move_of
from curranthill.tasks import Step, TaskKey
from tests.domain import ONE_GPU, Domain, in_domain, make_spec
from tests.test_dispatch import started
from tests.test_unlike_workers import SLOW_S, USUAL_S, run_many_steps

#: The time left until the objective of the jobs here.
LEFT_S = 10.0


def a_run(
    *,
    age_s: float,
    done_percent: float,
    checkpointable: bool = False,
    perpetual: bool = False,
) -> Run:
    """Return a run with an estimate of ten seconds."""
    run = Run(
        key=TaskKey('a1', 0, 0, 0),
        attempt=1,
        worker_id='w0',
        needs=ONE_GPU,
        priority=1,
        checkpointable=checkpointable,
        state=RUNNING,
        now_s=100.0,
        estimate_s=0.0 if perpetual else 10.0,
        perpetual=perpetual,
    )
    run.age_s = age_s
    run.done_percent = done_percent
    run.percent_changed_s = 100.0 + age_s
    return run


class MoveTest(unittest.TestCase):
    """The expected remaining times on its worker and elsewhere."""

    def test_a_run_on_a_slow_worker_is_moved(self) -> None:
        """It has only just started, and would take another 18 s."""
        found = move_of(a_run(age_s=2.0, done_percent=10), 0.45, LEFT_S)
        assert found is not None
        self.assertEqual(found.reason, SLOW)
        self.assertAlmostEqual(found.here_s, 18.0)
        self.assertAlmostEqual(found.elsewhere_s, 9.3)

    def test_a_run_that_still_ends_in_time_stays(self) -> None:
        """Its job has much slack."""
        self.assertIsNone(move_of(a_run(age_s=2, done_percent=10), 0.45, 20))

    def test_a_run_that_is_late_anyway_stays(self) -> None:
        """Nothing would be gained."""
        self.assertIsNone(move_of(a_run(age_s=2, done_percent=10), 0.45, 9))

    def test_a_run_with_much_progress_stays(self) -> None:
        """All of its work would be repeated."""
        self.assertIsNone(
            move_of(a_run(age_s=9, done_percent=45), 0.45, LEFT_S)
        )

    def test_with_a_checkpoint_it_is_moved_later(self) -> None:
        """Only the newest work is repeated."""
        run = a_run(age_s=9, done_percent=45, checkpointable=True)
        found = move_of(run, 0.45, LEFT_S)
        assert found is not None
        self.assertEqual(found.reason, SLOW)

    @given(
        age_s=st.floats(0.5, 100.0),
        done_percent=st.integers(1, 100),
        checkpointable=st.booleans(),
    )
    def test_a_long_task_on_a_usual_worker_stays(
        self,
        age_s: float,
        done_percent: int,
        *,
        checkpointable: bool,
    ) -> None:
        """It takes as long elsewhere."""
        run = a_run(
            age_s=age_s,
            done_percent=done_percent,
            checkpointable=checkpointable,
        )
        self.assertIsNone(move_of(run, 1.0, LEFT_S))

    def test_perpetual_and_almost_done_runs_stay(self) -> None:
        """However slow the worker is."""
        perpetual = a_run(age_s=2.0, done_percent=10, perpetual=True)
        self.assertIsNone(move_of(perpetual, 0.3, LEFT_S))
        self.assertIsNone(
            move_of(a_run(age_s=0.2, done_percent=20), 0.3, LEFT_S)
        )
        self.assertIsNone(
            move_of(a_run(age_s=9.0, done_percent=100), 0.3, LEFT_S)
        )

    def test_a_stalled_run_is_moved_once_that_costs_as_much(
        self,
    ) -> None:
        """It did all its work in the first second."""
        run = a_run(age_s=1.9, done_percent=30)
        run.percent_changed_s = 101.0
        self.assertIsNone(move_of(run, 1.0, LEFT_S))
        run.age_s = 2.5
        found = move_of(run, 1.0, LEFT_S)
        assert found is not None
        self.assertEqual(found.reason, STALLED)


class MovedTest(unittest.TestCase):
    """A leader that detects a slow worker."""

    def test_a_task_is_moved_from_a_slow_worker_to_a_free_one(self) -> None:
        """It was started there while the others were full."""

        async def case(domain: Domain) -> None:
            slow = domain.workers['w3']
            slow.run_s = SLOW_S
            await run_many_steps(domain)
            host = domain.hosts['h1']
            for worker in domain.workers.values():
                worker.run_s = 20.0 if worker is slow else 9.0
                worker.run_s_by_task = {
                    TaskKey('fill', 0, 0, rank): 2.0 for rank in range(56)
                }
            usual = Step(width=56, needs=ONE_GPU, estimate_s=20.0)
            filling = make_spec('fill', usual, priority=0)
            now_s = domain.clock.wall_s()
            await host.accept(filling._replace(accepted_at_s=now_s))
            step = Step(width=4, needs=ONE_GPU, estimate_s=9.0)
            tight = make_spec('b1', step)
            now_s = domain.clock.wall_s()
            await host.accept(tight._replace(accepted_at_s=now_s))
            await started(domain, TaskKey('b1', 0, 0, 3))
            self.assertEqual(len(slow.runs), 4)
            await domain.ended('b1', within_s=16)
            starts = [
                sorted(domain.starts(TaskKey('b1', 0, 0, rank)))
                for rank in range(4)
            ]
            self.assertEqual(starts, [[1, 2] for _ in range(4)])

        in_domain(case, workers=8, run_s=USUAL_S)
