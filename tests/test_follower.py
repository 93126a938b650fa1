"""Tests of following a table of the store under faults."""

import asyncio
import unittest

from curranthill.standin.rows import RowStoreModel
from curranthill.storage.follower import FEED_WAIT_S, RETRY_S, TableFollower
from curranthill.storage.rows import RowChanges, RowPut, StoredRow
from tests.support import ManualClock, run

#: Time within which a change must be in force everywhere, in seconds.
IN_FORCE_S = 2.0


class Followed:
    """A follower of a table, and the rows that it has received.

    :param seen: the last received content of each row.
    """

    def __init__(self) -> None:
        """Initialize with an empty table."""
        self.clock = ManualClock()
        self.rows = RowStoreModel(clock=self.clock)
        self.seen: dict[str, bytes] = {}
        self._follower = TableFollower(
            store=self.rows.client('h1'),
            clock=self.clock,
            table='t',
            on_snapshot=self._take,
            on_changes=self._take,
        )

    async def follow(self) -> None:
        """Read the table and follow it."""
        await self._follower.read()
        await self._follower.follow()

    def write(self, key: str, content: bytes) -> None:
        """Write a row."""
        self.rows.apply((), (RowPut('t', key, content),), ())

    def _take(self, rows: tuple[StoredRow, ...]) -> None:
        self.seen.update({row.key: row.content for row in rows})


class FollowerTest(unittest.TestCase):
    """Changes arrive in bounded time, even if a read is lost."""

    def test_a_change_arrives_at_once(self) -> None:
        """The feed's read is waiting at the store."""

        async def case() -> None:
            followed = Followed()
            following = asyncio.ensure_future(followed.follow())
            await followed.clock.advance(0.5)
            followed.write('k', b'1')
            await followed.clock.advance(0.05)
            self.assertEqual(followed.seen, {'k': b'1'})
            following.cancel()

        run(case())

    def test_a_lost_read_delays_a_change_within_the_bound(self) -> None:
        """A row changes while a read is lost."""

        async def case() -> None:
            followed = Followed()
            following = asyncio.ensure_future(followed.follow())
            await followed.clock.advance(0.5)
            followed.rows.unresponsive_hosts.add('h1')
            await followed.clock.advance(FEED_WAIT_S)
            followed.write('k', b'1')
            followed.rows.unresponsive_hosts.clear()
            await followed.clock.advance(IN_FORCE_S - RETRY_S)
            self.assertEqual(followed.seen, {'k': b'1'})
            following.cancel()

        run(case())

    def test_a_lost_history_is_read_again(self) -> None:
        """Changes in the gap are received after it."""

        async def case() -> None:
            followed = Followed()
            following = asyncio.ensure_future(followed.follow())
            await followed.clock.advance(0.5)
            followed.rows.unresponsive_hosts.add('h1')
            followed.write('k', b'1')
            followed.rows.truncate_history()
            followed.rows.unresponsive_hosts.clear()
            await followed.clock.advance(IN_FORCE_S)
            self.assertEqual(followed.seen, {'k': b'1'})
            following.cancel()

        run(case())


class HeldSource:
    """A source whose reads complete when the test resolves their futures."""

    def __init__(self) -> None:
        """Initialize without reads."""
        self.scans: list[asyncio.Future[RowChanges]] = []
        self.feeds: list[asyncio.Future[RowChanges]] = []
        self.waits_s: list[float] = []

    async def scan(self, table: str) -> RowChanges:
        """Wait until the test resolves the read."""
        self.scans.append(asyncio.get_running_loop().create_future())
        return await self.scans[-1]

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> RowChanges:
        """Wait until the test resolves the read."""
        self.waits_s.append(wait_s)
        self.feeds.append(asyncio.get_running_loop().create_future())
        return await self.feeds[-1]


def changed(version: int) -> RowChanges:
    """Return the change of one row at a version."""
    row = StoredRow('t', 'k', str(version).encode(), version)
    return RowChanges((row,), version)


