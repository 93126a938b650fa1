"""Tests of the job handler under faults of the store and the leader."""

import asyncio
import unittest

from curranthill.errors import RefusedError
from curranthill.tasks import Step, TaskKey, tables
from tests.domain import ONE_GPU, Domain, in_domain, make_queue, make_spec

FIRST = TaskKey('a1', 0, 0, 0)


class SlowStoreTest(unittest.TestCase):
    """A store that takes 0.3 s or more for each commit."""

    def test_many_jobs_are_accepted_while_the_leader_writes(self) -> None:
        """Concurrent jobs do not wait for each other's commits."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.rows.commit_s = 0.3
            accepted = asyncio.gather(
                *(
                    host.handler.accept(make_spec(f'job-{number}'), 3.0)
                    for number in range(20)
                ),
            )
            await domain.clock.until(accepted.done, within_s=1.5)
            accepted.result()

        in_domain(case)

    def test_a_response_leaves_time_to_ask_another_host(
        self,
    ) -> None:
        """After half of the timeout an unknown outcome is reported as a 504."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.rows.commit_s = 5.0
            asked = asyncio.ensure_future(host.handler.accept(make_spec(), 1.0))
            await domain.clock.until(asked.done, within_s=0.55)
            with self.assertRaises(RefusedError) as caught:
                asked.result()
            self.assertEqual(caught.exception.status, 504)

        in_domain(case)


class StateTest(unittest.TestCase):
    """States of jobs that no leader has handled and of ended jobs."""

    def test_an_accepted_job_is_queued_and_can_be_cancelled(self) -> None:
        """Without a leader, the host reports what it has stored."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            host.election.resign()
            await domain.clock.advance(0.5)
            await host.accept(make_spec())
            self.assertEqual(
                await host.during(host.handler.state('a1')), 'queued'
            )
            self.assertIsNone(await host.during(host.handler.state('a2')))
            pending = host.handler.pending(make_queue(), recount=True)
            self.assertEqual(await host.during(pending), 1)
            self.assertTrue(await host.during(host.handler.cancel('a1')))
            self.assertFalse(await host.during(host.handler.cancel('a2')))
            domain.start_host('h2')
            self.assertEqual(await domain.ended('a1'), 'cancelled')
            self.assertEqual(domain.starts(FIRST), [])

        in_domain(case)

    def test_a_job_resubmitted_after_its_end_stays_one_job(self) -> None:
        """Its new row is recognized as that of an ended job and removed."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec())
            await domain.ended('a1')
            row = (tables.INTAKE, 'a1')
            await domain.clock.until(
                lambda: row not in domain.rows.rows,
                within_s=5,
            )
            await host.accept(make_spec())
            self.assertIn(row, domain.rows.rows)
            await domain.clock.until(
                lambda: row not in domain.rows.rows,
                within_s=5,
            )
            self.assertEqual(domain.starts(FIRST), [1])

        in_domain(case)

    def test_rows_of_an_ended_job_stay_until_its_end_is_stored(self) -> None:
        """The store refuses the leader's partition; then the leader dies."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            step = Step(width=2, needs=ONE_GPU, estimate_s=1.0)
            await host.accept(make_spec('a1', step))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            domain.rows.refused_partitions.add(tables.LEADER_PARTITION)
            await domain.clock.advance(4)
            self.assertIn((tables.INTAKE, 'a1'), domain.rows.rows)
            await host.kill()
            domain.rows.refused_partitions.clear()
            domain.start_host('h2')
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(domain.starts(FIRST), [1])

        in_domain(case)
