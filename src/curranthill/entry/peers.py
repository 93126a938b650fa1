"""The other hosts: each lists itself in the store and reads who else does."""

import random
from collections.abc import Awaitable, Callable
from typing import Final

from curranthill.clock import Clock
from curranthill.errors import StorageError
from curranthill.storage.rows import RowPut, RowStore
from curranthill.tasks import tables
from curranthill.telemetry.events import events

#: How often the list is read, in seconds: a peer that is gone costs one call
#: that finds nobody, and a hundred hosts make seven such readings a second.
READ_INTERVAL_S: Final = 15.0

#: The pause before the next try when the store does not answer, in seconds.
RETRY_S: Final = 1.0


class PeerList:
    """Addresses at which other hosts pass calls on to the store.

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

    async def run(self) -> None:
        """List this host, then read the list again and again."""
        await self._insist(self._list_self)
        while True:
            await self._insist(self._read)
            await self._clock.sleep(READ_INTERVAL_S * random.uniform(0.7, 1.3))

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
        self.addresses = tuple(
            row.content.decode()
            for row in listed.rows
            if row.key != self._put.key
        )


__all__ = ('PeerList',)
