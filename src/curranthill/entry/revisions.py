"""Follows the configuration in the store; older revisions are ignored."""

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
#: after that its caller is told to retry.
CONFIRM_TIMEOUT_S: Final = 0.3

RevisionDecoder = Callable[[StoredRow], Revision | None]


class RevisionFollower:
    """Tracks the configuration in force on this host.

    :param closed_data_centres: gets the same rows, some of which close data
        centres, and knows the age of the information.
    :param decode: returns a row's configuration, or nothing for other rows;
        raises :class:`MalformedRecordError` for a malformed one, which is
        ignored.
    :param in_force_s: the time within which a change must be in force, in
        seconds; 0 for no bound.
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
        """Initialize without a configuration."""
        self.current: Revision | None = None
        self._max_age_s = in_force_s or math.inf
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
        await asyncio.gather(self._follower.follow(), self._reconfirm())

    @property
    def is_fresh(self) -> bool:
        """Return whether all changes that must be in force by now are known."""
        age_s = self._closed_data_centres.age_s
        fresh = age_s < self._max_age_s
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            events.log(
                'revision_fresh' if fresh else 'revision_stale',
                number=self.current.number if self.current else -1,
                age_s=round(age_s, 2),
            )
        return fresh

    def invalidate(self) -> None:
        """Have the configuration read again: it may have changed unnoticed."""
        self._confirmed.clear()
        self._invalidated.set()

    async def wait_until_confirmed(self) -> bool:
        """Wait until the configuration was read since it was last invalidated.

        Returns whether that happened within the timeout.
        """
        if self._confirmed.is_set():
            return True
        return await wait_at_most(
            self._confirmed.wait(),
            timeout_s=CONFIRM_TIMEOUT_S,
            clock=self._clock,
        )

    async def _reconfirm(self) -> None:
        while True:
            await self._invalidated.wait()
            self._invalidated.clear()
            await self._follower.read()
            if not self._invalidated.is_set():
                self._confirmed.set()

    def _replace_all(self, rows: tuple[StoredRow, ...]) -> None:
        self._closed_data_centres.replace_all(rows)
        self._apply_revisions(rows)

    def _apply_changes(self, rows: tuple[StoredRow, ...]) -> None:
        self._closed_data_centres.apply_changes(rows)
        self._apply_revisions(rows)

    def _apply_revisions(self, rows: tuple[StoredRow, ...]) -> None:
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
                metrics.malformed_records.add(1, {'kind': 'revision'})
                continue
            if revision is not None:
                self._put_in_force(revision)

    def _put_in_force(self, revision: Revision) -> None:
        previous = self.current.number if self.current else -1
        if revision.number <= previous:
            return
        self.current = revision
        events.log(
            'revision_in_force',
            number=revision.number,
            before=previous,
            queues=len(revision.queues),
        )


__all__ = ('RevisionFollower',)
