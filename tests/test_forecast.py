"""Which jobs are refused, and the leader's forecast of the wait."""

import unittest

import msgspec

from bench.load_shedding import OVERLOAD, PlainDay, SheddingDay
from bench.replay import Load
from curranthill.admission import (
    FULL,
    MAX_FORECAST_AGE_S,
    MAX_WAITING,
    MAX_WAITING_PER_WORKSPACE,
    TOO_LATE,
    WORKSPACE_FULL,
    Forecast,
    Refusal,
    ServiceForecast,
    ServiceResources,
    check_admission,
    make_forecast,
)
from curranthill.placement import NONE_DISABLED, ActiveJob
from curranthill.tasks import JobProgress, JobSpec, Queue, Resources, Step
from tests.domain import (
    ONE_GPU,
    SERVICE,
    WORKER_CAPACITY,
    make_queue,
    make_spec,
)

TOTAL = Resources(*(8 * part for part in WORKER_CAPACITY))
NONE_FREE = Resources()
NOW_S = 1_700_001_000.0
GANG = Step(width=2, needs=ONE_GPU._replace(gpus=8), estimate_s=4.0, gang=True)
RESOURCES = {SERVICE: ServiceResources(TOTAL, lambda: NONE_FREE)}


def forecast_of_wait(
    wait_s: float = 100.0,
    *,
    free: Resources = NONE_FREE,
    unused_guarantees: dict[str, int] | None = None,
) -> Forecast:
    """Return a forecast with the same wait for all jobs."""
    steps: tuple[tuple[float, float], ...] = ((0.0, wait_s),)
    waits = {priority: steps for priority in (0, 1, 2)}
    return Forecast(
        number=1,
        services=(ServiceForecast(SERVICE, TOTAL, free, waits),),
        unused_guarantees=unused_guarantees or {},
    )


def refused(
    spec: JobSpec,
    forecast: Forecast | None,
    age_s: float = 0.5,
) -> Refusal:
    """Return the refusal of a job that must be refused."""
    refusal = check_admission(spec, forecast, age_s)
    assert refusal is not None
    return refusal


def waiting_jobs(
    count: int, step: Step = GANG, **options: int
) -> list[ActiveJob]:
    """Return jobs that arrived within the last seconds and wait."""
    jobs = []
    for number in range(count):
        accepted_at_s = NOW_S - 4.0 * number / count
        spec = make_spec(f'w{number}', step, accepted_at_s=accepted_at_s)
        spec = spec._replace(
            workspace=f'team-{number % options.get("workspaces", 4)}',
            queue=make_queue(options.get('priority', 1)),
        )
        jobs.append(ActiveJob(spec=spec, progress=JobProgress('q', tasks={})))
    return jobs


def forecast_for(jobs: list[ActiveJob], guaranteed: int = 0) -> Forecast | None:
    """Return the leader's forecast for some waiting jobs."""
    return make_forecast(
        jobs,
        resources=RESOURCES,
        guaranteed={f'team-{number}': guaranteed for number in range(4)},
        now_s=NOW_S,
        number=7,
    )


