"""Follows the configuration in the store; it never goes back."""

from collections.abc import Callable
from typing import Final

import msgspec

from curranthill.clock import Clock
from curranthill.errors import StorageError
from curranthill.storage.rows import HistoryLostError, RowStore, StoredRow
from curranthill.tasks import Revision
from curranthill.telemetry.events import events

#: How long one reading of the feed waits at the store, in seconds: a reading
#: lost in an outage is repeated in time for a change to be in force in 2 s.
FEED_WAIT_S: Final = 1.0

#: The pause after a failed reading, in seconds.
RETRY_S: Final = 0.2

#: What a malformed row may raise when it is decoded.
MALFORMED: Final = (KeyError, ValueError, TypeError, msgspec.MsgspecError)

RevisionDecoder = Callable[[StoredRow], Revision | None]


class RevisionFollower:
    """Holds the configuration in force on this host.

    :param decode: returns a row's configuration, or nothing for other rows.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        table: str,
        decode: RevisionDecoder,
    ) -> None:
        """Start without a configuration."""
        self.current: Revision | None = None
        self._store = store
        self._clock = clock
        self._table = table
        self._decode = decode

    async def run(self) -> None:
        """Follow until cancelled."""
        version: int | None = None
        while True:
            try:
                if version is None:
                    changes = await self._store.scan(self._table)
                else:
                    changes = await self._store.changes(
                        self._table,
                        version,
                        FEED_WAIT_S,
                    )
            except HistoryLostError:
                events.log('feed_history_lost', table=self._table)
                version = None
            except StorageError as error:
                events.log(
                    'store_read_failed',
                    table=self._table,
                    error=str(error),
                )
                await self._clock.sleep(RETRY_S)
            else:
                version = max(version or 0, changes.version)
                self._take(changes.rows)

    def _take(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            try:
                revision = self._decode(row)
            except MALFORMED as error:
                events.log('revision_bad', key=row.key, error=repr(error))
                continue
            if revision is not None:
                self._put_in_force(revision)

    def _put_in_force(self, revision: Revision) -> None:
        before = self.current.number if self.current else -1
        if revision.number <= before:
            return
        self.current = revision
        events.log(
            'revision_in_force',
            number=revision.number,
            before=before,
            queues=len(revision.queues),
        )


__all__ = ('RevisionFollower',)
