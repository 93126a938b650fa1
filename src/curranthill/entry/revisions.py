"""Follows the configuration in the store; it never goes back."""

import asyncio
import math
from collections.abc import Callable
from typing import Final

from curranthill.clock import Clock, wait_at_most
from curranthill.entry.closed_data_centres import ClosedDataCentres
from curranthill.storage.follower import TableFollower
from curranthill.storage.rows import (
    MalformedRecordError,
    RowStore,
    StoredRow,
)
from curranthill.tasks import Revision
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: How long a request waits for the configuration to be read again, in seconds;
#: then its caller is told to come back.
RECHECK_PATIENCE_S: Final = 0.3

RevisionDecoder = Callable[[StoredRow], Revision | None]


class RevisionFollower:
    """Holds the configuration in force on this host.

    :param closed_data_centres: is given the same rows, some of which close data
        centres, and knows how old this information is.
    :param decode: returns a row's configuration, or nothing for other rows;
        raises :class:`MalformedRecordError` for one that can't be read, and
        what is in force stays so.
    :param in_force_s: how soon a change must be in force, in seconds; 0 for
        no bound.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        table: str,
        decode: RevisionDecoder,
        closed_data_centres: ClosedDataCentres,
        in_force_s: float = 0.0,
    ) -> None:
        """Start without a configuration."""
        self.current: Revision | None = None
        self._in_force_s = in_force_s or math.inf
        self._was_fresh = True
        self._clock = clock
        self._decode = decode
        self._closed_data_centres = closed_data_centres
        self._confirmed = asyncio.Event()
        self._invalidated = asyncio.Event()
        self._follower = TableFollower(
            store=store,
            clock=clock,
            table=table,
            on_snapshot=self._replace_all,
            on_changes=self._apply_changes,
            on_confirmed=closed_data_centres.confirm,
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._follower.read()
        self._confirmed.set()
        await asyncio.gather(self._follower.follow(), self._check_again())

    @property
    def is_fresh(self) -> bool:
        """Return whether every change that is due by now would be known."""
        age_s = self._closed_data_centres.age_s
        fresh = age_s < self._in_force_s
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            events.log(
                'revision_fresh' if fresh else 'revision_stale',
                number=self.current.number if self.current else -1,
                age_s=round(age_s, 2),
            )
        return fresh

    def invalidate(self) -> None:
        """Read the configuration again: it may have changed unseen."""
        self._confirmed.clear()
        self._invalidated.set()

    async def wait_until_confirmed(self) -> bool:
        """Return whether no doubt is left, waiting a while for that."""
        if self._confirmed.is_set():
            return True
        return await wait_at_most(
            self._confirmed.wait(),
            timeout_s=RECHECK_PATIENCE_S,
            clock=self._clock,
        )

    async def _check_again(self) -> None:
        while True:
            await self._invalidated.wait()
            self._invalidated.clear()
            await self._follower.read()
            if not self._invalidated.is_set():
                self._confirmed.set()

    def _replace_all(self, rows: tuple[StoredRow, ...]) -> None:
        self._closed_data_centres.replace_all(rows)
        self._take(rows)

    def _apply_changes(self, rows: tuple[StoredRow, ...]) -> None:
        self._closed_data_centres.apply_changes(rows)
        self._take(rows)

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
