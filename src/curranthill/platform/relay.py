"""Passes other hosts' calls on to the store, for hosts that have lost it."""

import asyncio
from collections.abc import Awaitable
from typing import Final

import msgspec
from aiohttp import web

from curranthill.clock import Clock
from curranthill.errors import NotSentError, StorageError
from curranthill.platform.http_client import (
    STALL_TIMEOUT_S,
    HttpClient,
    StreamingResponse,
)
from curranthill.platform.store import (
    PATH_PREFIX,
    UNANSWERED,
    open_store_call,
)
from curranthill.storage.absence import StoreAbsence
from curranthill.storage.paths import StorePaths
from curranthill.tasks import tables
from curranthill.telemetry import metrics

#: When the store's answer to a call that is passed on must have begun, in
#: seconds: the longest wait of the host that asks, for a page or a feed.
RELAY_TIMEOUT_S: Final = 2.0

#: How often the straight way is tried while another one is in use, in
#: seconds: calls over a peer cost two more links each.
PROBE_INTERVAL_S: Final = 0.5

#: The same while no way is open, in seconds: callers that were refused come
#: back after a second, and are accepted only by a host that knows.
AWAY_INTERVAL_S: Final = 0.2

#: When the answer to such a try must have begun, in seconds.
PROBE_TIMEOUT_S: Final = 0.3

_REFUSED: Final = 503


class _PeerGoneError(Exception):
    """The host that asked takes no more of its answer."""


class StoreRelay:
    """Answers peers with what the store says, and keeps nothing.

    :param paths: this host's own way; it passes calls on only while that is
        the straight one, so that no call goes round.
    """

    def __init__(self, *, client: HttpClient, paths: StorePaths) -> None:
        """Share the connections to the store."""
        self._client = client
        self._paths = paths

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Pass one call on."""
        if not self._paths.is_direct:
            return web.Response(status=_REFUSED)
        metrics.calls_relayed.add(1)
        body = await request.read()
        direct = self._paths.direct
        response = web.StreamResponse()
        try:
            async with open_store_call(
                self._client,
                direct,
                request.method,
                request.path.removeprefix(PATH_PREFIX),
                timeout_s=RELAY_TIMEOUT_S,
                fields=msgspec.Raw(body) if body else None,
                params=dict(request.query),
            ) as answer:
                await _pass_back(answer, request, response)
        except _PeerGoneError:
            return _break_off(request, response)
        except StorageError as error:
            self._paths.failed(direct)
            if response.prepared:
                return _break_off(request, response)
            refused = isinstance(error, NotSentError)
            return web.Response(status=_REFUSED if refused else UNANSWERED)
        self._paths.answered(direct)
        return response


async def _pass_back(
    answer: StreamingResponse,
    request: web.BaseRequest,
    response: web.StreamResponse,
) -> None:
    """Pass an answer back while it arrives.

    :raises _PeerGoneError: if the peer takes no more of it.
    """
    response.set_status(answer.status)
    response.content_type = 'application/json'
    response.content_length = answer.length_bytes
    await _send(response.prepare(request))
    async for part in answer.parts():
        metrics.bytes_relayed.add(len(part))
        await _send(response.write(part))
    await _send(response.write_eof())


async def _send(step: Awaitable[object]) -> None:
    """Do one step of an answer to a peer.

    Its errors must not be taken for those of the store's answer.
    """
    try:
        async with asyncio.timeout(STALL_TIMEOUT_S):
            await step
    except (TimeoutError, OSError) as error:
        raise _PeerGoneError from error


def _break_off(
    request: web.BaseRequest,
    response: web.StreamResponse,
) -> web.StreamResponse:
    """Let the peer know that it has no whole answer."""
    if request.transport is not None:
        request.transport.abort()
    return response


class StoreProbe:
    """Finds out when the straight way to the store is open again."""

    def __init__(
        self,
        *,
        client: HttpClient,
        paths: StorePaths,
        clock: Clock,
        outage: StoreAbsence,
    ) -> None:
        """Share the connections to the store."""
        self._client = client
        self._paths = paths
        self._clock = clock
        self._outage = outage

    async def run(self) -> None:
        """Try the straight way while it is not known to be open."""
        tries: set[asyncio.Future[None]] = set()
        try:
            while True:
                await self._clock.sleep(self._interval_s)
                if self._outage.is_away or not self._paths.is_direct:
                    # Beside one that hangs: it may have been sent too early.
                    one = asyncio.ensure_future(self._try_direct())
                    tries.add(one)
                    one.add_done_callback(tries.discard)
        finally:
            for under_way in tries:
                under_way.cancel()

    @property
    def _interval_s(self) -> float:
        away = self._outage.is_away
        return AWAY_INTERVAL_S if away else PROBE_INTERVAL_S

    async def _try_direct(self) -> None:
        direct = self._paths.direct
        try:
            async with open_store_call(
                self._client,
                direct,
                'GET',
                'rows-get',
                timeout_s=PROBE_TIMEOUT_S,
                params={
                    'table': tables.LEADER,
                    'part': tables.LEADERS_PARTITION,
                    'limit': '1',
                },
            ) as answer:
                await answer.read()
        except StorageError:
            # Its way stays what it is; the change of way was logged.
            return
        self._paths.answered(direct)
        self._outage.answered()


__all__ = ('StoreProbe', 'StoreRelay')
