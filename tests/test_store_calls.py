"""How often hosts ask the store: not once for each of many small changes."""

import unittest
from typing import Any
from unittest.mock import patch

from curranthill.standin.rows import RowClient
from tests.domain import WORKER_TABLE, Domain, in_domain

#: How often some worker rewrites its entry, in seconds.
ENTRY_INTERVAL_S = 0.02

#: How long it is watched, in seconds.
WATCHED_S = 4.0

#: Readings a second of one table that a leader may make.
READINGS_PER_S = 6

#: Within so long an entry must be known, in seconds.
KNOWN_S = 0.25


class Readings:
    """Counts the readings of each table's feed."""

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
