"""One HTTP call to a service of the platform or to a worker."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final, NamedTuple
from urllib.parse import urlsplit

import aiohttp
import msgspec

from curranthill.clock import uptime_s
from curranthill.connections import ConnectionPools
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: The longest a new connection may take, in seconds: a lost opening packet is
#: sent again only later.
CONNECT_TIMEOUT_S: Final = 0.5

#: How long an answer that has begun may stand still, in seconds. Its length
#: counts for nothing: a large one over a slow link is received to its end.
STALL_TIMEOUT_S: Final = 1.0

#: The most bytes of an answer that are handed on at once: whoever passes them
#: on over a slow link shows progress within a stall.
CHUNK_BYTES: Final = 32_768

#: Only connecting is bounded by the library; see :meth:`HttpClient.open`.
_TIMEOUT: Final = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)


class RequestNotSentError(Exception):
    """No connection was made, so nothing was asked."""


class ResponseLostError(Exception):
    """The call was sent, and no whole answer came."""


class HttpResponse(NamedTuple):
    """A whole answer.

    :param first_byte_s: how long its first byte was waited for, in seconds.
    """

    status: int
    body: bytes
    first_byte_s: float


class StreamingResponse:
    """An answer that has begun.

    :param first_byte_s: how long its first byte was waited for, in seconds.
    """

    def __init__(
        self,
        *,
        response: aiohttp.ClientResponse,
        limit: asyncio.Timeout,
        first_byte_s: float,
    ) -> None:
        """Take the limit over, which ended the wait so far."""
        self.status = response.status
        self.length_bytes = response.content_length
        self.first_byte_s = first_byte_s
        self._response = response
        self._limit = limit
        self._received_bytes = 0

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; a stall ends the call.

        The time that the receiver takes for a part is no stall.
        """
        began_s = uptime_s()
        try:
            self._expect_part()
            async for part in self._response.content.iter_chunked(CHUNK_BYTES):
                self._received_bytes += len(part)
                self._limit.reschedule(None)
                yield part
                self._expect_part()
        except BaseException as error:
            self._tell_of_cut(uptime_s() - began_s, error)
            raise

    async def read(self) -> HttpResponse:
        """Return the whole answer."""
        parts = [part async for part in self.parts()]
        return HttpResponse(self.status, b''.join(parts), self.first_byte_s)

    def _expect_part(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._limit.reschedule(now_s + STALL_TIMEOUT_S)

    def _tell_of_cut(self, body_s: float, error: BaseException) -> None:
        metrics.answers_cut.add(1)
        metrics.answer_bytes_cut.add(self._received_bytes)
        events.log(
            'answer_cut',
            peer=self._response.url.authority,
            path=self._response.url.path,
            received_bytes=self._received_bytes,
            body_s=round(body_s, 3),
            error=repr(error),
        )


class HttpClient:
    """Makes calls over connections that it keeps."""

    def __init__(self) -> None:
        """Open no connection yet."""
        self._pools = ConnectionPools()

    async def call(self, method: str, url: str, **options: Any) -> HttpResponse:
        """Make one call and return its whole answer.

        :param options: those of :meth:`open`.
        :raises RequestNotSentError: if nothing was asked.
        :raises ResponseLostError: if the effect is unknown.
        """
        async with self.open(method, url, **options) as answer:
            return await answer.read()

    @asynccontextmanager
    async def open(
        self,
        method: str,
        url: str,
        *,
        timeout_s: float,
        fields: dict[str, Any] | msgspec.Raw | None = None,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
    ) -> AsyncIterator[StreamingResponse]:
        """Make one call; enter once its answer has begun.

        :param timeout_s: until the answer must have begun, in seconds.
        :raises RequestNotSentError: if nothing was asked.
        :raises ResponseLostError: if the effect is unknown.
        """
        sent_headers = dict(headers or {})
        body = None
        if fields is not None:
            body = msgspec.json.encode(fields)
            sent_headers['Content-Type'] = 'application/json'
        sent_s = uptime_s()
        try:
            async with (
                self._pools.session(urlsplit(url).netloc) as session,
                asyncio.timeout(timeout_s) as limit,
                session.request(
                    method,
                    url,
                    data=body,
                    params=params,
                    headers=sent_headers,
                    timeout=_TIMEOUT,
                ) as response,
            ):
                yield StreamingResponse(
                    response=response,
                    limit=limit,
                    first_byte_s=uptime_s() - sent_s,
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise RequestNotSentError(repr(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ResponseLostError(repr(error)) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._pools.close()


__all__ = (
    'HttpClient',
    'HttpResponse',
    'RequestNotSentError',
    'ResponseLostError',
    'StreamingResponse',
)
