"""Tests that no tasks are started in data centres that operators closed.

Guards against treating a closed data centre like any other: on a day when three
were closed in turn, a thousand tasks started on workers that should get none.
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

#: A closing is in force within this time, in seconds: the feed reports it at
#: once.
IN_FORCE_S = 0.2

#: A reopened data centre is used within this time, in seconds: one interval of
#: the placement rounds.
USED_AGAIN_S = 0.4


def wide(width: int) -> Step:
    """Return a step of single-accelerator tasks."""
    return Step(width=width, needs=ONE_GPU, estimate_s=60.0)


def starts_at(domain: Domain, *names: str) -> int:
    """Return how many tasks have started on some workers."""
    return sum(len(domain.workers[name].starts) for name in names)


class ClosedTest(unittest.TestCase):
    """While a data centre is closed, work runs elsewhere or waits."""

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

    def test_waiting_work_starts_once_it_is_reopened(self) -> None:
        """Waiting work starts within one interval of rounds."""

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

    def test_a_queued_start_is_not_sent(self) -> None:
        """Its data centre is closed after the first of five slow starts."""

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
        """No member is left where the gang was first placed."""

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
        """The data centre was closed while there was no leader."""

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

    def test_running_tasks_continue(self) -> None:
        """Stopping them would lose their work."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1', wide(4)))
            await domain.clock.advance(1)
            domain.close_data_centre('dc')
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(domain.starts(TaskKey('a1', 0, 0, 0)), [1])

        in_domain(case, run_s=6)


class UnknownStateTest(unittest.TestCase):
    """A data centre that is not known to be open counts as closed."""

    def test_a_host_that_lost_the_operators_rows_starts_nothing(self) -> None:
        """It can still write as the leader; starts resume with the reads."""

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
        """The data centre was closed in the gap of the feed."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            domain.unreadable.add('h1')
            await domain.clock.advance(0.5)
            domain.close_data_centre('dc')
            domain.rows.truncate_history()
            domain.unreadable.clear()
            await domain.clock.advance(1.5)
            await host.accept(make_spec('a1', wide(3)))
            await domain.clock.advance(3)
            self.assertEqual(starts_at(domain, 'w0', 'w1'), 0)

        in_domain(case, run_s=60)

    def test_a_suspended_host_must_read_again(self) -> None:
        """It treats all data centres as closed until then."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            self.assertTrue(host.closed_data_centres.allows_starts('dc'))
            host.clock.suspend()
            domain.close_data_centre('dc')
            await domain.clock.advance(10)
            self.assertFalse(host.closed_data_centres.allows_starts('dc'))
            self.assertFalse(
                host.closed_data_centres.allows_starts('elsewhere')
            )
            host.clock.resume()
            await domain.clock.until(
                lambda: host.closed_data_centres.allows_starts('elsewhere'),
                within_s=2.0,
            )
            self.assertFalse(host.closed_data_centres.allows_starts('dc'))

        in_domain(case)


def closing(key: str, version: int, *, removed: bool = False) -> StoredRow:
    """Return an operators' row that closes a data centre."""
    content = b'' if removed else b'{}'
    return StoredRow('op', key, content, version, removed=removed)


class RowsTest(unittest.TestCase):
    """Interpretation of the operators' rows."""

    def make_closed_data_centres(self) -> ClosedDataCentres:
        """Return closed data centres whose rows were read just now."""
        clock = ManualClock()
        found = ClosedDataCentres(
            clock=clock,
            decode=decode_closure,
            cease_s=5.0,
        )
        found.confirm(clock.monotonic_s())
        return found

    def test_several_are_closed_and_opened_separately(self) -> None:
        """One is closed again as soon as it was reopened."""
        found = self.make_closed_data_centres()
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

    def test_a_snapshot_opens_data_centres_that_it_lacks(self) -> None:
        """The removal was in the lost part of the feed's history."""
        found = self.make_closed_data_centres()
        found.replace_all((closing('evacuate/a', 1), closing('config', 2)))
        found.replace_all((closing('evacuate/c', 4),))
        self.assertEqual(list(found.closed), ['c'])

    def test_malformed_records_have_no_other_effect(self) -> None:
        """A record without a name is ignored; a key without content closes."""
        found = self.make_closed_data_centres()
        broken = StoredRow('op', 'evacuate/b', b'[1, "no map"', 3)
        found.apply_changes((closing('evacuate/', 1), broken))
        self.assertEqual(list(found.closed), ['b'])
        self.assertTrue(found.allows_starts('a'))

    def test_a_data_centre_without_workers_may_be_closed(self) -> None:
        """This has no effect on others."""
        found = self.make_closed_data_centres()
        found.apply_changes((closing('evacuate/nowhere', 1),))
        self.assertTrue(found.allows_starts('a'))

    def test_rows_are_current_for_three_fifths_of_the_bound(self) -> None:
        """The time counts from when the rows were requested."""

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


