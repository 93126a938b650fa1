"""Relays requests to the store for hosts that cannot reach it themselves."""

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
    open_store_request,
)
from curranthill.storage.outage import StoreOutage
from curranthill.storage.paths import StorePaths
from curranthill.tasks import tables
from curranthill.telemetry import metrics

#: The timeout for the first byte of the store's response to a relayed request,
#: in seconds. The requesting host waits up to 1.5 s for a page, and as long for
#: changes until lost responses have increased its slack.
RELAY_TIMEOUT_S: Final = 2.0

#: How often the direct path is probed while requests go through a peer, in
#: seconds. Each request through a peer crosses two more network links.
PROBE_INTERVAL_S: Final = 0.5

#: The probe interval while the store is unavailable, in seconds. Refused
#: callers retry after one second, and only a host that has noticed the end of
#: the outage accepts them.
OUTAGE_PROBE_INTERVAL_S: Final = 0.2

#: The timeout for the first byte of the response to a probe, in seconds.
PROBE_TIMEOUT_S: Final = 0.3

_REFUSED: Final = 503


class _PeerDisconnectedError(Exception):
    """The requesting host does not accept more of the response."""


class StoreRelay:
    """Forwards peers' requests to the store without keeping any state.

    :param paths: this host's own path to the store. Requests are only relayed
        while it is the direct one, so that none is relayed in a circle.
    """

    def __init__(self, *, client: HttpClient, paths: StorePaths) -> None:
        """Initialize with the client that the host's own requests use."""
        self._client = client
        self._paths = paths

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Relay one request and stream the response back."""
        if not self._paths.is_direct:
            return web.Response(status=_REFUSED)
        metrics.store_calls_relayed.add(1)
        body = await request.read()
        direct = self._paths.direct
        response = web.StreamResponse()
        try:
            async with open_store_request(
                self._client,
                direct,
                request.method,
                request.path.removeprefix(PATH_PREFIX),
                timeout_s=RELAY_TIMEOUT_S,
                fields=msgspec.Raw(body) if body else None,
                params=dict(request.query),
            ) as store_response:
                await _stream_back(store_response, request, response)
        except _PeerDisconnectedError:
            return _abort(request, response)
        except StorageError as error:
            self._paths.record_failure(direct)
            if response.prepared:
                return _abort(request, response)
            refused = isinstance(error, NotSentError)
            return web.Response(status=_REFUSED if refused else UNANSWERED)
        self._paths.record_reply(direct)
        return response


async def _stream_back(
    store_response: StreamingResponse,
    request: web.BaseRequest,
    response: web.StreamResponse,
) -> None:
    """Forward a response to the peer while it arrives from the store.

    :raises _PeerDisconnectedError: if the peer does not accept more of it.
    """
    response.set_status(store_response.status)
    response.content_type = 'application/json'
    response.content_length = store_response.length_bytes
    await _send(response.prepare(request))
    async for chunk in store_response.chunks():
        metrics.store_bytes_relayed.add(len(chunk))
        await _send(response.write(chunk))
    await _send(response.write_eof())


async def _send(write: Awaitable[object]) -> None:
    """Complete one write of a response to a peer.

    Its errors are translated so that they are not mistaken for errors of the
    store's response.

    :raises _PeerDisconnectedError: if the write fails or times out.
    """
    try:
        async with asyncio.timeout(STALL_TIMEOUT_S):
            await write
    except (TimeoutError, OSError) as error:
        raise _PeerDisconnectedError from error


def _abort(
    request: web.BaseRequest,
    response: web.StreamResponse,
) -> web.StreamResponse:
    """Close the connection so that the peer sees an incomplete response."""
    if request.transport is not None:
        request.transport.abort()
    return response


class StoreProbe:
    """Probes the direct path to the store until it works again."""

    def __init__(
        self,
        *,
        client: HttpClient,
        paths: StorePaths,
        clock: Clock,
        outage: StoreOutage,
    ) -> None:
        """Initialize with the client that the host's own requests use."""
        self._client = client
        self._paths = paths
        self._clock = clock
        self._outage = outage

    async def run(self) -> None:
        """Probe until cancelled, while the direct path is not known to work."""
        probes: set[asyncio.Future[None]] = set()
        try:
            while True:
                await self._clock.sleep(self._interval_s)
                if self._outage.is_ongoing or not self._paths.is_direct:
                    # Probes overlap: one that hangs may have been sent just
                    # before the path recovered.
                    probe = asyncio.ensure_future(self._probe_direct())
                    probes.add(probe)
                    probe.add_done_callback(probes.discard)
        finally:
            for unfinished in probes:
                unfinished.cancel()

    @property
    def _interval_s(self) -> float:
        unavailable = self._outage.is_ongoing
        return OUTAGE_PROBE_INTERVAL_S if unavailable else PROBE_INTERVAL_S

    async def _probe_direct(self) -> None:
        direct = self._paths.direct
        try:
            async with open_store_request(
                self._client,
                direct,
                'GET',
                'rows-get',
                timeout_s=PROBE_TIMEOUT_S,
                params={
                    'table': tables.LEADER,
                    'part': tables.LEADER_PARTITION,
                    'limit': '1',
                },
            ) as response:
                await response.read()
        except StorageError:
            # The path in use stays; its change was logged when it happened.
            return
        self._paths.record_reply(direct)
        self._outage.record_reply()


__all__ = ('StoreProbe', 'StoreRelay')
