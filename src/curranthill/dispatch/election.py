"""Each host watches the leader's row and takes over when it falls silent."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from curranthill.clock import Clock, wait_at_most
from curranthill.dispatch.journal import HEARTBEAT_S
from curranthill.dispatch.leadership import (
    LeaderRow,
    Leadership,
    LeadershipLostError,
    leader_row_of,
    take_over,
)
from curranthill.dispatch.outlooks import OutlookWatch
from curranthill.errors import StorageError
from curranthill.storage.follower import FEED_WAIT_S
from curranthill.storage.health import UNREACHABLE_S, StoreHealth
from curranthill.storage.rows import RowStore, StoredRow
from curranthill.tasks import tables
from curranthill.telemetry.events import events

#: How often a standby reads the leader's row, in seconds.
POLL_S: Final = 0.35

#: The same while the row changes and many hosts read it, in seconds: an answer
#: may then come 0.29 s later than the one before, and the store still counts
#: as reachable.
SHARED_POLL_S: Final = 0.55

#: From so many other hosts on each looks less often; together they still see a
#: change as soon as a few do.
MANY_OTHERS: Final = 11

#: The least pause before a silence that is about to be over, in seconds.
LEAST_POLL_S: Final = 0.02

#: A leader silent for so long is replaced, in seconds: four heartbeats, so
#: that one lost write and one slow one do not change the leader.
SILENCE_S: Final = 4 * HEARTBEAT_S

#: Spread of the takeovers of several standbys, in seconds.
JITTER_S: Final = 0.3

#: The same once the store is back from an absence through which the leader has
#: been silent, in seconds: a leader that is back too writes 0.1 s after it
#: knows, and hosts know within some 0.3 s of each other.
RETURN_SILENCE_S: Final = 0.4

#: The pause after a reading that failed, in seconds: soon enough to see the
#: store's return, and some seven calls a second of each host meanwhile.
FAILED_POLL_S: Final = 0.15

#: A leader that writes and has not read the operators' rows for so long asks
#: for a successor, in seconds: one wait of a reading is usual, two more are
#: lost readings.
BLIND_S: Final = 3 * FEED_WAIT_S

#: A host that cannot read the operators' rows takes over from a silent leader
#: so much later, in seconds: hosts that can come first.
BLIND_DELAY_S: Final = 0.7

#: Two readings further apart than this say nothing of the time between.
READING_GAP_S: Final = 1.2


class OperatorRows(Protocol):
    """The operators' rows, and how fresh this host's knowledge of them is."""

    @property
    def read_s(self) -> float:
        """Return as of when they are known, in seconds of the clock."""


def _nobody() -> int:
    """Return that no other host is known."""
    return 0


class Election:
    """Follows the leader's row; leads when it wins it.

    :param lead: runs one term and returns when it is over.
    :param health: is told of each reading.
    :param operator_rows: a host that cannot read them leads only if nobody
        else does.
    :param outlooks: the outlook that stands in the leader's row.
    :param others: returns how many other hosts watch the leader too.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        holder: str,
        lead: Callable[[Leadership], Awaitable[None]],
        health: StoreHealth,
        operator_rows: OperatorRows,
        others: Callable[[], int] = _nobody,
    ) -> None:
        """Start with no row seen."""
        self._operator_rows = operator_rows
        self._others = others
        self._store = store
        self._clock = clock
        self._holder = holder
        self._lead = lead
        self._health = health
        self._version = -1
        self._seen_since_s = 0.0
        self._unchanged_since_s = 0.0
        self._read_s = 0.0
        self._steady_since_s = 0.0
        self._silence_s = SILENCE_S
        self._resigned = False
        self.outlooks = OutlookWatch(clock=clock)
        self._shares = False

    @property
    def leader_silent_s(self) -> float:
        """Return for how long the leader's row is known not to change."""
        return self._read_s - self._unchanged_since_s

    def resign(self) -> None:
        """Never try to lead again."""
        self._resigned = True

    async def run(self) -> None:
        """Watch and lead until cancelled."""
        while True:
            asked_s = self._clock.monotonic_s()
            try:
                row = await self._store.read(tables.LEADER, tables.LEADER_KEY)
            except StorageError as error:
                self._health.record_failure(error)
                self.outlooks.missed()
                pause_s = FAILED_POLL_S * random.uniform(0.8, 1.2)
            else:
                self._health.record_reply()
                self._note(row)
                await self._consider(row)
                pause_s = self._pause_s(asked_s)
            await self._clock.sleep(pause_s)

    def _pause_s(self, asked_s: float) -> float:
        """Return the pause after a reading, in seconds.

        :param asked_s: when the reading was asked for.
        """
        silent_s = self.leader_silent_s
        if not silent_s and self._others() >= MANY_OTHERS:
            now_s = self._clock.monotonic_s()
            # Hosts that began together must not look together.
            least = 0.9 if self._shares else 0
            self._shares = True
            due_s = asked_s + SHARED_POLL_S * random.uniform(least, 1.1)
            return max(due_s - now_s, LEAST_POLL_S)
        self._shares = False
        pause_s = POLL_S * random.uniform(0.8, 1.2)
        left_s = self._silence_s - silent_s
        if left_s <= 0:
            # Nobody could take over yet: asking faster does not help.
            return pause_s
        # At the very end of the silence, however seldom it was looked at.
        return max(min(pause_s, left_s), LEAST_POLL_S)

    def _note(self, row: StoredRow | None) -> None:
        """Keep for how long the row has been seen unchanged."""
        now_s = self._clock.monotonic_s()
        version = row.version if row else 0
        gap_s = now_s - self._read_s
        if gap_s > READING_GAP_S:
            self._steady_since_s = now_s
        if version != self._version:
            self._seen_since_s = now_s
            self._unchanged_since_s = now_s
            self._silence_s = SILENCE_S + random.uniform(0, JITTER_S)
        elif gap_s > READING_GAP_S:
            # The leader may have been cut off like this host.
            self._unchanged_since_s = now_s
            jitter_s = random.uniform(0, JITTER_S / 3)
            self._silence_s = RETURN_SILENCE_S + jitter_s
        self._version = version
        self._read_s = now_s

    async def _consider(self, row: StoredRow | None) -> None:
        try:
            leader = leader_row_of(row) if row else LeaderRow()
        except StorageError as error:
            events.log('takeover_failed', error=str(error))
            return
        self.outlooks.take(leader.epoch, leader.outlook)
        if self._resigned:
            return
        holder = leader.holder
        # A row of this host's own name is that of an earlier process, or was
        # won without a reply: nobody else waits for it.
        held = holder not in {'', self._holder}
        if held and not self._may_replace(leader):
            return
        if not holder or leader.yields:
            # A vacancy is seen by all at once.
            await self._clock.sleep(random.uniform(0, JITTER_S / 3))
        try:
            leadership = await take_over(
                store=self._store,
                clock=self._clock,
                holder=self._holder,
                seen=row,
                seen_for_s=self._read_s - self._seen_since_s,
            )
        except StorageError as error:
            events.log('takeover_failed', error=str(error))
            return
        if leadership is None:
            return
        if self._resigned:
            await _give_back(leadership)
            return
        await self._run_term(leadership)

    def _may_replace(self, leader: LeaderRow) -> bool:
        """Return whether a leader is silent, or asks for one that can read."""
        if self._is_blind(self._steady_since_s):
            return self.leader_silent_s >= self._silence_s + BLIND_DELAY_S
        return leader.yields or self.leader_silent_s >= self._silence_s

    def _is_blind(self, steady_since_s: float) -> bool:
        """Return whether the operators' rows have gone unread for long.

        :param steady_since_s: since when the store has answered this host; an
            outage of the store is none of readings alone.
        """
        known_s = max(self._operator_rows.read_s, steady_since_s)
        return self._clock.monotonic_s() - known_s > BLIND_S

    async def _run_term(self, leadership: Leadership) -> None:
        term = asyncio.ensure_future(self._lead(leadership))
        try:
            while not term.done():
                # The leader's own writes tell whether the store answers.
                if leadership.age_s < UNREACHABLE_S:
                    self._health.record_reply()
                self._ask_for_successor(leadership)
                self.outlooks.take(leadership.epoch, leadership.outlook)
                await wait_at_most(term, timeout_s=POLL_S, clock=self._clock)
        finally:
            term.cancel()
            await _end(term)

    def _ask_for_successor(self, leadership: Leadership) -> None:
        blind = self._is_blind(leadership.steady_since_s)
        if blind != leadership.yields:
            leadership.yields = blind
            events.log(
                'leader_yields' if blind else 'leader_stays',
                epoch=leadership.epoch,
                operator_rows_age_s=round(
                    self._clock.monotonic_s() - self._operator_rows.read_s,
                    2,
                ),
            )


async def _give_back(leadership: Leadership) -> None:
    """Vacate a row that was won while this host was told to stop.

    Kept, it would hold up its successor for the silence and for as long as a
    leader might have gone on renewing leases.
    """
    try:
        await leadership.resign()
    except LeadershipLostError as lost:
        events.log('step_down_needless', reason=str(lost))


async def _end(term: asyncio.Future[None]) -> None:
    """Wait for a term's end; tell of an error in it."""
    await asyncio.gather(term, return_exceptions=True)
    if term.cancelled():
        return
    error = term.exception()
    if error is not None:
        events.log('term_failed', error=repr(error))


__all__ = ('Election',)
