"""Workers that are listed but accept no work, and the reason.

A worker could be skipped in every round without any log line: an entry of
another incarnation, for example, is not logged by itself.
"""

import unittest
from typing import Any
from unittest.mock import patch

from curranthill.dispatch import unused
from curranthill.placement import WorkerEntry
from curranthill.storage.rows import RowPut
from curranthill.telemetry import metrics
from tests.domain import WORKER_TABLE, Domain, in_domain, make_spec
from tests.support import ManualClock
from tests.test_waiting import Lines

#: By then all unused workers are logged, in seconds, also after another line.
LOGGED_BY_S = unused.LOGGED_FROM_S + unused.LOG_INTERVAL_S + 2.0


class Gauge:
    """Records the newest value."""

    def __init__(self) -> None:
        """Initialize a gauge without a value."""
        self.amount = -1

    def set(self, amount: int) -> None:
        """Record a value."""
        self.amount = amount


class Session:
    """A session that accepts work until a test sets a reason."""

    def __init__(self) -> None:
        """Initialize a session that accepts work."""
        self.listed = True
        self.unused_reason: unused.UnusedReason | None = None


class Reported:
    """Simulated sessions that are reported each second."""

    def __init__(self, count: int = 3) -> None:
        """Initialize sessions that all accept work."""
        self.clock = ManualClock()
        self.lines = Lines()
        self.gauge = Gauge()
        self.sessions = {f'w{number:03}': Session() for number in range(count)}
        sessions: Any = self.sessions
        self.reporter = unused.UnusedWorkerReporter(
            clock=self.clock, sessions=sessions
        )

    async def advance(self, seconds: int) -> list[dict[str, Any]]:
        """Advance time by some seconds; return the lines logged."""
        self.lines.lines.clear()
        with (
            patch.object(unused, 'events', self.lines),
            patch.object(metrics, 'workers_unused', self.gauge),
        ):
            for _ in range(seconds):
                await self.clock.advance(1.0)
                self.reporter.report()
        return self.lines.of('workers_unused')


class LineTest(unittest.IsolatedAsyncioTestCase):
    """When a line is logged, and its content."""

    async def test_a_worker_that_is_unused_for_long_is_logged(
        self,
    ) -> None:
        """It is logged once, with its reason."""
        reported = Reported()
        reported.sessions['w001'].unused_reason = unused.UNREACHABLE
        self.assertEqual(await reported.advance(5), [])
        self.assertEqual(reported.gauge.amount, 0)
        lines = await reported.advance(20)
        self.assertEqual(len(lines), 1)
        self.assertEqual(lines[0]['workers'], {unused.UNREACHABLE: ['w001']})
        self.assertEqual((lines[0]['unused'], lines[0]['listed']), (1, 3))
        self.assertEqual(reported.gauge.amount, 1)

    async def test_a_worker_that_is_used_again_is_logged_too(self) -> None:
        """Another line follows that does not name it."""
        reported = Reported()
        reported.sessions['w001'].unused_reason = unused.DRAINING
        await reported.advance(10)
        reported.sessions['w001'].unused_reason = None
        lines = await reported.advance(10)
        self.assertEqual([line['workers'] for line in lines], [{}])
        self.assertEqual(reported.gauge.amount, 0)

    async def test_a_reason_that_keeps_changing_is_logged_in_intervals(
        self,
    ) -> None:
        """It is logged at most every five seconds."""
        reported = Reported()
        session = reported.sessions['w002']
        session.unused_reason = unused.NOT_SYNCED
        await reported.advance(10)
        count = 0
        for second in range(20):
            session.unused_reason = (
                unused.UNREACHABLE if second % 2 else unused.NOT_SYNCED
            )
            count += len(await reported.advance(1))
        self.assertIn(count, {3, 4})

    async def test_a_line_names_a_bounded_number_of_workers(self) -> None:
        """The line still counts all of them."""
        reported = Reported(count=500)
        for session in reported.sessions.values():
            session.unused_reason = unused.CLOSED
        lines = await reported.advance(10)
        self.assertEqual(lines[0]['unused'], 500)
        named = lines[0]['workers'][unused.CLOSED]
        self.assertEqual(len(named), unused.MAX_NAMED_WORKERS)

    async def test_a_worker_that_is_not_listed_is_not_logged(self) -> None:
        """It is not expected to accept work."""
        reported = Reported()
        reported.sessions['w000'].listed = False
        reported.sessions['w000'].unused_reason = unused.NOT_LISTED
        self.assertEqual(await reported.advance(10), [])


class ReasonTest(unittest.TestCase):
    """The reason that a session gives for accepting no work."""

    def test_each_state_has_its_reason(self) -> None:
        """Each state with a reason also prevents placement."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            await domain.clock.advance(1.0)
            session = domain.session('w0')
            self.assertIsNone(session.unused_reason)
            self.assertTrue(session.accepts_work)
            for name, state, reason in (
                ('removed', True, unused.REMOVED),
                ('readable', False, unused.UNREADABLE),
                ('rejected_s', domain.clock.monotonic_s(), unused.REJECTED),
                ('incarnation', 7, unused.OTHER_INCARNATION),
                ('listed', False, unused.NOT_LISTED),
                ('reachable', False, unused.UNREACHABLE),
                ('synced', False, unused.NOT_SYNCED),
            ):
                with self.subTest(name), patch.object(session, name, state):
                    self.assertEqual(session.unused_reason, reason)
                    self.assertFalse(session.accepts_work)

        in_domain(case)

    def test_unused_workers_are_logged_with_their_reasons(self) -> None:
        """One drains, one has a bad row, one a closed data centre, one fails.

        The last one runs nothing and does not respond to renewals.
        """

        async def case(domain: Domain) -> None:
            domain.add_worker('far', data_centre='east')
            lines = Lines()
            host = domain.start_host('h1')
            await domain.leader()
            domain.close_data_centre('east')
            await domain.clock.advance(1.0)
            await host.accept(make_spec('a1'))
            await domain.clock.advance(3.0)
            leader = host.leader
            assert leader is not None
            run = next(iter(leader.term.jobs['a1'].runs.values()))
            unresponsive, draining, bad = sorted(
                (name for name in domain.workers if name != 'far'),
                key=lambda name: name != run.worker_id,
            )
            domain.workers[unresponsive].disconnected = True
            entry: WorkerEntry = domain.workers[draining].entry
            domain.list_worker(entry._replace(leaving=True))
            domain.rows.apply((), (RowPut(WORKER_TABLE, bad, b'[]'),), ())
            with patch.object(unused, 'events', lines):
                await domain.clock.advance(LOGGED_BY_S)
                found = lines.of('workers_unused')[-1]
                lost_reason = domain.session(unresponsive).unused_reason
            assert lost_reason is not None
            self.assertIn(lost_reason, {unused.UNREACHABLE, unused.NOT_SYNCED})
            self.assertEqual(found['unused'], 4)
            self.assertEqual(found['listed'], 4)
            self.assertEqual(
                {
                    unused.DRAINING: [draining],
                    unused.UNREADABLE: [bad],
                    unused.CLOSED: ['far'],
                },
                {
                    reason: names
                    for reason, names in found['workers'].items()
                    if names != [unresponsive]
                },
            )

        in_domain(case, workers=3, run_s=60.0)


if __name__ == '__main__':
    unittest.main()
