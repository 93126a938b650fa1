"""Following a table of the store through its faults."""

import asyncio
import unittest

from curranthill.standin.rows import RowModel
from curranthill.storage.follower import FEED_WAIT_S, RETRY_S, TableFollower
from curranthill.storage.rows import RowChanges, RowPut, StoredRow
from tests.support import ManualClock, run

#: Within so long a change must be in force everywhere, in seconds.
IN_FORCE_S = 2.0


class Followed:
    """A follower of one table, and what it was told.

    :param seen: the content of each row, as told last.
    """

    def __init__(self) -> None:
        """Follow an empty table."""
        self.clock = ManualClock()
        self.rows = RowModel(clock=self.clock)
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
        """Change a row."""
        self.rows.apply((), (RowPut('t', key, content),), ())

    def _take(self, rows: tuple[StoredRow, ...]) -> None:
        self.seen.update({row.key: row.content for row in rows})


class FollowerTest(unittest.TestCase):
    """Changes arrive in bounded time, whatever became of a reading."""

    def test_a_change_arrives_at_once(self) -> None:
        """The feed waits at the store."""

        async def case() -> None:
            followed = Followed()
            following = asyncio.ensure_future(followed.follow())
            await followed.clock.advance(0.5)
            followed.write('k', b'1')
            await followed.clock.advance(0.05)
            self.assertEqual(followed.seen, {'k': b'1'})
            following.cancel()

        run(case())

    def test_a_lost_reading_costs_less_than_the_bound(self) -> None:
        """A change is made while a reading is lost."""

        async def case() -> None:
            followed = Followed()
            following = asyncio.ensure_future(followed.follow())
            await followed.clock.advance(0.5)
            followed.rows.down.add('h1')
            await followed.clock.advance(FEED_WAIT_S)
            followed.write('k', b'1')
            followed.rows.down.clear()
            await followed.clock.advance(IN_FORCE_S - RETRY_S)
            self.assertEqual(followed.seen, {'k': b'1'})
            following.cancel()

        run(case())

    def test_a_lost_history_is_read_again(self) -> None:
        """What changed in the gap is there after it."""

        async def case() -> None:
            followed = Followed()
            following = asyncio.ensure_future(followed.follow())
            await followed.clock.advance(0.5)
            followed.rows.down.add('h1')
            followed.write('k', b'1')
            followed.rows.forget_history()
            followed.rows.down.clear()
            await followed.clock.advance(IN_FORCE_S)
            self.assertEqual(followed.seen, {'k': b'1'})
            following.cancel()

        run(case())


class HeldSource:
    """Answers each reading when the test says so, and with what it says."""

    def __init__(self) -> None:
        """Hold every reading."""
        self.scans: list[asyncio.Future[RowChanges]] = []
        self.feeds: list[asyncio.Future[RowChanges]] = []
        self.waits_s: list[float] = []

    async def scan(self, table: str) -> RowChanges:
        """Wait for the test."""
        self.scans.append(asyncio.get_running_loop().create_future())
        return await self.scans[-1]

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> RowChanges:
        """Wait for the test."""
        self.waits_s.append(wait_s)
        self.feeds.append(asyncio.get_running_loop().create_future())
        return await self.feeds[-1]


def changed(version: int) -> RowChanges:
    """Return one row as changed at a version."""
    row = StoredRow('t', 'k', str(version).encode(), version)
    return RowChanges((row,), version)


class OverlapTest(unittest.TestCase):
    """A whole reading while the feed goes on, as after a pause of the host."""

    def follow(self, source: HeldSource) -> list[StoredRow]:
        """Follow in the background; return what is taken, in order."""
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

    def test_a_reading_behind_the_feed_is_made_again(self) -> None:
        """Taken, it would undo what the feed told, and for good."""

        async def case() -> None:
            source = HeldSource()
            taken = self.follow(source)
            reading = asyncio.ensure_future(self.follower.read())
            await turn()
            source.feeds[0].set_result(changed(11))
            await turn()
            source.scans[0].set_result(RowChanges((), 10))
            await turn()
            self.assertFalse(reading.done())
            source.scans[1].set_result(changed(12))
            await turn()
            self.assertEqual([row.version for row in taken], [11, 12])
            self.following.cancel()

        run(case())

    def test_an_answer_from_before_a_reading_is_passed_over(self) -> None:
        """The reading already holds what came after it."""

        async def case() -> None:
            source = HeldSource()
            taken = self.follow(source)
            reading = asyncio.ensure_future(self.follower.read())
            await turn()
            source.scans[0].set_result(changed(12))
            await turn()
            source.feeds[0].set_result(changed(9))
            await turn()
            self.assertTrue(reading.done())
            self.assertEqual([row.version for row in taken], [12])
            self.following.cancel()

        run(case())


class KnowledgeTest(unittest.TestCase):
    """Up to when a table is known, in seconds after its reading was asked."""

    def known_s(self, answer: RowChanges, after_s: float) -> list[float]:
        """Return it for each of two answers, the second one empty."""
        known_s: list[float] = []
        taken: list[StoredRow] = []
        self.source = HeldSource()

        async def case() -> None:
            clock = ManualClock()
            asked_s = clock.monotonic_s()
            follower = TableFollower(
                store=self.source,
                clock=clock,
                table='t',
                on_snapshot=taken.extend,
                on_changes=taken.extend,
                on_confirmed=lambda until_s: known_s.append(until_s - asked_s),
            )
            following = asyncio.ensure_future(follower.follow())
            await clock.advance(after_s)
            self.source.feeds[0].set_result(answer)
            await clock.advance(0)
            self.source.feeds[1].set_result(RowChanges((), answer.version))
            await clock.advance(0)
            following.cancel()

        run(case())
        return known_s

    def test_an_empty_answer_tells_up_to_the_end_of_its_wait(self) -> None:
        """However late it comes; one that comes early tells up to then."""
        empty = RowChanges((), 5)
        self.assertEqual(self.known_s(empty, FEED_WAIT_S + 0.4)[0], FEED_WAIT_S)
        self.assertAlmostEqual(self.known_s(empty, 0.3)[0], 0.3)

    def test_an_answer_with_rows_is_followed_by_another_at_once(self) -> None:
        """It was on its way for a while, and tells nothing of that time."""
        known_s = self.known_s(changed(6), FEED_WAIT_S + 2.0)
        self.assertEqual(known_s, [0.0, FEED_WAIT_S + 2.0])
        self.assertEqual(self.source.waits_s[:3], [FEED_WAIT_S, 0, FEED_WAIT_S])


async def turn() -> None:
    """Let all tasks go on as far as they can."""
    for _ in range(5):
        await asyncio.sleep(0)
