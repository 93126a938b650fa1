"""What a leader makes of workers of unlike speed."""

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
    make_room,
    make_run,
    needs,
    placed,
    plan,
)
from tests.test_planner_properties import CASES, Case

#: How long a task takes, in seconds, on a usual worker and on a slow one.
USUAL_S = 2.0
SLOW_S = 4.5

#: Steps that tell enough of a worker.
STEPS = 12


async def busy(domain: Domain) -> None:
    """Have all workers run tasks of several jobs, one after the other."""
    host = domain.start_host('h1')
    await domain.leader()
    step = Step(width=24, needs=ONE_GPU, estimate_s=USUAL_S, max_per_worker=3)
    for number in range(STEPS):
        await host.accept(make_spec(f'a{number}', step))
        await domain.ended(f'a{number}')


def speed_of(domain: Domain, name: str) -> Speed:
    """Return what the leader knows of a worker."""
    leader = domain.leading()[0].leader
    assert leader is not None
    session: WorkerSession = domain.session(name)
    return leader.term.estimates.speed_of(session)


class LearningTest(unittest.TestCase):
    """A leader learns from the reports alone."""

    def test_a_slow_worker_is_known_after_some_steps(self) -> None:
        """One of eight takes over twice as long."""

        async def case(domain: Domain) -> None:
            domain.workers['w3'].run_s = SLOW_S
            await busy(domain)
            known = speed_of(domain, 'w3').factor
            self.assertAlmostEqual(known, USUAL_S / SLOW_S, delta=0.1)
            for name in ('w0', 'w1', 'w7'):
                self.assertEqual(speed_of(domain, name).factor, 1.0)

        in_domain(case, workers=8, run_s=USUAL_S)

    def test_delayed_reports_make_no_worker_slow(self) -> None:
        """Each answer of all workers is half a second on its way."""

        async def case(domain: Domain) -> None:
            domain.renewal_delay_s = 0.5
            domain.workers['w3'].run_s = SLOW_S
            await busy(domain)
            known = speed_of(domain, 'w3').factor
            self.assertAlmostEqual(known, USUAL_S / SLOW_S, delta=0.1)
            self.assertEqual(speed_of(domain, 'w0').factor, 1.0)

        in_domain(case, workers=8, run_s=USUAL_S)

    def test_a_worker_that_started_again_is_not_known(self) -> None:
        """Another machine may answer under its id."""

        async def case(domain: Domain) -> None:
            domain.workers['w3'].run_s = SLOW_S
            await busy(domain)
            self.assertLess(speed_of(domain, 'w3').factor, 0.6)
            domain.restart_worker('w3')
            await domain.clock.advance(3)
            self.assertEqual(speed_of(domain, 'w3').factor, 1.0)

        in_domain(case, workers=8, run_s=USUAL_S)


def unlike_room(worker_id: str, speed: float, *runs: Run) -> WorkerCapacity:
    """Return the room of a worker of a speed; all stand in one rack."""
    entry = make_room(worker_id, 'r1').entry
    return WorkerCapacity(
        entry=entry, runs=runs, failure_score=0.0, speed=speed
    )


#: An urgent gang that starts in time earns its worth on workers of 0.65 of a
#: typical speed and faster.
HASTY = Step(width=3, needs=needs(2), estimate_s=4.0, gang=True)


def urgent(job_id: str, step: Step = HASTY) -> JobSpec:
    """Return an urgent job that was accepted just now."""
    return make_spec(job_id, step, priority=0)._replace(
        queue=make_queue(0)._replace(slack_factor=1.5, target_s=0.2),
        accepted_at_s=NOW_S,
    )


def patient(job_id: str, step: Step) -> JobSpec:
    """Return a job of low priority with slack, accepted just now."""
    return make_spec(job_id, step, priority=2)._replace(
        queue=make_queue(2)._replace(slack_factor=3.0, target_s=1.0),
        accepted_at_s=NOW_S,
    )


