"""Follows one table of the store: all rows first, then what changes."""

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

#: How long one reading of a feed waits at the store, in seconds. A reading that
#: was lost is found out only after its wait.
FEED_WAIT_S: Final = 1.0

#: The pause after a failed reading, in seconds.
RETRY_S: Final = 0.2

RowsCallback = Callable[[tuple[StoredRow, ...]], None]

#: Is given a moment: all that was changed before it is known now.
TimeCallback = Callable[[float], None]


class TableSource(Protocol):
    """What a follower asks of a :class:`RowStore`."""

    async def scan(self, table: str) -> RowChanges:
        """Return all rows of a table."""

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> RowChanges:
        """Return changes past a version, waiting for the first one."""


class TableFollower:
    """Reads a table anew whenever the feed's history is lost.

    :param on_snapshot: is given all rows of the table.
    :param on_changes: is given changed and removed rows, in order.
    :param on_confirmed: is called after each read, once its rows are handed
        on, with the time up to which the table is known, in seconds of the
        clock.
    :param gather_s: how long changes are gathered at the store after some
        were read, in seconds; the first change after a rest comes at once.
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
        """Start with nothing read."""
        self._store = store
        self._clock = clock
        self._table = table
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._on_confirmed = on_confirmed
        self._gather_s = gather_s
        self._version = 0
        self._readings = 0
        self._failures = 0
        self._asks_at_once = False

    async def read(self) -> None:
        """Read the whole table; return once it is read."""
        while True:
            asked_s = self._clock.monotonic_s()
            try:
                listed = await self._store.scan(self._table)
            except StorageError as error:
                await self._wait_after(error)
                continue
            self._answered()
            if listed.version < self._version:
                # The feed is ahead of it: what it told would be undone.
                continue
            self._version = listed.version
            self._readings += 1
            self._on_snapshot(listed.rows)
            self._note_known(asked_s)
            return

    async def follow(self) -> None:
        """Take changes as they come, until cancelled."""
        while True:
            asked_s = self._clock.monotonic_s()
            readings = self._readings
            wait_s = self._wait_s()
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
                await self._wait_after(error)
                continue
            self._answered()
            if readings != self._readings:
                # The table was read meanwhile, and may be newer than this.
                continue
            self._take(changes)
            if changes.rows:
                self._note_known(asked_s)
                await self._gather()
            else:
                # Nothing changed before the end of the wait.
                self._note_known(asked_s + wait_s)

    def _take(self, changes: RowChanges) -> None:
        self._version = max(self._version, changes.version)
        self._asks_at_once = (
            bool(changes.rows) and self._on_confirmed is not None
        )
        if changes.rows:
            self._on_changes(changes.rows)

    async def _gather(self) -> None:
        if self._gather_s:
            await self._clock.sleep(self._gather_s)

    def _wait_s(self) -> float:
        """Return how long the next reading waits for news, in seconds.

        After a failure changes may have been missed, and after a long answer
        the table is known only up to a moment before it.
        """
        if self._failures or self._asks_at_once:
            return 0.0
        return FEED_WAIT_S

    def _note_known(self, until_s: float) -> None:
        if self._on_confirmed is not None:
            self._on_confirmed(min(until_s, self._clock.monotonic_s()))

    async def _wait_after(self, error: StorageError) -> None:
        """Log only the first failure of a series: an outage has hundreds."""
        if not self._failures:
            events.log(
                'table_unreadable',
                table=self._table,
                version=self._version,
                error=str(error),
            )
        self._failures += 1
        await self._clock.sleep(RETRY_S)

    def _answered(self) -> None:
        if self._failures:
            events.log(
                'table_readable',
                table=self._table,
                failures=self._failures,
            )
        self._failures = 0


__all__ = ('FEED_WAIT_S', 'RowsCallback', 'TableFollower', 'TableSource')
