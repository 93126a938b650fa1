"""Jobs with any number of occurrences that are due or done."""

import time
import tracemalloc
import unittest
from collections.abc import Iterator
from typing import Final

from hypothesis import given, settings
from hypothesis import strategies as st

from curranthill.dispatch.leadership import (
    LeaderRow,
    RangesLeaderRow,
    SpreadRangesLeaderRow,
    encode_leader_row,
    leader_row_of,
)
from curranthill.placement import ActiveJob, Planner
from curranthill.placement.occurrences import (
    MAX_LISTED_OCCURRENCES,
    MAX_OPEN_STEPS,
)
from curranthill.placement.timeliness import is_infeasible, is_late
from curranthill.storage.rows import MalformedRecordError, StoredRow
from curranthill.tasks import (
    JobProgress,
    JobSpec,
    RangeSet,
    Resources,
    RowLayout,
    Step,
    TaskKey,
    TaskProgress,
    check_progress,
    interval_error,
    decode,
    encode_progress,
    schedule_errors,
    tables,
)
from curranthill.tasks.parts import ProgressPart, join
from tests.domain import ONE_GPU, SERVICE, Domain, in_domain, make_spec
from tests.test_planner import make_run, make_worker

#: A task that takes a thousandth of a worker.
SMALL: Final = Resources(cpu_millis=32, memory_mb=64)
STEP: Final = Step(width=1, needs=SMALL, estimate_s=1.0)
GPU_STEP: Final = STEP._replace(needs=ONE_GPU)
NOW_S: Final = 1_700_001_000.0

#: Numbers of occurrences whose costs are compared.
FEW: Final = 1_000
MANY: Final = 10**12


def recurring(
    times: int,
    *steps: Step,
    job_id: str = 'large',
    interval_s: float = 0.0,
    start_at_s: float = NOW_S,
    priority: int = 1,
) -> JobSpec:
    """Return a job with some occurrences."""
    spec = make_spec(job_id, *(steps or (STEP,)), priority=priority)
    return spec._replace(
        times=times, interval_s=interval_s, start_at_s=start_at_s
    )


def make_job(spec: JobSpec) -> ActiveJob:
    """Return a job of which nothing has started."""
    return ActiveJob(spec=spec, progress=JobProgress(spec.queue.name))


def finish(job: ActiveJob, occurrence: int, number: int) -> None:
    """Record that all tasks of a step are done."""
    for key in job.keys_of(occurrence, number):
        job.occurrences.open(occurrence, number)
        job.progress.task(key).done = True
    assert job.step_done(occurrence, number)


def ready_ids(job: ActiveJob, now_s: float = NOW_S) -> list[tuple[int, int]]:
    """Return the steps that a round considers."""
    return [(one.occurrence, one.number) for one in job.ready_steps(now_s)]


class RangeSetTest(unittest.TestCase):
    """Ranges behave like the set of their numbers."""

    @settings(max_examples=200)
    @given(st.lists(st.integers(0, 30)), st.integers(0, 31))
    def test_against_a_set(self, numbers: list[int], start: int) -> None:
        """Numbers are added in any order, and may repeat."""
        ranges = RangeSet()
        for number in numbers:
            ranges.add(number)
        for number in range(32):
            self.assertEqual(number in ranges, number in numbers)
        absent = next(one for one in range(start, 64) if one not in numbers)
        self.assertEqual(ranges.next_absent(start), absent)
        present = min((one for one in numbers if one >= start), default=None)
        self.assertEqual(ranges.next_present(start), present)
        self.assertEqual(ranges.bounds, sorted(set(ranges.bounds)))


class CostTest(unittest.TestCase):
    """Neither time nor memory grow with the number of occurrences."""

    def test_a_round_considers_a_bounded_number(self) -> None:
        """Whatever the number of due occurrences, steps and tasks."""
        for steps in (
            (STEP,),
            (STEP._replace(width=3000),),
            tuple(STEP for _ in range(300)),
        ):
            few = ready_ids(make_job(recurring(FEW, *steps)))
            many = ready_ids(make_job(recurring(MANY, *steps)))
            self.assertEqual(few, many)
            self.assertLessEqual(len(many), max(100, 2 * len(steps)))

    def test_the_time_of_a_round_does_not_depend_on_it(self) -> None:
        """A round over so many occurrences one by one would never end."""
        for done in (0, MANY - 200):
            job = make_job(recurring(MANY))
            job.progress.done_ranges[0] = [0, done] if done else []
            job = ActiveJob(spec=job.spec, progress=job.progress)
            began_s = time.process_time()
            for _ in range(10):
                plan([job])
                self.assertFalse(job.check_completed(NOW_S))
                is_infeasible(job, NOW_S + 1000)
                is_late(job, NOW_S + 1000)
            self.assertLess(time.process_time() - began_s, 2.0)

    def test_memory_stays_bounded_while_occurrences_are_done(self) -> None:
        """Nothing is kept of an occurrence that is done."""
        job = make_job(recurring(MANY))
        peaks = []
        for _ in range(2):
            tracemalloc.start()
            for _ in range(60):
                for occurrence, number in ready_ids(job):
                    finish(job, occurrence, number)
                job.occurrences.advance_position()
            peaks.append(tracemalloc.get_traced_memory()[1])
            tracemalloc.stop()
        self.assertLess(peaks[1], 1.5 * peaks[0] + 100_000)
        self.assertEqual(job.progress.tasks, {})
        self.assertLess(len(encode_progress(job.progress)), 300)

    def test_started_steps_are_bounded(self) -> None:
        """Those that have started are offered on, but no further ones."""
        job = make_job(recurring(MANY))
        for _ in range(100):
            for occurrence, number in ready_ids(job):
                job.occurrences.open(occurrence, number)
            job.occurrences.advance_position()
        open_steps = len(job.occurrences.open_steps())
        self.assertLess(open_steps, MAX_OPEN_STEPS + 200)
        self.assertTrue(ready_ids(job))


