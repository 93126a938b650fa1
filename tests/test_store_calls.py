"""Tests of how often hosts call the store, and that they batch changes."""

import unittest
from typing import Any
from unittest.mock import patch

from curranthill.errors import StorageError
from curranthill.standin.rows import RowStoreClient
from curranthill.tasks import tables
from tests.domain import WORKER_TABLE, Domain, in_domain

#: Interval at which a worker rewrites its entry, in seconds.
ENTRY_INTERVAL_S = 0.02

#: How long calls are counted, in seconds.
OBSERVED_S = 4.0

#: Reads per second of one table that a leader may make.
READS_PER_S = 6

#: Time within which a changed entry must be read, in seconds.
READ_WITHIN_S = 0.25


#: Hosts of a deployment, of which all but one poll the leader's row.
HOSTS = 12

#: Reads of the leader's row per second that each of them may make.
POLLS_PER_S = 2.0

#: The same while there is no leader and no takeover succeeds: as often as in a
#: small deployment.
LEADERLESS_POLLS_PER_S = 4.0

#: Response time of a slow store, in seconds, within the timeout of a host.
LATE_S = 0.28

#: Maximum time from the loss of a leader to a new one, in seconds: the silence
#: with its jitter, and the poll interval of the first of the others.
LEADERLESS_S = 1.9


class ReadCounter:
    """Counts reads of feeds and of single rows by table."""

    def __init__(self) -> None:
        """Initialize with no reads."""
        self.counts: dict[str, int] = {}

    def count_feeds(self) -> Any:
        """Return a patch that counts reads of feeds."""
        changes = RowStoreClient.changes

        async def counted(
            client: RowStoreClient, table: str, *rest: Any
        ) -> Any:
            self.counts[table] = self.counts.get(table, 0) + 1
            return await changes(client, table, *rest)

        return patch.object(RowStoreClient, 'changes', counted)

    def count_rows(self) -> Any:
        """Return a patch that counts reads of single rows."""
        read = RowStoreClient.read

        async def counted(client: RowStoreClient, table: str, key: str) -> Any:
            self.counts[table] = self.counts.get(table, 0) + 1
            return await read(client, table, key)

        return patch.object(RowStoreClient, 'read', counted)


class WorkerEntriesTest(unittest.TestCase):
    """In large deployments some worker entry changes all the time."""

    def test_reads_do_not_grow_with_the_entries_written(self) -> None:
        """Entries that are written in quick succession are read together."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            reads = ReadCounter()
            with reads.count_feeds():
                for number in range(int(OBSERVED_S / ENTRY_INTERVAL_S)):
                    self.rewrite(domain, number)
                    await domain.clock.advance(ENTRY_INTERVAL_S)
            self.assertLessEqual(
                reads.counts[WORKER_TABLE],
                READS_PER_S * OBSERVED_S,
            )

        in_domain(case)

    def test_an_entry_is_read_soon_after_others(self) -> None:
        """A worker that drains amid other changes gets no new tasks."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            for number in range(30):
                self.rewrite(domain, number)
                await domain.clock.advance(ENTRY_INTERVAL_S)
            entry = domain.session('w1').entry._replace(leaving=True)
            domain.list_worker(entry)
            await domain.clock.advance(READ_WITHIN_S)
            self.assertTrue(domain.session('w1').entry.leaving)

        in_domain(case)

    def rewrite(self, domain: Domain, number: int) -> None:
        """Have a worker rewrite its entry."""
        entry = domain.session('w0').entry
        domain.list_worker(entry._replace(labels=(f'n{number}',)))


class LeadersRowTest(unittest.TestCase):
    """With many hosts polling the leader's row, each polls less often."""

    async def start(self, domain: Domain) -> None:
        """Start the hosts, each of which knows their number."""
        domain.others = HOSTS - 1
        for number in range(HOSTS):
            domain.start_host(f'h{number}')
        await domain.leader()
        await domain.clock.advance(1.0)

    def test_polls_stay_bounded_while_no_takeover_succeeds(
        self,
    ) -> None:
        """The leader is lost, and the writes of all takeovers fail."""

        async def case(domain: Domain) -> None:
            await self.start(domain)
            failing = patch(
                'curranthill.dispatch.election.take_over',
                side_effect=StorageError('No answer.', step='write'),
            )
            with failing:
                await domain.leading()[0].kill()
                await domain.clock.advance(LEADERLESS_S)
                reads = ReadCounter()
                with reads.count_rows():
                    await domain.clock.advance(OBSERVED_S)
            self.assertLessEqual(
                reads.counts[tables.LEADER],
                LEADERLESS_POLLS_PER_S * OBSERVED_S * len(domain.hosts),
            )

        in_domain(case)

    def test_many_hosts_poll_less_often(self) -> None:
        """Polls are the most frequent calls to the store."""

        async def case(domain: Domain) -> None:
            await self.start(domain)
            reads = ReadCounter()
            with reads.count_rows():
                await domain.clock.advance(OBSERVED_S)
            polls = reads.counts[tables.LEADER]
            self.assertLessEqual(
                polls / OBSERVED_S / (HOSTS - 1),
                POLLS_PER_S,
            )

        in_domain(case)

    def test_a_lost_leader_is_replaced_as_soon(self) -> None:
        """This holds for a loss at any time between two polls."""

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
        """Return the hosts that consider the store unreachable."""
        return [
            host.name
            for host in domain.hosts.values()
            if not host.health.reachable
        ]

    def test_a_store_that_becomes_slow_stays_reachable(self) -> None:
        """With fewer polls, no host mistakes a late reply for an outage."""

        async def case(domain: Domain) -> None:
            await self.start(domain)
            read = RowStoreClient.read

            async def late(client: RowStoreClient, *names: str) -> Any:
                await domain.clock.sleep(LATE_S)
                return await read(client, *names)

            with patch.object(RowStoreClient, 'read', late):
                for _ in range(200):
                    await domain.clock.advance(0.02)
                    self.assertEqual(self.unreachable(domain), [])

        in_domain(case)