class FittingTest(unittest.TestCase):
    """Where the tasks of a step start when workers differ."""

    def test_an_urgent_gang_keeps_off_workers_that_make_it_late(self) -> None:
        """The slow worker has just the room that it fills best."""
        slow = unlike_room('a', 0.45, make_run('a', 6))
        usual = [unlike_room('b', 1.0), unlike_room('c', 1.0)]
        decided = plan([slow, *usual], urgent('j'))
        self.assertEqual(set(placed(decided)['j']) - {'b', 'c'}, set())

    def test_a_worker_that_is_fast_enough_is_filled_best(self) -> None:
        """It is slower than others, and the gang is in time there."""
        slower = unlike_room('a', 0.8, make_run('a', 2))
        usual = [unlike_room('b', 1.0), unlike_room('c', 1.25)]
        decided = plan([*usual, slower], urgent('j'))
        self.assertEqual(placed(decided)['j'], ['a', 'a', 'a'])

    def test_late_on_a_slow_worker_is_better_than_no_room(self) -> None:
        """There is no other one."""
        rooms = [
            unlike_room('a', 0.45),
            unlike_room('b', 1.0, make_run('b', 8)),
        ]
        rooms[1].runs[0].priority = 0
        decided = plan(rooms, urgent('j'))
        self.assertEqual(placed(decided)['j'], ['a', 'a', 'a'])

    def test_work_with_slack_leaves_fast_workers_to_others(self) -> None:
        """Its objective is three times its run time away."""
        rooms = [
            unlike_room('a', 1.0, make_run('a', 6)),
            unlike_room('b', 0.45),
            unlike_room('c', 1.3),
        ]
        step = Step(width=8, needs=needs(1), estimate_s=6.0)
        decided = plan(rooms, patient('j', step))
        self.assertEqual(set(placed(decided)['j']), {'b'})

    def test_work_with_slack_takes_no_worker_that_is_too_slow(self) -> None:
        """It has waited for long."""
        rooms = [unlike_room('a', 0.45), unlike_room('b', 1.0)]
        step = Step(width=4, needs=needs(1), estimate_s=6.0)
        spec = patient('j', step)._replace(accepted_at_s=NOW_S - 10)
        decided = plan(rooms, spec)
        self.assertEqual(set(placed(decided)['j']), {'b'})

    def test_a_gang_with_slack_is_put_on_workers_that_are_alike(self) -> None:
        """Two of four members would fit on the slow worker."""
        slow = unlike_room('a', 0.45, make_run('a', 4))
        rooms = [slow, unlike_room('b', 1.0), unlike_room('c', 1.0)]
        step = Step(width=4, needs=needs(2), estimate_s=6.0, gang=True)
        decided = plan(rooms, patient('j', step))
        self.assertNotIn('a', placed(decided)['j'])

    def test_a_time_of_day_that_jumped_changes_nothing(self) -> None:
        """Forward or back by forty minutes: urgent plans are as of old."""
        for jump_s in (-2400, 2400):
            spec = urgent('j')._replace(accepted_at_s=NOW_S + jump_s)
            slow = unlike_room('a', 0.3, make_run('a', 2))
            decided = plan([slow, unlike_room('b', 1.0)], spec)
            self.assertEqual(placed(decided)['j'], ['a', 'a', 'a'])
            self.assertEqual(decided.victims, ())

    def test_a_later_step_has_less_time(self) -> None:
        """What follows it takes as long again."""
        step = Step(width=1, needs=needs(8), estimate_s=6.0)
        spec = patient('j', step)
        spec = spec._replace(
            steps=(step, step._replace(after=(0,), estimate_s=60.0)),
            accepted_at_s=NOW_S - 128,
        )
        rooms = [unlike_room('a', 0.45), unlike_room('b', 1.0)]
        self.assertEqual(placed(plan(rooms, spec))['j'], ['b'])


