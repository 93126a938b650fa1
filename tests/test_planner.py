"""One round of placement: racks, gangs, evictions, guarantees, labels."""

import unittest
from collections.abc import Sequence

from hypothesis import given
from hypothesis import strategies as st

from curranthill.errors import SettingsError
from curranthill.placement import (
    FILLING,
    PLAIN,
    RUNNING,
    SERVING,
    ActiveJob,
    Plan,
    Planner,
    Run,
    RunKind,
    WorkerCapacity,
    WorkerEntry,
    validate_mechanisms,
)
from curranthill.tasks import JobProgress, JobSpec, Resources, Step, TaskKey
from tests.domain import SERVICE, WORKER_CAPACITY, make_spec

NOW_S = 1_700_001_000.0


def needs(gpus: int) -> Resources:
    """Return the resources that a task needs."""
    return Resources(cpu_millis=1000, memory_mb=1024, gpus=gpus)


def make_run(
    worker_id: str,
    gpus: int,
    *,
    priority: int = 2,
    age_s: float = 1.0,
    job_id: str = 'other',
    rank: int = 0,
    perpetual: bool = False,
    kind: RunKind = PLAIN,
) -> Run:
    """Return a run that uses accelerators of a worker."""
    run = Run(
        key=TaskKey(job_id, 0, 0, rank),
        attempt=1,
        worker_id=worker_id,
        needs=needs(gpus),
        priority=priority,
        checkpointable=False,
        state=RUNNING,
        now_s=0.0,
        perpetual=perpetual,
        kind=kind,
    )
    run.age_s = age_s
    return run


def make_worker(
    worker_id: str,
    rack: str,
    *runs: Run,
    failure_score: float = 0.0,
) -> WorkerCapacity:
    """Return the capacity of a worker with some runs."""
    entry = WorkerEntry(
        worker_id=worker_id,
        service=SERVICE,
        address='10.0.0.1:80',
        data_centre='dc',
        capacity=WORKER_CAPACITY,
        labels=('a', rack),
    )
    return WorkerCapacity(entry=entry, runs=runs, failure_score=failure_score)


def plan(
    workers: list[WorkerCapacity],
    *specs: JobSpec,
    guaranteed: dict[str, int] | None = None,
    running: Sequence[ActiveJob] = (),
    disabled: Sequence[str] = (),
) -> Plan:
    """Return the decisions of one round."""
    planner = Planner(
        workers={SERVICE: workers},
        guaranteed=guaranteed or {},
        now_s=NOW_S,
        tickets=lambda job, ready: {},
        disabled=validate_mechanisms(disabled),
    )
    return planner.plan([*running, *(make_job(spec) for spec in specs)])


def make_job(spec: JobSpec, runs: Sequence[Run] = ()) -> ActiveJob:
    """Return a job with some runs."""
    job = ActiveJob(
        spec=spec,
        progress=JobProgress(queue=spec.queue.name, tasks={}),
    )
    job.runs = {run.key: run for run in runs}
    return job


def placed(decided: Plan) -> dict[str, list[str]]:
    """Return the workers of each placed job."""
    return {
        one.job.spec.job_id: [worker for _, worker in one.workers]
        for one in decided.placements
    }


class FailureScoreTest(unittest.TestCase):
    """Workers with recent failed or stalled runs."""

    def test_a_gang_goes_to_the_rack_without_failures(self) -> None:
        """Both racks are free; one worker of the first failed a run."""
        workers = [
            make_worker('a1', 'r1', failure_score=1),
            make_worker('a2', 'r1'),
            make_worker('b1', 'r2'),
            make_worker('b2', 'r2'),
        ]
        step = Step(width=2, needs=needs(8), gang=True, same_rack=True)
        decided = plan(workers, make_spec('a', step))
        self.assertEqual(placed(decided), {'a': ['b1', 'b2']})

    def test_a_worker_with_failures_is_better_than_none(self) -> None:
        """The only rack that fits has a worker with failures."""
        workers = [
            make_worker('a1', 'r1', failure_score=1),
            make_worker('a2', 'r1'),
            make_worker('b1', 'r2', make_run('b1', 8)),
        ]
        step = Step(width=2, needs=needs(8), gang=True, same_rack=True)
        decided = plan(workers, make_spec('a', step))
        self.assertEqual(placed(decided), {'a': ['a2', 'a1']})

    def test_runs_on_workers_without_failures_are_preempted(self) -> None:
        """Two workers would lose as much work; one of them failed a run."""
        workers = [
            make_worker('a1', 'r1', make_run('a1', 8), failure_score=1),
            make_worker('a2', 'r1', make_run('a2', 8, job_id='b')),
        ]
        step = Step(width=1, needs=needs(8))
        decided = plan(workers, make_spec('a', step, priority=0))
        self.assertEqual([one.worker_id for one in decided.victims], ['a2'])


