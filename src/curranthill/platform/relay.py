"""Passes other hosts' calls on to the store, for hosts that have lost it."""

from typing import Final

import msgspec
from aiohttp import web

from curranthill.clock import Clock
from curranthill.errors import NotSentError, ReplyLostError, StorageError
from curranthill.platform.calls import Caller
from curranthill.platform.store import PATH_PREFIX, UNANSWERED, call_store
from curranthill.storage.paths import StorePaths
from curranthill.tasks import tables
from curranthill.telemetry import metrics

#: How long the store may take for a call that is passed on, in seconds: the
#: longest wait of the host that asks, for a page or a feed.
RELAY_TIMEOUT_S: Final = 2.0

#: How often the straight way is tried while another one is in use, in
#: seconds: calls over a peer cost two more links each.
PROBE_INTERVAL_S: Final = 0.5

#: How long such a try may take, in seconds: sixty usual replies.
PROBE_TIMEOUT_S: Final = 0.3

_REFUSED: Final = 503


class StoreRelay:
    """Answers peers with what the store says, and keeps nothing.

    :param paths: this host's own way; it passes calls on only while that is
        the straight one, so that no call goes round.
    """

    def __init__(self, *, caller: Caller, paths: StorePaths) -> None:
        """Share the connections to the store."""
        self._caller = caller
        self._paths = paths

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Pass one call on."""
        if not self._paths.is_direct:
            return web.Response(status=_REFUSED)
        metrics.calls_relayed.add(1)
        body = await request.read()
        direct = self._paths.direct
        try:
            answer = await call_store(
                self._caller,
                direct,
                request.method,
                request.path.removeprefix(PATH_PREFIX),
                timeout_s=RELAY_TIMEOUT_S,
                fields=msgspec.Raw(body) if body else None,
                params=dict(request.query),
            )
        except NotSentError:
            self._paths.failed(direct)
            return web.Response(status=_REFUSED)
        except ReplyLostError:
            self._paths.failed(direct)
            return web.Response(status=UNANSWERED)
        self._paths.answered(direct)
        return web.Response(
            status=answer.status,
            body=answer.body,
            content_type='application/json',
        )


class StoreProbe:
    """Finds out when the straight way to the store is open again."""

    def __init__(
        self,
        *,
        caller: Caller,
        paths: StorePaths,
        clock: Clock,
    ) -> None:
        """Share the connections to the store."""
        self._caller = caller
        self._paths = paths
        self._clock = clock

    async def run(self) -> None:
        """Try the straight way while another one is in use."""
        while True:
            await self._clock.sleep(PROBE_INTERVAL_S)
            if not self._paths.is_direct:
                await self._try_direct()

    async def _try_direct(self) -> None:
        direct = self._paths.direct
        try:
            await call_store(
                self._caller,
                direct,
                'GET',
                'rows-get',
                timeout_s=PROBE_TIMEOUT_S,
                params={
                    'table': tables.LEADER,
                    'part': tables.LEADERS_PARTITION,
                    'limit': '1',
                },
            )
        except StorageError:
            # Its way stays what it is; the change of way was logged.
            return
        self._paths.answered(direct)


__all__ = ('StoreProbe', 'StoreRelay')