class RefusalTest(unittest.TestCase):
    """One job on one host with one forecast."""

    def test_a_job_that_can_earn_nothing_is_refused(self) -> None:
        """Its least wait alone exceeds three times its objective."""
        refusal = refused(make_spec('a1', GANG), forecast_of_wait(100.0))
        self.assertEqual(refusal.reason, TOO_LATE)
        self.assertEqual(refusal.wait_s, 100.0)

    def test_a_job_that_may_earn_is_accepted_with_a_margin(self) -> None:
        """Its objective is 9 s, so it earns until 27 s; it runs for 4 s."""
        spec = make_spec('a1', GANG)
        self.assertIsNone(check_admission(spec, forecast_of_wait(27.0), 0.5))
        self.assertIsNone(check_admission(spec, forecast_of_wait(38.0), 0.5))
        self.assertIsNotNone(check_admission(spec, forecast_of_wait(39.0), 0.5))

    def test_no_job_is_refused_without_a_fresh_forecast(self) -> None:
        """There is none, it is too old, or it has another format version."""
        spec = make_spec('a1', GANG)
        newer = msgspec.structs.replace(forecast_of_wait(), format_version=2)
        self.assertIsNone(check_admission(spec, None, 0.0))
        self.assertIsNone(
            check_admission(spec, forecast_of_wait(), MAX_FORECAST_AGE_S + 0.1)
        )
        self.assertIsNone(check_admission(spec, newer, 0.0))
        self.assertIsNotNone(
            check_admission(spec, forecast_of_wait(), MAX_FORECAST_AGE_S)
        )

    def test_a_job_that_fits_now_is_accepted(self) -> None:
        """However long others wait."""
        spec = make_spec('a1', GANG)
        self.assertIsNone(
            check_admission(spec, forecast_of_wait(free=WORKER_CAPACITY), 0.5)
        )
        seven = WORKER_CAPACITY._replace(gpus=7)
        self.assertIsNotNone(
            check_admission(spec, forecast_of_wait(free=seven), 0.5)
        )

    def test_recurring_and_perpetual_jobs_are_accepted(self) -> None:
        """Their credit depends on other measures."""
        spec = make_spec('a1', GANG)
        perpetual = make_spec('a2', GANG._replace(perpetual=True))
        self.assertIsNone(
            check_admission(spec._replace(times=3), forecast_of_wait(), 0.5)
        )
        self.assertIsNone(check_admission(perpetual, forecast_of_wait(), 0.5))

    def test_a_queue_without_an_objective_refuses_no_job_as_late(self) -> None:
        """Its configuration sets no objective."""
        plain = Queue('q', 'jobs.example', '/q/', SERVICE, priority=1)
        spec = make_spec('a1', GANG)._replace(queue=plain)
        self.assertIsNone(check_admission(spec, forecast_of_wait(), 0.5))

    def test_wide_steps_are_accepted(self) -> None:
        """They take longer than their chain even on idle workers."""
        spec = make_spec('a1', GANG._replace(width=3))
        self.assertIsNone(check_admission(spec, forecast_of_wait(), 0.5))

    def test_another_service_is_not_affected(self) -> None:
        """The forecast does not contain it."""
        spec = make_spec('a1', GANG)
        queue = spec.queue._replace(service='other')
        self.assertIsNone(
            check_admission(spec._replace(queue=queue), forecast_of_wait(), 0.5)
        )

    def test_a_job_that_a_guarantee_may_cover_is_accepted(self) -> None:
        """An urgent job, unless its workspace has used its guarantee up."""
        spec = make_spec('a1', GANG, priority=0)
        self.assertIsNone(check_admission(spec, forecast_of_wait(), 0.5))
        for unused, accepted in ((16, True), (15, False)):
            forecast = forecast_of_wait(unused_guarantees={'alpha': unused})
            answer = check_admission(spec, forecast, 0.5)
            self.assertEqual(answer is None, accepted, unused)
        others = forecast_of_wait(unused_guarantees={'beta': 0})
        self.assertIsNone(check_admission(spec, others, 0.5))

    def test_a_task_does_not_fit_where_an_equal_one_waits(self) -> None:
        """The other one is served before it, and did not start there."""
        step = Step(width=2, needs=ONE_GPU, estimate_s=4.0)
        spec = make_spec('a1', step)
        forecast = forecast_of_wait(free=ONE_GPU)
        self.assertIsNone(check_admission(spec, forecast, 0.5))
        service = forecast.services[0]
        for waiting, accepted in ((ONE_GPU, False), (WORKER_CAPACITY, True)):
            changed = msgspec.structs.replace(
                service, least_waiting={1: waiting}
            )
            answer = check_admission(
                spec, msgspec.structs.replace(forecast, services=(changed,)), 0
            )
            self.assertEqual(answer is None, accepted, waiting)

    def test_a_gang_fits_only_as_a_whole(self) -> None:
        """One of its two tasks would fit."""
        spec = make_spec('a1', GANG)
        forecast = forecast_of_wait(free=WORKER_CAPACITY)
        service = forecast.services[0]
        for free, accepted in (
            (WORKER_CAPACITY, False),
            (TOTAL, True),
        ):
            changed = msgspec.structs.replace(service, free=free)
            answer = check_admission(
                spec, msgspec.structs.replace(forecast, services=(changed,)), 0
            )
            self.assertEqual(answer is None, accepted, free)


