"""HTTP requests to services of the platform and to workers."""

import asyncio
import math
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any, Final, NamedTuple

import aiohttp
import msgspec
from yarl import URL

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

#: The most bytes of a response body, unless a request sets another limit.
MAX_RESPONSE_BYTES: Final = 65_536

#: The bodies that share a budget use this many bytes at most beyond the default
#: limit, all together.
SHARED_BODY_BYTES: Final = 33_554_432

#: aiohttp only bounds connecting; see :meth:`HttpClient.open` for the rest.
_TIMEOUT: Final = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)


#: The errors of requests whose effect is unknown. The library raises ValueError
#: for some malformed responses, and for headers that can't be sent.
_LOSSES: Final = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


class RequestNotSentError(Exception):
    """No connection was made, so the request was not sent."""


class ResponseLostError(Exception):
    """The request was sent, but no complete response arrived."""


class ResponseTooLargeError(ResponseLostError):
    """The response exceeds a limit; the rest of it was not read."""


class HttpResponse(NamedTuple):
    """A complete response.

    :param first_byte_s: time until its headers arrived, in seconds.
    """

    status: int
    body: bytes
    first_byte_s: float


class BodyShare:
    """What the body of one response uses of the limit for all of them."""

    def __init__(self, *, budget: 'BodyBudget') -> None:
        """Initialize the share of an empty body."""
        self._budget = budget
        self._used_bytes = 0

    def resize(self, size_bytes: int) -> None:
        """Update the share; bodies of usual size use nothing.

        :raises ResponseTooLargeError: if all bodies together exceed the limit.
        """
        used_bytes = max(size_bytes - MAX_RESPONSE_BYTES, 0)
        self._budget.use(used_bytes - self._used_bytes)
        self._used_bytes = used_bytes


class BodyBudget:
    """Bounds the bytes of the responses of many peers, while they are received.

    Bodies up to the default limit always fit, so that large ones can't keep
    them out.
    """

    def __init__(self) -> None:
        """Initialize with nothing used."""
        self._left_bytes = SHARED_BODY_BYTES

    @contextmanager
    def share(self) -> Iterator[BodyShare]:
        """Provide the share of one body until it has been received."""
        share = BodyShare(budget=self)
        try:
            yield share
        finally:
            share.resize(0)

    def use(self, size_bytes: int) -> None:
        """Use a number of bytes; a negative number returns them.

        :raises ResponseTooLargeError: if they exceed the limit.
        """
        if size_bytes > self._left_bytes:
            raise ResponseTooLargeError(
                f'Large responses exceed {SHARED_BODY_BYTES} bytes together.'
            )
        self._left_bytes -= size_bytes


class StreamingResponse:
    """A response whose headers have arrived and whose body may be streamed.

    :param limit: the timeout of the request, rescheduled for each chunk.
    :param budget: what its body shares with those of other peers.
    :param max_bytes: the limit of a body that is read whole.
    :param until_s: when the body has to be complete, by the event loop's clock.
    :param first_byte_s: time until its headers arrived, in seconds.
    """

    def __init__(
        self,
        *,
        response: aiohttp.ClientResponse,
        limit: asyncio.Timeout,
        first_byte_s: float,
        budget: BodyBudget | None = None,
        max_bytes: int = MAX_RESPONSE_BYTES,
        until_s: float = math.inf,
    ) -> None:
        """Initialize with the request's timeout still running."""
        self._budget = budget or BodyBudget()
        self._max_bytes = max_bytes
        self._until_s = until_s
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
        """Read the whole body and return the complete response.

        :raises ResponseTooLargeError: if it exceeds the limit of the request,
            or what is left of its budget.
        """
        self._check_size(self.length_bytes or 0)
        body = bytearray()
        try:
            await self._read_into(body)
            return HttpResponse(self.status, bytes(body), self.first_byte_s)
        finally:
            # An error keeps this frame for as long as it is handled.
            body.clear()

    async def _read_into(self, body: bytearray) -> None:
        with self._budget.share() as share:
            async for chunk in self.chunks():
                body += chunk
                self._check_size(len(body))
                share.resize(len(body))

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > self._max_bytes:
            raise ResponseTooLargeError(
                f'The response has more than {self._max_bytes} bytes.'
            )

    def _restart_stall_timeout(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._limit.reschedule(min(now_s + STALL_TIMEOUT_S, self._until_s))

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
        max_bytes: int = MAX_RESPONSE_BYTES,
        body_timeout_s: float = math.inf,
        budget: BodyBudget | None = None,
    ) -> AsyncIterator[StreamingResponse]:
        """Send one request; enter once its response headers have arrived.

        Redirections are not followed: the peer alone was meant.

        :param timeout_s: how long to wait for the headers, in seconds.
        :param fields: the request body, sent as JSON.
        :param max_bytes: the most bytes of a response that is read whole.
        :param body_timeout_s: how long its body may take, in seconds.
        :param budget: what it shares with the responses of other peers.
        :raises RequestNotSentError: if the request was not sent.
        :raises ResponseLostError: if the effect is unknown.
        """
        sent_headers = dict(headers or {})
        body = None
        if fields is not None:
            body = msgspec.json.encode(fields)
            sent_headers['Content-Type'] = 'application/json'
        target = _parse_url(url)
        sent_s = uptime_s()
        try:
            async with (
                self._pools.session(target.authority) as session,
                asyncio.timeout(timeout_s) as limit,
                session.request(
                    method,
                    target,
                    data=body,
                    params=params,
                    headers=sent_headers,
                    timeout=_TIMEOUT,
                    allow_redirects=False,
                ) as response,
            ):
                now_s = asyncio.get_running_loop().time()
                yield StreamingResponse(
                    response=response,
                    limit=limit,
                    first_byte_s=uptime_s() - sent_s,
                    budget=budget,
                    max_bytes=max_bytes,
                    until_s=now_s + body_timeout_s,
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise RequestNotSentError(repr(error)) from error
        except _LOSSES as error:
            raise ResponseLostError(repr(error)) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._pools.close()


def _parse_url(url: str) -> URL:
    """Return a parsed URL.

    :raises RequestNotSentError: if no request can be sent to it.
    """
    try:
        return URL(url)
    except ValueError as error:
        raise RequestNotSentError(repr(error)) from error


__all__ = (
    'MAX_RESPONSE_BYTES',
    'BodyBudget',
    'HttpClient',
    'HttpResponse',
    'RequestNotSentError',
    'ResponseLostError',
    'ResponseTooLargeError',
    'StreamingResponse',
)
