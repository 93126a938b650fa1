"""The other hosts: each lists itself in the store and reads who else does."""

import random
import re
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from curranthill.clock import Clock
from curranthill.errors import StorageError
from curranthill.storage.rows import (
    RowCheck,
    RowPut,
    RowRemoval,
    RowStore,
    StoredRow,
)
from curranthill.tasks import tables
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: How often a host lists itself and reads the list, in seconds: a hundred
#: hosts then make some fourteen calls a second.
INTERVAL_S: Final = 15.0

#: The same after the first reading, in seconds: hosts that start together
#: list themselves within a second of each other.
FIRST_INTERVAL_S: Final = 2.0

#: The pause before the next try when the store does not answer, in seconds.
RETRY_S: Final = 1.0

#: A host whose row has not changed for so long is called no more, in seconds:
#: it has not listed itself three times in a row.
SILENT_S: Final = 4 * INTERVAL_S

#: Its row is removed after so long, in seconds: longer than any host that
#: comes back under the same name is away.
GONE_S: Final = 600.0


#: What a host's row holds: an IP number and a port.
_ADDRESS: Final = re.compile(rb'[0-9.]+:\d{1,5}')


class _Sighting(NamedTuple):
    """Since when a host's row has been seen with one version."""

    version: int
    since_s: float


class PeerList:
    """Addresses at which other hosts pass calls on to the store.

    Who is alive is told by whether its row changes, on this host's own steady
    clock, so that the clocks of hosts need not agree.

    :param addresses: as last read, this host's own left out.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        host: str,
        address: str,
    ) -> None:
        """Start with no peer known."""
        self.addresses: tuple[str, ...] = ()
        self._store = store
        self._clock = clock
        self._put = RowPut(tables.HOSTS, host, address.encode())
        self._sightings: dict[str, _Sighting] = {}
        self._bad: dict[str, int] = {}

    async def run(self) -> None:
        """List this host and read the list, again and again."""
        pause_s = FIRST_INTERVAL_S
        while True:
            await self._insist(self._list_self)
            await self._insist(self._read)
            await self._clock.sleep(pause_s * random.uniform(0.7, 1.3))
            pause_s = INTERVAL_S

    async def _insist(self, step: Callable[[], Awaitable[None]]) -> None:
        """Repeat a step until the store answers it."""
        while True:
            try:
                return await step()
            except StorageError as error:
                events.log('peers_unknown', error=str(error))
            await self._clock.sleep(RETRY_S)

    async def _list_self(self) -> None:
        await self._store.commit(puts=(self._put,))

    async def _read(self) -> None:
        listed = await self._store.scan(tables.HOSTS)
        others = [row for row in listed.rows if self._is_peer(row)]
        silent_s = {row.key: self._silent_s(row) for row in others}
        self.addresses = tuple(
            row.content.decode()
            for row in others
            if silent_s[row.key] < SILENT_S
        )
        for row in others:
            if silent_s[row.key] >= GONE_S:
                await self._remove(row)

    def _is_peer(self, row: StoredRow) -> bool:
        """Return whether a row names another host; tell of one that can't."""
        if row.key == self._put.key:
            return False
        if _ADDRESS.fullmatch(row.content):
            return True
        if self._bad.get(row.key) != row.version:
            self._bad[row.key] = row.version
            events.log('peer_row_bad', key=row.key, version=row.version)
            metrics.records_bad.add(1, {'kind': 'peer'})
        return False

    def _silent_s(self, row: StoredRow) -> float:
        """Return for how long a row is known not to have changed."""
        now_s = self._clock.monotonic_s()
        known = self._sightings.get(row.key)
        if known is None or known.version != row.version:
            self._sightings[row.key] = _Sighting(row.version, now_s)
            return 0.0
        return now_s - known.since_s

    async def _remove(self, row: StoredRow) -> None:
        """Remove the row of a host that is gone, unless it came back."""
        await self._store.commit(
            checks=(RowCheck(tables.HOSTS, row.key, row.version),),
            removals=(RowRemoval(tables.HOSTS, row.key),),
        )
        self._sightings.pop(row.key, None)
        events.log('peer_removed', host_gone=row.key)


__all__ = ('PeerList',)
