"""Tests of hosts that are suspended for seconds.

Guards against orders of a leader whose term ended during a suspension: the
monotonic clock does not advance meanwhile, so a leader that was suspended for
five seconds took its last confirmed write for a recent one and sent starts and
renewals. A clock that counts the suspension shows the gap before any order.
"""

import asyncio
import time
import unittest
from unittest.mock import patch

from curranthill.clock import SystemClock
from curranthill.dispatch.leadership import RENEW_WITHOUT_STORE_S
from curranthill.dispatch.session import TOKENS_PER_EPOCH
from curranthill.dispatch.term_state import ORDER_FRESHNESS_S
from curranthill.entry import (
    ClosedDataCentres,
    RevisionFollower,
    SuspensionDetector,
)
from curranthill.storage.rows import RowPut
from curranthill.tasks import Revision, Step, TaskKey
from tests.domain import (
    ONE_GPU,
    Domain,
    TestHost,
    decode_closure,
    in_domain,
    make_spec,
)

FIRST = TaskKey('a1', 0, 0, 0)

#: How long hosts are suspended, in seconds.
SUSPENSIONS_S = (0.5, 1.0, 2.0, 5.0, 8.0, 30.0)


def busy(number: int) -> Step:
    """Return a step of single-accelerator tasks."""
    return Step(width=number, needs=ONE_GPU, estimate_s=3.0)


async def suspend(domain: Domain, host: TestHost, duration_s: float) -> float:
    """Suspend a host for some seconds; return when it resumes."""
    host.clock.suspend()
    await domain.clock.advance(duration_s)
    host.clock.resume()
    return domain.clock.monotonic_s()


def stale_orders(host: TestHost, resumed_s: float) -> list[str]:
    """Return the orders of an ended term that a host sent after resuming.

    Another host may lead after 1.4 s of silence, and gives up unreachable
    workers once the previous leader must have stopped renewing leases.
    """
    stale = []
    for order in host.orders:
        epoch = order.token // TOKENS_PER_EPOCH
        stored_s = max(
            (one for one in host.leader_writes_s[epoch] if one <= order.sent_s),
            default=0.0,
        )
        age_s = order.sent_s - stored_s
        limit_s = ORDER_FRESHNESS_S
        if order.kind == 'renew':
            limit_s = RENEW_WITHOUT_STORE_S
        if order.sent_s >= resumed_s and age_s > limit_s:
            stale.append(f'{order.kind} {age_s:.2f} s after its last write')
    return stale


class ClockTest(unittest.TestCase):
    """The system clock."""

    def test_the_clock_counts_the_time_suspended(self) -> None:
        """The monotonic clock stops, the boot-time clock does not."""
        readings = {time.CLOCK_MONOTONIC: 5.0, time.CLOCK_BOOTTIME: 35.0}
        with patch('time.clock_gettime', readings.__getitem__):
            self.assertEqual(SystemClock().monotonic_s(), 35)


class LeaderTest(unittest.TestCase):
    """A leader that was suspended acts on no outdated state."""

    def test_no_order_is_sent_after_the_end_of_its_term(self) -> None:
        """This holds at any time and for any length of a suspension."""
        for suspended_s in SUSPENSIONS_S:
            for wait_s in (0.0, 0.01, 0.3):
                with self.subTest(suspended_s=suspended_s, wait_s=wait_s):
                    self.suspend_leader(suspended_s, wait_s)

    def suspend_leader(self, suspended_s: float, wait_s: float) -> None:
        """Suspend the leader soon after a job was accepted."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            other = domain.start_host('h2')
            await domain.clock.advance(1)
            host = domain.hosts['h1']
            await other.accept(make_spec('a1', busy(6)))
            await domain.clock.advance(wait_s)
            resumed_s = await suspend(domain, host, suspended_s)
            await domain.clock.advance(5)
            self.assertEqual(stale_orders(host, resumed_s), [])
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(len(domain.leading()), 1)

        in_domain(case, run_s=2)

    def test_twice_in_a_row_and_during_a_takeover(self) -> None:
        """The second host is suspended while it takes over."""

        async def case(domain: Domain) -> None:
            first = domain.start_host('h1')
            await domain.leader()
            second = domain.start_host('h2')
            await domain.clock.advance(1)
            await second.accept(make_spec('a1', busy(6)))
            first.clock.suspend()
            await domain.clock.advance(1.5)
            resumed_s = await suspend(domain, second, 3.0)
            first.clock.resume()
            await domain.clock.advance(1)
            await suspend(domain, first, 2.5)
            await domain.clock.advance(5)
            self.assertEqual(stale_orders(first, resumed_s), [])
            self.assertEqual(stale_orders(second, resumed_s), [])
            self.assertEqual(await domain.ended('a1'), 'completed')

        in_domain(case, run_s=4)

    def test_during_an_outage_of_the_store(self) -> None:
        """The leader sends no orders and no renewals on outdated state."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', busy(4)))
            await domain.clock.advance(0.5)
            domain.rows.unresponsive_hosts.add('*')
            resumed_s = await suspend(domain, host, 8.0)
            await domain.clock.advance(3)
            self.assertEqual(stale_orders(host, resumed_s), [])
            domain.rows.unresponsive_hosts.clear()
            self.assertEqual(await domain.ended('a1'), 'completed')

        in_domain(case, run_s=4)


