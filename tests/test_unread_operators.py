"""Tests of leaders that cannot read the operators' rows.

A leader whose writes succeed and whose reads fail starts nothing, so it must
not keep the leadership while another host can read. Without a bound for
closings, starts do not depend on the reads.
"""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from curranthill.entry import ClosedDataCentres
from curranthill.platform import read_platform_settings
from curranthill.platform.configuration import decode_closure
from curranthill.tasks import Step
from tests.domain import ONE_GPU, Domain, in_domain, make_spec
from tests.support import ManualClock

#: Another host leads within this time, in seconds: four waits of a read for
#: changes, two of which are the age of the rows in normal operation, and one
#: takeover.
REPLACED_S = 5.5

LONG = Step(width=2, needs=ONE_GPU, estimate_s=60.0)


class UnreadTest(unittest.TestCase):
    """One, some or all hosts cannot read the operators' rows."""

    def test_a_host_that_can_read_leads_in_its_place(self) -> None:
        """The new leader starts the job that the previous one may not start."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.start_host('h2')
            await domain.clock.advance(1)
            domain.unreadable.add('h1')
            await domain.clock.until(
                lambda: [one.name for one in domain.leading()] == ['h2'],
                within_s=REPLACED_S,
            )
            await host.accept(make_spec('a1', LONG))
            await domain.clock.until(
                lambda: domain.state('a1') == 'running',
                within_s=1.0,
            )

        in_domain(case, run_s=60)

    def test_a_leader_without_changes_to_read_stays_leader(self) -> None:
        """Nothing changes, so each read returns only after its wait."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            domain.start_host('h2')
            for _ in range(100):
                await domain.clock.advance(0.2)
                leading = [one.name for one in domain.leading()]
                self.assertEqual(leading, ['h1'])

        in_domain(case)

    def test_runs_continue_through_the_change(self) -> None:
        """No run is stopped and no lease expires."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', LONG._replace(estimate_s=12.0)))
            domain.start_host('h2')
            await domain.clock.advance(1)
            domain.unreadable.add('h1')
            self.assertEqual(await domain.ended('a1'), 'completed')
            starts = [
                order.task
                for worker in domain.workers.values()
                for order in worker.starts
            ]
            self.assertEqual(len(starts), 2)

        in_domain(case, run_s=12)

    def test_the_leader_stays_if_no_host_can_read(self) -> None:
        """The leases have to be renewed, and no other host would do better."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            domain.start_host('h2')
            await domain.clock.advance(1)
            domain.unreadable.update(('h1', 'h2'))
            for _ in range(20):
                await domain.clock.advance(1)
                leading = [one.name for one in domain.leading()]
                self.assertEqual(leading, ['h1'])

        in_domain(case)

    def test_a_lost_leader_is_replaced_even_by_a_host_that_cannot_read(
        self,
    ) -> None:
        """Otherwise the leases of all runs would expire."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            domain.start_host('h2')
            await domain.clock.advance(1)
            domain.unreadable.update(('h1', 'h2'))
            await domain.clock.advance(3)
            await domain.hosts['h1'].kill()
            await domain.clock.until(
                lambda: [one.name for one in domain.leading()] == ['h2'],
                within_s=REPLACED_S,
            )

        in_domain(case)


class UnboundedTest(unittest.TestCase):
    """A deployment without a bound for closing data centres."""

    def test_starts_do_not_depend_on_reads(self) -> None:
        """Nothing was ever read, and nothing is closed."""
        clock = ManualClock()
        closed = ClosedDataCentres(
            clock=clock,
            decode=decode_closure,
            cease_s=0.0,
        )
        self.assertTrue(closed.allows_starts('dc'))

    def test_the_settings_default_to_no_bound(self) -> None:
        """There is no bound unless the platform specifies one."""
        fields = {
            'node_name': 'h1',
            'zone': 'dc',
            'ip': '127.0.0.1',
            'bind_addrs': {'front': '127.0.0.1:1', 'ready': '127.0.0.1:2'},
            'port_range': [3, 9],
            'platform': {'address': '127.0.0.1:4'},
            'bounds': {'stop_ms': 200},
        }
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.json'
            path.write_bytes(msgspec.json.encode(fields))
            timing = read_platform_settings(path).timing
        self.assertEqual(timing.evacuate_s, 0.0)
