"""The server of the inner protocol, which refuses calls without the key."""

import hmac
from collections.abc import Sequence
from typing import Any

from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from curranthill.protocol.channels import KEY_FIELD


class InnerServer:
    """Serves the services of the inner protocol.

    :param key: the key that all processes share.
    :param handlers: implementations of the generated service bases.
    """

    def __init__(self, *, key: str, handlers: Sequence[Any]) -> None:
        """Initialize; nothing is served yet."""
        self.port = 0
        self._key = key
        self._server = Server(list(handlers))
        listen(self._server, RecvRequest, self._authenticate)

    async def start(self, host: str, port: int) -> None:
        """Listen; port 0 selects a free one, which :attr:`port` then has."""
        await self._server.start(host, port)
        # grpclib has no public attribute for the asyncio server.
        listener: Any = self._server._server  # noqa: SLF001, WPS437
        self.port = listener.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and cancel the calls in progress."""
        self._server.close()
        await self._server.wait_closed()

    async def _authenticate(self, event: RecvRequest) -> None:
        given = str(event.metadata.get(KEY_FIELD, ''))
        if not hmac.compare_digest(given.encode(), self._key.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, 'wrong key')


__all__ = ('InnerServer',)
