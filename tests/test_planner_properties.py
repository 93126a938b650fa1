"""Properties of one round of placement, for random clusters and jobs."""

import unittest
from collections import Counter
from typing import Final, NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from curranthill.placement import Plan, Run, WorkerCapacity, resources_needed
from curranthill.tasks import JobSpec, Resources, Step
from tests.domain import WORKER_CAPACITY, make_spec
from tests.test_planner import make_run, make_worker, needs, plan

RACKS: Final = ('r1', 'r2', 'r3')
WORKSPACES: Final = ('alpha', 'beta')

#: Accelerators that a task may need; a worker has eight.
SIZES: Final = (1, 2, 4, 8)

#: Millicores that a task may need; a worker has 32,000.
PROCESSORS: Final = (1000, 12_000)


class Case(NamedTuple):
    """A cluster with its runs, and waiting jobs."""

    workers: list[WorkerCapacity]
    specs: list[JobSpec]

    def worker(self, worker_id: str) -> WorkerCapacity:
        """Return a worker by its id."""
        return next(
            worker
            for worker in self.workers
            if worker.entry.worker_id == worker_id
        )


NEEDS = st.builds(
    lambda gpus, cpu_millis: needs(gpus)._replace(cpu_millis=cpu_millis),
    st.sampled_from(SIZES),
    st.sampled_from(PROCESSORS),
)


@st.composite
def drawn_workers(draw: st.DrawFn) -> list[WorkerCapacity]:
    """Draw workers in racks, each with runs that fit."""
    workers = []
    for rack in RACKS[: draw(st.integers(1, len(RACKS)))]:
        for number in range(draw(st.integers(1, 3))):
            worker_id = f'{rack}-w{number}'
            runs = draw(runs_on(worker_id))
            failure_score = draw(st.sampled_from((0.0, 0.0, 1.0)))
            workers.append(
                make_worker(worker_id, rack, *runs, failure_score=failure_score)
            )
    return workers


@st.composite
def runs_on(draw: st.DrawFn, worker_id: str) -> list[Run]:
    """Draw the runs of a worker, some of them being stopped."""
    runs: list[Run] = []
    free = WORKER_CAPACITY
    for rank, wanted in enumerate(draw(st.lists(NEEDS))):
        if not free.covers(wanted):
            break
        free = free.minus(wanted)
        run = make_run(
            worker_id,
            wanted.gpus,
            priority=draw(st.integers(0, 2)),
            age_s=draw(st.sampled_from((0.1, 5.0, 60.0))),
            job_id=f'run-on-{worker_id}',
            rank=rank,
        )
        run.needs = wanted
        run.stop_wanted = draw(st.sampled_from((False, False, True)))
        runs.append(run)
    return runs


STEPS = st.builds(
    Step,
    width=st.integers(1, 6),
    needs=NEEDS,
    estimate_s=st.sampled_from((0.5, 8.0)),
    after=st.just(()),
    gang=st.booleans(),
    same_rack=st.booleans(),
    near_rack=st.sampled_from(('', '', *RACKS)),
    label=st.sampled_from(('', '', 'a', 'b')),
    max_per_worker=st.sampled_from((0, 0, 1, 2)),
    checkpointable=st.booleans(),
    speculative=st.just(False),
    perpetual=st.just(False),
    may_miss=st.just(0),
    fills=st.booleans(),
    image=st.just(''),
    target_ms=st.just(0.0),
)


@st.composite
def jobs(draw: st.DrawFn) -> list[JobSpec]:
    """Draw jobs of one step, or of two steps in sequence."""
    specs = []
    for number in range(draw(st.integers(1, 5))):
        steps = [draw(STEPS)]
        if draw(st.booleans()):
            steps.append(draw(STEPS)._replace(after=(0,)))
        specs.append(
            make_spec(
                f'job{number}',
                *steps,
                priority=draw(st.integers(0, 2)),
                workspace=draw(st.sampled_from(WORKSPACES)),
            ),
        )
    return specs


CASES = st.builds(Case, workers=drawn_workers(), specs=jobs())
GUARANTEES = st.fixed_dictionaries(
    {name: st.sampled_from((0, 4, 16)) for name in WORKSPACES},
)


def taken(worker: WorkerCapacity, decided: Plan) -> Resources:
    """Return the resources that all runs and starts on a worker need."""
    total = Resources()
    for run in worker.runs:
        total = total.plus(run.needs)
    for run in decided.victims:
        # A run that is stopped uses its resources until it has ended.
        if run.worker_id == worker.entry.worker_id:
            total = total.plus(run.needs)
    for placement in decided.placements:
        for _, worker_id in placement.workers:
            if worker_id == worker.entry.worker_id:
                total = total.plus(resources_needed(placement.ready.step))
    return total


