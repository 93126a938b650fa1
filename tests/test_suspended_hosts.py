"""Hosts that are suspended for seconds.

A steady clock stands still meanwhile, so a leader that was suspended for five
seconds took its last confirmed write for a fresh one and ordered starts and
renewals of a term that had ended. Readings that count the time suspended tell
it before anything is sent.
"""

import asyncio
import time
import unittest
from unittest.mock import patch

from curranthill.clock import SystemClock
from curranthill.dispatch.leadership import RENEW_WITHOUT_STORE_S
from curranthill.dispatch.session import RAISES_PER_EPOCH
from curranthill.dispatch.work import ORDER_FRESHNESS_S
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
    """Return a step of some tasks of one accelerator each."""
    return Step(width=number, needs=ONE_GPU, estimate_s=3.0)


async def suspended(domain: Domain, host: TestHost, away_s: float) -> float:
    """Have a host away for some seconds; return when it is back."""
    host.clock.suspend()
    await domain.clock.advance(away_s)
    host.clock.resume()
    return domain.clock.monotonic_s()


def acted_late(host: TestHost, back_s: float) -> list[str]:
    """Return what a host ordered of a term that was over, once it was back.

    Another host may lead since 1.4 s of silence, and gives up what it cannot
    reach once the former leader must have stopped renewing.
    """
    late = []
    for order in host.orders:
        epoch = order.token // RAISES_PER_EPOCH
        stored_s = max(
            (one for one in host.led_s[epoch] if one <= order.sent_s),
            default=0.0,
        )
        age_s = order.sent_s - stored_s
        limit_s = ORDER_FRESHNESS_S
        if order.kind == 'renew':
            limit_s = RENEW_WITHOUT_STORE_S
        if order.sent_s >= back_s and age_s > limit_s:
            late.append(f'{order.kind} {age_s:.2f} s after its last write')
    return late


class ClockTest(unittest.TestCase):
    """The machine's clock as the parts read it."""

    def test_readings_count_the_time_suspended(self) -> None:
        """The steady clock stands still, the boot clock goes on."""
        readings = {time.CLOCK_MONOTONIC: 5.0, time.CLOCK_BOOTTIME: 35.0}
        with patch('time.clock_gettime', readings.__getitem__):
            self.assertEqual(SystemClock().monotonic_s(), 35)


class LeaderTest(unittest.TestCase):
    """A leader that was suspended acts on nothing of before."""

    def test_no_term_acts_after_its_end(self) -> None:
        """Whatever was under way, and however long it was away."""
        for away_s in SUSPENSIONS_S:
            for wait_s in (0.0, 0.01, 0.3):
                with self.subTest(away_s=away_s, wait_s=wait_s):
                    self.away(away_s, wait_s)

    def away(self, away_s: float, wait_s: float) -> None:
        """Suspend the leader just after a job was accepted."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            other = domain.start_host('h2')
            await domain.clock.advance(1)
            host = domain.hosts['h1']
            await other.accept(make_spec('a1', busy(6)))
            await domain.clock.advance(wait_s)
            back_s = await suspended(domain, host, away_s)
            await domain.clock.advance(5)
            self.assertEqual(acted_late(host, back_s), [])
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(len(domain.leading()), 1)

        in_domain(case, run_s=2)

    def test_twice_in_a_row_and_during_a_takeover(self) -> None:
        """The second host is suspended as it takes over."""

        async def case(domain: Domain) -> None:
            first = domain.start_host('h1')
            await domain.leader()
            second = domain.start_host('h2')
            await domain.clock.advance(1)
            await second.accept(make_spec('a1', busy(6)))
            first.clock.suspend()
            await domain.clock.advance(1.5)
            back_s = await suspended(domain, second, 3.0)
            first.clock.resume()
            await domain.clock.advance(1)
            await suspended(domain, first, 2.5)
            await domain.clock.advance(5)
            self.assertEqual(acted_late(first, back_s), [])
            self.assertEqual(acted_late(second, back_s), [])
            self.assertEqual(await domain.ended('a1'), 'completed')

        in_domain(case, run_s=4)

    def test_with_the_store_away(self) -> None:
        """It neither orders nor renews on what it knew before."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', busy(4)))
            await domain.clock.advance(0.5)
            domain.rows.down.add('*')
            back_s = await suspended(domain, host, 8.0)
            await domain.clock.advance(3)
            self.assertEqual(acted_late(host, back_s), [])
            domain.rows.down.clear()
            self.assertEqual(await domain.ended('a1'), 'completed')

        in_domain(case, run_s=4)


class AcceptanceTest(unittest.TestCase):
    """A host that is suspended while it accepts a job."""

    def test_the_answer_is_true(self) -> None:
        """The job was stored before; it is told so, and runs once."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            other = domain.start_host('h2')
            await domain.clock.advance(1)
            accepting = asyncio.ensure_future(
                other.desk.accept(make_spec('a1'), 3.0),
            )
            await domain.clock.advance(0.001)
            await suspended(domain, other, 10.0)
            await domain.clock.until(accepting.done)
            accepting.result()
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(domain.starts(FIRST), [1])

        in_domain(case)

    def test_a_host_that_is_back_is_not_ready_before_the_store_answers(
        self,
    ) -> None:
        """What it knew of the store is as old as it was away."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            self.assertTrue(host.health.reachable)
            host.clock.suspend()
            await domain.clock.advance(5)
            self.assertFalse(host.health.reachable)

        in_domain(case)


class ResumeTest(unittest.TestCase):
    """What a host does first when it is back."""

    def test_a_pause_is_told_once_before_anything_else(self) -> None:
        """By whoever looks first; shorter ones are passed over."""

        async def case(domain: Domain) -> None:
            told: list[float] = []
            detector = SuspensionDetector(
                clock=domain.clock,
                on_resume=lambda: told.append(domain.clock.monotonic_s()),
            )
            detector.check()
            await domain.clock.advance(0.9)
            detector.check()
            self.assertEqual(told, [])
            await domain.clock.advance(5)
            detector.check()
            detector.check()
            self.assertEqual(len(told), 1)

        in_domain(case)

    def test_the_configuration_is_read_again(self) -> None:
        """A change of the time when it was away is in force at once."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            revisions = follow_revisions(domain, host)
            await domain.clock.advance(0.1)
            host.clock.suspend()
            domain.rows.apply((), (revision_row(2),), ())
            domain.rows.down.add('h1')
            await domain.clock.advance(5)
            host.clock.resume()
            revisions.invalidate()
            confirmed = await host.during(revisions.wait_until_confirmed())
            self.assertFalse(confirmed)
            domain.rows.down.clear()
            await domain.clock.advance(2)
            confirmed = await host.during(revisions.wait_until_confirmed())
            self.assertTrue(confirmed)
            assert revisions.current is not None
            self.assertEqual(revisions.current.number, 2)

        in_domain(case)


def revision_row(number: int) -> RowPut:
    """Return a row that holds a revision's number."""
    return RowPut('settings', 'newest', str(number).encode())


def follow_revisions(domain: Domain, host: TestHost) -> RevisionFollower:
    """Return what follows revisions at a host, from the first one on."""
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
