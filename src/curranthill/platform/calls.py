"""One HTTP call to a service of the platform or to a worker."""

import asyncio
from contextlib import AbstractAsyncContextManager
from typing import Any, Final, NamedTuple
from urllib.parse import urlsplit

import aiohttp
import msgspec

from curranthill.clock import uptime_s
from curranthill.connections import ConnectionPools
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: The longest a new connection may take, in seconds: the farthest peer is a
#: few milliseconds away, and a lost opening packet is sent again after 1 s.
CONNECT_TIMEOUT_S: Final = 0.5

#: How long an answer that has begun may stand still, in seconds. Its length
#: counts for nothing: a large one over a slow link is received to its end.
STALL_TIMEOUT_S: Final = 1.0


class CallNotSentError(Exception):
    """No connection was made, so nothing was asked."""


class CallUnansweredError(Exception):
    """The call was sent, and no whole answer came."""


class Answer(NamedTuple):
    """A whole answer.

    :param began_after_s: how long its first byte was waited for, in seconds.
    """

    status: int
    body: bytes
    began_after_s: float = 0.0


class Caller:
    """Makes calls over connections that it keeps."""

    def __init__(self) -> None:
        """Open no connection yet."""
        self._pools = ConnectionPools()

    async def call(
        self,
        method: str,
        url: str,
        *,
        timeout_s: float,
        fields: dict[str, Any] | msgspec.Raw | None = None,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        begun: asyncio.Event | None = None,
    ) -> Answer:
        """Make one call.

        :param timeout_s: until the answer must have begun, in seconds.
        :param begun: is set once it has.
        :raises CallNotSentError: if nothing was asked.
        :raises CallUnansweredError: if the effect is unknown.
        """
        sent_headers = dict(headers or {})
        body = None
        if fields is not None:
            body = msgspec.json.encode(fields)
            sent_headers['Content-Type'] = 'application/json'
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._pools.session(urlsplit(url).netloc) as session:
                return await _exchange(
                    session.request(
                        method,
                        url,
                        data=body,
                        params=params,
                        headers=sent_headers,
                        timeout=timeout,
                    ),
                    timeout_s,
                    begun or asyncio.Event(),
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise CallNotSentError(repr(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise CallUnansweredError(repr(error)) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._pools.close()


async def _exchange(
    request: AbstractAsyncContextManager[aiohttp.ClientResponse],
    timeout_s: float,
    begun: asyncio.Event,
) -> Answer:
    sent_s = uptime_s()
    async with asyncio.timeout(timeout_s) as limit, request as response:
        began_s = uptime_s()
        begun.set()
        body = await _receive(response, limit)
        return Answer(response.status, body, began_s - sent_s)


async def _receive(
    response: aiohttp.ClientResponse,
    limit: asyncio.Timeout,
) -> bytes:
    """Return an answer's body; each part puts the limit off."""
    parts: list[bytes] = []
    began_s = uptime_s()
    loop = asyncio.get_running_loop()
    try:
        limit.reschedule(loop.time() + STALL_TIMEOUT_S)
        async for part in response.content.iter_any():
            parts.append(part)
            limit.reschedule(loop.time() + STALL_TIMEOUT_S)
    except BaseException as error:
        _tell_of_cut(response, parts, began_s, error)
        raise
    return b''.join(parts)


def _tell_of_cut(
    response: aiohttp.ClientResponse,
    parts: list[bytes],
    began_s: float,
    error: BaseException,
) -> None:
    """Tell of an answer that began and was not received to its end."""
    received_bytes = sum(len(part) for part in parts)
    metrics.answers_cut.add(1)
    metrics.answer_bytes_cut.add(received_bytes)
    events.log(
        'answer_cut',
        peer=response.url.authority,
        path=response.url.path,
        received_bytes=received_bytes,
        body_s=round(uptime_s() - began_s, 3),
        error=repr(error),
    )


__all__ = (
    'Answer',
    'CallNotSentError',
    'CallUnansweredError',
    'Caller',
)
