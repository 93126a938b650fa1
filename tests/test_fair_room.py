"""Who goes first and who is stopped when there is too little room."""

import unittest
from collections.abc import Sequence

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from curranthill.placement import ActiveJob, Run
from curranthill.placement.order import (
    in_service_order,
    infeasible_jobs,
    late_jobs,
)
from curranthill.tasks import JobProgress, Step, TaskKey, decode
from tests.domain import Domain, in_domain, make_spec
from tests.test_planner import (
    NOW_S,
    make_job,
    make_room,
    make_run,
    needs,
    placed,
    plan,
)

#: A task of a second: its job is late after three seconds from its
#: acceptance, and earns nothing after nine.
WHOLE = Step(width=1, needs=needs(8), estimate_s=1.0)
INFEASIBLE_S = NOW_S - 20
SERVED_AGAIN_S = NOW_S - 60


def stopped(job: ActiveJob, stops: int) -> ActiveJob:
    """Return a job that was stopped for others so often."""
    job.progress.stops = stops
    return job


def running(
    job_id: str,
    *runs: Run,
    estimate_s: float = 60.0,
    accepted_at_s: float = NOW_S,
    stops: int = 0,
) -> ActiveJob:
    """Return a gang with the runs that it has."""
    gang = Step(len(runs), needs(8), estimate_s=estimate_s, gang=True)
    spec = make_spec(job_id, gang, priority=1, accepted_at_s=accepted_at_s)
    for run in runs:
        run.estimate_s = estimate_s
    return stopped(make_job(spec, runs), stops)


def victims(runs: Sequence[Run]) -> list[str]:
    """Return the workers of runs that are stopped."""
    return [run.worker_id for run in runs]


class OrderTest(unittest.TestCase):
    """What can still earn goes before what cannot."""

    def test_hopeless_work_goes_after_work_that_still_earns(self) -> None:
        """Past three times its objective a job earns nothing any more."""
        decided = plan(
            [make_room('a1', 'r1')],
            make_spec('old', WHOLE, accepted_at_s=INFEASIBLE_S),
            make_spec('new', WHOLE),
        )
        self.assertEqual(placed(decided), {'new': ['a1']})

    def test_hopeless_work_goes_after_lower_work_that_still_earns(self) -> None:
        """A priority tells who earns first, and it earns nothing."""
        decided = plan(
            [make_room('a1', 'r1')],
            make_spec('old', WHOLE, priority=1, accepted_at_s=INFEASIBLE_S),
            make_spec('new', WHOLE, priority=2),
        )
        self.assertEqual(placed(decided), {'new': ['a1']})

    def test_what_can_be_in_time_goes_before_what_is_late(self) -> None:
        """Late work earns the same for long after its objective."""
        decided = plan(
            [make_room('a1', 'r1')],
            make_spec('late', WHOLE, accepted_at_s=NOW_S - 4),
            make_spec('new', WHOLE),
        )
        self.assertEqual(placed(decided), {'new': ['a1']})

    def test_late_work_goes_before_lower_work(self) -> None:
        """A priority holds between work that still earns."""
        decided = plan(
            [make_room('a1', 'r1')],
            make_spec('late', WHOLE, accepted_at_s=NOW_S - 4),
            make_spec('new', WHOLE, priority=2),
        )
        self.assertEqual(placed(decided), {'late': ['a1']})

    def test_hopeless_work_is_served_in_turn_again(self) -> None:
        """Whoever was accepted ends."""
        decided = plan(
            [make_room('a1', 'r1')],
            make_spec('old', WHOLE, accepted_at_s=SERVED_AGAIN_S),
            make_spec('new', WHOLE),
        )
        self.assertEqual(placed(decided), {'old': ['a1']})

    def test_hopeless_urgent_work_stops_nothing(self) -> None:
        """Work that still earns would be thrown away for it."""
        rooms = [make_room('a1', 'r1', make_run('a1', 8, age_s=0.1))]
        spec = make_spec('old', WHOLE, priority=0, accepted_at_s=INFEASIBLE_S)
        self.assertEqual(plan(rooms, spec).victims, ())

    def test_a_guarantee_holds_for_hopeless_work(self) -> None:
        """It starts within its bound, whatever it earns."""
        rooms = [make_room('a1', 'r1', make_run('a1', 8, age_s=60))]
        spec = make_spec('old', WHOLE, priority=0, accepted_at_s=INFEASIBLE_S)
        decided = plan(rooms, spec, guaranteed={'alpha': 8})
        self.assertEqual(victims(decided.victims), ['a1'])

    def test_a_job_without_an_objective_is_never_hopeless(self) -> None:
        """There is nothing that it could miss."""
        step = Step(width=1, needs=needs(8))
        old = make_spec('old', step, accepted_at_s=INFEASIBLE_S)
        queue = old.queue._replace(target_s=0.0)
        decided = plan(
            [make_room('a1', 'r1')],
            old._replace(queue=queue),
            make_spec('new', WHOLE),
        )
        self.assertEqual(placed(decided), {'old': ['a1']})

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.floats(0.1, 10.0),
                st.floats(0.0, 500.0),
            ),
            min_size=1,
            max_size=12,
        ),
    )
    def test_nobody_waits_for_ever(
        self,
        drawn: list[tuple[int, float, float]],
    ) -> None:
        """In the end the oldest objective of the first priority is served.

        Whatever comes meanwhile, no newer job of its priority goes first.
        """
        jobs = [
            make_job(
                make_spec(
                    f'j{number}',
                    WHOLE._replace(estimate_s=estimate_s),
                    priority=priority,
                    accepted_at_s=NOW_S - age_s,
                ),
            )
            for number, (priority, estimate_s, age_s) in enumerate(drawn)
        ]
        later_s = NOW_S + 300.0
        newer = make_job(make_spec('new', WHOLE, accepted_at_s=later_s))
        known = [*jobs, newer]
        infeasible = infeasible_jobs(known, set(), later_s)
        late = late_jobs(known, later_s)
        order = in_service_order(known, set(), infeasible, late)
        after = order[order.index(newer) :]
        for job in jobs:
            if job.spec.queue.priority <= newer.spec.queue.priority:
                self.assertNotIn(job, after)


