"""Kept HTTP connections, a pool for each peer.

An open connection may fall silent for good while new ones work. One call that
gets no answer in time is taken as a sign that all kept connections to its
peer may have, so that they are not tried one timeout after the other.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import aiohttp

from curranthill.clock import uptime_s

#: How long an unused connection is kept, in seconds: above the interval of
#: every regular call, so that these need no new connections.
KEEP_ALIVE_S: Final = 60.0

#: A peer that was not called for so long is forgotten, in seconds: by then
#: its connections have been closed.
FORGET_AFTER_S: Final = 2 * KEEP_ALIVE_S


class _Pool:
    """Connections to one peer that were opened since the last silence."""

    def __init__(self) -> None:
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=KEEP_ALIVE_S,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        self.calls = 0
        self.retired = False
        self.used_s = uptime_s()


class ConnectionPools:
    """The connections of one process to all its peers."""

    def __init__(self) -> None:
        """Open no connection yet."""
        self._pools: dict[str, _Pool] = {}
        self._retired: set[_Pool] = set()

    @asynccontextmanager
    async def session(self, peer: str) -> AsyncIterator[aiohttp.ClientSession]:
        """Lend the peer's session for one call.

        A call that ends by a timeout retires the pool: calls under way end on
        it, later ones open connections of their own.

        :param peer: what tells a peer from all others, as its IP and port.
        """
        pool = self._pool_of(peer)
        pool.calls += 1
        try:
            yield pool.session
        except TimeoutError:
            self._retire(peer, pool)
            raise
        finally:
            pool.calls -= 1
            pool.used_s = uptime_s()
            await self._close_if_over(pool)

    async def close(self) -> None:
        """Close all connections, also those of calls under way."""
        pools = [*self._pools.values(), *self._retired]
        self._pools.clear()
        self._retired.clear()
        for pool in pools:
            await pool.session.close()

    def _pool_of(self, peer: str) -> _Pool:
        pool = self._pools.get(peer)
        if pool is None:
            self._forget_unused()
            pool = _Pool()
            self._pools[peer] = pool
        return pool

    def _forget_unused(self) -> None:
        """Let go of peers that are called no more, such as former workers."""
        oldest_s = uptime_s() - FORGET_AFTER_S
        for peer, pool in list(self._pools.items()):
            if not pool.calls and pool.used_s < oldest_s:
                self._retire(peer, pool)

    def _retire(self, peer: str, pool: _Pool) -> None:
        if self._pools.get(peer) is pool:
            self._pools.pop(peer)
        pool.retired = True
        self._retired.add(pool)

    async def _close_if_over(self, pool: _Pool) -> None:
        """Close a retired pool after the last call that it was lent to."""
        if pool.retired and not pool.calls and pool in self._retired:
            self._retired.discard(pool)
            await pool.session.close()


__all__ = ('ConnectionPools',)