class RetryAfterTest(unittest.TestCase):
    """When refused callers retry."""

    def test_all_retries_are_of_use(self) -> None:
        """After four retries, as late as they may be, the job earns credit."""
        for estimate_s in (1.0, 4.0, 20.0):
            spec = make_spec('a1', GANG._replace(estimate_s=estimate_s))
            refusal = refused(spec, forecast_of_wait(1000.0))
            last_s = 4 * (refusal.retry_after_s + refusal.jitter_s)
            earns_s = 3 * (spec.objective_s - spec.accepted_at_s)
            self.assertLessEqual(last_s + spec.critical_path_s, earns_s + 0.01)

    def test_earlier_objectives_retry_sooner(self) -> None:
        """All of them retry within the time in which their jobs earn credit."""
        delays_s = []
        for estimate_s in (1.0, 2.0, 4.0, 8.0):
            spec = make_spec('a1', GANG._replace(estimate_s=estimate_s))
            refusal = refused(spec, forecast_of_wait(1000.0))
            delays_s.append(refusal.retry_after_s)
            latest_s = refusal.retry_after_s + refusal.jitter_s
            left_s = 3 * (spec.objective_s - spec.accepted_at_s)
            self.assertLess(latest_s, left_s - spec.critical_path_s)
        self.assertEqual(delays_s, sorted(delays_s))
        self.assertEqual(len(set(delays_s)), len(delays_s))

    def test_no_caller_retries_within_a_second(self) -> None:
        """The header has whole seconds."""
        forecast = Forecast(number=1, waiting=MAX_WAITING)
        refusal = refused(make_spec(), forecast)
        self.assertGreaterEqual(refusal.retry_after_s, 1.0)
        self.assertGreater(refusal.jitter_s, 0.0)


class BoundsTest(unittest.TestCase):
    """Limits of the queue, as under a hundred times the usual load."""

    def test_the_whole_queue_is_bounded(self) -> None:
        """For all kinds of jobs and callers."""
        forecast = Forecast(number=1, waiting=MAX_WAITING)
        self.assertEqual(refused(make_spec(), forecast).reason, FULL)
        perpetual = make_spec('a2', GANG._replace(perpetual=True))
        self.assertEqual(refused(perpetual, forecast).reason, FULL)
        fewer = Forecast(number=1, waiting=MAX_WAITING - 1)
        self.assertIsNone(check_admission(make_spec(), fewer, 0.5))

    def test_one_workspace_can_not_fill_the_queue(self) -> None:
        """It may use at most half of the queue."""
        jobs = waiting_jobs(MAX_WAITING_PER_WORKSPACE, workspaces=1)
        forecast = forecast_for(jobs)
        assert forecast is not None
        spec = make_spec('a1', WIDE_STEP)._replace(workspace='team-0')
        self.assertEqual(refused(spec, forecast).reason, WORKSPACE_FULL)
        other = spec._replace(workspace='team-1', times=2)
        self.assertIsNone(check_admission(other, forecast, 0.5))

    def test_a_covered_job_is_accepted_even_then(self) -> None:
        """It uses no more than the guarantee."""
        forecast = Forecast(number=1, waiting=MAX_WAITING)
        self.assertIsNone(check_admission(make_spec(priority=0), forecast, 0.5))


#: Too wide to be refused for its wait.
WIDE_STEP = GANG._replace(width=3)


