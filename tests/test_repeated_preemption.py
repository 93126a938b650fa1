"""How often one job is preempted, and that it ends all the same."""

import unittest
from collections import Counter
from typing import Any, NamedTuple
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from curranthill.placement.planner import MAX_RESTARTS
from curranthill.tasks import JobSpec, Step, TaskKey
from curranthill.telemetry.events import events
from tests.domain import WORKER_CAPACITY, Domain, in_domain, make_spec

#: A job that uses a whole worker, as a gang.
GANG = Step(width=1, needs=WORKER_CAPACITY, estimate_s=12.0, gang=True)
URGENT = Step(width=1, needs=WORKER_CAPACITY, estimate_s=1.0)

#: The gang's only task.
MEMBER = TaskKey('low', 0, 0, 0)

#: The workspace that has a guarantee, of one worker, and one without any.
GUARANTEED = 'alpha'
BEYOND = 'beta'

#: Within this time after its acceptance guaranteed work starts, in seconds: the
#: shortest that the users' deployments allow.
GUARANTEED_START_S = 2.7


def urgent_spec(domain: Domain, number: int, workspace: str) -> JobSpec:
    """Return an urgent job that is submitted now."""
    return make_spec(
        f'urgent{number}',
        URGENT,
        priority=0,
        workspace=workspace,
        accepted_at_s=domain.clock.wall_s(),
    )


async def submit_gang(domain: Domain) -> None:
    """Submit the gang and wait until it runs."""
    leader = await domain.leader()
    spec = make_spec('low', GANG, accepted_at_s=domain.clock.wall_s())
    await leader.accept(spec)
    await domain.clock.until(lambda: bool(domain.starts(MEMBER)))


def make_runs_long(domain: Domain) -> None:
    """Let the gang run for 12 s and every other job for 1 s."""
    for worker in domain.workers.values():
        worker.run_s_by_task[MEMBER] = GANG.estimate_s


class RepeatedPreemptionTest(unittest.TestCase):
    """One worker, a gang, and a sequence of urgent jobs."""

    def test_a_gang_ends_beside_a_sequence_of_urgent_jobs(self) -> None:
        """It used to start with every pause of the sequence and never ended."""

        async def case(domain: Domain) -> None:
            make_runs_long(domain)
            host = domain.start_host('h1')
            await submit_gang(domain)
            for number in range(30):
                await domain.clock.advance(2.0)
                await host.accept(urgent_spec(domain, number, BEYOND))
            self.assertEqual(domain.state('low'), 'completed')
            self.assertLessEqual(len(domain.starts(MEMBER)), MAX_RESTARTS + 1)
            for number in range(30):
                ended = await domain.ended(f'urgent{number}')
                self.assertEqual(ended, 'completed')

        in_domain(case, workers=1)

    def test_the_bound_holds_when_leaders_change(self) -> None:
        """The leader is killed after each stop, before it can store it."""

        async def case(domain: Domain) -> None:
            make_runs_long(domain)
            domain.start_host('h0')
            await submit_gang(domain)
            for number in range(12):
                host = domain.start_host(f'h{number + 1}')
                await host.accept(urgent_spec(domain, number, BEYOND))
                # The gang is stopped by now, and what was decided may not be
                # stored.
                await domain.clock.advance(0.05)
                await domain.leading()[0].kill()
                await domain.leader()
                await domain.clock.advance(4.0)
            self.assertEqual(await domain.ended('low'), 'completed')
            self.assertLessEqual(len(domain.starts(MEMBER)), MAX_RESTARTS + 1)

        in_domain(case, workers=1)

    def test_a_guarantee_preempts_a_gang_that_is_spared_otherwise(self) -> None:
        """Guaranteed work starts within its bound at any moment."""

        async def case(domain: Domain) -> None:
            make_runs_long(domain)
            host = domain.start_host('h1')
            await submit_gang(domain)
            for number in range(MAX_RESTARTS + 1):
                await domain.clock.advance(2.0)
                await host.accept(urgent_spec(domain, number, BEYOND))
            await domain.clock.advance(2.0)
            self.assertFalse(domain.starts(TaskKey('urgent3', 0, 0, 0)))
            covered = urgent_spec(domain, 99, GUARANTEED)
            await host.accept(covered)
            await domain.clock.until(
                lambda: bool(domain.starts(TaskKey('urgent99', 0, 0, 0))),
                within_s=GUARANTEED_START_S,
            )

        in_domain(case, workers=1)


class DrawnJob(NamedTuple):
    """A job that arrives some time after the one before it.

    :param run_s: how long its tasks run, which is their estimate too.
    :param kills: whether the leader is killed right after its arrival.
    """

    after_s: float
    run_s: float
    priority: int
    width: int
    gang: bool
    workspace: str
    kills: bool

    def spec(self, number: int, domain: Domain) -> JobSpec:
        """Return the job as it is submitted now."""
        step = Step(
            width=self.width,
            needs=WORKER_CAPACITY,
            estimate_s=self.run_s,
            gang=self.gang,
        )
        return make_spec(
            f'job{number}',
            step,
            priority=self.priority,
            workspace=self.workspace,
            accepted_at_s=domain.clock.wall_s(),
        )