class BoundedLossTest(unittest.TestCase):
    """How much work may be lost for an urgent job."""

    step = Step(width=1, needs=needs(8), estimate_s=1.0)

    def test_a_job_beyond_its_guarantee_does_not_preempt_long_work(
        self,
    ) -> None:
        """A minute of work would be lost for one second: the job waits."""
        workers = [make_worker('a1', 'r1', make_run('a1', 8, age_s=60))]
        decided = plan(workers, make_spec('a', self.step, priority=0))
        self.assertEqual(decided.victims, ())

    def test_a_job_beyond_its_guarantee_preempts_a_new_run(self) -> None:
        """Hardly any work is lost by it."""
        workers = [make_worker('a1', 'r1', make_run('a1', 8, age_s=0.1))]
        decided = plan(workers, make_spec('a', self.step, priority=0))
        self.assertEqual([one.worker_id for one in decided.victims], ['a1'])

    def test_a_covered_job_preempts_whatever_it_needs(self) -> None:
        """Its workspace's guarantee outweighs any work of others."""
        workers = [make_worker('a1', 'r1', make_run('a1', 8, age_s=60))]
        decided = plan(
            workers,
            make_spec('a', self.step, priority=0),
            guaranteed={'alpha': 8},
        )
        self.assertEqual([one.worker_id for one in decided.victims], ['a1'])


class PerpetualTest(unittest.TestCase):
    """Tasks that run until their job is cancelled."""

    def test_a_perpetual_task_preempts_in_a_full_cluster(self) -> None:
        """It must run again soon, however full the service is."""
        workers = [make_worker('a1', 'r1', make_run('a1', 8, priority=1))]
        step = Step(width=1, needs=needs(1), perpetual=True)
        decided = plan(workers, make_spec('a', step, priority=2))
        self.assertEqual([one.worker_id for one in decided.victims], ['a1'])

    def test_a_perpetual_task_is_never_preempted(self) -> None:
        """An urgent job waits for the other worker instead."""
        workers = [
            make_worker('a1', 'r1', make_run('a1', 8, perpetual=True, age_s=0)),
            make_worker('a2', 'r1', make_run('a2', 8, job_id='b', age_s=9)),
        ]
        step = Step(width=1, needs=needs(8))
        decided = plan(workers, make_spec('a', step, priority=0))
        self.assertEqual([one.worker_id for one in decided.victims], ['a2'])

    def test_best_effort_and_serving_tasks_share_no_worker(self) -> None:
        """Neither is placed beside the other."""
        workers = [
            make_worker('a1', 'r1', make_run('a1', 1, kind=SERVING)),
            make_worker('a2', 'r1', make_run('a2', 1, kind=FILLING)),
        ]
        fills = Step(width=1, needs=needs(1), fills=True)
        serves = Step(width=1, needs=needs(1), target_ms=50, perpetual=True)
        decided = plan(workers, make_spec('f', fills), make_spec('s', serves))
        self.assertEqual(placed(decided), {'f': ['a2'], 's': ['a1']})
        both = plan(
            [make_worker('a1', 'r1')],
            make_spec('f', fills),
            make_spec('s', serves),
        )
        self.assertEqual(placed(both), {'s': ['a1']})


