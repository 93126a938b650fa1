"""Follows the configuration in the store; it never goes back."""

from collections.abc import Callable

from curranthill.clock import Clock
from curranthill.storage.follower import TableFollower
from curranthill.storage.rows import (
    MalformedRecordError,
    RowStore,
    StoredRow,
)
from curranthill.tasks import Revision
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

RevisionDecoder = Callable[[StoredRow], Revision | None]


class RevisionFollower:
    """Holds the configuration in force on this host.

    :param decode: returns a row's configuration, or nothing for other rows;
        raises :class:`MalformedRecordError` for one that can't be read, and
        what is in force stays so.
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
        self._decode = decode
        self._follower = TableFollower(
            store=store,
            clock=clock,
            table=table,
            take_all=self._take,
            take_changes=self._take,
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._follower.read()
        await self._follower.follow()

    def _take(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            try:
                revision = self._decode(row)
            except MalformedRecordError as error:
                events.log(
                    'revision_bad',
                    key=row.key,
                    version=row.version,
                    in_force=self.current.number if self.current else -1,
                    error=str(error),
                )
                metrics.records_bad.add(1, {'kind': 'revision'})
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
