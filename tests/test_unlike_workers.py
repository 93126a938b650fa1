"""How a leader treats workers of different speeds."""

import unittest
from collections.abc import Iterator

from hypothesis import given, settings
from hypothesis import strategies as st

from curranthill.dispatch.session import WorkerSession
from curranthill.placement import Run, Speed, WorkerCapacity
from curranthill.tasks import JobSpec, Step, TaskKey
from tests.domain import ONE_GPU, Domain, in_domain, make_queue, make_spec
from tests.test_planner import (
    NOW_S,
    make_job,
    make_run,
    make_worker,
    needs,
    placed,
    plan,
)
from tests.test_planner_properties import CASES, Case

#: The run time of a task on a usual worker and on a slow one, in seconds.
USUAL_S = 2.0
SLOW_S = 4.5

#: The number of steps that is enough to estimate a worker's speed.
STEPS = 12


async def run_many_steps(domain: Domain) -> None:
    """Have all workers run tasks of several jobs sequentially."""
    host = domain.start_host('h1')
    await domain.leader()
    step = Step(width=24, needs=ONE_GPU, estimate_s=USUAL_S, max_per_worker=3)
    for number in range(STEPS):
        await host.accept(make_spec(f'a{number}', step))
        await domain.ended(f'a{number}')


def speed_of(domain: Domain, name: str) -> Speed:
    """Return the leader's estimate of a worker's speed."""
    leader = domain.leading()[0].leader
    assert leader is not None
    session: WorkerSession = domain.session(name)
    return leader.term.estimates.speed_of(session)


class LearningTest(unittest.TestCase):
    """A leader estimates speeds only from reports."""

    def test_a_slow_worker_is_detected_after_some_steps(self) -> None:
        """One of eight takes over twice as long."""

        async def case(domain: Domain) -> None:
            domain.workers['w3'].run_s = SLOW_S
            await run_many_steps(domain)
            factor = speed_of(domain, 'w3').factor
            self.assertAlmostEqual(factor, USUAL_S / SLOW_S, delta=0.1)
            for name in ('w0', 'w1', 'w7'):
                self.assertEqual(speed_of(domain, name).factor, 1.0)

        in_domain(case, workers=8, run_s=USUAL_S)

    def test_delayed_reports_make_no_worker_slow(self) -> None:
        """Each response of all workers is delayed by half a second."""

        async def case(domain: Domain) -> None:
            domain.renewal_delay_s = 0.5
            domain.workers['w3'].run_s = SLOW_S
            await run_many_steps(domain)
            factor = speed_of(domain, 'w3').factor
            self.assertAlmostEqual(factor, USUAL_S / SLOW_S, delta=0.1)
            self.assertEqual(speed_of(domain, 'w0').factor, 1.0)

        in_domain(case, workers=8, run_s=USUAL_S)

    def test_a_restarted_worker_counts_as_typical(self) -> None:
        """Another machine may respond under its id."""

        async def case(domain: Domain) -> None:
            domain.workers['w3'].run_s = SLOW_S
            await run_many_steps(domain)
            self.assertLess(speed_of(domain, 'w3').factor, 0.6)
            domain.restart_worker('w3')
            await domain.clock.advance(3)
            self.assertEqual(speed_of(domain, 'w3').factor, 1.0)

        in_domain(case, workers=8, run_s=USUAL_S)


def make_worker_of_speed(
    worker_id: str, speed: float, *runs: Run
) -> WorkerCapacity:
    """Return a worker of a given speed; all are in one rack."""
    entry = make_worker(worker_id, 'r1').entry
    return WorkerCapacity(
        entry=entry, runs=runs, failure_score=0.0, speed=speed
    )


#: An urgent gang that starts at once ends in time on workers of 0.65 of the
#: typical speed and faster.
URGENT_GANG = Step(width=3, needs=needs(2), estimate_s=4.0, gang=True)


def urgent(job_id: str, step: Step = URGENT_GANG) -> JobSpec:
    """Return an urgent job that was accepted just now."""
    return make_spec(job_id, step, priority=0)._replace(
        queue=make_queue(0)._replace(slack_factor=1.5, target_s=0.2),
        accepted_at_s=NOW_S,
    )


def with_slack(job_id: str, step: Step) -> JobSpec:
    """Return a job of low priority with slack, accepted just now."""
    return make_spec(job_id, step, priority=2)._replace(
        queue=make_queue(2)._replace(slack_factor=3.0, target_s=1.0),
        accepted_at_s=NOW_S,
    )


