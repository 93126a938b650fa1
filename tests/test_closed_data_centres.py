"""Data centres that operators close: nothing new starts there.

A closed data centre was like any other: on a day with three of them closed in
turn a thousand tasks started on workers that were to get nothing.
"""

import unittest

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from curranthill.entry import ClosedDataCentres
from curranthill.platform.configuration import decode_closure
from curranthill.storage.rows import StoredRow
from curranthill.tasks import Step, TaskKey, Timing
from tests.domain import ONE_GPU, Domain, in_domain, make_spec
from tests.support import ManualClock, run

#: A closing is in force so soon, in seconds: a feed tells of it at once.
IN_FORCE_S = 0.2

#: What is open again is used so soon, in seconds: one interval of rounds.
USED_AGAIN_S = 0.4


def wide(width: int) -> Step:
    """Return a step of tasks of one accelerator each."""
    return Step(width=width, needs=ONE_GPU, estimate_s=60.0)


def starts_at(domain: Domain, *names: str) -> int:
    """Return how many tasks have started on some workers."""
    return sum(len(domain.workers[name].starts) for name in names)


class ClosedTest(unittest.TestCase):
    """While it is closed, work runs elsewhere or waits."""

    def test_nothing_starts_in_a_closed_data_centre(self) -> None:
        """Eight tasks fit elsewhere and run there; two wait."""

        async def case(domain: Domain) -> None:
            domain.add_worker('far', run_s=60, data_centre='east')
            host = domain.start_host('h1')
            await domain.leader()
            domain.close_data_centre('dc')
            await domain.clock.advance(IN_FORCE_S)
            await host.accept(make_spec('a1', wide(10)))
            await domain.clock.advance(5)
            self.assertEqual(starts_at(domain, 'w0', 'w1'), 0)
            self.assertEqual(starts_at(domain, 'far'), 8)

        in_domain(case, run_s=60)

    def test_what_waits_starts_once_it_is_open_again(self) -> None:
        """Within the time of one round."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.close_data_centre('dc')
            await domain.clock.advance(IN_FORCE_S)
            await host.accept(make_spec('a1', wide(3)))
            await domain.clock.advance(8)
            self.assertEqual(starts_at(domain, 'w0', 'w1'), 0)
            domain.open_data_centre('dc')
            await domain.clock.until(
                lambda: starts_at(domain, 'w0', 'w1') == 3,
                within_s=USED_AGAIN_S,
            )

        in_domain(case, run_s=60)

    def test_a_start_that_waits_for_its_turn_is_not_sent(self) -> None:
        """Five wait at a slow worker; it is closed after the first."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            worker.start_delay_s = 0.4
            await host.accept(make_spec('a1', wide(5)))
            await domain.clock.until(lambda: bool(worker.starts))
            domain.close_data_centre('dc')
            await domain.clock.advance(IN_FORCE_S)
            sent = len(host.orders)
            await domain.clock.advance(10)
            late = [one for one in host.orders[sent:] if one.kind == 'start']
            self.assertEqual(late, [])

        in_domain(case, workers=1, run_s=60)

    def test_a_gang_that_loses_a_members_start_starts_whole_elsewhere(
        self,
    ) -> None:
        """No part of it is left where it began."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            worker.start_delay_s = 0.4
            gang = wide(4)._replace(gang=True)
            await host.accept(make_spec('a1', gang))
            await domain.clock.until(lambda: bool(worker.starts))
            domain.close_data_centre('dc')
            domain.add_worker('far', run_s=60, data_centre='east')
            await domain.clock.advance(8)
            self.assertEqual(len(domain.workers['far'].runs), 4)
            self.assertEqual(len(worker.runs), 0)

        in_domain(case, workers=1, run_s=60)

    def test_a_new_leader_starts_nothing_there(self) -> None:
        """It was closed while nobody led."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            other = domain.start_host('h2')
            await domain.clock.advance(1)
            await other.accept(make_spec('a1', wide(12)))
            await domain.clock.until(lambda: starts_at(domain, 'w0') > 0)
            await domain.clock.advance(0.5)
            await domain.hosts['h1'].kill()
            domain.close_data_centre('dc')
            await other.accept(make_spec('b2', wide(3)))
            await domain.clock.advance(8)
            self.assertEqual(starts_at(domain, 'w0', 'w1'), 12)
            domain.open_data_centre('dc')
            await domain.clock.until(
                lambda: starts_at(domain, 'w0', 'w1') == 15,
                within_s=USED_AGAIN_S,
            )

        in_domain(case, run_s=60)

    def test_what_runs_there_goes_on(self) -> None:
        """A stop would throw its work away."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', wide(4)))
            await domain.clock.advance(1)
            domain.close_data_centre('dc')
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(domain.starts(TaskKey('a1', 0, 0, 0)), [1])

        in_domain(case, run_s=6)


class UnknownTest(unittest.TestCase):
    """What is not known to be open counts as closed."""

    def test_a_host_that_lost_the_operators_rows_starts_nothing(self) -> None:
        """It still writes as a leader; it starts again once it can read."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.unreadable.add('h1')
            await domain.clock.advance(Timing().evacuate_s)
            await host.accept(make_spec('a1', wide(3)))
            await domain.clock.advance(3)
            self.assertEqual(starts_at(domain, 'w0', 'w1'), 0)
            domain.unreadable.clear()
            await domain.clock.until(
                lambda: starts_at(domain, 'w0', 'w1') == 3,
                within_s=USED_AGAIN_S,
            )

        in_domain(case, run_s=60)

    def test_a_lost_history_is_read_again(self) -> None:
        """It was closed in the gap."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.unreadable.add('h1')
            await domain.clock.advance(0.5)
            domain.close_data_centre('dc')
            domain.rows.forget_history()
            domain.unreadable.clear()
            await domain.clock.advance(1.5)
            await host.accept(make_spec('a1', wide(3)))
            await domain.clock.advance(3)
            self.assertEqual(starts_at(domain, 'w0', 'w1'), 0)

        in_domain(case, run_s=60)

    def test_a_host_that_was_suspended_knows_nothing(self) -> None:
        """Until it has read the rows again."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            self.assertTrue(host.closures.allows_starts('dc'))
            host.clock.suspend()
            domain.close_data_centre('dc')
            await domain.clock.advance(10)
            self.assertFalse(host.closures.allows_starts('dc'))
            self.assertFalse(host.closures.allows_starts('elsewhere'))
            host.clock.resume()
            await domain.clock.until(
                lambda: host.closures.allows_starts('elsewhere'),
                within_s=2.0,
            )
            self.assertFalse(host.closures.allows_starts('dc'))

        in_domain(case)


