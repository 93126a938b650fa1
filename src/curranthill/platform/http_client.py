"""HTTP requests to services of the platform and to workers."""

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

#: The timeout for opening a connection, in seconds. A lost SYN packet would be
#: sent again only later than that.
CONNECT_TIMEOUT_S: Final = 0.5

#: The longest gap between two chunks of a response body, in seconds. The total
#: time is not bounded, so that a large body arrives whole over a slow link.
STALL_TIMEOUT_S: Final = 1.0

#: The largest chunk of a response body, in bytes. A relay can forward such a
#: chunk over a slow link within the stall timeout of the receiver.
CHUNK_BYTES: Final = 32_768

#: aiohttp only bounds connecting; see :meth:`HttpClient.open` for the rest.
_TIMEOUT: Final = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)


class RequestNotSentError(Exception):
    """No connection was made, so the request was not sent."""


class ResponseLostError(Exception):
    """The request was sent, but no complete response arrived."""


class HttpResponse(NamedTuple):
    """A complete response.

    :param first_byte_s: time until its headers arrived, in seconds.
    """

    status: int
    body: bytes
    first_byte_s: float


class StreamingResponse:
    """A response whose headers have arrived and whose body may be streamed.

    :param limit: the timeout of the request, rescheduled for each chunk.
    :param first_byte_s: time until its headers arrived, in seconds.
    """

    def __init__(
        self,
        *,
        response: aiohttp.ClientResponse,
        limit: asyncio.Timeout,
        first_byte_s: float,
    ) -> None:
        """Initialize with the request's timeout still running."""
        self.status = response.status
        self.length_bytes = response.content_length
        self.first_byte_s = first_byte_s
        self._response = response
        self._limit = limit
        self._received_bytes = 0

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; a stall aborts the request.

        Time that the consumer spends on a chunk does not count as a stall.
        """
        began_s = uptime_s()
        try:
            self._restart_stall_timeout()
            async for chunk in self._response.content.iter_chunked(CHUNK_BYTES):
                self._received_bytes += len(chunk)
                self._limit.reschedule(None)
                yield chunk
                self._restart_stall_timeout()
        except BaseException as error:
            self._report_interrupted(uptime_s() - began_s, error)
            raise

    async def read(self) -> HttpResponse:
        """Read the whole body and return the complete response."""
        chunks = [chunk async for chunk in self.chunks()]
        return HttpResponse(self.status, b''.join(chunks), self.first_byte_s)

    def _restart_stall_timeout(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._limit.reschedule(now_s + STALL_TIMEOUT_S)

    def _report_interrupted(self, body_s: float, error: BaseException) -> None:
        metrics.truncated_responses.add(1)
        metrics.truncated_response_bytes.add(self._received_bytes)
        events.log(
            'answer_cut',
            peer=self._response.url.authority,
            path=self._response.url.path,
            received_bytes=self._received_bytes,
            body_s=round(body_s, 3),
            error=repr(error),
        )


class HttpClient:
    """Sends HTTP requests over pooled connections."""

    def __init__(self) -> None:
        """Initialize without open connections."""
        self._pools = ConnectionPools()

    async def call(self, method: str, url: str, **options: Any) -> HttpResponse:
        """Send one request and return its complete response.

        :param options: the keyword arguments of :meth:`open`.
        :raises RequestNotSentError: if the request was not sent.
        :raises ResponseLostError: if the effect is unknown.
        """
        async with self.open(method, url, **options) as response:
            return await response.read()

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
        """Send one request; enter once its response headers have arrived.

        :param timeout_s: how long to wait for the headers, in seconds.
        :param fields: the request body, sent as JSON.
        :raises RequestNotSentError: if the request was not sent.
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