class RackTest(unittest.TestCase):
    """Tasks that run faster together are placed in one rack."""

    def test_a_gang_of_one_rack_is_placed_in_one_rack(self) -> None:
        """Two workers of one rack are free, and one of another."""
        workers = [
            make_worker('a1', 'r1', make_run('a1', 8)),
            make_worker('a2', 'r1'),
            make_worker('b1', 'r2'),
            make_worker('b2', 'r2'),
        ]
        step = Step(width=2, needs=needs(8), gang=True, same_rack=True)
        decided = plan(workers, make_spec('j1', step))
        self.assertEqual(placed(decided), {'j1': ['b1', 'b2']})

    def test_an_urgent_gang_preempts_in_one_rack(self) -> None:
        """It preempts the cheaper run instead of using both racks."""
        workers = [
            make_worker('a1', 'r1', make_run('a1', 8, age_s=5)),
            make_worker('a2', 'r1'),
            make_worker('b1', 'r2', make_run('b1', 8, age_s=50)),
            make_worker('b2', 'r2'),
        ]
        step = Step(width=2, needs=needs(8), gang=True, same_rack=True)
        decided = plan(workers, make_spec('j1', step, priority=0))
        self.assertEqual(placed(decided), {})
        self.assertEqual([run.worker_id for run in decided.victims], ['a1'])

    def test_a_gang_too_wide_for_any_rack_runs_in_several(self) -> None:
        """It needs three workers, and racks have two."""
        workers = [
            make_worker('a1', 'r1'),
            make_worker('a2', 'r1'),
            make_worker('b1', 'r2'),
        ]
        step = Step(width=3, needs=needs(8), gang=True, same_rack=True)
        decided = plan(workers, make_spec('j1', step))
        self.assertEqual(len(placed(decided)['j1']), 3)

    def test_a_task_waits_for_its_data_and_then_goes_elsewhere(self) -> None:
        """It waits for as long as the run time far from the data would add."""
        step = Step(width=1, needs=needs(8), near_rack='r1', estimate_s=10)
        full = make_worker('a1', 'r1', make_run('a1', 8))
        early = make_spec('j1', step)
        self.assertEqual(
            placed(plan([full, make_worker('b1', 'r2')], early)), {}
        )
        late = make_spec('j1', step, accepted_at_s=NOW_S - 21)
        full = make_worker('a1', 'r1', make_run('a1', 8))
        decided = plan([full, make_worker('b1', 'r2')], late)
        self.assertEqual(placed(decided), {'j1': ['b1']})


class EvictionTest(unittest.TestCase):
    """Urgent work preempts the runs with the least loss."""

    def test_a_whole_gang_counts_as_lost(self) -> None:
        """A single older run is stopped rather than one of a gang of four."""
        gang = [make_run('a1', 8, job_id='g', rank=0, age_s=4)]
        gang += [
            make_run(f'c{rank}', 8, job_id='g', rank=rank, age_s=4)
            for rank in range(1, 4)
        ]
        lone = make_run('a2', 8, age_s=9)
        workers = [
            make_worker('a1', 'r1', gang[0]),
            make_worker('a2', 'r1', lone),
        ]
        workers += [make_worker(run.worker_id, 'r1', run) for run in gang[1:]]
        step = Step(width=1, needs=needs(8))
        decided = plan(
            workers,
            make_spec('j1', step, priority=0),
            running=[
                make_job(make_spec('g', Step(4, needs(8), gang=True)), gang)
            ],
        )
        self.assertEqual(decided.victims, (lone,))

    def test_capacity_that_is_becoming_free_is_waited_for(self) -> None:
        """A run that is being stopped needs no second victim."""
        stopping = make_run('a1', 8)
        stopping.stop_wanted = True
        workers = [
            make_worker('a1', 'r1', stopping),
            make_worker('a2', 'r1', make_run('a2', 8)),
        ]
        step = Step(width=1, needs=needs(8))
        decided = plan(workers, make_spec('j1', step, priority=0))
        self.assertEqual(decided.victims, ())

    def test_urgent_runs_are_never_preempted(self) -> None:
        """The job must wait."""
        workers = [make_worker('a1', 'r1', make_run('a1', 8, priority=0))]
        step = Step(width=1, needs=needs(8))
        decided = plan(workers, make_spec('j1', step, priority=0))
        self.assertEqual(decided.victims, ())

    def test_nothing_is_preempted_for_a_gang_that_cannot_fit(self) -> None:
        """One worker can be emptied, the other runs urgent work."""
        workers = [
            make_worker('a1', 'r1', make_run('a1', 8)),
            make_worker('a2', 'r1', make_run('a2', 8, priority=0)),
        ]
        step = Step(width=2, needs=needs(8), gang=True)
        decided = plan(workers, make_spec('j1', step, priority=0))
        self.assertEqual(decided.victims, ())


