"""Which jobs hosts refuse while the cluster is overloaded.

Four workers run gangs that use one worker each for ten seconds, and there are
more of them than can end within three times their objective.
"""

import asyncio
import unittest

import msgspec

from curranthill.admission import MAX_WAITING, TOO_LATE, check_admission
from curranthill.dispatch.leadership import LeaderRow, leader_row_of
from curranthill.errors import NOT_RUN, RefusedError
from curranthill.placement import validate_mechanisms
from curranthill.storage.rows import RowPut
from curranthill.tasks import JobSpec, Step, decode, encode, tables
from tests.domain import ONE_GPU, Domain, TestHost, in_domain, make_spec

RUN_S = 10.0
GANG = Step(
    width=1,
    needs=ONE_GPU._replace(gpus=8),
    estimate_s=RUN_S,
    gang=True,
)

#: Four run at a time; one more would wait for 110 s, and earns credit for 63 s.
OVERLOAD = 48


def gang(job_id: str, domain: Domain, priority: int = 1) -> JobSpec:
    """Return a gang that is submitted now."""
    return make_spec(
        job_id,
        GANG,
        priority=priority,
        accepted_at_s=domain.clock.wall_s(),
    )


async def overload(domain: Domain) -> tuple[TestHost, TestHost]:
    """Submit more than can end in time; return the leader and another."""
    first = domain.start_host('h1')
    await domain.leader()
    second = domain.start_host('h2')
    await submit_burst(first, domain)
    # The time for a forecast each second, a heartbeat and a read.
    await domain.clock.advance(3.0)
    return first, second


async def submit_burst(host: TestHost, domain: Domain) -> None:
    """Submit all jobs at once, before a forecast shows them."""
    burst = asyncio.gather(
        *(
            host.handler.accept(gang(f'w{number}', domain), 3.0)
            for number in range(OVERLOAD)
        ),
    )
    await host.during(burst)


async def is_refused(host: TestHost, spec: JobSpec) -> bool:
    """Submit a job; return whether it was refused as not run."""
    try:
        await host.accept(spec)
    except RefusedError as refused:
        return refused.step == 'admit' and refused.outcome == NOT_RUN
    return False


def stored_leader_row(domain: Domain) -> LeaderRow:
    """Return the leader's stored row."""
    row = domain.rows.rows[(tables.LEADER, tables.LEADER_KEY)]
    return leader_row_of(row)


class OverloadTest(unittest.TestCase):
    """More jobs than can end in time."""

    def test_a_job_that_is_too_late_is_refused_at_once_and_not_stored(
        self,
    ) -> None:
        """On the leader's host and on any other."""

        async def case(domain: Domain) -> None:
            hosts = await overload(domain)
            for host in hosts:
                spec = gang(f'late-{host.name}', domain)
                with self.assertRaises(RefusedError) as caught:
                    await host.accept(spec)
                refused = caught.exception
                self.assertEqual(refused.status, 503)
                self.assertEqual(refused.outcome, NOT_RUN)
                self.assertIn(TOO_LATE, refused.message)
                self.assertGreaterEqual(refused.retry_after_s or 0, 1.0)
                await domain.clock.advance(1.0)
                rows = domain.rows.rows
                self.assertNotIn((tables.INTAKE, spec.job_id), rows)
                self.assertNotIn((tables.PROGRESS, spec.job_id), rows)

        in_domain(case, workers=4, run_s=RUN_S)

    def test_a_repeat_of_an_accepted_job_is_not_refused(self) -> None:
        """It is stored, so its caller must not be told that it does not run."""

        async def case(domain: Domain) -> None:
            _, second = await overload(domain)
            self.assertTrue(await is_refused(second, gang('new', domain)))
            again = gang(f'w{OVERLOAD - 1}', domain)
            self.assertFalse(await is_refused(second, again))
            self.assertEqual(domain.state(again.job_id), 'queued')

        in_domain(case, workers=4, run_s=RUN_S)

    def test_a_job_that_a_guarantee_covers_is_accepted(self) -> None:
        """It is urgent and within the guarantee of its workspace."""

        async def case(domain: Domain) -> None:
            _, second = await overload(domain)
            urgent = gang('urgent', domain, priority=0)
            self.assertFalse(await is_refused(second, urgent))

        in_domain(case, workers=4, run_s=RUN_S)

    def test_accepted_jobs_end_and_refusals_stop(self) -> None:
        """Once the queue has drained, no forecast is published."""

        async def case(domain: Domain) -> None:
            _, second = await overload(domain)
            await domain.ended(f'w{OVERLOAD - 1}', within_s=200)
            self.assertFalse(await is_refused(second, gang('new', domain)))
            self.assertIsNone(stored_leader_row(domain).forecast)

        in_domain(case, workers=4, run_s=RUN_S)

    def test_the_queue_is_bounded(self) -> None:
        """For all jobs except those that a guarantee covers."""

        async def case(domain: Domain) -> None:
            first = domain.start_host('h1')
            await domain.leader()
            small = Step(width=1, needs=GANG.needs, estimate_s=0.01)
            rows = [
                make_spec(f'w{number}', small, priority=2)
                for number in range(MAX_WAITING + 100)
            ]
            for worker in domain.workers.values():
                worker.run_s = RUN_S
            for spec in rows:
                put = RowPut(tables.INTAKE, spec.job_id, encode(spec))
                domain.rows.apply((), (put,), ())
            await domain.clock.advance(4.0)
            perpetual = make_spec('last', GANG._replace(perpetual=True))
            self.assertTrue(await is_refused(first, perpetual))
            covered = gang('urgent', domain, priority=0)
            self.assertFalse(await is_refused(first, covered))

        in_domain(case, workers=4, run_s=RUN_S)