class RoundPropertiesTest(unittest.TestCase):
    """One round with a random cluster and random jobs."""

    @settings(max_examples=150)
    @given(CASES, GUARANTEES)
    def test_no_worker_exceeds_its_capacity(
        self,
        case: Case,
        guaranteed: dict[str, int],
    ) -> None:
        """Runs that are being stopped still count."""
        decided = plan(case.workers, *case.specs, guaranteed=guaranteed)
        for worker in case.workers:
            total = taken(worker, decided)
            self.assertTrue(worker.entry.capacity.covers(total), total)

    @settings(max_examples=150)
    @given(CASES, GUARANTEES)
    def test_a_gang_is_placed_whole(
        self,
        case: Case,
        guaranteed: dict[str, int],
    ) -> None:
        """All of its members or none."""
        decided = plan(case.workers, *case.specs, guaranteed=guaranteed)
        for placement in decided.placements:
            step = placement.ready.step
            if not step.gang:
                continue
            self.assertEqual(len(placement.workers), step.width)

    @settings(max_examples=150)
    @given(CASES, GUARANTEES)
    def test_limits_of_a_step_hold(
        self,
        case: Case,
        guaranteed: dict[str, int],
    ) -> None:
        """Labels, tasks per worker, preceding steps; each task starts once."""
        decided = plan(case.workers, *case.specs, guaranteed=guaranteed)
        started: Counter[str] = Counter()
        for placement in decided.placements:
            step = placement.ready.step
            worker_ids = [worker_id for _, worker_id in placement.workers]
            started.update(str(key) for key, _ in placement.workers)
            self.assertEqual(step.after, ())
            if step.max_per_worker:
                expected = max(Counter(worker_ids).values())
                self.assertLessEqual(expected, step.max_per_worker)
            if step.label:
                for worker_id in worker_ids:
                    labels = case.worker(worker_id).entry.labels
                    self.assertIn(step.label, labels)
        self.assertTrue(all(count == 1 for count in started.values()))

    @settings(max_examples=150)
    @given(CASES, GUARANTEES)
    def test_only_lower_priorities_are_preempted_and_each_run_once(
        self,
        case: Case,
        guaranteed: dict[str, int],
    ) -> None:
        """Urgent work is never preempted."""
        decided = plan(case.workers, *case.specs, guaranteed=guaranteed)
        names = [run.name for run in decided.victims]
        self.assertEqual(len(names), len(set(names)))
        for run in decided.victims:
            self.assertGreater(run.priority, 0)
            self.assertFalse(run.stop_wanted)

    @settings(max_examples=150)
    @given(drawn_workers(), st.sampled_from(SIZES), st.integers(0, 1))
    def test_guaranteed_work_starts_or_preempts_whenever_possible(
        self,
        workers: list[WorkerCapacity],
        size: int,
        extra: int,
    ) -> None:
        """It is placed now, or enough runs are being stopped for it."""
        step = Step(width=1, needs=needs(size), estimate_s=0.5)
        possible = any(
            reclaimable(worker).covers(step.needs) for worker in workers
        )
        # Enough is being stopped already: nothing more must be stopped.
        coming = any(worker.unclaimed.covers(step.needs) for worker in workers)
        spec = make_spec('a', step, priority=0)
        decided = plan(workers, spec, guaranteed={'alpha': size + extra})
        served = bool(decided.placements or decided.victims)
        self.assertEqual(served or coming, possible)

    @settings(max_examples=150)
    @given(st.lists(st.sampled_from(RACKS), min_size=1, max_size=6), STEPS)
    def test_an_idle_cluster_starts_what_fits(
        self,
        racks: list[str],
        step: Step,
    ) -> None:
        """Tasks of a step without constraints start at once."""
        plain = step._replace(near_rack='', same_rack=False, label='')
        idle = [
            make_worker(f'w{number}', rack) for number, rack in enumerate(racks)
        ]
        decided = plan(idle, make_spec('a', plain, priority=2))
        wanted = resources_needed(plain)
        per_worker = WORKER_CAPACITY.gpus // wanted.gpus
        if wanted.cpu_millis:
            per_worker = min(
                per_worker, WORKER_CAPACITY.cpu_millis // wanted.cpu_millis
            )
        if plain.max_per_worker:
            per_worker = min(per_worker, plain.max_per_worker)
        held = per_worker * len(idle)
        started = sum(len(one.workers) for one in decided.placements)
        whole = held >= plain.width
        expected = 0 if plain.gang and not whole else min(plain.width, held)
        self.assertEqual(started, expected)


def reclaimable(worker: WorkerCapacity) -> Resources:
    """Return the capacity that is free, evictable or being stopped."""
    left = worker.entry.capacity
    for run in worker.runs:
        if run.priority == 0 and not run.stop_wanted:
            left = left.minus(run.needs)
    return left


if __name__ == '__main__':
    unittest.main()