class OrderTest(unittest.TestCase):
    """Which jobs and workers are first."""

    def test_covered_urgent_jobs_are_served_before_others(self) -> None:
        """A workspace beyond its guarantee waits for one within it."""
        step = Step(width=1, needs=needs(8))
        beyond = make_spec('j1', step, priority=0, workspace='beta')
        within = make_spec('j2', step, priority=0, accepted_at_s=NOW_S - 1)
        decided = plan(
            [make_worker('a1', 'r1')],
            beyond,
            within,
            guaranteed={'alpha': 8},
        )
        self.assertEqual(placed(decided), {'j2': ['a1']})

    def test_a_waiting_gang_reserves_capacity(self) -> None:
        """A later small job does not use what the gang waits for."""
        workers = [
            make_worker('a1', 'r1'),
            make_worker('a2', 'r1', make_run('a2', 8, priority=1)),
        ]
        gang = Step(width=2, needs=needs(8), gang=True, estimate_s=1)
        small = Step(width=1, needs=needs(1), estimate_s=100)
        decided = plan(
            workers,
            make_spec('j1', gang, priority=1),
            make_spec('j2', small, priority=2),
        )
        self.assertEqual(placed(decided), {})

    def test_a_worker_with_failures_is_chosen_last(self) -> None:
        """Its runs have failed lately."""
        workers = [
            make_worker('a1', 'r1', make_run('a1', 4), failure_score=2),
            make_worker('a2', 'r1'),
        ]
        step = Step(width=1, needs=needs(4))
        decided = plan(workers, make_spec('j1', step))
        self.assertEqual(placed(decided), {'j1': ['a2']})


class LimitTest(unittest.TestCase):
    """The constraints of a step."""

    def test_labels_and_limits_per_worker_hold(self) -> None:
        """Only workers with the label, two tasks each."""
        workers = [make_worker(f'a{one}', 'r1') for one in range(2)]
        workers.append(make_worker('b1', 'r2'))
        step = Step(
            width=9,
            needs=needs(1),
            label='r1',
            max_per_worker=2,
        )
        decided = plan(workers, make_spec('j1', step, priority=0))
        worker_ids = placed(decided)['j1']
        self.assertEqual(sorted(worker_ids), ['a0', 'a0', 'a1', 'a1'])

    def test_preemption_respects_the_limit_per_worker(self) -> None:
        """One task per worker: capacity for both on one worker is no help."""
        workers = [
            make_worker('a1', 'r1', make_run('a1', 8, age_s=1)),
            make_worker('a2', 'r1', make_run('a2', 8, job_id='b', age_s=9)),
        ]
        step = Step(width=2, needs=needs(4), gang=True, max_per_worker=1)
        decided = plan(workers, make_spec('j1', step, priority=0))
        worker_ids = sorted(run.worker_id for run in decided.victims)
        self.assertEqual(worker_ids, ['a1', 'a2'])

    @given(
        widths=st.lists(st.integers(1, 12), min_size=1, max_size=6),
        gpus=st.lists(st.integers(1, 8), min_size=6, max_size=6),
        gangs=st.lists(st.booleans(), min_size=6, max_size=6),
        used=st.lists(st.integers(0, 8), min_size=4, max_size=4),
    )
    def test_no_capacity_is_allocated_twice_and_gangs_stay_whole(
        self,
        widths: list[int],
        gpus: list[int],
        gangs: list[bool],
        used: list[int],
    ) -> None:
        """For random jobs and runs."""
        workers = [
            make_worker(f'w{one}', f'r{one % 2}', make_run(f'w{one}', taken))
            for one, taken in enumerate(used)
        ]
        specs = [
            make_spec(
                f'j{one}',
                Step(width=width, needs=needs(gpus[one]), gang=gangs[one]),
                priority=one % 3,
            )
            for one, width in enumerate(widths)
        ]
        decided = plan(workers, *specs)
        taken = {f'w{one}': gpus for one, gpus in enumerate(used)}
        for one in decided.placements:
            step = one.ready.step
            if step.gang:
                self.assertEqual(len(one.workers), step.width)
            for _, worker in one.workers:
                taken[worker] += step.needs.gpus
        self.assertLessEqual(max(taken.values()), 8)