class StopPriceTest(unittest.TestCase):
    """Whose run is stopped: a stop costs more than the work thrown away."""

    urgent = make_spec('u', WHOLE, priority=0)

    def test_a_job_that_was_stopped_before_is_spared(self) -> None:
        """The other has done a little more, and was never stopped."""
        first = make_run('a1', 8, priority=1, age_s=1.0, job_id='g')
        other = make_run('a2', 8, priority=1, age_s=1.2, job_id='h')
        rooms = [make_room('a1', 'r1', first), make_room('a2', 'r1', other)]
        decided = plan(
            rooms,
            self.urgent,
            running=[running('g', first, stops=2), running('h', other)],
        )
        self.assertEqual(victims(decided.victims), ['a2'])

    def test_the_same_gang_is_not_stopped_over_and_over(self) -> None:
        """An urgent job beyond its guarantee waits instead."""
        run = make_run('a1', 8, priority=1, age_s=0.1, job_id='g')
        rooms = [make_room('a1', 'r1', run)]
        gang = running('g', run, stops=10)
        decided = plan(rooms, self.urgent, running=[gang])
        self.assertEqual(decided.victims, ())

    def test_a_guarantee_stops_it_all_the_same(self) -> None:
        """A covered job starts within its bound at any moment."""
        run = make_run('a1', 8, priority=1, age_s=0.1, job_id='g')
        rooms = [make_room('a1', 'r1', run)]
        decided = plan(
            rooms,
            self.urgent,
            guaranteed={'alpha': 8},
            running=[running('g', run, stops=10)],
        )
        self.assertEqual(victims(decided.victims), ['a1'])

    def test_what_would_miss_its_objective_is_spared(self) -> None:
        """The other is late whether it is stopped or not."""
        first = make_run('a1', 8, priority=1, age_s=1.0, job_id='g')
        other = make_run('a2', 8, priority=1, age_s=1.2, job_id='h')
        rooms = [make_room('a1', 'r1', first), make_room('a2', 'r1', other)]
        decided = plan(
            rooms,
            self.urgent,
            running=[
                running('g', first, estimate_s=4, accepted_at_s=NOW_S - 5.5),
                running('h', other, estimate_s=4, accepted_at_s=NOW_S - 9.5),
            ],
        )
        self.assertEqual(victims(decided.victims), ['a2'])

    def test_a_run_that_ends_at_once_is_waited_for(self) -> None:
        """A stop would take as long; nothing else is stopped either."""
        ending = make_run('a1', 8, age_s=10.0)
        ending.done_percent = 98
        ending.estimate_s = 10.0
        other = make_run('a2', 8, age_s=1.0, job_id='b')
        rooms = [make_room('a1', 'r1', ending), make_room('a2', 'r1', other)]
        self.assertEqual(plan(rooms, self.urgent).victims, ())

    def test_its_room_is_kept_for_who_waits(self) -> None:
        """A second urgent job does not count on the same room."""
        ending = make_run('a1', 8, age_s=10.0)
        ending.done_percent = 98
        ending.estimate_s = 10.0
        other = make_run('a2', 8, age_s=1.0, job_id='b')
        rooms = [make_room('a1', 'r1', ending), make_room('a2', 'r1', other)]
        second = make_spec('v', WHOLE, priority=0)
        decided = plan(rooms, self.urgent, second)
        self.assertEqual(victims(decided.victims), ['a2'])

    def test_a_run_that_stands_still_is_not_waited_for(self) -> None:
        """Its percentage says that it is nearly done, and stays the same."""
        ending = make_run('a1', 8, age_s=10.0)
        ending.done_percent = 98
        ending.estimate_s = 10.0
        ending.percent_changed_s = 5.0
        rooms = [make_room('a1', 'r1', ending)]
        step = WHOLE._replace(estimate_s=60.0)
        spec = make_spec('u', step, priority=0)
        decided = plan(rooms, spec)
        self.assertEqual(victims(decided.victims), ['a1'])

    def test_a_guarantee_does_not_wait_for_an_end(self) -> None:
        """Reports may be late; the bound counts."""
        ending = make_run('a1', 8, age_s=10.0)
        ending.done_percent = 98
        ending.estimate_s = 10.0
        rooms = [make_room('a1', 'r1', ending)]
        decided = plan(rooms, self.urgent, guaranteed={'alpha': 8})
        self.assertEqual(victims(decided.victims), ['a1'])

    def test_a_plan_tells_for_whom_it_stops(self) -> None:
        """One job for each run."""
        rooms = [make_room('a1', 'r1', make_run('a1', 8, age_s=0.1))]
        self.assertEqual(plan(rooms, self.urgent).stopped_for, ('u',))


class StoredStopsTest(unittest.TestCase):
    """How often a job was stopped outlasts a leader."""

    def test_a_row_of_an_earlier_program_counts_none(self) -> None:
        """It ends before the field."""
        row = msgspec.json.encode(['queue', 'running', {}, 0.0, [], ''])
        self.assertEqual(decode(row, JobProgress).stops, 0)

    def test_a_preemption_is_counted_once_for_a_gang(self) -> None:
        """The next leader reads it in the job's row."""
        wide = Step(width=2, needs=needs(8), estimate_s=60.0, gang=True)

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('low', wide, priority=1))
            first = TaskKey('low', 0, 0, 0)
            await domain.clock.until(lambda: bool(domain.starts(first)))
            await host.accept(make_spec('u', WHOLE, priority=0))
            urgent = TaskKey('u', 0, 0, 0)
            await domain.clock.until(lambda: bool(domain.starts(urgent)))
            self.assertEqual(domain.progress('low').stops, 1)

        in_domain(case, run_s=60.0)