class NoOverloadTest(unittest.TestCase):
    """Enough capacity for all jobs."""

    def test_no_forecast_is_published_and_no_job_refused(self) -> None:
        """The leader's row is as small as before."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            for number in range(4):
                await host.accept(gang(f'w{number}', domain))
            await domain.clock.advance(3.0)
            self.assertFalse(await is_refused(host, gang('new', domain)))
            self.assertLess(len(encode(stored_leader_row(domain))), 120)

        in_domain(case, workers=4, run_s=RUN_S)

    def test_it_can_be_disabled(self) -> None:
        """By its name, like every mechanism."""

        async def case(domain: Domain) -> None:
            domain.disabled = validate_mechanisms(('turning-away',))
            _, second = await overload(domain)
            self.assertFalse(await is_refused(second, gang('new', domain)))

        in_domain(case, workers=4, run_s=RUN_S)


class FailureTest(unittest.TestCase):
    """A forecast that may be wrong refuses no job."""

    def test_the_row_is_too_old(self) -> None:
        """The store refuses the leader's writes only."""

        async def case(domain: Domain) -> None:
            _, second = await overload(domain)
            self.assertTrue(await is_refused(second, gang('new', domain)))
            second.election.resign()
            domain.rows.refused_partitions.add(tables.LEADER_PARTITION)
            await domain.clock.advance(3.0)
            self.assertFalse(await is_refused(second, gang('new', domain)))

        in_domain(case, workers=4, run_s=RUN_S)

    def test_there_is_no_leader(self) -> None:
        """The leader was killed and no host takes over."""

        async def case(domain: Domain) -> None:
            first, second = await overload(domain)
            second.election.resign()
            await first.kill()
            await domain.clock.advance(3.0)
            self.assertFalse(await is_refused(second, gang('new', domain)))

        in_domain(case, workers=4, run_s=RUN_S)

    def test_a_new_leader_refuses_no_job_before_its_own_forecast(self) -> None:
        """After that it refuses like its predecessor."""

        async def case(domain: Domain) -> None:
            first, second = await overload(domain)
            await first.kill()
            await domain.leader()
            await domain.clock.advance(0.5)
            self.assertFalse(await is_refused(second, gang('one', domain)))
            await domain.clock.advance(5.0)
            self.assertTrue(await is_refused(second, gang('two', domain)))

        in_domain(case, workers=4, run_s=RUN_S)

    def test_a_host_that_could_not_read_refuses_no_job(self) -> None:
        """Reads failed for a moment; an earlier job may still be stored."""

        async def case(domain: Domain) -> None:
            _, second = await overload(domain)
            domain.rows.refused_hosts.add('h2')
            await domain.clock.advance(0.6)
            domain.rows.refused_hosts.clear()
            await domain.clock.advance(0.6)
            self.assertFalse(await is_refused(second, gang('one', domain)))
            await domain.clock.advance(6.0)
            self.assertTrue(await is_refused(second, gang('two', domain)))

        in_domain(case, workers=4, run_s=RUN_S)

    def test_a_request_without_a_response_is_not_refused_on_retry(
        self,
    ) -> None:
        """It may still be stored: the store delays it for five seconds."""

        async def case(domain: Domain) -> None:
            first = domain.start_host('h1')
            await domain.leader()
            second = domain.start_host('h2')
            await domain.clock.advance(2.0)
            await submit_burst(first, domain)
            spec = gang('new', domain)
            usual_s = domain.rows.commit_s
            domain.rows.commit_s = 5.0
            asked = asyncio.ensure_future(second.handler.accept(spec, 1.0))
            await domain.clock.advance(0.0)
            domain.rows.commit_s = usual_s
            with self.assertRaises(RefusedError) as caught:
                await second.during(asked)
            self.assertEqual(caught.exception.status, 504)
            await domain.clock.advance(3.0)
            self.assertTrue(await is_refused(first, gang('other', domain)))
            self.assertFalse(await is_refused(second, spec))

        in_domain(case, workers=4, run_s=RUN_S)

    def test_a_suspended_host_ignores_an_older_forecast(self) -> None:
        """The age of the forecast includes the suspension."""

        async def case(domain: Domain) -> None:
            _, second = await overload(domain)
            second.election.resign()
            self.assertTrue(await is_refused(second, gang('one', domain)))
            reader = second.election.forecasts
            second.clock.suspend()
            await domain.clock.advance(4.0)
            second.clock.resume()
            forecast, age_s = reader.newest()
            self.assertGreaterEqual(age_s, 4.0)
            self.assertIsNone(
                check_admission(gang('two', domain), forecast, age_s)
            )

        in_domain(case, workers=4, run_s=RUN_S)

    def test_unknown_forecast_versions_leave_the_row_readable(self) -> None:
        """A newer version, invalid content, and a row without a forecast."""
        contents = (
            [2, 5, 10, [], {}, [], 'more'],
            [1, 5, 10, 'roster'],
            {'waits': 3},
            7,
        )
        for forecast in contents:
            row = LeaderRow(holder='h', epoch=3, forecast=forecast)
            read = decode(encode(row), LeaderRow)
            self.assertEqual(read, row)
        older = decode(msgspec.json.encode(['h', 3, 'x', 0.0]), LeaderRow)
        self.assertIsNone(older.forecast)

    def test_hosts_ignore_unknown_forecast_versions(self) -> None:
        """They accept jobs as without a forecast."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            reader = host.election.forecasts
            for number, forecast in enumerate(([2, 5, 9999], 'none', 7)):
                reader.update(90 + number, forecast)
                new = gang(f'new-{number}', domain)
                with self.subTest(forecast=forecast):
                    self.assertFalse(await is_refused(host, new))

        in_domain(case)


if __name__ == '__main__':
    unittest.main()