class OrderTest(unittest.TestCase):
    """Which occurrences a round considers."""

    def test_only_due_occurrences_start(self) -> None:
        """The times of occurrences are rounded, also those long ago."""
        spec = recurring(MANY, interval_s=0.1, start_at_s=NOW_S - 1e8)
        job = make_job(spec)
        for now_s in (NOW_S - 2e8, NOW_S - 1e8, NOW_S, NOW_S + 0.05):
            count = job.occurrences.due_count(now_s)
            if count:
                self.assertLessEqual(spec.due_s(count - 1), now_s)
            self.assertGreater(spec.due_s(count + 1), now_s)

    def test_a_step_that_can_not_start_holds_up_no_other(self) -> None:
        """A step that nothing waits for goes on in later occurrences."""
        job = make_job(recurring(MANY, STEP._replace(label='none'), STEP))
        for _ in range(50):
            for occurrence, number in ready_ids(job):
                if number == 1:
                    finish(job, occurrence, number)
            job.occurrences.advance_position()
        self.assertEqual(job.occurrences.current, 0)
        self.assertGreater(job.progress.done_ranges[1][1], 1000)
        self.assertIn((0, 0), ready_ids(job))

    def test_all_waiting_occurrences_are_considered_in_turn(self) -> None:
        """One further back may fit where the first ones do not."""
        job = make_job(recurring(500))
        seen: set[int] = set()
        for _ in range(30):
            seen.update(occurrence for occurrence, _ in ready_ids(job))
            job.occurrences.advance_position()
        self.assertEqual(seen, set(range(500)))

    def test_steps_start_after_those_that_they_wait_for(self) -> None:
        """In each occurrence by itself."""
        job = make_job(recurring(MANY, STEP, STEP._replace(after=(0,))))
        for occurrence in (0, 1, 5, 7):
            finish(job, occurrence, 0)
        later = [one for one, number in ready_ids(job) if number == 1]
        self.assertEqual(later, [0, 1, 5, 7])

    def test_the_objective_is_that_of_the_current_occurrence(self) -> None:
        """The first one that is not done."""
        job = make_job(recurring(100, interval_s=60.0))
        allowed_s = job.objective_s - NOW_S
        finish(job, 1, 0)
        self.assertEqual(job.first_due_s, NOW_S)
        finish(job, 0, 0)
        self.assertEqual(job.first_due_s, NOW_S + 120)
        self.assertEqual(job.objective_s, NOW_S + 120 + allowed_s)

    def test_a_backlog_comes_after_jobs_that_have_nothing_running(
        self,
    ) -> None:
        """Its first occurrences are infeasible, but it is at work."""
        late_s = NOW_S + 1000
        large = make_job(recurring(MANY, GPU_STEP))
        small = make_job(make_spec('small', GPU_STEP, accepted_at_s=late_s))
        started = plan([large, small], late_s)
        self.assertEqual(started[0].job_id, 'large')
        run = make_run('w0', 1, job_id='large')
        large.runs[TaskKey('large', 1, 0, 0)] = run
        started = plan([large, small], late_s)
        self.assertEqual(started[0].job_id, 'small')
        self.assertEqual(started[1].job_id, 'large')


