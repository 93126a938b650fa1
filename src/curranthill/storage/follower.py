"""Follows a table of the store: a snapshot first, then its change feed."""

from collections.abc import Callable
from typing import Final, Protocol

from curranthill.clock import Clock
from curranthill.errors import StorageError
from curranthill.storage.rows import (
    HistoryLostError,
    RowChanges,
    StoredRow,
)
from curranthill.telemetry.events import events

#: How long one read of a feed waits at the store, in seconds. A lost read is
#: noticed only after this wait.
FEED_WAIT_S: Final = 1.0

#: Delay after a failed read, in seconds.
RETRY_S: Final = 0.2

RowsCallback = Callable[[tuple[StoredRow, ...]], None]

#: Is called with a time: all changes before it have been received.
TimeCallback = Callable[[float], None]


class TableSource(Protocol):
    """The part of a :class:`RowStore` that a follower uses."""

    async def scan(self, table: str) -> RowChanges:
        """Return all rows of a table."""

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> RowChanges:
        """Return changes after a version, waiting for the first one."""


class TableFollower:
    """Follows a table; reads it whole again if the feed's history is lost.

    :param on_snapshot: is called with all rows of the table.
    :param on_changes: is called with changed and removed rows, in order.
    :param on_confirmed: is called after each read, once its rows are handed
        on, with the time up to which the table is known, in seconds of the
        clock.
    :param gather_s: how long changes are batched at the store after some were
        read, in seconds; the first change after an idle time is not delayed.
    """

    def __init__(
        self,
        *,
        store: TableSource,
        clock: Clock,
        table: str,
        on_snapshot: RowsCallback,
        on_changes: RowsCallback,
        on_confirmed: TimeCallback | None = None,
        gather_s: float = 0.0,
    ) -> None:
        """Initialize with nothing read."""
        self._store = store
        self._clock = clock
        self._table = table
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._on_confirmed = on_confirmed
        self._gather_s = gather_s
        self._version = 0
        self._snapshots = 0
        self._failures = 0
        self._skips_wait = False

    async def read(self) -> None:
        """Read the whole table; return once it is read."""
        while True:
            requested_s = self._clock.monotonic_s()
            try:
                listed = await self._store.scan(self._table)
            except StorageError as error:
                await self._back_off(error)
                continue
            self._record_reply()
            if listed.version < self._version:
                # Older than the feed: it would undo changes already applied.
                continue
            self._version = listed.version
            self._snapshots += 1
            self._on_snapshot(listed.rows)
            self._confirm_until(requested_s)
            return

    async def follow(self) -> None:
        """Apply changes as they arrive, until cancelled."""
        while True:
            requested_s = self._clock.monotonic_s()
            snapshots = self._snapshots
            wait_s = self._next_wait_s()
            try:
                changes = await self._store.changes(
                    self._table,
                    self._version,
                    wait_s,
                )
            except HistoryLostError:
                events.log('feed_history_lost', table=self._table)
                await self.read()
                continue
            except StorageError as error:
                await self._back_off(error)
                continue
            self._record_reply()
            if snapshots != self._snapshots:
                # A snapshot was read meanwhile and may be newer than this.
                continue
            self._apply(changes)
            if changes.rows:
                self._confirm_until(requested_s)
                await self._gather()
            else:
                # Nothing changed until the end of the wait.
                self._confirm_until(requested_s + wait_s)

    def _apply(self, changes: RowChanges) -> None:
        self._version = max(self._version, changes.version)
        self._skips_wait = bool(changes.rows) and self._on_confirmed is not None
        if changes.rows:
            self._on_changes(changes.rows)

    async def _gather(self) -> None:
        if self._gather_s:
            await self._clock.sleep(self._gather_s)

    def _next_wait_s(self) -> float:
        """Return how long the next read waits for changes, in seconds.

        It does not wait after a failure, which may have hidden changes. Nor
        does it after changes if a caller needs confirmation: their response
        may have been in transfer for long, and confirms only up to its request.
        """
        if self._failures or self._skips_wait:
            return 0.0
        return FEED_WAIT_S

    def _confirm_until(self, until_s: float) -> None:
        if self._on_confirmed is not None:
            self._on_confirmed(min(until_s, self._clock.monotonic_s()))

    async def _back_off(self, error: StorageError) -> None:
        """Wait; log only the first of the hundreds of failures of an outage."""
        if not self._failures:
            events.log(
                'table_unreadable',
                table=self._table,
                version=self._version,
                error=str(error),
            )
        self._failures += 1
        await self._clock.sleep(RETRY_S)

    def _record_reply(self) -> None:
        if self._failures:
            events.log(
                'table_readable',
                table=self._table,
                failures=self._failures,
            )
        self._failures = 0


__all__ = ('FEED_WAIT_S', 'RowsCallback', 'TableFollower', 'TableSource')
