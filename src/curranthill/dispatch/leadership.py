"""The leader's row and the conditional writes through which a leader leads.

Every write of a leader replaces the leader's row, on the condition that the
row is as the leader last wrote it. So a write of a previous leader fails, a
write that arrives late fails, and each write is also a heartbeat.
"""

import uuid
from collections.abc import Sequence
from typing import Any, Final

import msgspec

from curranthill.clock import Clock
from curranthill.dispatch.silence import SilentWorkers
from curranthill.errors import (
    CurranthillError,
    NotSentError,
    ReplyLostError,
    StorageError,
)
from curranthill.storage.rows import (
    MalformedRecordError,
    RowCheck,
    RowConflictError,
    RowPut,
    RowRemoval,
    RowStore,
    StoredRow,
    StoreRejectedError,
)
from curranthill.tasks import tables
from curranthill.tasks.progress import decode, encode
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: The longest for which a leader that cannot write renews leases, in seconds.
#: A successor waits as long before it gives up runs at workers that it cannot
#: reach, unless the previous leader stepped down: each additional second
#: delays the restart of tasks of lost workers.
RENEW_WITHOUT_STORE_S: Final = 6.0

#: The shortest, in seconds: longer than a lost and a slow write.
MIN_RENEW_WITHOUT_STORE_S: Final = 2.0

#: How long renewals without the store and the last lease last together, in
#: seconds. Work survives an outage of the store for this time less the
#: interval of renewals: 10.5 s, while outages of 7 s occur. Work of a worker
#: that is stored as silent is not renewed during an outage.
SURVIVED_OUTAGE_S: Final = 12.0

#: The delay before a write is retried, in seconds: a leader then retries some
#: ten times a second while the store is down.
RETRY_DELAY_S: Final = 0.1

#: A longer interval between two writes counts as an outage, in seconds: three
#: heartbeats.
STEADY_GAP_S: Final = 1.0


class LeaderRow(msgspec.Struct, array_like=True):
    """The leader's row.

    :param holder: the leading process, or empty after it stepped down.
    :param epoch: incremented with each change of the holder.
    :param operation: unique to each write, to recognize a write whose response
        was lost.
    :param previous_s: for how long from this write the leaders before the
        holder may still renew leases, in seconds.
    :param yields: whether the holder asks for a successor, as it cannot read
        the operators' rows; it leads until one takes over.
    :param forecast: the wait of new jobs, as untyped content: one written by
        another release must not make the row unreadable.
    :param renews_s: for how long the holder may renew leases from this write,
        in seconds.
    :param silent: workers that do not respond and are granted nothing: by id
        for how long from this write their leases may last, in seconds.
    """

    holder: str = ''
    epoch: int = 0
    operation: str = ''
    previous_s: float = 0.0
    yields: bool = False
    forecast: Any = None
    renews_s: float = RENEW_WITHOUT_STORE_S
    silent: dict[str, float] = msgspec.field(default_factory=dict)

    @property
    def spreads(self) -> bool:
        """Return whether the progress of some job is spread over rows."""
        return False

    @property
    def has_ranges(self) -> bool:
        """Return whether some job stores its done occurrences as ranges."""
        return False

    def previous_after_s(self, seen_for_s: float) -> float:
        """Return for how long any leader up to this row's may renew leases.

        :param seen_for_s: for how long this row is known to be the newest, in
            seconds; its writer renews for a bounded time from the write, which
            was before the row was first seen.
        """
        max_s = self.previous_s
        if self.holder:
            max_s = max(max_s, self.renews_s)
        return max(0.0, max_s - seen_for_s)

    def silent_after_s(self, seen_for_s: float) -> dict[str, float]:
        """Return the silent workers and for how long their leases may last.

        :param seen_for_s: as for :meth:`previous_after_s`.
        """
        return {
            worker_id: max(0.0, remaining_s - seen_for_s)
            for worker_id, remaining_s in self.silent.items()
        }


class SpreadLeaderRow(LeaderRow, array_like=True):
    """The leader's row while the progress of some job is spread over rows.

    Releases that do not read such progress would start its tasks again. They
    can't read the stored form of this row either, so none of their hosts takes
    over.
    """

    @property
    def spreads(self) -> bool:
        """Return whether the progress of some job is spread over rows."""
        return True


class RangesLeaderRow(LeaderRow, array_like=True):
    """The leader's row while some job stores its done occurrences as ranges.

    Releases that do not read ranges can't read its stored form, as above.
    """

    @property
    def has_ranges(self) -> bool:
        """Return whether some job stores its done occurrences as ranges."""
        return True


class SpreadRangesLeaderRow(SpreadLeaderRow, array_like=True):
    """The leader's row while both is the case."""

    @property
    def has_ranges(self) -> bool:
        """Return whether some job stores its done occurrences as ranges."""
        return True