class StoredTest(unittest.TestCase):
    """The progress of jobs with many occurrences, as it is stored."""

    def test_done_occurrences_are_stored_as_ranges(self) -> None:
        """The next leader continues with the others."""
        spec = recurring(MANY)
        job = make_job(spec)
        for occurrence in (*range(40), 50, 52):
            finish(job, occurrence, 0)
        stored = decode(encode_progress(job.progress), JobProgress)
        self.assertEqual(stored.done_steps, [])
        check_progress(spec, stored)
        again = ActiveJob(spec=spec, progress=stored)
        self.assertTrue(again.begun)
        self.assertEqual(ready_ids(again), ready_ids(job))
        self.assertEqual(again.occurrences.current, 40)

    def test_the_list_of_an_earlier_release_is_read(self) -> None:
        """It becomes ranges with the next write."""
        spec = recurring(MANY)
        done_steps = [f'{number}.0' for number in range(30)]
        progress = JobProgress('q', state='running', done_steps=done_steps)
        job = ActiveJob(spec=spec, progress=progress)
        self.assertEqual(job.occurrences.current, 30)
        self.assertEqual(job.progress.done_steps, [])
        self.assertEqual(job.progress.done_ranges, {0: [0, 30]})

    def test_jobs_with_few_occurrences_are_stored_as_before(self) -> None:
        """Earlier releases can read them."""
        job = make_job(recurring(MAX_LISTED_OCCURRENCES))
        finish(job, 3, 0)
        self.assertEqual(job.progress.done_steps, ['3.0'])
        self.assertEqual(job.progress.done_ranges, {})

    def test_tasks_of_done_occurrences_are_left_out(self) -> None:
        """The row of the ranges is written before those of the tasks."""
        own_row = JobProgress(
            'q', layout=RowLayout(1, 1, 1), done_ranges={0: [0, 5]}
        )
        tasks = {f'{number}.0.0': TaskProgress(1) for number in (4, 5)}
        parts = {0: ProgressPart(), 1: ProgressPart(tasks=tasks)}
        joined = join(own_row, parts)
        self.assertEqual(list(joined.tasks), ['5.0.0'])
        self.assertEqual(joined.done_ranges, {0: [0, 5]})

    def test_invalid_ranges_are_malformed(self) -> None:
        """Another writer may have stored them."""
        spec = recurring(100)
        for bounds in ([1], [3, 2], [0, 101], [-1, 5], [0, 5, 5, 7]):
            progress = JobProgress('q', done_ranges={0: bounds})
            with self.assertRaises(MalformedRecordError):
                check_progress(spec, progress)
        with self.assertRaises(MalformedRecordError):
            check_progress(spec, JobProgress('q', done_ranges={1: [0, 1]}))

    def test_earlier_releases_can_not_read_the_leaders_row(self) -> None:
        """None of their hosts takes over while ranges are stored."""
        for kind in (RangesLeaderRow, SpreadRangesLeaderRow):
            row = kind(holder='h', epoch=3)
            content = encode_leader_row(row)
            with self.assertRaises(MalformedRecordError):
                decode(content, LeaderRow)
            stored = StoredRow(tables.LEADER, tables.LEADER_KEY, content, 1)
            self.assertEqual(leader_row_of(stored), row)

    def test_times_that_are_no_numbers_are_refused(self) -> None:
        """Any number of occurrences is accepted."""
        self.assertEqual(schedule_errors(recurring(MANY)), ())
        self.assertTrue(interval_error(-1.0))
        self.assertFalse(interval_error(0.0))
        self.assertTrue(schedule_errors(recurring(10, interval_s=1e308)))
        self.assertTrue(schedule_errors(recurring(10**30, interval_s=1.0)))


class LeaderTest(unittest.TestCase):
    """A leader with a job of very many due occurrences."""

    def test_small_jobs_start_and_the_job_goes_on_under_any_leader(
        self,
    ) -> None:
        """No task of it starts twice."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            leader = await domain.leader()
            await leader.accept(recurring(MANY, GPU_STEP, start_at_s=0.0))
            await domain.clock.until(lambda: bool(domain.any_run()))
            domain.start_host('h2')
            await domain.clock.advance(5)
            small = make_spec('small', accepted_at_s=domain.clock.wall_s())
            await leader.accept(small)
            await domain.clock.until(
                lambda: bool(domain.starts(TaskKey('small', 0, 0, 0))),
                within_s=2,
            )
            before = domain.progress('large').done_ranges[0][1]
            await domain.leading()[0].kill()
            leader = await domain.leader()
            await domain.clock.advance(10)
            self.assertGreater(
                domain.progress('large').done_ranges[0][1], before
            )
            counts: dict[TaskKey, int] = {}
            for key in all_starts(domain):
                counts[key] = counts.get(key, 0) + 1
            self.assertEqual(set(counts.values()), {1})

        in_domain(case, workers=2)

    def test_such_a_job_completes(self) -> None:
        """All its occurrences run once, under a change of the leader."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            leader = await domain.leader()
            await leader.accept(recurring(300, GPU_STEP, start_at_s=0.0))
            domain.start_host('h2')
            await domain.clock.advance(1.5)
            await leader.kill()
            self.assertEqual(await domain.ended('large', 120), 'completed')
            self.assertEqual(
                sorted(key.occurrence for key in all_starts(domain)),
                list(range(300)),
            )
            await domain.clock.advance(2)
            row = domain.rows.rows[tables.LEADER, tables.LEADER_KEY]
            decode(row.content, LeaderRow)

        in_domain(case, workers=2, run_s=0.5)


def all_starts(domain: Domain) -> Iterator[TaskKey]:
    """Yield the task of each start of the large job."""
    for worker in domain.workers.values():
        for order in worker.starts:
            if order.task.job_id == 'large':
                yield order.task


def plan(jobs: list[ActiveJob], now_s: float = NOW_S) -> list[TaskKey]:
    """Return the tasks that a round starts on one worker, in its order."""
    planner = Planner(
        workers={SERVICE: [make_worker('w0', 'r1')]},
        guaranteed={},
        now_s=now_s,
        tickets=lambda job, ready: {},
    )
    return [
        key
        for placement in planner.plan(jobs).placements
        for key, _ in placement.workers
    ]