class FittingTest(unittest.TestCase):
    """Where the tasks of a step start when workers differ."""

    def test_an_urgent_gang_avoids_workers_that_make_it_late(self) -> None:
        """The slow worker would be the best fit."""
        slow = make_worker_of_speed('a', 0.45, make_run('a', 6))
        usual = [make_worker_of_speed('b', 1.0), make_worker_of_speed('c', 1.0)]
        decided = plan([slow, *usual], urgent('j'))
        self.assertEqual(set(placed(decided)['j']) - {'b', 'c'}, set())

    def test_the_best_fit_is_chosen_among_fast_enough_workers(self) -> None:
        """It is slower than others, and the gang is in time there."""
        slower = make_worker_of_speed('a', 0.8, make_run('a', 2))
        usual = [
            make_worker_of_speed('b', 1.0),
            make_worker_of_speed('c', 1.25),
        ]
        decided = plan([*usual, slower], urgent('j'))
        self.assertEqual(placed(decided)['j'], ['a', 'a', 'a'])

    def test_late_on_a_slow_worker_is_better_than_waiting(self) -> None:
        """There is no other worker."""
        workers = [
            make_worker_of_speed('a', 0.45),
            make_worker_of_speed('b', 1.0, make_run('b', 8)),
        ]
        workers[1].runs[0].priority = 0
        decided = plan(workers, urgent('j'))
        self.assertEqual(placed(decided)['j'], ['a', 'a', 'a'])

    def test_work_with_slack_leaves_fast_workers_to_others(self) -> None:
        """Its objective is three times its run time away."""
        workers = [
            make_worker_of_speed('a', 1.0, make_run('a', 6)),
            make_worker_of_speed('b', 0.45),
            make_worker_of_speed('c', 1.3),
        ]
        step = Step(width=8, needs=needs(1), estimate_s=6.0)
        decided = plan(workers, with_slack('j', step))
        self.assertEqual(set(placed(decided)['j']), {'b'})

    def test_work_with_slack_avoids_workers_that_are_too_slow(self) -> None:
        """It has waited for a long time."""
        workers = [
            make_worker_of_speed('a', 0.45),
            make_worker_of_speed('b', 1.0),
        ]
        step = Step(width=4, needs=needs(1), estimate_s=6.0)
        spec = with_slack('j', step)._replace(accepted_at_s=NOW_S - 10)
        decided = plan(workers, spec)
        self.assertEqual(set(placed(decided)['j']), {'b'})

    def test_a_gang_with_slack_is_placed_on_equal_workers(self) -> None:
        """Two of four members would fit on the slow worker."""
        slow = make_worker_of_speed('a', 0.45, make_run('a', 4))
        workers = [
            slow,
            make_worker_of_speed('b', 1.0),
            make_worker_of_speed('c', 1.0),
        ]
        step = Step(width=4, needs=needs(2), estimate_s=6.0, gang=True)
        decided = plan(workers, with_slack('j', step))
        self.assertNotIn('a', placed(decided)['j'])

    def test_a_clock_that_was_set_changes_nothing(self) -> None:
        """Forward or back by forty minutes: urgent jobs start as before."""
        for jump_s in (-2400, 2400):
            spec = urgent('j')._replace(accepted_at_s=NOW_S + jump_s)
            slow = make_worker_of_speed('a', 0.3, make_run('a', 2))
            decided = plan([slow, make_worker_of_speed('b', 1.0)], spec)
            self.assertEqual(placed(decided)['j'], ['a', 'a', 'a'])
            self.assertEqual(decided.victims, ())

    def test_a_later_step_has_less_time(self) -> None:
        """The step after it takes a minute."""
        step = Step(width=1, needs=needs(8), estimate_s=6.0)
        spec = with_slack('j', step)
        spec = spec._replace(
            steps=(step, step._replace(after=(0,), estimate_s=60.0)),
            accepted_at_s=NOW_S - 128,
        )
        workers = [
            make_worker_of_speed('a', 0.45),
            make_worker_of_speed('b', 1.0),
        ]
        self.assertEqual(placed(plan(workers, spec))['j'], ['b'])


def at_speed(case: Case, speed: float) -> Iterator[WorkerCapacity]:
    """Yield copies of the workers of a case with one speed."""
    for worker in case.workers:
        yield WorkerCapacity(
            entry=worker.entry,
            runs=worker.runs,
            failure_score=worker.failure_score,
            speed=speed,
        )


