"""Leader election: hosts poll the leader's row and replace a silent leader."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from curranthill.clock import Clock, wait_at_most
from curranthill.dispatch.forecasts import ForecastReader
from curranthill.dispatch.leadership import (
    RENEW_WITHOUT_STORE_S,
    LeaderRow,
    Leadership,
    LeadershipLostError,
    leader_row_of,
    take_over,
)
from curranthill.dispatch.progress_writer import HEARTBEAT_S
from curranthill.errors import StorageError
from curranthill.storage.follower import FEED_WAIT_S
from curranthill.storage.health import UNREACHABLE_S, StoreHealth
from curranthill.storage.rows import RowStore, StoredRow
from curranthill.tasks import tables
from curranthill.telemetry.events import events

#: The interval at which a standby reads the leader's row, in seconds.
POLL_S: Final = 0.35

#: The interval while the row changes and many hosts read it, in seconds: a
#: response that comes up to 0.29 s later than the previous one is then still in
#: time for the store to count as reachable.
SHARED_POLL_S: Final = 0.55

#: From this number of other hosts on, each host polls less often; together they
#: detect a change as soon as a few hosts would.
SHARED_POLL_MIN_OTHERS: Final = 11

#: The shortest delay before a read, in seconds.
MIN_POLL_S: Final = 0.02

#: A leader that has been silent for this long is replaced, in seconds: four
#: heartbeats, so that one lost and one slow write do not change the leader.
SILENCE_S: Final = 4 * HEARTBEAT_S

#: The jitter between the takeovers of several standbys, in seconds.
JITTER_S: Final = 0.3

#: The silence that replaces a leader after an outage of the store through
#: which it was silent, in seconds: a leader that is connected again writes
#: 0.1 s after it knows, and hosts know within some 0.3 s of each other.
OUTAGE_SILENCE_S: Final = 0.4

#: The delay after a failed read, in seconds: short enough to notice soon that
#: the store is back, with some seven calls a second per host until then.
FAILED_POLL_S: Final = 0.15

#: A leader that can write but has not read the operators' rows for this long
#: asks for a successor, in seconds: a read normally waits once, and two more
#: waits are lost reads.
STALE_ROWS_S: Final = 3 * FEED_WAIT_S

#: The additional wait of a host that cannot read the operators' rows before it
#: replaces a silent leader, in seconds: hosts that can read them come first.
STALE_TAKEOVER_DELAY_S: Final = 0.7

#: After a longer gap between two reads nothing is known of the time between
#: them, in seconds.
MAX_READ_GAP_S: Final = 1.2


class OperatorRows(Protocol):
    """The operators' rows, and as of when this host knows them."""

    @property
    def read_s(self) -> float:
        """Return as of when the rows are known, on the monotonic clock."""


def _no_others() -> int:
    """Return 0, for a host without a view of the others."""
    return 0