#: The first job of each case, which all others may preempt.
LONG_JOB = DrawnJob(
    after_s=0.0,
    run_s=12.0,
    priority=2,
    width=2,
    gang=True,
    workspace=BEYOND,
    kills=False,
)


def drawn_jobs(
    workspaces: tuple[str, ...], *, kills: bool
) -> st.SearchStrategy[list[DrawnJob]]:
    """Return a strategy for arrivals on a small cluster.

    Most jobs are urgent and shorter than the pauses between them, so that the
    others start over and over.
    """
    return st.lists(
        st.builds(
            DrawnJob,
            after_s=st.sampled_from((0.0, 1.0, 2.0)),
            run_s=st.sampled_from((0.4, 1.0)),
            priority=st.sampled_from((0, 0, 0, 0, 1, 2)),
            width=st.integers(1, 2),
            gang=st.booleans(),
            workspace=st.sampled_from(workspaces),
            kills=st.sampled_from((False, kills)),
        ),
        min_size=6,
        max_size=16,
    )


class Observed(NamedTuple):
    """What happened on a cluster.

    :param stops: preemptions of each task for jobs beyond a guarantee.
    :param starts_s: how long covered jobs waited for their first start.
    """

    stops: Counter[str]
    starts_s: list[float]


async def play(domain: Domain, jobs: list[DrawnJob]) -> Observed:
    """Submit the jobs and wait until all of them have ended."""
    observed = Observed(Counter(), [])

    def record(kind: str, **fields: Any) -> None:
        if kind == 'preempted' and fields['beyond_guarantee']:
            observed.stops[fields['task']] += 1

    arrivals = (LONG_JOB, *jobs)
    with patch.object(events, 'log', record):
        domain.start_host('h0')
        await domain.leader()
        for number, drawn in enumerate(arrivals):
            await domain.clock.advance(drawn.after_s)
            await submit(domain, number, drawn, observed)
        for number, _ in enumerate(arrivals):
            state = await domain.ended(f'job{number}', within_s=200)
            assert state == 'completed', state
    return observed


async def submit(
    domain: Domain, number: int, drawn: DrawnJob, observed: Observed
) -> None:
    """Submit a job; kill the leader, or wait for a guaranteed start."""
    spec = drawn.spec(number, domain)
    for worker in domain.workers.values():
        for rank in range(drawn.width):
            key = TaskKey(spec.job_id, 0, 0, rank)
            worker.run_s_by_task[key] = drawn.run_s
    await domain.leading()[0].accept(spec)
    if drawn.kills:
        domain.start_host(f'h{number + 1}')
        await domain.clock.advance(0.01)
        await domain.leading()[0].kill()
        await domain.leader()
    elif drawn.priority == 0 and drawn.workspace == GUARANTEED:
        observed.starts_s.append(await wait_for_start(domain, spec))


async def wait_for_start(domain: Domain, spec: JobSpec) -> float:
    """Advance the time until a job starts and ends; return its wait."""
    key = TaskKey(spec.job_id, 0, 0, 0)
    since_s = domain.clock.monotonic_s()
    await domain.clock.until(lambda: bool(domain.starts(key)))
    waited_s = domain.clock.monotonic_s() - since_s
    await domain.ended(spec.job_id)
    return waited_s


class PreemptionPropertiesTest(unittest.TestCase):
    """Random arrivals on two workers, each used whole by one task."""

    @settings(max_examples=20)
    @given(drawn_jobs((BEYOND,), kills=True))
    def test_no_task_is_stopped_more_often_than_its_bound(
        self, jobs: list[DrawnJob]
    ) -> None:
        """Every accepted job ends, also when leaders change."""

        async def case(domain: Domain) -> None:
            observed = await play(domain, jobs)
            most = max(observed.stops.values(), default=0)
            self.assertLessEqual(most, MAX_RESTARTS)

        in_domain(case)

    @settings(max_examples=20)
    @given(drawn_jobs((GUARANTEED, BEYOND), kills=False))
    def test_guaranteed_work_starts_within_its_bound(
        self, jobs: list[DrawnJob]
    ) -> None:
        """Only one worker is guaranteed, so each job is of one task."""
        narrow = [
            one._replace(width=1) if one.workspace == GUARANTEED else one
            for one in jobs
        ]

        async def case(domain: Domain) -> None:
            observed = await play(domain, narrow)
            longest_s = max(observed.starts_s, default=0.0)
            self.assertLessEqual(longest_s, GUARANTEED_START_S)
            most = max(observed.stops.values(), default=0)
            self.assertLessEqual(most, MAX_RESTARTS)

        in_domain(case)
