"""One HTTP call to a service of the platform or to a worker."""

from typing import Any, Final, NamedTuple

import aiohttp
import msgspec

#: The longest a new connection may take, in seconds: the farthest peer is a
#: few milliseconds away, and a lost opening packet is sent again after 1 s.
CONNECT_TIMEOUT_S: Final = 0.5


class CallNotSentError(Exception):
    """No connection was made, so nothing was asked."""


class CallUnansweredError(Exception):
    """The call was sent, and no whole answer came."""


class Answer(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes

    def fields(self) -> dict[str, Any]:
        """Return the body's fields.

        :raises CallUnansweredError: if the body is not such an object.
        """
        try:
            return msgspec.json.decode(self.body, type=dict[str, Any])
        except msgspec.MsgspecError as error:
            raise CallUnansweredError(f'unreadable answer: {error}') from error


class Caller:
    """Makes calls over connections that it keeps.

    :param connections_per_peer: most connections to one address; 0: any.
    """

    def __init__(self, *, connections_per_peer: int = 0) -> None:
        """Open no connection yet."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                limit_per_host=connections_per_peer,
                keepalive_timeout=60,
            ),
            auto_decompress=False,
        )

    async def call(
        self,
        method: str,
        url: str,
        *,
        timeout_s: float,
        fields: dict[str, Any] | None = None,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Make one call.

        :raises CallNotSentError: if nothing was asked.
        :raises CallUnansweredError: if the effect is unknown.
        """
        sent_headers = dict(headers or {})
        body = None
        if fields is not None:
            body = msgspec.json.encode(fields)
            sent_headers['Content-Type'] = 'application/json'
        timeout = aiohttp.ClientTimeout(
            total=timeout_s,
            sock_connect=CONNECT_TIMEOUT_S,
        )
        try:
            async with self._session.request(
                method,
                url,
                data=body,
                params=params,
                headers=sent_headers,
                timeout=timeout,
            ) as response:
                return Answer(response.status, await response.read())
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise CallNotSentError(repr(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise CallUnansweredError(repr(error)) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


__all__ = (
    'Answer',
    'CallNotSentError',
    'CallUnansweredError',
    'Caller',
)