def closing(key: str, version: int, *, removed: bool = False) -> StoredRow:
    """Return a row of the operators."""
    content = b'' if removed else b'{}'
    return StoredRow('op', key, content, version, removed=removed)


class RowsTest(unittest.TestCase):
    """What the operators' rows say."""

    def closures(self) -> ClosedDataCentres:
        """Return closures that have been read just now."""
        clock = ManualClock()
        found = ClosedDataCentres(
            clock=clock,
            decode=decode_closure,
            cease_s=5.0,
        )
        found.confirm(clock.monotonic_s())
        return found

    def test_several_are_closed_and_opened_one_by_one(self) -> None:
        """One is closed again the moment it was taken back."""
        found = self.closures()
        found.apply_changes(
            (closing('evacuate/a', 1), closing('evacuate/b', 2)),
        )
        found.apply_changes(
            (
                closing('evacuate/a', 3, removed=True),
                closing('evacuate/a', 4),
                closing('evacuate/b', 5, removed=True),
            ),
        )
        self.assertEqual(list(found.closed), ['a'])
        self.assertEqual(found.closed['a'].version, 4)

    def test_a_whole_reading_opens_what_it_does_not_hold(self) -> None:
        """The feed's history was lost with the removal in it."""
        found = self.closures()
        found.replace_all((closing('evacuate/a', 1), closing('config', 2)))
        found.replace_all((closing('evacuate/c', 4),))
        self.assertEqual(list(found.closed), ['c'])

    def test_records_of_a_wrong_shape_stop_nothing(self) -> None:
        """One without a name is passed over; the key alone closes."""
        found = self.closures()
        broken = StoredRow('op', 'evacuate/b', b'[1, "no map"', 3)
        found.apply_changes((closing('evacuate/', 1), broken))
        self.assertEqual(list(found.closed), ['b'])
        self.assertTrue(found.allows_starts('a'))

    def test_a_data_centre_without_workers_may_be_closed(self) -> None:
        """It changes nothing elsewhere."""
        found = self.closures()
        found.apply_changes((closing('evacuate/nowhere', 1),))
        self.assertTrue(found.allows_starts('a'))

    def test_knowledge_lasts_three_fifths_of_the_bound(self) -> None:
        """Counted from when it was asked for."""

        async def case() -> None:
            clock = ManualClock()
            found = ClosedDataCentres(
                clock=clock,
                decode=decode_closure,
                cease_s=5.0,
            )
            self.assertFalse(found.allows_starts('a'))
            found.confirm(clock.monotonic_s())
            await clock.advance(2.9)
            self.assertTrue(found.allows_starts('a'))
            await clock.advance(0.2)
            self.assertFalse(found.allows_starts('a'))

        run(case())


