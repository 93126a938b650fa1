"""Which jobs are served first and which runs are evicted under overload."""

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
    make_run,
    make_worker,
    needs,
    placed,
    plan,
)

#: A task of one second: its job is late three seconds after its acceptance, and
#: earns nothing after nine.
WHOLE_WORKER = Step(width=1, needs=needs(8), estimate_s=1.0)
INFEASIBLE_S = NOW_S - 20
AGED_S = NOW_S - 60


def with_stops(job: ActiveJob, stops: int) -> ActiveJob:
    """Return a job that was preempted a number of times."""
    job.progress.stops = stops
    return job


def running(
    job_id: str,
    *runs: Run,
    estimate_s: float = 60.0,
    accepted_at_s: float = NOW_S,
    stops: int = 0,
) -> ActiveJob:
    """Return a gang with some runs."""
    gang = Step(len(runs), needs(8), estimate_s=estimate_s, gang=True)
    spec = make_spec(job_id, gang, priority=1, accepted_at_s=accepted_at_s)
    for run in runs:
        run.estimate_s = estimate_s
    return with_stops(make_job(spec, runs), stops)


def victims(runs: Sequence[Run]) -> list[str]:
    """Return the workers of the runs that are stopped."""
    return [run.worker_id for run in runs]


class OrderTest(unittest.TestCase):
    """Jobs that can still earn credit are served before others."""

    def test_infeasible_work_is_served_after_feasible_work(self) -> None:
        """After three times its objective a job earns no credit."""
        decided = plan(
            [make_worker('a1', 'r1')],
            make_spec('old', WHOLE_WORKER, accepted_at_s=INFEASIBLE_S),
            make_spec('new', WHOLE_WORKER),
        )
        self.assertEqual(placed(decided), {'new': ['a1']})

    def test_infeasible_work_is_served_after_lower_feasible_work(self) -> None:
        """A priority counts among jobs that can earn, and it can't."""
        decided = plan(
            [make_worker('a1', 'r1')],
            make_spec(
                'old', WHOLE_WORKER, priority=1, accepted_at_s=INFEASIBLE_S
            ),
            make_spec('new', WHOLE_WORKER, priority=2),
        )
        self.assertEqual(placed(decided), {'new': ['a1']})

    def test_work_that_can_be_in_time_is_served_before_late_work(self) -> None:
        """Late work earns the same until long after its objective."""
        decided = plan(
            [make_worker('a1', 'r1')],
            make_spec('late', WHOLE_WORKER, accepted_at_s=NOW_S - 4),
            make_spec('new', WHOLE_WORKER),
        )
        self.assertEqual(placed(decided), {'new': ['a1']})

    def test_late_work_is_served_before_lower_work(self) -> None:
        """A priority counts among jobs that can still earn."""
        decided = plan(
            [make_worker('a1', 'r1')],
            make_spec('late', WHOLE_WORKER, accepted_at_s=NOW_S - 4),
            make_spec('new', WHOLE_WORKER, priority=2),
        )
        self.assertEqual(placed(decided), {'late': ['a1']})

    def test_infeasible_work_is_served_normally_after_aging(self) -> None:
        """Every accepted job ends."""
        decided = plan(
            [make_worker('a1', 'r1')],
            make_spec('old', WHOLE_WORKER, accepted_at_s=AGED_S),
            make_spec('new', WHOLE_WORKER),
        )
        self.assertEqual(placed(decided), {'old': ['a1']})

    def test_infeasible_urgent_work_preempts_nothing(self) -> None:
        """Work that can still earn would be lost for it."""
        workers = [make_worker('a1', 'r1', make_run('a1', 8, age_s=0.1))]
        spec = make_spec(
            'old', WHOLE_WORKER, priority=0, accepted_at_s=INFEASIBLE_S
        )
        self.assertEqual(plan(workers, spec).victims, ())

    def test_a_guarantee_holds_for_infeasible_work(self) -> None:
        """It starts within its time bound, whatever it earns."""
        workers = [make_worker('a1', 'r1', make_run('a1', 8, age_s=60))]
        spec = make_spec(
            'old', WHOLE_WORKER, priority=0, accepted_at_s=INFEASIBLE_S
        )
        decided = plan(workers, spec, guaranteed={'alpha': 8})
        self.assertEqual(victims(decided.victims), ['a1'])

    def test_a_job_without_an_objective_is_never_infeasible(self) -> None:
        """It has no objective to miss."""
        step = Step(width=1, needs=needs(8))
        old = make_spec('old', step, accepted_at_s=INFEASIBLE_S)
        queue = old.queue._replace(target_s=0.0)
        decided = plan(
            [make_worker('a1', 'r1')],
            old._replace(queue=queue),
            make_spec('new', WHOLE_WORKER),
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
    def test_no_job_waits_for_ever(
        self,
        drawn: list[tuple[int, float, float]],
    ) -> None:
        """Eventually the oldest objective of the first priority is served.

        No newer job of its priority is served before it, whatever arrives.
        """
        jobs = [
            make_job(
                make_spec(
                    f'j{number}',
                    WHOLE_WORKER._replace(estimate_s=estimate_s),
                    priority=priority,
                    accepted_at_s=NOW_S - age_s,
                ),
            )
            for number, (priority, estimate_s, age_s) in enumerate(drawn)
        ]
        later_s = NOW_S + 300.0
        newer = make_job(make_spec('new', WHOLE_WORKER, accepted_at_s=later_s))
        known = [*jobs, newer]
        infeasible = infeasible_jobs(known, set(), later_s)
        late = late_jobs(known, later_s)
        order = in_service_order(known, set(), infeasible, late)
        after = order[order.index(newer) :]
        for job in jobs:
            if job.spec.queue.priority <= newer.spec.queue.priority:
                self.assertNotIn(job, after)


class EvictionCostTest(unittest.TestCase):
    """Which run is evicted: a stop costs more than the work that is lost."""

    urgent = make_spec('u', WHOLE_WORKER, priority=0)

    def test_a_job_that_was_stopped_before_is_spared(self) -> None:
        """The other has done slightly more, and was never stopped."""
        first = make_run('a1', 8, priority=1, age_s=1.0, job_id='g')
        other = make_run('a2', 8, priority=1, age_s=1.2, job_id='h')
        workers = [
            make_worker('a1', 'r1', first),
            make_worker('a2', 'r1', other),
        ]
        decided = plan(
            workers,
            self.urgent,
            running=[running('g', first, stops=2), running('h', other)],
        )
        self.assertEqual(victims(decided.victims), ['a2'])

    def test_the_same_gang_is_not_stopped_over_and_over(self) -> None:
        """An urgent job beyond its guarantee waits instead."""
        run = make_run('a1', 8, priority=1, age_s=0.1, job_id='g')
        workers = [make_worker('a1', 'r1', run)]
        gang = running('g', run, stops=10)
        decided = plan(workers, self.urgent, running=[gang])
        self.assertEqual(decided.victims, ())

    def test_a_guarantee_preempts_it_in_any_case(self) -> None:
        """A covered job starts within its time bound at any moment."""
        run = make_run('a1', 8, priority=1, age_s=0.1, job_id='g')
        workers = [make_worker('a1', 'r1', run)]
        decided = plan(
            workers,
            self.urgent,
            guaranteed={'alpha': 8},
            running=[running('g', run, stops=10)],
        )
        self.assertEqual(victims(decided.victims), ['a1'])

    def test_what_would_miss_its_objective_is_spared(self) -> None:
        """The other is late in any case."""
        first = make_run('a1', 8, priority=1, age_s=1.0, job_id='g')
        other = make_run('a2', 8, priority=1, age_s=1.2, job_id='h')
        workers = [
            make_worker('a1', 'r1', first),
            make_worker('a2', 'r1', other),
        ]
        decided = plan(
            workers,
            self.urgent,
            running=[
                running('g', first, estimate_s=4, accepted_at_s=NOW_S - 5.5),
                running('h', other, estimate_s=4, accepted_at_s=NOW_S - 9.5),
            ],
        )
        self.assertEqual(victims(decided.victims), ['a2'])

    def test_a_run_that_ends_at_once_is_waited_for(self) -> None:
        """A stop would take as long; no other run is stopped either."""
        ending = make_run('a1', 8, age_s=10.0)
        ending.done_percent = 98
        ending.estimate_s = 10.0
        other = make_run('a2', 8, age_s=1.0, job_id='b')
        workers = [
            make_worker('a1', 'r1', ending),
            make_worker('a2', 'r1', other),
        ]
        self.assertEqual(plan(workers, self.urgent).victims, ())

    def test_its_capacity_is_claimed_for_the_job_that_waits(self) -> None:
        """A second urgent job does not wait for the same capacity."""
        ending = make_run('a1', 8, age_s=10.0)
        ending.done_percent = 98
        ending.estimate_s = 10.0
        other = make_run('a2', 8, age_s=1.0, job_id='b')
        workers = [
            make_worker('a1', 'r1', ending),
            make_worker('a2', 'r1', other),
        ]
        second = make_spec('v', WHOLE_WORKER, priority=0)
        decided = plan(workers, self.urgent, second)
        self.assertEqual(victims(decided.victims), ['a2'])

    def test_a_stalled_run_is_not_waited_for(self) -> None:
        """Its percentage is nearly at the end and does not change."""
        ending = make_run('a1', 8, age_s=10.0)
        ending.done_percent = 98
        ending.estimate_s = 10.0
        ending.percent_changed_s = 5.0
        workers = [make_worker('a1', 'r1', ending)]
        step = WHOLE_WORKER._replace(estimate_s=60.0)
        spec = make_spec('u', step, priority=0)
        decided = plan(workers, spec)
        self.assertEqual(victims(decided.victims), ['a1'])

    def test_a_guarantee_does_not_wait_for_an_end(self) -> None:
        """Reports may be late, and the time bound counts."""
        ending = make_run('a1', 8, age_s=10.0)
        ending.done_percent = 98
        ending.estimate_s = 10.0
        workers = [make_worker('a1', 'r1', ending)]
        decided = plan(workers, self.urgent, guaranteed={'alpha': 8})
        self.assertEqual(victims(decided.victims), ['a1'])

    def test_a_plan_lists_the_job_that_each_run_is_stopped_for(self) -> None:
        """One job for each run."""
        workers = [make_worker('a1', 'r1', make_run('a1', 8, age_s=0.1))]
        self.assertEqual(plan(workers, self.urgent).stopped_for, ('u',))


class StoredPreemptionsTest(unittest.TestCase):
    """The count of a job's preemptions survives a change of leader."""

    def test_a_row_of_an_earlier_release_counts_none(self) -> None:
        """The row ends before that field."""
        row = msgspec.json.encode(['queue', 'running', {}, 0.0, [], ''])
        self.assertEqual(decode(row, JobProgress).stops, 0)

    def test_a_preemption_is_counted_once_for_a_gang(self) -> None:
        """The next leader reads the count in the job's row."""
        wide = Step(width=2, needs=needs(8), estimate_s=60.0, gang=True)

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('low', wide, priority=1))
            first = TaskKey('low', 0, 0, 0)
            await domain.clock.until(lambda: bool(domain.starts(first)))
            await host.accept(make_spec('u', WHOLE_WORKER, priority=0))
            urgent = TaskKey('u', 0, 0, 0)
            await domain.clock.until(lambda: bool(domain.starts(urgent)))
            self.assertEqual(domain.progress('low').stops, 1)

        in_domain(case, run_s=60.0)