class ReservedForTest(unittest.TestCase):
    """The jobs that a round reserves or claims capacity for."""

    gang = Step(width=2, needs=needs(8), gang=True)

    def test_a_gang_that_does_not_fit_is_listed(self) -> None:
        """The small job that could use what is reserved is not."""
        workers = [
            make_worker('a1', 'r1'),
            make_worker('a2', 'r1', make_run('a2', 8, priority=1)),
        ]
        decided = plan(
            workers,
            make_spec('j1', self.gang, accepted_at_s=NOW_S - 99),
            make_spec('j2', Step(width=1, needs=needs(1)), priority=2),
        )
        self.assertEqual(placed(decided), {})
        self.assertEqual(decided.reserved_for, ('j1',))

    def test_a_job_that_preempts_is_listed_once(self) -> None:
        """Both of its tasks claim what becomes free."""
        workers = [
            make_worker('a1', 'r1', make_run('a1', 8, age_s=0.1)),
            make_worker('a2', 'r1', make_run('a2', 8, age_s=0.1)),
        ]
        step = Step(width=2, needs=needs(8), estimate_s=1.0)
        decided = plan(workers, make_spec('j1', step, priority=0))
        self.assertEqual(len(decided.victims), 2)
        self.assertEqual(decided.reserved_for, ('j1',))

    def test_no_job_is_listed_where_all_fits(self) -> None:
        """Nothing is reserved."""
        workers = [make_worker('a1', 'r1'), make_worker('a2', 'r1')]
        decided = plan(workers, make_spec('j1', self.gang))
        self.assertEqual(placed(decided), {'j1': ['a1', 'a2']})
        self.assertEqual(decided.reserved_for, ())


class MechanismTest(unittest.TestCase):
    """The mechanisms that can be disabled by name."""

    def test_a_gang_reserves_nothing_without_the_mechanism(self) -> None:
        """The small job uses what is free."""
        workers = [
            make_worker('a1', 'r1'),
            make_worker('a2', 'r1', make_run('a2', 8, priority=1)),
        ]
        gang = Step(width=2, needs=needs(8), gang=True)
        decided = plan(
            workers,
            make_spec('j1', gang, priority=1, accepted_at_s=NOW_S - 99),
            make_spec('j2', Step(width=1, needs=needs(1)), priority=2),
            disabled=('reservation',),
        )
        self.assertEqual(placed(decided), {'j2': ['a1']})

    def test_a_task_waits_for_no_rack_without_the_mechanism(self) -> None:
        """It starts where capacity is free."""
        workers = [
            make_worker('a1', 'r1', make_run('a1', 8)),
            make_worker('b1', 'r2'),
        ]
        step = Step(width=1, needs=needs(8), near_rack='r1', estimate_s=10)
        decided = plan(
            workers, make_spec('j1', step), disabled=('rack-patience',)
        )
        self.assertEqual(placed(decided), {'j1': ['b1']})

    def test_an_urgent_job_preempts_any_work_without_the_bound(self) -> None:
        """A minute of work is lost for one second."""
        workers = [make_worker('a1', 'r1', make_run('a1', 8, age_s=60))]
        step = Step(width=1, needs=needs(8), estimate_s=1.0)
        decided = plan(
            workers,
            make_spec('a', step, priority=0),
            disabled=('bounded-loss',),
        )
        self.assertEqual([one.worker_id for one in decided.victims], ['a1'])

    def test_an_unknown_name_is_refused(self) -> None:
        """The error lists the known names."""
        with self.assertRaisesRegex(SettingsError, 'rack-patience'):
            validate_mechanisms(['rack-patients'])