#: What operators and faults do, each followed by a wait in seconds.
SERIES = st.lists(
    st.tuples(
        st.sampled_from(
            ('close', 'open', 'kill', 'lose', 'find', 'away', 'back', 'job'),
        ),
        st.sampled_from(('dc', 'east')),
        st.sampled_from((0.05, 0.4, 1.6, 4.0)),
    ),
    min_size=4,
    max_size=14,
)


class AnySeriesTest(unittest.TestCase):
    """Data centres closed and opened beside other faults, in any order."""

    @settings(max_examples=20, phases=(Phase.explicit, Phase.generate))
    @given(SERIES)
    def test_no_start_is_sent_past_the_bound(
        self,
        series: list[tuple[str, str, float]],
    ) -> None:
        """Whoever leads; and all that was accepted ends at last."""

        async def case(domain: Domain) -> None:
            for name in ('e0', 'e1'):
                domain.add_worker(name, run_s=1, data_centre='east')
            watch = StartWatch(domain)
            for name in ('h1', 'h2'):
                domain.start_host(name)
            leader = await domain.leader()
            await leader.accept(make_spec('first', wide(6)))
            for what, where, wait_s in series:
                await watch.do(what, where)
                await watch.advance(wait_s)
            domain.rows.down.clear()
            domain.unreadable.clear()
            for name in ('dc', 'east'):
                domain.open_data_centre(name)
                watch.closed_s.pop(name, None)
            for job_id in watch.jobs:
                self.assertEqual(await domain.ended(job_id), 'completed')
            self.assertEqual(watch.late, [])

        in_domain(case)


class StartWatch:
    """Notes starts on workers of a data centre that was closed too long ago.

    :param late: what was started past the bound.
    """

    def __init__(self, domain: Domain) -> None:
        """Watch all workers."""
        self.domain = domain
        self.closed_s: dict[str, float] = {}
        self.late: list[str] = []
        self.jobs = ['first']
        self._hosts = 2

    async def do(self, what: str, where: str) -> None:
        """Let one thing happen; its method bears its name."""
        await getattr(self, what)(where)

    async def close(self, where: str) -> None:
        """Close a data centre."""
        self.domain.close_data_centre(where)
        now_s = self.domain.clock.monotonic_s()
        self.closed_s.setdefault(where, now_s)

    async def open(self, where: str) -> None:
        """Take a data centre back."""
        self.domain.open_data_centre(where)
        self.closed_s.pop(where, None)

    async def kill(self, where: str) -> None:
        """Kill the leader; another host starts."""
        for host in self.domain.leading()[:1]:
            await host.kill()
            self._hosts += 1
            self.domain.start_host(f'h{self._hosts}')

    async def lose(self, where: str) -> None:
        """Let no host read the operators' rows."""
        self.domain.unreadable.update(self.domain.hosts)

    async def find(self, where: str) -> None:
        """Let all read them again."""
        self.domain.unreadable.clear()

    async def away(self, where: str) -> None:
        """Let the store fall silent."""
        self.domain.rows.down.add('*')

    async def back(self, where: str) -> None:
        """Let it answer again."""
        self.domain.rows.down.clear()

    async def job(self, where: str) -> None:
        """Hand a job in, unless the store is away."""
        if self.domain.rows.down:
            return
        host = next(iter(self.domain.hosts.values()))
        job_id = f'job{len(self.jobs)}'
        self.jobs.append(job_id)
        await host.accept(make_spec(job_id, wide(3)))

    async def advance(self, wait_s: float) -> None:
        """Move time on in small steps and look at what started."""
        until_s = self.domain.clock.monotonic_s() + wait_s
        while self.domain.clock.monotonic_s() < until_s:
            before = {
                name: len(worker.starts)
                for name, worker in self.domain.workers.items()
            }
            await self.domain.clock.advance(0.05)
            self._look(before)

    def _look(self, before: dict[str, int]) -> None:
        now_s = self.domain.clock.monotonic_s()
        for name, worker in self.domain.workers.items():
            closed_s = self.closed_s.get(worker.entry.data_centre, now_s)
            late = now_s - closed_s > Timing().evacuate_s
            if late and len(worker.starts) > before[name]:
                self.late.append(f'{name}: {now_s - closed_s:.2f} s')


if __name__ == '__main__':
    unittest.main()
