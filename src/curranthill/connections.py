"""Pools of persistent HTTP connections, one for each peer.

An open connection may stop responding for good while new ones work. If a call
times out, all pooled connections to its peer are regarded as affected and are
no longer used: trying each of them could cost a timeout each.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import aiohttp

from curranthill.clock import uptime_s

#: How long an unused connection is kept open, in seconds: longer than the
#: interval of every periodic call, so that these need no new connections.
KEEP_ALIVE_S: Final = 60.0

#: The time without a call after which a peer's pool is dropped, in seconds: by
#: then its connections have been closed.
POOL_EXPIRY_S: Final = 2 * KEEP_ALIVE_S


class _Pool:
    """Connections to one peer that were opened since its last timeout."""

    def __init__(self) -> None:
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=KEEP_ALIVE_S,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        self.active_calls = 0
        self.retired = False
        self.last_used_s = uptime_s()


class ConnectionPools:
    """The connections of one process to all its peers, pooled by peer."""

    def __init__(self) -> None:
        """Initialize without connections."""
        self._pools: dict[str, _Pool] = {}
        self._retired: set[_Pool] = set()

    @asynccontextmanager
    async def session(self, peer: str) -> AsyncIterator[aiohttp.ClientSession]:
        """Provide the peer's session for one call.

        A call that times out retires the pool: calls in progress continue on
        it, and later ones open new connections.

        :param peer: the unique name of a peer, such as its IP and port.
        """
        pool = self._get_or_create_pool(peer)
        pool.active_calls += 1
        try:
            yield pool.session
        except TimeoutError:
            self._retire(peer, pool)
            raise
        finally:
            pool.active_calls -= 1
            pool.last_used_s = uptime_s()
            await self._close_if_drained(pool)

    async def close(self) -> None:
        """Close all connections, including those of calls in progress."""
        pools = [*self._pools.values(), *self._retired]
        self._pools.clear()
        self._retired.clear()
        for pool in pools:
            await pool.session.close()

    def _get_or_create_pool(self, peer: str) -> _Pool:
        pool = self._pools.get(peer)
        if pool is None:
            self._retire_unused()
            pool = _Pool()
            self._pools[peer] = pool
        return pool

    def _retire_unused(self) -> None:
        """Drop peers that are no longer called, such as removed workers."""
        oldest_s = uptime_s() - POOL_EXPIRY_S
        for peer, pool in list(self._pools.items()):
            if not pool.active_calls and pool.last_used_s < oldest_s:
                self._retire(peer, pool)

    def _retire(self, peer: str, pool: _Pool) -> None:
        if self._pools.get(peer) is pool:
            self._pools.pop(peer)
        pool.retired = True
        self._retired.add(pool)

    async def _close_if_drained(self, pool: _Pool) -> None:
        """Close a retired pool once its last call has ended."""
        if pool.retired and not pool.active_calls and pool in self._retired:
            self._retired.discard(pool)
            await pool.session.close()


__all__ = ('ConnectionPools',)