class AcceptanceTest(unittest.TestCase):
    """Hosts that are suspended while or before they accept a job."""

    def test_the_outcome_is_reported_correctly(self) -> None:
        """The job was stored before the suspension and runs once."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            other = domain.start_host('h2')
            await domain.clock.advance(1)
            accepting = asyncio.ensure_future(
                other.handler.accept(make_spec('a1'), 3.0),
            )
            await domain.clock.advance(0.001)
            await suspend(domain, other, 10.0)
            await domain.clock.until(accepting.done)
            accepting.result()
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(domain.starts(FIRST), [1])

        in_domain(case)

    def test_a_resumed_host_is_not_ready_before_the_store_replies(
        self,
    ) -> None:
        """Its last reply from the store is as old as the suspension."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            self.assertTrue(host.health.reachable)
            host.clock.suspend()
            await domain.clock.advance(5)
            self.assertFalse(host.health.reachable)

        in_domain(case)


class ResumeTest(unittest.TestCase):
    """What a host does first when it resumes."""

    def test_a_suspension_is_reported_once(self) -> None:
        """The first check reports it; shorter ones are ignored."""

        async def case(domain: Domain) -> None:
            resumes: list[float] = []
            detector = SuspensionDetector(
                clock=domain.clock,
                on_resume=lambda: resumes.append(domain.clock.monotonic_s()),
            )
            detector.check()
            await domain.clock.advance(0.9)
            detector.check()
            self.assertEqual(resumes, [])
            await domain.clock.advance(5)
            detector.check()
            detector.check()
            self.assertEqual(len(resumes), 1)

        in_domain(case)

    def test_the_configuration_is_read_again(self) -> None:
        """A change from during the suspension is in force at once."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            revisions = follow_revisions(domain, host)
            await domain.clock.advance(0.1)
            host.clock.suspend()
            domain.rows.apply((), (revision_row(2),), ())
            domain.rows.unresponsive_hosts.add('h1')
            await domain.clock.advance(5)
            host.clock.resume()
            revisions.invalidate()
            confirmed = await host.during(revisions.wait_until_confirmed())
            self.assertFalse(confirmed)
            domain.rows.unresponsive_hosts.clear()
            await domain.clock.advance(2)
            confirmed = await host.during(revisions.wait_until_confirmed())
            self.assertTrue(confirmed)
            assert revisions.current is not None
            self.assertEqual(revisions.current.number, 2)

        in_domain(case)


def revision_row(number: int) -> RowPut:
    """Return the row of a revision."""
    return RowPut('settings', 'newest', str(number).encode())


def follow_revisions(domain: Domain, host: TestHost) -> RevisionFollower:
    """Return a follower of revisions at a host, with the first one written."""
    domain.rows.apply((), (revision_row(1),), ())
    revisions = RevisionFollower(
        store=domain.rows.client(host.name),
        clock=host.clock,
        table='settings',
        decode=lambda row: Revision(
            number=int(row.content),
            queues=(),
            workspaces=(),
        ),
        closed_data_centres=ClosedDataCentres(
            clock=host.clock,
            decode=decode_closure,
            cease_s=5.0,
        ),
    )
    domain.background.append(asyncio.ensure_future(revisions.run()))
    return revisions


if __name__ == '__main__':
    unittest.main()