#: The names under which these rows are stored; a plain one is stored as it is.
_NAMES: Final[dict[type[LeaderRow], str]] = {
    SpreadLeaderRow: 'row',
    RangesLeaderRow: 'row_with_ranges',
    SpreadRangesLeaderRow: 'spread_row_with_ranges',
}
_KINDS: Final = {name: kind for kind, name in _NAMES.items()}


def encode_leader_row(row: LeaderRow) -> bytes:
    """Serialize the leader's row for the store."""
    kind = type(row)
    return encode({_NAMES[kind]: row} if kind in _NAMES else row)


def renew_without_store_s(lease_s: float) -> float:
    """Return how long a leader that cannot write renews leases, in seconds.

    :param lease_s: the longest lease that a worker grants.
    """
    shorter_s = max(SURVIVED_OUTAGE_S - lease_s, MIN_RENEW_WITHOUT_STORE_S)
    return min(shorter_s, RENEW_WITHOUT_STORE_S)


def leader_row_of(stored: StoredRow) -> LeaderRow:
    """Return the decoded leader's row.

    :raises StorageError: if it can't be decoded; a fresh row in its place
        would start with an epoch whose tokens workers reject.
    """
    try:
        return decode(stored.content, LeaderRow)
    except MalformedRecordError:
        return _named_leader_row(stored)


def _named_leader_row(stored: StoredRow) -> LeaderRow:
    try:
        named = decode(stored.content, dict[str, Any])
        name = next(iter(named), '')
        return msgspec.convert(named[name], _KINDS[name])
    except (MalformedRecordError, LookupError, ValueError) as error:
        raise StorageError(
            f"The leader's row is unreadable: {error}",
            step='leader',
        ) from error


class LeadershipLostError(CurranthillError):
    """Another process leads, or this one stepped down."""


class Leadership:
    """One term of one leader.

    :param row: the leader's row as this process wrote it.
    :param version: the version of that row.
    :param began_s: the clock just before that write.
    :param yields: whether the next writes ask for a successor.
    :param steady_since_s: since when writes have applied without a gap.
    :param forecast: the wait of new jobs, written with each write from now on;
        hosts read this row anyway, so the forecast costs no further call.
    :param silent: the workers that do not respond, stored with each write.
    :param spreads: whether the progress of some job is spread over rows.
    :param has_ranges: whether some job stores its done occurrences as ranges.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        row: LeaderRow,
        version: int,
        began_s: float,
    ) -> None:
        """Initialize a term from the row that this process wrote."""
        self._began_s = began_s
        self._previous_s = row.previous_s
        self._resigning = False
        self._store = store
        self._clock = clock
        self._row = row
        self._version = version
        self._lost = False
        self.confirmed_s = began_s
        self.steady_since_s = began_s
        self.yields = False
        self.forecast: Any = None
        self.silent = SilentWorkers(clock=clock, inherited=row.silent)
        self.spreads = row.spreads
        self.has_ranges = row.has_ranges

    @property
    def epoch(self) -> int:
        """Return the number of this term."""
        return self._row.epoch

    @property
    def lost(self) -> bool:
        """Return whether this term is known to be over."""
        return self._lost

    @property
    def age_s(self) -> float:
        """Return the seconds since the last write known to have applied."""
        return self._clock.monotonic_s() - self.confirmed_s

    @property
    def previous_s(self) -> float:
        """Return for how long previous leaders may still renew leases."""
        led_s = self._clock.monotonic_s() - self._began_s
        return max(0.0, self._previous_s - led_s)

    @property
    def may_renew(self) -> bool:
        """Return whether leases may still be extended."""
        return not self._resigning and self.age_s < self._row.renews_s

    @property
    def resigning(self) -> bool:
        """Return whether this process has stopped ordering and renewing."""
        return self._resigning

    async def resign(self) -> None:
        """Vacate the leader's row for any successor.

        :raises LeadershipLostError: if another process leads.
        """
        self._resigning = True
        await self.write(holder='')

    async def write(
        self,
        puts: Sequence[RowPut] = (),
        removals: Sequence[RowRemoval] = (),
        *,
        holder: str | None = None,
    ) -> None:
        """Write rows with the heartbeat; retry until the outcome is known.

        :param holder: who leads from then on; this process by default.
        :raises LeadershipLostError: if another process leads.
        :raises StoreRejectedError: if the rows can never be written. Without
            any, the leader's own row is retried: another host takes over if
            that cannot be written either.
        """
        row = _row_type(spreads=self.spreads, has_ranges=self.has_ranges)(
            holder=self._row.holder if holder is None else holder,
            epoch=self._row.epoch,
            operation=uuid.uuid4().hex,
            previous_s=self.previous_s,
            yields=self.yields,
            forecast=self.forecast if holder is None else None,
            renews_s=self._row.renews_s,
            silent=self.silent.begin_write(),
        )
        own = RowPut(tables.LEADER, tables.LEADER_KEY, encode_leader_row(row))
        # When a conflict shows that an earlier try was applied, it may have
        # been any of them, and others may have read its row since the first.
        first_s = self._clock.monotonic_s()
        while not self._lost:
            version = await self._try(own, puts, removals, row.operation)
            if version:
                self._version = version
                self._row = row
                self.silent.confirm_write()
                self._record_applied(first_s)
                metrics.leader_commit_s.record(
                    self._clock.monotonic_s() - first_s
                )
                return
            await self._clock.sleep(RETRY_DELAY_S)
        raise LeadershipLostError('This process leads no more.', step='write')

    def _record_applied(self, first_s: float) -> None:
        if first_s - self.confirmed_s > STEADY_GAP_S:
            self.steady_since_s = first_s
        self.confirmed_s = first_s

    def abandon(self) -> None:
        """Make every later write fail."""
        self._lost = True

    async def _try(
        self,
        own: RowPut,
        puts: Sequence[RowPut],
        removals: Sequence[RowRemoval],
        operation: str,
    ) -> int:
        """Return the row's new version, or 0 if the write must be retried."""
        check = RowCheck(tables.LEADER, tables.LEADER_KEY, self._version)
        try:
            return await self._store.commit(
                checks=(check,),
                puts=(own, *puts),
                removals=removals,
            )
        except RowConflictError as conflict:
            return self._resolve_conflict(conflict.rows, operation)
        except (NotSentError, ReplyLostError) as error:
            metrics.leader_commits_retried.add(1)
            events.log('leader_write_retried', error=str(error))
            return 0
        except StorageError as error:
            metrics.leader_commits_rejected.add(1)
            if puts or removals:
                raise StoreRejectedError(
                    error.message, step=error.step, peer=error.peer
                ) from error
            events.log('leader_row_rejected', error=str(error))
            return 0

    def _resolve_conflict(
        self, rows: tuple[StoredRow, ...], operation: str
    ) -> int:
        """Distinguish an earlier try of this write from another leader's."""
        for stored in rows:
            row = leader_row_of(stored)
            if row.operation == operation:
                return stored.version
        self._lost = True
        events.log('leadership_lost', epoch=self._row.epoch)
        raise LeadershipLostError('Another process leads.', step='write')


