"""Leaders that cannot read what operators ask, and deployments that ask little.

A leader whose writes are served and whose readings are refused starts nothing;
it must not hold its place while another host can read.
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

#: Another host leads so soon, in seconds: four waits of a reading for news, of
#: which knowledge in good health is two old, and one takeover.
REPLACED_S = 5.5

LONG = Step(width=2, needs=ONE_GPU, estimate_s=60.0)


class UnreadTest(unittest.TestCase):
    """Only one host, some or all cannot read the operators' rows."""

    def test_a_host_that_can_read_leads_in_its_place(self) -> None:
        """The job that it may not start is started by the other."""

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

    def test_a_leader_whose_readings_wait_for_news_leads_on(self) -> None:
        """Nothing changes, so each reading is answered after its wait."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            domain.start_host('h2')
            for _ in range(100):
                await domain.clock.advance(0.2)
                leading = [one.name for one in domain.leading()]
                self.assertEqual(leading, ['h1'])

        in_domain(case)

    def test_what_runs_goes_on_through_the_change(self) -> None:
        """No run is stopped or lapses."""

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

    def test_it_leads_on_where_nobody_can_read(self) -> None:
        """Somebody has to renew the leases, and one is as good as another."""

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

    def test_a_silent_leader_is_replaced_also_by_one_that_cannot_read(
        self,
    ) -> None:
        """Else all that runs would lapse."""

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


class UnboundTest(unittest.TestCase):
    """A deployment that names no bound for closing data centres."""

    def test_starts_do_not_wait_for_readings(self) -> None:
        """Nothing was read for a long time, and nothing is closed."""
        clock = ManualClock()
        closed = ClosedDataCentres(
            clock=clock,
            decode=decode_closure,
            cease_s=0.0,
        )
        self.assertTrue(closed.allows_starts('dc'))

    def test_the_settings_say_so(self) -> None:
        """The bound is none unless the platform names one."""
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
