"""HTTP clients of the platform's services, as docs/standins specifies."""

import asyncio
import hashlib
import json
from base64 import b64encode
from typing import Any

import aiohttp

from curranthill.errors import ConflictError, NotSentError, ReplyLostError
from curranthill.storage.interface import HostEntry, Platform, platforms
from curranthill.storage.records import Page, Row, Transaction
from curranthill.telemetry.metrics import metrics

#: The total timeout of a call that sends a body, and the timeout between two
#: reads of the response of any other call, in seconds.
REQUEST_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
_WRITE_TIMEOUT = aiohttp.ClientTimeout(
    total=REQUEST_TIMEOUT_S,
    sock_connect=CONNECT_TIMEOUT_S,
)
_READ_TIMEOUT = aiohttp.ClientTimeout(
    sock_read=REQUEST_TIMEOUT_S,
    sock_connect=CONNECT_TIMEOUT_S,
)
_HTTP_OK = 200
_HTTP_NOT_MODIFIED = 304
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409
_SERVER_ERRORS = 500


def content_digest(body: bytes) -> str:
    """Return the ``Content-Digest`` value of a body (RFC 9530)."""
    encoded = b64encode(hashlib.sha256(body).digest()).decode()
    return f'sha-256=:{encoded}:'


class HttpPlatform:
    """The shared HTTP session of the three services behind one base URL."""

    def __init__(self, *, url: str) -> None:
        """Initialize without a session; the first call opens it."""
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        method: str,
        path: str,
        *,
        writes: bool,
        **options: Any,
    ) -> tuple[int, bytes, str]:
        """Make one call; return its status, body and content digest.

        :param writes: whether the effect is unknown if the reply is lost.
        """
        if self._session is None:
            self._session = aiohttp.ClientSession()
        try:
            async with self._session.request(
                method,
                f'{self._url}{path}',
                timeout=_READ_TIMEOUT if method == 'GET' else _WRITE_TIMEOUT,
                **options,
            ) as reply:
                body = await reply.read()
                digest = reply.headers.get('Content-Digest', '')
                status = reply.status
        except aiohttp.ClientConnectorError as error:
            raise self._not_sent(path) from error
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            if not writes:
                raise self._not_sent(path) from error
            raise ReplyLostError(
                'The reply of the platform was lost.',
                step=path,
                peer=self._url,
            ) from error
        # 429 and 5xx are refusals, which guarantee that nothing was done.
        if status >= _SERVER_ERRORS or status == 429:  # noqa: WPS432
            raise self._not_sent(path)
        return status, body, digest

    def _not_sent(self, path: str) -> NotSentError:
        return NotSentError(
            'The platform refused the call or is unreachable.',
            step=path,
            peer=self._url,
        )


class HttpTable:
    """Client of the table."""

    def __init__(self, *, platform: HttpPlatform) -> None:
        """Initialize with the shared session of the platform."""
        self._platform = platform

    async def read(self, key: str) -> Row | None:
        """Return a row, or nothing if there is none."""
        metrics.table_reads.add(1)
        status, body, _ = await self._platform.call(
            'GET',
            '/v1/rows',
            writes=False,
            params={'key': key},
        )
        if status == _HTTP_NOT_FOUND:
            return None
        return _row(_json(body))

    async def scan(self, prefix: str, after: str, limit: int) -> Page:
        """Return one page of rows."""
        metrics.table_reads.add(1)
        _, body, _ = await self._platform.call(
            'GET',
            '/v1/rows',
            writes=False,
            params={'prefix': prefix, 'after': after, 'limit': str(limit)},
        )
        page = _json(body)
        rows = tuple(_row(entry) for entry in page['rows'])
        return Page(rows=rows, after=page['after'])

    async def transact(self, transaction: Transaction) -> dict[str, int]:
        """Apply all writes or none."""
        status, body, _ = await self._platform.call(
            'POST',
            '/v1/transactions',
            writes=True,
            json={
                'operation_id': transaction.operation_id,
                'writes': [write._asdict() for write in transaction.writes],
                'checks': [check._asdict() for check in transaction.checks],
            },
        )
        if status == _HTTP_CONFLICT:
            raise ConflictError(
                'Another write was first.',
                step='transact',
                peer=','.join(_json(body)['conflicts']),
            )
        versions: dict[str, int] = _json(body)['versions']
        return versions


class HttpObjects:
    """Client of the object store."""

    def __init__(self, *, platform: HttpPlatform) -> None:
        """Initialize with the shared session of the platform."""
        self._platform = platform

    async def put(self, name: str, body: bytes) -> None:
        """Store an object; idempotent, so a lost reply may be retried."""
        status, _, _ = await self._platform.call(
            'PUT',
            f'/v1/objects/{name}',
            writes=False,
            data=body,
            headers={'Content-Digest': content_digest(body)},
        )
        if status == _HTTP_CONFLICT:
            raise ConflictError(
                'The object exists with another body.',
                step='put',
                peer=name,
            )

    async def get(self, name: str) -> bytes | None:
        """Return an object, or nothing if there is none."""
        status, body, digest = await self._platform.call(
            'GET',
            f'/v1/objects/{name}',
            writes=False,
        )
        if status != _HTTP_OK:
            return None
        if digest != content_digest(body):
            raise NotSentError(
                'The digest of the received object differs.',
                step='get',
                peer=name,
            )
        return body


class HttpHostList:
    """Client of the host list."""

    def __init__(self, *, platform: HttpPlatform) -> None:
        """Initialize with the shared session of the platform."""
        self._platform = platform
        self._known: tuple[HostEntry, ...] = ()
        self._digest = ''

    async def hosts(self, data_centre: str = '') -> tuple[HostEntry, ...]:
        """Return the list; an unchanged one is not transferred again."""
        status, body, digest = await self._platform.call(
            'GET',
            '/v1/hosts',
            writes=False,
            params={'data_centre': data_centre},
            headers={'If-None-Match': f'"{self._digest}"'},
        )
        if status != _HTTP_NOT_MODIFIED:
            self._digest = digest
            self._known = tuple(
                HostEntry(**entry) for entry in _json(body)['hosts']
            )
        return self._known


@platforms.register('http')
def http_platform(url: str) -> Platform:
    """Return clients of the services at ``url``."""
    platform = HttpPlatform(url=url)
    return Platform(
        table=HttpTable(platform=platform),
        objects=HttpObjects(platform=platform),
        host_list=HttpHostList(platform=platform),
        close=platform.close,
    )


def _json(body: bytes) -> Any:
    return json.loads(body)


def _row(entry: dict[str, Any]) -> Row:
    return Row(**entry)


__all__ = ('HttpPlatform', 'content_digest', 'http_platform')