class PreemptionForSpeedTest(unittest.TestCase):
    """A slow free worker against preemption on a faster one."""

    def test_little_work_is_preempted_for_a_gang_that_would_be_late(
        self,
    ) -> None:
        """The run on the usual worker has only just started."""
        fresh = make_run('b', 8, age_s=0.5)
        workers = [
            make_worker_of_speed('a', 0.45),
            make_worker_of_speed('b', 1.0, fresh),
        ]
        decided = plan(workers, urgent('j'))
        self.assertEqual(decided.victims, (fresh,))
        self.assertEqual(placed(decided), {})

    def test_more_work_than_its_own_is_not_preempted(self) -> None:
        """The run has lasted for a minute."""
        old = make_run('b', 8, age_s=60.0)
        workers = [
            make_worker_of_speed('a', 0.45),
            make_worker_of_speed('b', 1.0, old),
        ]
        decided = plan(workers, urgent('j'))
        self.assertEqual(decided.victims, ())
        self.assertEqual(placed(decided)['j'], ['a', 'a', 'a'])

    def test_a_step_preempts_only_once(self) -> None:
        """The capacity went to another job meanwhile."""
        job = make_job(urgent('j'))
        for victims, starts in ((1, 0), (0, 1)):
            fresh = make_run('b', 8, age_s=0.5)
            workers = [
                make_worker_of_speed('a', 0.45),
                make_worker_of_speed('b', 1.0, fresh),
            ]
            decided = plan(workers, running=[job])
            self.assertEqual(len(decided.victims), victims)
            self.assertEqual(len(decided.placements), starts)

    def test_runs_are_preempted_where_a_gang_ends_in_time(self) -> None:
        """The slow worker's run has done less, but the gang would be late."""
        fresh = make_run('a', 8, age_s=0.1)
        older = make_run('b', 8, age_s=4.0)
        workers = [
            make_worker_of_speed('a', 0.45, fresh),
            make_worker_of_speed('b', 1.0, older),
        ]
        self.assertEqual(plan(workers, urgent('j')).victims, (older,))

    def test_a_gang_that_is_late_anyway_preempts_nothing(self) -> None:
        """It has waited too long."""
        fresh = make_run('b', 8, age_s=0.5)
        workers = [
            make_worker_of_speed('a', 0.45),
            make_worker_of_speed('b', 1.0, fresh),
        ]
        spec = urgent('j')._replace(accepted_at_s=NOW_S - 3)
        decided = plan(workers, spec)
        self.assertEqual(decided.victims, ())
        self.assertEqual(placed(decided)['j'], ['a', 'a', 'a'])


class EqualSpeedTest(unittest.TestCase):
    """Equal speeds do not change plans."""

    @settings(max_examples=50, deadline=None)
    @given(case=CASES, speed=st.sampled_from((0.3, 1.0, 2.0)))
    def test_one_speed_for_all_changes_nothing(
        self,
        case: Case,
        speed: float,
    ) -> None:
        """For any speed."""
        before = plan(list(at_speed(case, 1.0)), *case.specs)
        after = plan(list(at_speed(case, speed)), *case.specs)
        self.assertEqual(placed(after), placed(before))
        self.assertEqual(
            [run.name for run in after.victims],
            [run.name for run in before.victims],
        )


class StalledEverywhereTest(unittest.TestCase):
    """A task that stalls on any worker."""

    def test_it_is_not_moved_for_ever(self) -> None:
        """One move shows that its worker is not the cause."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            for worker in domain.workers.values():
                worker.stalled = True
            await host.accept(make_spec())
            await domain.clock.advance(60)
            first = TaskKey('a1', 0, 0, 0)
            self.assertEqual(domain.starts(first), [1, 2])
            for worker in domain.workers.values():
                worker.stalled = False
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(domain.starts(first), [1, 2])

        in_domain(case, workers=4)

    def test_a_takeover_does_not_move_it_again(self) -> None:
        """The next leader reads that it was moved."""

        async def case(domain: Domain) -> None:
            hosts = {name: domain.start_host(name) for name in ('h1', 'h2')}
            leading = await domain.leader()
            for worker in domain.workers.values():
                worker.stalled = True
            await leading.accept(make_spec())
            first = TaskKey('a1', 0, 0, 0)
            await domain.clock.until(
                lambda: domain.starts(first) == [1, 2],
                within_s=10,
            )
            await leading.kill()
            self.assertIn(await domain.leader(), hosts.values())
            await domain.clock.advance(30)
            self.assertEqual(domain.starts(first), [1, 2])

        in_domain(case, workers=4)


class TakeoverTest(unittest.TestCase):
    """A new leader estimates speeds from the runs that it finds."""

    def test_speeds_are_estimated_within_seconds(self) -> None:
        """Four reports of four steps from each worker."""

        async def case(domain: Domain) -> None:
            for name in ('h1', 'h2'):
                domain.start_host(name)
            leading = await domain.leader()
            for worker in domain.workers.values():
                worker.run_s = 20.0
            domain.workers['w3'].run_s = 45.0
            for number in range(4):
                step = Step(
                    width=16,
                    needs=ONE_GPU,
                    estimate_s=20.0,
                    max_per_worker=2,
                )
                await leading.accept(make_spec(f'a{number}', step))
            await domain.clock.advance(8)
            await leading.kill()
            await domain.leader()
            await domain.clock.advance(6)
            self.assertLess(speed_of(domain, 'w3').factor, 0.6)
            self.assertEqual(speed_of(domain, 'w0').factor, 1.0)

        in_domain(case, workers=8)