class Election:
    """Follows the leader's row, and leads a term when it wins it.

    :param lead: runs one term and returns when it is over.
    :param health: is notified of the outcome of each read.
    :param operator_rows: a host that cannot read them leads only if no other
        host does.
    :param forecasts: the forecast in the leader's row.
    :param others: returns how many other hosts poll the leader's row.
    :param renews_s: for how long this host, as a leader that cannot write,
        renews leases, in seconds.
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
        others: Callable[[], int] = _no_others,
        renews_s: float = RENEW_WITHOUT_STORE_S,
    ) -> None:
        """Initialize an election before the first read of the row."""
        self._operator_rows = operator_rows
        self._others = others
        self._renews_s = renews_s
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
        self.forecasts = ForecastReader(clock=clock)
        self._shared_polling = False

    @property
    def leader_silent_s(self) -> float:
        """Return for how long the leader's row is known to be unchanged."""
        return self._read_s - self._unchanged_since_s

    def resign(self) -> None:
        """Stop trying to lead for good."""
        self._resigned = True

    async def run(self) -> None:
        """Poll the row, and lead whenever it is won, until cancelled."""
        while True:
            asked_s = self._clock.monotonic_s()
            try:
                row = await self._store.read(tables.LEADER, tables.LEADER_KEY)
            except StorageError as error:
                self._health.record_failure(error)
                self.forecasts.record_lost_reply()
                pause_s = FAILED_POLL_S * random.uniform(0.8, 1.2)
            else:
                self._health.record_reply()
                self._record_read(row)
                await self._consider_takeover(row)
                pause_s = self._pause_s(asked_s)
            await self._clock.sleep(pause_s)

    def _pause_s(self, asked_s: float) -> float:
        """Return the delay before the next read, in seconds.

        :param asked_s: when the last read was sent.
        """
        silent_s = self.leader_silent_s
        if not silent_s and self._others() >= SHARED_POLL_MIN_OTHERS:
            now_s = self._clock.monotonic_s()
            # Keeps hosts that started together from polling together.
            least = 0.9 if self._shared_polling else 0
            self._shared_polling = True
            due_s = asked_s + SHARED_POLL_S * random.uniform(least, 1.1)
            return max(due_s - now_s, MIN_POLL_S)
        self._shared_polling = False
        pause_s = POLL_S * random.uniform(0.8, 1.2)
        left_s = self._silence_s - silent_s
        if left_s <= 0:
            # No takeover was possible yet; polling faster would not help.
            return pause_s
        # Reads right at the end of the silence, however long the interval is.
        return max(min(pause_s, left_s), MIN_POLL_S)

    def _record_read(self, row: StoredRow | None) -> None:
        """Record since when the row has been seen unchanged."""
        now_s = self._clock.monotonic_s()
        version = row.version if row else 0
        gap_s = now_s - self._read_s
        if gap_s > MAX_READ_GAP_S:
            self._steady_since_s = now_s
        if version != self._version:
            self._seen_since_s = now_s
            self._unchanged_since_s = now_s
            self._silence_s = SILENCE_S + random.uniform(0, JITTER_S)
        elif gap_s > MAX_READ_GAP_S:
            # The leader may have been cut off from the store like this host.
            self._unchanged_since_s = now_s
            jitter_s = random.uniform(0, JITTER_S / 3)
            self._silence_s = OUTAGE_SILENCE_S + jitter_s
        self._version = version
        self._read_s = now_s

    async def _consider_takeover(self, row: StoredRow | None) -> None:
        try:
            leader = leader_row_of(row) if row else LeaderRow()
        except StorageError as error:
            events.log('takeover_failed', error=str(error))
            return
        self.forecasts.update(leader.epoch, leader.forecast)
        if self._resigned:
            return
        holder = leader.holder
        # A row with this host's own name was written by an earlier process, or
        # by a takeover whose response was lost: there is no such leader.
        occupied = holder not in {'', self._holder}
        if occupied and not self._may_replace(leader):
            return
        if not holder or leader.yields:
            # All hosts see a vacant row at the same time.
            await self._clock.sleep(random.uniform(0, JITTER_S / 3))
        try:
            leadership = await take_over(
                store=self._store,
                clock=self._clock,
                holder=self._holder,
                seen=row,
                seen_for_s=self._read_s - self._seen_since_s,
                renews_s=self._renews_s,
            )
        except StorageError as error:
            events.log('takeover_failed', error=str(error))
            return
        if leadership is None:
            return
        if self._resigned:
            await _vacate(leadership)
            return
        await self._run_term(leadership)

    def _may_replace(self, leader: LeaderRow) -> bool:
        """Return whether a leader is silent or asks for a successor."""
        if self._has_stale_operator_rows(self._steady_since_s):
            return (
                self.leader_silent_s >= self._silence_s + STALE_TAKEOVER_DELAY_S
            )
        return leader.yields or self.leader_silent_s >= self._silence_s

    def _has_stale_operator_rows(self, steady_since_s: float) -> bool:
        """Return whether the last read of the operators' rows is too old.

        :param steady_since_s: since when the store has been responding here: an
            outage of the whole store does not count as stale rows.
        """
        known_s = max(self._operator_rows.read_s, steady_since_s)
        return self._clock.monotonic_s() - known_s > STALE_ROWS_S

    async def _run_term(self, leadership: Leadership) -> None:
        term = asyncio.ensure_future(self._lead(leadership))
        try:
            while not term.done():
                # The leader's own writes show whether the store is reachable.
                if leadership.age_s < UNREACHABLE_S:
                    self._health.record_reply()
                self._ask_for_successor(leadership)
                self.forecasts.update(leadership.epoch, leadership.forecast)
                await wait_at_most(term, timeout_s=POLL_S, clock=self._clock)
        finally:
            term.cancel()
            await _await_end(term)

    def _ask_for_successor(self, leadership: Leadership) -> None:
        stale = self._has_stale_operator_rows(leadership.steady_since_s)
        if stale != leadership.yields:
            leadership.yields = stale
            events.log(
                'leader_yields' if stale else 'leader_stays',
                epoch=leadership.epoch,
                operator_rows_age_s=round(
                    self._clock.monotonic_s() - self._operator_rows.read_s,
                    2,
                ),
            )


async def _vacate(leadership: Leadership) -> None:
    """Vacate a row that was won while this host was being stopped.

    Otherwise a successor would have to wait for the silence, and for as long
    as this leader could have renewed leases.
    """
    try:
        await leadership.resign()
    except LeadershipLostError as lost:
        events.log('step_down_needless', reason=str(lost))


async def _await_end(term: asyncio.Future[None]) -> None:
    """Wait until a term has ended; log an error that ended it."""
    await asyncio.gather(term, return_exceptions=True)
    if term.cancelled():
        return
    error = term.exception()
    if error is not None:
        events.log('term_failed', error=repr(error))


__all__ = ('Election',)