async def take_over(
    *,
    store: RowStore,
    clock: Clock,
    holder: str,
    seen: StoredRow | None,
    seen_for_s: float,
    renews_s: float = RENEW_WITHOUT_STORE_S,
) -> Leadership | None:
    """Become the leader if the row is still as seen; otherwise return None.

    :param seen_for_s: for how long the row has been seen unchanged, in seconds.
    :param renews_s: for how long this leader will renew leases from its last
        write, in seconds.
    :raises StorageError: if the outcome of the write is not known.
    """
    previous = LeaderRow() if seen is None else leader_row_of(seen)
    row = _row_type(spreads=previous.spreads, has_ranges=previous.has_ranges)(
        holder=holder,
        epoch=previous.epoch + 1,
        operation=uuid.uuid4().hex,
        previous_s=previous.previous_after_s(seen_for_s),
        renews_s=renews_s,
        silent=previous.silent_after_s(seen_for_s),
    )
    check = RowCheck(
        tables.LEADER,
        tables.LEADER_KEY,
        seen.version if seen else 0,
    )
    own = RowPut(tables.LEADER, tables.LEADER_KEY, encode_leader_row(row))
    began_s = clock.monotonic_s()
    try:
        version = await store.commit(checks=(check,), puts=(own,))
    except RowConflictError:
        return None
    except ReplyLostError:
        # The write may have applied; without a check this host would not lead
        # and the others would have to wait out the silence again.
        version = await _version_if_won(store, row)
    if not version:
        return None
    return Leadership(
        store=store,
        clock=clock,
        row=row,
        version=version,
        began_s=began_s,
    )


def _row_type(*, spreads: bool, has_ranges: bool) -> type[LeaderRow]:
    if has_ranges:
        return SpreadRangesLeaderRow if spreads else RangesLeaderRow
    return SpreadLeaderRow if spreads else LeaderRow


async def _version_if_won(store: RowStore, row: LeaderRow) -> int:
    """Return the version of the leader's row if it equals this one, else 0."""
    stored = await store.read(tables.LEADER, tables.LEADER_KEY)
    if stored is None or leader_row_of(stored) != row:
        return 0
    return stored.version


__all__ = (
    'RENEW_WITHOUT_STORE_S',
    'LeaderRow',
    'Leadership',
    'LeadershipLostError',
    'encode_leader_row',
    'leader_row_of',
    'renew_without_store_s',
    'take_over',
)