class ForecastTest(unittest.TestCase):
    """The content of the leader's forecast."""

    def test_nothing_is_published_while_no_job_waits_long(self) -> None:
        """The leader's row is as small as before."""
        self.assertIsNone(forecast_for([]))
        one = ActiveJob(spec=make_spec(), progress=JobProgress('q', tasks={}))
        self.assertIsNone(forecast_for([one]))

    def test_the_wait_is_that_of_the_work_ahead(self) -> None:
        """Twenty gangs of 64 accelerator-seconds wait for 64 accelerators."""
        forecast = forecast_for(waiting_jobs(20))
        assert forecast is not None
        wait_s = forecast.services[0].wait_s(1, objective_s=9.0)
        self.assertEqual(wait_s, 20.0)
        self.assertEqual(forecast.waiting, 20)

    def test_more_urgent_work_is_served_before(self) -> None:
        """Less urgent work does not."""
        jobs = waiting_jobs(20, priority=0) + waiting_jobs(20, priority=1)
        forecast = forecast_for(jobs)
        assert forecast is not None
        service = forecast.services[0]
        self.assertEqual(service.wait_s(0, objective_s=9.0), 20.0)
        self.assertEqual(service.wait_s(1, objective_s=9.0), 40.0)
        self.assertEqual(service.wait_s(2, objective_s=9.0), 0.0)

    def test_an_earlier_objective_waits_less(self) -> None:
        """It is served before long jobs of the same priority."""
        long = GANG._replace(estimate_s=40.0)
        forecast = forecast_for(waiting_jobs(10, long))
        assert forecast is not None
        self.assertEqual(forecast.services[0].wait_s(1, objective_s=9.0), 0.0)
        self.assertIsNone(check_admission(make_spec('a1', GANG), forecast, 0.5))

    def test_what_will_come_first_is_counted(self) -> None:
        """Urgent jobs have arrived for 10 s, as fast as they are done.

        Eight of ten of them are expected to arrive in the next 10 s, too.
        """
        urgent = waiting_jobs(10, priority=0)
        for number, job in enumerate(urgent):
            spec = job.spec._replace(accepted_at_s=NOW_S - number)
            urgent[number] = ActiveJob(
                spec=spec, progress=JobProgress('q', tasks={})
            )
        oldest = make_spec('low', GANG, accepted_at_s=NOW_S - 10.0)
        low = ActiveJob(spec=oldest, progress=JobProgress('q', tasks={}))
        forecast = forecast_for([low])
        self.assertIsNone(forecast)
        forecast = forecast_for([low, *urgent])
        assert forecast is not None
        wait_s = forecast.services[0].wait_s(1, objective_s=9.0)
        self.assertAlmostEqual(wait_s, 10.0 + 8.0, delta=0.5)

    def test_a_short_burst_is_not_expected_to_go_on(self) -> None:
        """Jobs have waited for less than 4 s, one of them of this priority."""
        jobs = waiting_jobs(20, priority=0) + waiting_jobs(1, priority=1)
        forecast = forecast_for(jobs)
        assert forecast is not None
        wait_s = forecast.services[0].wait_s(1, objective_s=9.0)
        self.assertEqual(wait_s, 21.0)

    def test_what_can_earn_nothing_any_more_is_served_last(self) -> None:
        """Its place in the order is lost 25 s after its acceptance.

        It then waits for 30 s more, or for all others; one that may earn for
        longer keeps its place.
        """
        spec = make_spec('a1', GANG)
        for others, wait_s in ((80, 55.0), (20, 48.0)):
            jobs = waiting_jobs(28, priority=1)
            forecast = forecast_for(jobs + waiting_jobs(others, priority=2))
            refusal = refused(spec, forecast)
            self.assertAlmostEqual(refusal.wait_s, wait_s)
            longer = make_spec('a2', GANG._replace(estimate_s=6.0))
            self.assertIsNone(check_admission(longer, forecast, 0.5))

    def test_unused_guarantees_are_published(self) -> None:
        """Only of workspaces with urgent jobs beyond them."""
        jobs = waiting_jobs(40, priority=0)
        forecast = forecast_for(jobs, guaranteed=40)
        assert forecast is not None
        # Two gangs of 16 are covered; 8 are left.
        expected = {f'team-{number}': 8 for number in range(4)}
        self.assertEqual(forecast.unused_guarantees, expected)

    def test_it_is_small(self) -> None:
        """It is stored in a row that each host reads three times a second."""
        jobs = [
            job
            for priority in (0, 1, 2)
            for job in waiting_jobs(400, priority=priority)
        ]
        forecast = forecast_for(jobs, guaranteed=40)
        self.assertLess(len(msgspec.json.encode(forecast)), 300)

    def test_it_is_decoded_as_it_was_encoded(self) -> None:
        """From a row that contains it among other fields."""
        forecast = forecast_for(waiting_jobs(40, priority=0), guaranteed=40)
        content = msgspec.json.decode(msgspec.json.encode(forecast))
        read = msgspec.convert(content, Forecast, str_keys=True)
        self.assertEqual(read, forecast)


class ReplayedOverloadTest(unittest.TestCase):
    """Random days with and without load shedding."""

    def test_a_day_with_enough_capacity_refuses_no_job(self) -> None:
        """Nor does one that is full at times."""
        for rate in (1.0, 1.6):
            day = SheddingDay(load=Load(rate=rate), workers=12, seed=1)
            day.play()
            self.assertEqual(day.refusals, 0, rate)

    def test_hardly_anything_that_would_have_earned_is_refused(self) -> None:
        """Demand is several times the capacity; hardly any credit is lost."""
        refused_jobs = 0
        lost = 0.0
        gained = 0.0
        for seed in (0, 1):
            day = SheddingDay(load=OVERLOAD, workers=12, seed=seed)
            plain = PlainDay(
                load=OVERLOAD,
                workers=12,
                seed=seed,
                disabled=NONE_DISABLED,
            )
            with_shedding = day.play()
            without_shedding = plain.play()
            refused_jobs += len(day.refused)
            lost += sum(plain.earned(one) for one in day.refused)
            gained += with_shedding.worth - without_shedding.worth
        self.assertGreater(refused_jobs, 0)
        # Single days differ by as much at random.
        self.assertGreater(gained / 2, -0.02)
        # A twentieth of what as many jobs would have earned in time.
        self.assertLessEqual(lost, 0.05 * refused_jobs * 3)


if __name__ == '__main__':
    unittest.main()