class OverlapTest(unittest.TestCase):
    """Snapshots that are read beside the feed, as after a suspension."""

    def follow(self, source: HeldSource) -> list[StoredRow]:
        """Follow in the background; return the received rows, in order."""
        taken: list[StoredRow] = []
        self.follower = TableFollower(
            store=source,
            clock=ManualClock(),
            table='t',
            on_snapshot=taken.extend,
            on_changes=taken.extend,
        )
        self.following = asyncio.ensure_future(self.follower.follow())
        return taken

    def test_a_snapshot_older_than_the_feed_is_read_again(self) -> None:
        """Applying it would undo a change of the feed permanently."""

        async def case() -> None:
            source = HeldSource()
            taken = self.follow(source)
            snapshot = asyncio.ensure_future(self.follower.read())
            await yield_to_tasks()
            source.feeds[0].set_result(changed(11))
            await yield_to_tasks()
            source.scans[0].set_result(RowChanges((), 10))
            await yield_to_tasks()
            self.assertFalse(snapshot.done())
            source.scans[1].set_result(changed(12))
            await yield_to_tasks()
            self.assertEqual([row.version for row in taken], [11, 12])
            self.following.cancel()

        run(case())

    def test_a_feed_response_older_than_the_snapshot_is_ignored(self) -> None:
        """The snapshot already contains its changes."""

        async def case() -> None:
            source = HeldSource()
            taken = self.follow(source)
            snapshot = asyncio.ensure_future(self.follower.read())
            await yield_to_tasks()
            source.scans[0].set_result(changed(12))
            await yield_to_tasks()
            source.feeds[0].set_result(changed(9))
            await yield_to_tasks()
            self.assertTrue(snapshot.done())
            self.assertEqual([row.version for row in taken], [12])
            self.following.cancel()

        run(case())


class ConfirmationTest(unittest.TestCase):
    """Up to when the responses of a feed confirm that a table is known."""

    def confirmed_s(self, response: RowChanges, after_s: float) -> list[float]:
        """Return what each of two responses confirms; the second one is empty.

        The times are in seconds after the first read was requested.
        """
        confirmed_s: list[float] = []
        taken: list[StoredRow] = []
        self.source = HeldSource()

        async def case() -> None:
            clock = ManualClock()
            requested_s = clock.monotonic_s()
            follower = TableFollower(
                store=self.source,
                clock=clock,
                table='t',
                on_snapshot=taken.extend,
                on_changes=taken.extend,
                on_confirmed=lambda until_s: confirmed_s.append(
                    until_s - requested_s,
                ),
            )
            following = asyncio.ensure_future(follower.follow())
            await clock.advance(after_s)
            self.source.feeds[0].set_result(response)
            await clock.advance(0)
            self.source.feeds[1].set_result(RowChanges((), response.version))
            await clock.advance(0)
            following.cancel()

        run(case())
        return confirmed_s

    def test_an_empty_response_confirms_up_to_the_end_of_its_wait(self) -> None:
        """However late it arrives; an early one confirms up to its arrival."""
        empty = RowChanges((), 5)
        late_s = self.confirmed_s(empty, FEED_WAIT_S + 0.4)[0]
        self.assertEqual(late_s, FEED_WAIT_S)
        self.assertAlmostEqual(self.confirmed_s(empty, 0.3)[0], 0.3)

    def test_a_response_with_rows_is_followed_by_a_read_at_once(self) -> None:
        """It was in flight for a while and does not cover that time."""
        confirmed_s = self.confirmed_s(changed(6), FEED_WAIT_S + 2.0)
        self.assertEqual(confirmed_s, [0.0, FEED_WAIT_S + 2.0])
        self.assertEqual(self.source.waits_s[:3], [FEED_WAIT_S, 0, FEED_WAIT_S])


async def yield_to_tasks() -> None:
    """Let all tasks run until they wait."""
    for _ in range(5):
        await asyncio.sleep(0)