#: Actions of operators and faults, each followed by a wait in seconds.
SERIES = st.lists(
    st.tuples(
        st.sampled_from(
            (
                'close',
                'open',
                'kill',
                'block_reads',
                'allow_reads',
                'stop_store',
                'restore_store',
                'job',
            ),
        ),
        st.sampled_from(('dc', 'east')),
        st.sampled_from((0.05, 0.4, 1.6, 4.0)),
    ),
    min_size=4,
    max_size=14,
)


class AnySeriesTest(unittest.TestCase):
    """Random sequences of closings, openings and other faults."""

    @settings(max_examples=20, phases=(Phase.explicit, Phase.generate))
    @given(SERIES)
    def test_no_start_is_sent_past_the_bound(
        self,
        series: list[tuple[str, str, float]],
    ) -> None:
        """This holds for any leader, and all accepted jobs are completed."""

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
            domain.rows.unresponsive_hosts.clear()
            domain.unreadable.clear()
            for name in ('dc', 'east'):
                domain.open_data_centre(name)
                watch.closed_s.pop(name, None)
            for job_id in watch.jobs:
                self.assertEqual(await domain.ended(job_id), 'completed')
            self.assertEqual(watch.late, [])

        in_domain(case)


class StartWatch:
    """Records starts on workers of data centres that were closed too long ago.

    :param late: the starts past the bound.
    """

    def __init__(self, domain: Domain) -> None:
        """Initialize with all data centres open."""
        self.domain = domain
        self.closed_s: dict[str, float] = {}
        self.late: list[str] = []
        self.jobs = ['first']
        self._hosts = 2

    async def do(self, what: str, where: str) -> None:
        """Perform an action of ``SERIES``: call the method of that name."""
        await getattr(self, what)(where)

    async def close(self, where: str) -> None:
        """Close a data centre."""
        self.domain.close_data_centre(where)
        now_s = self.domain.clock.monotonic_s()
        self.closed_s.setdefault(where, now_s)

    async def open(self, where: str) -> None:
        """Reopen a data centre."""
        self.domain.open_data_centre(where)
        self.closed_s.pop(where, None)

    async def kill(self, where: str) -> None:
        """Kill the leader and start another host."""
        for host in self.domain.leading()[:1]:
            await host.kill()
            self._hosts += 1
            self.domain.start_host(f'h{self._hosts}')

    async def block_reads(self, where: str) -> None:
        """Make the operators' rows unreadable for all hosts."""
        self.domain.unreadable.update(self.domain.hosts)

    async def allow_reads(self, where: str) -> None:
        """Make the operators' rows readable again."""
        self.domain.unreadable.clear()

    async def stop_store(self, where: str) -> None:
        """Make the store unavailable."""
        self.domain.rows.unresponsive_hosts.add('*')

    async def restore_store(self, where: str) -> None:
        """Make the store available again."""
        self.domain.rows.unresponsive_hosts.clear()

    async def job(self, where: str) -> None:
        """Submit a job, unless the store is unavailable."""
        if self.domain.rows.unresponsive_hosts:
            return
        host = next(iter(self.domain.hosts.values()))
        job_id = f'job{len(self.jobs)}'
        self.jobs.append(job_id)
        await host.accept(make_spec(job_id, wide(3)))

    async def advance(self, wait_s: float) -> None:
        """Advance the clock in small steps and check for late starts."""
        until_s = self.domain.clock.monotonic_s() + wait_s
        while self.domain.clock.monotonic_s() < until_s:
            before = {
                name: len(worker.starts)
                for name, worker in self.domain.workers.items()
            }
            await self.domain.clock.advance(0.05)
            self._check_starts(before)

    def _check_starts(self, before: dict[str, int]) -> None:
        now_s = self.domain.clock.monotonic_s()
        for name, worker in self.domain.workers.items():
            closed_s = self.closed_s.get(worker.entry.data_centre, now_s)
            late = now_s - closed_s > Timing().evacuate_s
            if late and len(worker.starts) > before[name]:
                self.late.append(f'{name}: {now_s - closed_s:.2f} s')


if __name__ == '__main__':
    unittest.main()