def copies(case: Case, speed: float) -> Iterator[WorkerCapacity]:
    """Yield the rooms of a case as they are, at one speed."""
    for room in case.rooms:
        yield WorkerCapacity(
            entry=room.entry,
            runs=room.runs,
            failure_score=room.failure_score,
            speed=speed,
        )


class MakingWayTest(unittest.TestCase):
    """A slow free worker against stopping somebody on a faster one."""

    def test_little_work_is_stopped_for_a_gang_that_would_be_late(self) -> None:
        """What runs on the usual worker has only just begun."""
        fresh = make_run('b', 8, age_s=0.5)
        rooms = [unlike_room('a', 0.45), unlike_room('b', 1.0, fresh)]
        decided = plan(rooms, urgent('j'))
        self.assertEqual(decided.victims, (fresh,))
        self.assertEqual(placed(decided), {})

    def test_more_work_than_its_own_is_not_stopped(self) -> None:
        """It has run for long."""
        old = make_run('b', 8, age_s=60.0)
        rooms = [unlike_room('a', 0.45), unlike_room('b', 1.0, old)]
        decided = plan(rooms, urgent('j'))
        self.assertEqual(decided.victims, ())
        self.assertEqual(placed(decided)['j'], ['a', 'a', 'a'])

    def test_others_are_stopped_once_for_a_step(self) -> None:
        """The room went to somebody else meanwhile."""
        job = make_job(urgent('j'))
        for victims, starts in ((1, 0), (0, 1)):
            fresh = make_run('b', 8, age_s=0.5)
            rooms = [unlike_room('a', 0.45), unlike_room('b', 1.0, fresh)]
            decided = plan(rooms, running=[job])
            self.assertEqual(len(decided.victims), victims)
            self.assertEqual(len(decided.placements), starts)

    def test_room_is_made_where_a_gang_ends_in_time(self) -> None:
        """The slow worker's run has done less, but the gang would be late."""
        fresh = make_run('a', 8, age_s=0.1)
        older = make_run('b', 8, age_s=4.0)
        rooms = [unlike_room('a', 0.45, fresh), unlike_room('b', 1.0, older)]
        self.assertEqual(plan(rooms, urgent('j')).victims, (older,))

    def test_a_gang_that_is_late_anyway_stops_nobody(self) -> None:
        """It has waited for too long."""
        fresh = make_run('b', 8, age_s=0.5)
        rooms = [unlike_room('a', 0.45), unlike_room('b', 1.0, fresh)]
        spec = urgent('j')._replace(accepted_at_s=NOW_S - 3)
        decided = plan(rooms, spec)
        self.assertEqual(decided.victims, ())
        self.assertEqual(placed(decided)['j'], ['a', 'a', 'a'])


class AlikeTest(unittest.TestCase):
    """Where no speed is known to differ, plans are what they were."""

    @settings(max_examples=50, deadline=None)
    @given(case=CASES, speed=st.sampled_from((0.3, 1.0, 2.0)))
    def test_one_speed_for_all_changes_nothing(
        self,
        case: Case,
        speed: float,
    ) -> None:
        """Whatever it is."""
        before = plan(list(copies(case, 1.0)), *case.specs)
        after = plan(list(copies(case, speed)), *case.specs)
        self.assertEqual(placed(after), placed(before))
        self.assertEqual(
            [run.name for run in after.victims],
            [run.name for run in before.victims],
        )


class NeverEndingTest(unittest.TestCase):
    """A task that stands still wherever it runs."""

    def test_it_is_not_moved_for_ever(self) -> None:
        """Once is enough to see that it is not its worker's doing."""

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

    def test_a_takeover_moves_it_no_second_time(self) -> None:
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
    """A new leader learns from the runs that it finds."""

    def test_speeds_are_known_within_seconds(self) -> None:
        """Four reports of four steps at each worker."""

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
