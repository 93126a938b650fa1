"""Peer discovery through the store, in which each host registers itself."""

import random
from collections.abc import Awaitable, Callable
from ipaddress import IPv4Address
from typing import Final, NamedTuple

from curranthill.clock import Clock
from curranthill.errors import StorageError
from curranthill.storage.rows import (
    RowCheck,
    RowPut,
    RowRemoval,
    RowStore,
    StoredRow,
    StoreRejectedError,
)
from curranthill.tasks import tables
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: Interval at which a host registers itself and reads the list, in seconds: a
#: hundred hosts then make some fourteen calls per second.
INTERVAL_S: Final = 15.0

#: The same after the first read, in seconds: hosts that start together register
#: themselves within a second of each other.
FIRST_INTERVAL_S: Final = 2.0

#: Delay before a retry when the store does not respond, in seconds.
RETRY_S: Final = 1.0

#: A host whose row has not changed for this long is no longer used, in seconds:
#: it has failed to register itself three times in a row.
UNRESPONSIVE_S: Final = 4 * INTERVAL_S

#: Its row is removed after this long, in seconds: longer than the downtime of
#: any host that returns under the same name.
REMOVE_AFTER_S: Final = 600.0

#: The largest port.
MAX_PORT: Final = 65_535


class _Sighting(NamedTuple):
    """Since when a host's row has had its version, on this host's clock."""

    version: int
    since_s: float


class PeerList:
    """The addresses at which other hosts relay calls to the store.

    A host counts as alive while its row keeps changing, measured on this
    host's monotonic clock, so that the clocks of the hosts need not agree.

    :param addresses: as last read, without this host's own.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        host: str,
        address: str,
    ) -> None:
        """Initialize without known peers."""
        self.addresses: tuple[str, ...] = ()
        self._store = store
        self._clock = clock
        self._put = RowPut(tables.HOSTS, host, address.encode())
        self._sightings: dict[str, _Sighting] = {}
        self._bad: dict[str, int] = {}

    async def run(self) -> None:
        """Register this host and read the list periodically."""
        interval_s = FIRST_INTERVAL_S
        while True:
            await self._retry(self._register)
            await self._retry(self._read)
            await self._clock.sleep(interval_s * random.uniform(0.7, 1.3))
            interval_s = INTERVAL_S

    async def _retry(self, step: Callable[[], Awaitable[None]]) -> None:
        """Repeat a step until the store responds."""
        while True:
            try:
                return await step()
            except StoreRejectedError as error:
                # Repeating it would keep this host from its other steps.
                events.log('peer_step_rejected', error=str(error))
                return None
            except StorageError as error:
                events.log('peers_unknown', error=str(error))
            await self._clock.sleep(RETRY_S)

    async def _register(self) -> None:
        await self._store.commit(puts=(self._put,))

    async def _read(self) -> None:
        listed = await self._store.scan(tables.HOSTS)
        others = [row for row in listed.rows if self._is_peer(row)]
        unchanged_s = {row.key: self._unchanged_s(row) for row in others}
        self.addresses = tuple(
            row.content.decode()
            for row in others
            if unchanged_s[row.key] < UNRESPONSIVE_S
        )
        for row in others:
            if unchanged_s[row.key] >= REMOVE_AFTER_S:
                await self._remove(row)

    def _is_peer(self, row: StoredRow) -> bool:
        """Return whether a row is another host's; report malformed rows."""
        if row.key == self._put.key:
            return False
        if _is_address(row.content):
            return True
        if self._bad.get(row.key) != row.version:
            self._bad[row.key] = row.version
            events.log('peer_row_bad', key=row.key, version=row.version)
            metrics.malformed_records.add(1, {'kind': 'peer'})
        return False

    def _unchanged_s(self, row: StoredRow) -> float:
        """Return for how long a row has not changed, in seconds."""
        now_s = self._clock.monotonic_s()
        seen = self._sightings.get(row.key)
        if seen is None or seen.version != row.version:
            self._sightings[row.key] = _Sighting(row.version, now_s)
            return 0.0
        return now_s - seen.since_s

    async def _remove(self, row: StoredRow) -> None:
        """Remove the row of a host, unless it was written again."""
        await self._store.commit(
            checks=(RowCheck(tables.HOSTS, row.key, row.version),),
            removals=(RowRemoval(tables.HOSTS, row.key),),
        )
        self._sightings.pop(row.key, None)
        events.log('peer_removed', host_gone=row.key)


def _is_address(content: bytes) -> bool:
    """Return whether the content of a row is an IP address and a port."""
    address, _, port = content.decode('ascii', 'replace').rpartition(':')
    try:
        IPv4Address(address)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit() and len(port) < 6
    return is_number and 0 < int(port) <= MAX_PORT


__all__ = ('PeerList',)
