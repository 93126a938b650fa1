"""How often hosts ask the store: not once for each of many small changes."""

import unittest
from typing import Any
from unittest.mock import patch

from curranthill.errors import StorageError
from curranthill.standin.rows import RowClient
from curranthill.tasks import tables
from tests.domain import WORKER_TABLE, Domain, in_domain

#: How often some worker rewrites its entry, in seconds.
ENTRY_INTERVAL_S = 0.02

#: How long it is watched, in seconds.
WATCHED_S = 4.0

#: Readings a second of one table that a leader may make.
READINGS_PER_S = 6

#: Within so long an entry must be known, in seconds.
KNOWN_S = 0.25


#: Hosts of a deployment that share the watching of the leader.
HOSTS = 12

#: Readings of the leader's row a second that each of them may make.
LOOKS_PER_S = 2.0

#: The same while nobody leads and nobody can: as often as few hosts look.
UNLED_LOOKS_PER_S = 4.0

#: What answers of a slow store take, in seconds: those that a host waits for.
LATE_S = 0.28

#: The longest from a leader's loss to a new leader, in seconds: the silence
#: with its spread, and the row as seen by the first of the others.
LEADERLESS_S = 1.9


class Readings:
    """Counts the readings of each table's feed, and of its single rows."""

    def __init__(self) -> None:
        """Start at none."""
        self.counts: dict[str, int] = {}

    def count(self) -> Any:
        """Return a patch under which readings are counted."""
        changes = RowClient.changes

        async def counted(client: RowClient, table: str, *rest: Any) -> Any:
            self.counts[table] = self.counts.get(table, 0) + 1
            return await changes(client, table, *rest)

        return patch.object(RowClient, 'changes', counted)

    def count_rows(self) -> Any:
        """Return a patch under which readings of rows are counted."""
        read = RowClient.read

        async def counted(client: RowClient, table: str, key: str) -> Any:
            self.counts[table] = self.counts.get(table, 0) + 1
            return await read(client, table, key)

        return patch.object(RowClient, 'read', counted)


class WorkerEntriesTest(unittest.TestCase):
    """Entries of workers change all the time where there are many."""

    def test_readings_do_not_grow_with_the_entries_written(self) -> None:
        """What is written within a moment is read together."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            readings = Readings()
            with readings.count():
                for number in range(int(WATCHED_S / ENTRY_INTERVAL_S)):
                    self.rewrite(domain, number)
                    await domain.clock.advance(ENTRY_INTERVAL_S)
            self.assertLessEqual(
                readings.counts[WORKER_TABLE],
                READINGS_PER_S * WATCHED_S,
            )

        in_domain(case)

    def test_an_entry_is_known_soon_after_others(self) -> None:
        """A worker that leaves amid other news gets nothing new."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            for number in range(30):
                self.rewrite(domain, number)
                await domain.clock.advance(ENTRY_INTERVAL_S)
            entry = domain.session('w1').entry._replace(leaving=True)
            domain.list_worker(entry)
            await domain.clock.advance(KNOWN_S)
            self.assertTrue(domain.session('w1').entry.leaving)

        in_domain(case)

    def rewrite(self, domain: Domain, number: int) -> None:
        """Have one worker write its entry anew."""
        entry = domain.session('w0').entry
        domain.list_worker(entry._replace(labels=(f'n{number}',)))


class LeadersRowTest(unittest.TestCase):
    """Many hosts watch one leader, so each may look less often."""

    async def start(self, domain: Domain) -> None:
        """Start the hosts, each of which knows how many there are."""
        domain.others = HOSTS - 1
        for number in range(HOSTS):
            domain.start_host(f'h{number}')
        await domain.leader()
        await domain.clock.advance(1.0)

    def test_a_silence_that_nobody_can_end_is_not_asked_for_all_the_time(
        self,
    ) -> None:
        """The leader is lost, and no takeover's write gets an answer."""

        async def case(domain: Domain) -> None:
            await self.start(domain)
            failing = patch(
                'curranthill.dispatch.election.take_over',
                side_effect=StorageError('No answer.', step='write'),
            )
            with failing:
                await domain.leading()[0].kill()
                await domain.clock.advance(LEADERLESS_S)
                readings = Readings()
                with readings.count_rows():
                    await domain.clock.advance(WATCHED_S)
            self.assertLessEqual(
                readings.counts[tables.LEADER],
                UNLED_LOOKS_PER_S * WATCHED_S * len(domain.hosts),
            )

        in_domain(case)

    def test_many_hosts_look_less_often(self) -> None:
        """Their readings are what the store is asked most."""

        async def case(domain: Domain) -> None:
            await self.start(domain)
            readings = Readings()
            with readings.count_rows():
                await domain.clock.advance(WATCHED_S)
            looks = readings.counts[tables.LEADER]
            self.assertLessEqual(
                looks / WATCHED_S / (HOSTS - 1),
                LOOKS_PER_S,
            )

        in_domain(case)

    def test_a_lost_leader_is_replaced_as_soon(self) -> None:
        """Whenever between two readings it is lost."""

        async def case(domain: Domain) -> None:
            await self.start(domain)
            for number in range(5):
                await domain.clock.advance(2 + number * 0.11)
                lost = domain.leading()[0]
                await lost.kill()
                await domain.clock.advance(LEADERLESS_S)
                self.assertTrue(domain.leading())
                domain.start_host(lost.name)

        in_domain(case)

    def unreachable(self, domain: Domain) -> list[str]:
        """Return the hosts that take the store for unreachable."""
        return [
            host.name
            for host in domain.hosts.values()
            if not host.health.reachable
        ]

    def test_hosts_reach_a_store_whose_answers_become_slow(self) -> None:
        """Looking less often, none takes a late answer for an absence."""

        async def case(domain: Domain) -> None:
            await self.start(domain)
            read = RowClient.read

            async def late(client: RowClient, *names: str) -> Any:
                await domain.clock.sleep(LATE_S)
                return await read(client, *names)

            with patch.object(RowClient, 'read', late):
                for _ in range(200):
                    await domain.clock.advance(0.02)
                    self.assertEqual(self.unreachable(domain), [])

        in_domain(case)
