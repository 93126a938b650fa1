"""A :class:`RowStore` over the HTTP API of the platform's metadata store."""

import asyncio
import base64
import binascii
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from functools import partial
from typing import Any, Final

import msgspec

from curranthill.clock import Clock
from curranthill.errors import (
    NotSentError,
    ReplyLostError,
    StorageError,
)
from curranthill.platform.decoding import NonNegativeInt, decode_fields
from curranthill.platform.http_client import (
    HttpClient,
    HttpResponse,
    RequestNotSentError,
    ResponseLostError,
    ResponseTooLargeError,
    StreamingResponse,
)
from curranthill.platform.scan import TablePage, TableScan
from curranthill.storage.outage import StoreOutage
from curranthill.storage.paths import StorePaths
from curranthill.storage.rows import (
    HistoryLostError,
    MalformedRecordError,
    RowChanges,
    RowCheck,
    RowConflictError,
    RowPut,
    RowRemoval,
    StoredRow,
    StoreRejectedError,
)
from curranthill.storage.timeouts import ReplyTimeout
from curranthill.tasks import tables

#: Tables that the platform, its operator and its workers write to. These are
#: not partitioned.
PLATFORM_TABLES: Final = frozenset(('op', 'servers', 'status'))
PLATFORM_PARTITION: Final = ''

#: The timeout of a long poll for changes beyond the requested wait, in seconds.
FEED_SLACK_S: Final = 0.5

#: The slack doubles after each lost response up to this limit, in seconds, so
#: that a congested link does not hold up changes indefinitely.
MAX_FEED_SLACK_S: Final = 2.0

#: The largest number of rows in flight during a table scan. Partitions that are
#: scanned concurrently share it.
PAGE_ROWS: Final = 100

#: The minimum timeout for the first byte of a page, in seconds. On a slow link
#: the pages of other partitions, read concurrently, may arrive before it.
PAGE_TIMEOUT_S: Final = 1.5

#: The most bytes of a response of the store. It limits a page to 1 MB of rows
#: before they are encoded; changes may have more.
MAX_RESPONSE_BYTES: Final = 8_388_608

#: The path prefix of the store's API.
PATH_PREFIX: Final = '/curranthill/'

#: The status that a relay returns when it lost the store's response, so that
#: the effect of the request is unknown.
UNANSWERED: Final = 504

#: Statuses of requests that were refused or whose effect is unknown.
_NO_OUTCOME: Final = frozenset((429, 503, UNANSWERED))

#: Statuses of requests that are rejected for their content, so that the same
#: request is rejected again.
_REJECTED: Final = frozenset((400, 403, 413, 414, 507))

_OK: Final = 200
_GONE: Final = 410
_CONFLICT: Final = 412


class RowFields(msgspec.Struct):
    """One row; ``schema_ver`` is the version of the row, not of a schema."""

    table: str
    key: str
    value: str | None = None
    schema_ver: NonNegativeInt = 0
    removed: bool = False


class RowsFields(msgspec.Struct):
    """The response to any request about rows."""

    schema_ver: NonNegativeInt = 0
    rows: list[RowFields] = []
    has_more: bool = False


class ResponseLimitError(ReplyLostError):
    """A response of the store is larger than any that is accepted."""


class StoreRecoveredError(ReplyLostError):
    """A request was abandoned because an outage of the store has ended."""


class PlatformStore:
    """Reads and writes rows over HTTP.

    :param paths: the path to the store, direct or through a peer; it changes
        when a request fails.
    :ivar outage: whether the store is unavailable, updated by each request.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        paths: StorePaths,
        clock: Clock,
    ) -> None:
        """Initialize the timeouts and the outage tracking."""
        self._client = client
        self._paths = paths
        self.outage = StoreOutage(clock=clock)
        self._commit_timeout = ReplyTimeout()
        self._read_timeout = ReplyTimeout()
        self._page_timeout = ReplyTimeout(min_s=PAGE_TIMEOUT_S)
        self._feed_slack_s: dict[str, float] = {}

    async def commit(
        self,
        *,
        checks: Sequence[RowCheck] = (),
        puts: Sequence[RowPut] = (),
        removals: Sequence[RowRemoval] = (),
    ) -> int:
        """Apply all changes or none and return the new version."""
        fields = {
            'expected_rev': [
                {**_row_id(check.table, check.key), 'schema_ver': check.version}
                for check in checks
            ],
            'put': [
                {
                    **_row_id(put.table, put.key),
                    'value': base64.b64encode(put.content).decode(),
                }
                for put in puts
            ],
            'remove': [
                _row_id(removal.table, removal.key) for removal in removals
            ],
        }
        response = await self._request_adaptively(
            self._commit_timeout,
            'POST',
            'rows-tx',
            fields=fields,
        )
        if response.status == _CONFLICT:
            raise RowConflictError(
                'A row has another version than expected.',
                step='commit',
                peer=self._paths.address,
                rows=_rows(self._decode(response, 'commit')),
            )
        self._expect_ok(response, 'commit')
        return self._decode(response, 'commit').schema_ver

    async def read(self, table: str, key: str) -> StoredRow | None:
        """Return one row, or nothing if there is no such row."""
        fields = await self._get(
            table,
            {'part': _partition_of(table, key), 'from': key, 'limit': '1'},
        )
        for row in _rows(fields):
            if row.key == key:
                return row
        return None

    async def scan(self, table: str) -> RowChanges:
        """Return all rows of a table, scanning its partitions concurrently."""
        partitions = tables.partitions_of(table)
        if table in PLATFORM_TABLES:
            partitions = (PLATFORM_PARTITION,)
        scan = TableScan(
            read_page=partial(self._read_page, table),
            page_rows=PAGE_ROWS // len(partitions),
        )
        return await scan.read(partitions)

    async def _read_page(self, table: str, params: dict[str, str]) -> TablePage:
        fields = await self._get(table, params, self._page_timeout)
        return TablePage(_rows(fields), fields.schema_ver, fields.has_more)

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> RowChanges:
        """Long-poll for the changes after a version.

        :param wait_s: how long the store waits for a first change, in seconds.
        """
        slack_s = self._feed_slack_s.pop(table, FEED_SLACK_S)
        try:
            response = await self._request(
                'GET',
                'rows-feed',
                timeout_s=wait_s + slack_s,
                params={
                    'table': table,
                    'after': str(after),
                    'wait_ms': str(int(wait_s * 1000)),
                },
            )
        except ResponseLimitError as error:
            # The pages of the whole table are limited.
            raise HistoryLostError(
                f'The changes of {table} after {after} are too large.',
                step='changes',
                peer=self._paths.address,
            ) from error
        except ReplyLostError:
            self._feed_slack_s[table] = min(2 * slack_s, MAX_FEED_SLACK_S)
            raise
        if response.status == _GONE:
            raise HistoryLostError(
                f'The history of {table} after {after} is no longer stored.',
                step='changes',
                peer=self._paths.address,
            )
        self._expect_ok(response, 'changes')
        fields = self._decode(response, 'changes')
        return RowChanges(_rows(fields), fields.schema_ver)

    async def _get(
        self,
        table: str,
        params: dict[str, str],
        timeout: ReplyTimeout | None = None,
    ) -> RowsFields:
        response = await self._request_adaptively(
            timeout or self._read_timeout,
            'GET',
            'rows-get',
            params={'table': table, **params},
        )
        self._expect_ok(response, 'read')
        return self._decode(response, 'read')

    async def _request_adaptively(
        self,
        timeout: ReplyTimeout,
        method: str,
        path: str,
        **options: Any,
    ) -> HttpResponse:
        """Send a request whose timeout adapts to previous response times.

        Only the time to the first byte counts, because the size of a response
        says nothing about how fast the store responds.
        """
        try:
            response = await self._request(
                method,
                path,
                timeout_s=timeout.timeout_s,
                **options,
            )
        except ReplyLostError:
            timeout.record_loss()
            raise
        timeout.record_reply(response.first_byte_s)
        return response

    async def _request(
        self,
        method: str,
        path: str,
        **options: Any,
    ) -> HttpResponse:
        address = self._paths.address
        started = asyncio.Event()
        request = asyncio.ensure_future(
            self._receive(started, address, method, path, **options),
        )
        try:
            response = await self._response_or_recovery(request, started, path)
        except StoreRecoveredError:
            raise
        except ResponseLimitError:
            self._paths.record_reply(address)
            self.outage.record_reply()
            raise
        except StorageError:
            self._paths.record_failure(address)
            self.outage.record_failure()
            raise
        finally:
            request.cancel()
        self._paths.record_reply(address)
        self.outage.record_reply()
        return response

    async def _receive(
        self,
        started: asyncio.Event,
        *target: str,
        **options: Any,
    ) -> HttpResponse:
        """Send a request and return its complete response.

        :param started: is set once the response headers have arrived.
        :param target: the address, the method and the path.
        """
        async with open_store_request(
            self._client, *target, **options
        ) as response:
            started.set()
            return await response.read()

    async def _response_or_recovery(
        self,
        request: asyncio.Future[HttpResponse],
        started: asyncio.Event,
        path: str,
    ) -> HttpResponse:
        """Return the response unless an outage ends before it starts.

        The store never responds to requests that it received during an
        outage, so waiting longer is useless. A response that has started is
        still received to its end.

        :raises StoreRecoveredError: if the outage ended first.
        """
        recovery = asyncio.ensure_future(self.outage.wait_for_end())
        try:
            await asyncio.wait(
                (request, recovery),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            recovery.cancel()
        if request.done() or started.is_set():
            return await request
        raise StoreRecoveredError(
            'The request was sent during an outage of the store that is over.',
            step=path,
            peer=self._paths.address,
        )

    def _expect_ok(self, response: HttpResponse, step: str) -> None:
        """Raise an error for any other status.

        :raises StoreRejectedError: if nothing was done, and never will be.
        :raises ReplyLostError: if the status says nothing about the effect.
        """
        if response.status == _OK:
            return
        text = f'The store returned {response.status}: {response.body[:200]!r}.'
        if response.status in _REJECTED:
            raise StoreRejectedError(text, step=step, peer=self._paths.address)
        raise ReplyLostError(text, step=step, peer=self._paths.address)

    def _decode(self, response: HttpResponse, step: str) -> RowsFields:
        try:
            return decode_fields(response.body, RowsFields, step=step)
        except MalformedRecordError as error:
            raise ReplyLostError(
                f'The response of the store is malformed: {error}.',
                step=step,
                peer=self._paths.address,
            ) from error


@asynccontextmanager
async def open_store_request(
    client: HttpClient,
    address: str,
    method: str,
    path: str,
    **options: Any,
) -> AsyncIterator[StreamingResponse]:
    """Send one request to the store; enter once its response has started.

    :param address: of the store, or of a peer that relays the request.
    :param options: further keyword arguments of :meth:`HttpClient.open`.
    :raises NotSentError: if nothing was done.
    :raises ReplyLostError: if the effect is unknown.
    """
    url = f'http://{address}{PATH_PREFIX}{path}'
    options.setdefault('max_bytes', MAX_RESPONSE_BYTES)
    try:
        async with client.open(method, url, **options) as response:
            if response.status in _NO_OUTCOME:
                # A connection is reused only if its response was read.
                await response.read()
                raise _error_of(response.status, path, address)
            yield response
    except RequestNotSentError as error:
        raise NotSentError(
            f'The store cannot be reached: {error}.',
            step=path,
            peer=address,
        ) from error
    except ResponseTooLargeError as error:
        raise ResponseLimitError(str(error), step=path, peer=address) from error
    except ResponseLostError as error:
        raise ReplyLostError(
            f'The store did not respond: {error}.',
            step=path,
            peer=address,
        ) from error


def _error_of(status: int, path: str, address: str) -> StorageError:
    """Return the error for a status without an outcome of the request."""
    if status == UNANSWERED:
        return ReplyLostError(
            'The store did not respond to the host that relayed the request.',
            step=path,
            peer=address,
        )
    return NotSentError(
        f'The store refused the request with status {status}.',
        step=path,
        peer=address,
    )


def _partition_of(table: str, key: str) -> str:
    if table in PLATFORM_TABLES:
        return PLATFORM_PARTITION
    return tables.partition_of(table, key)


def _row_id(table: str, key: str) -> dict[str, Any]:
    return {'table': table, 'part': _partition_of(table, key), 'key': key}


def _rows(fields: RowsFields) -> tuple[StoredRow, ...]:
    return tuple(
        StoredRow(
            table=row.table,
            key=row.key,
            content=_content_of(row),
            version=row.schema_ver,
            removed=row.removed,
        )
        for row in fields.rows
    )


def _content_of(row: RowFields) -> bytes:
    """Return the bytes of a row, empty if its value is not valid base64.

    Other writers may store such values. The decoder of the row's content then
    fails on the empty bytes and reports the row as malformed.
    """
    try:
        return base64.b64decode(row.value or '', validate=True)
    except (binascii.Error, ValueError):
        return b''


__all__ = (
    'PAGE_ROWS',
    'PATH_PREFIX',
    'UNANSWERED',
    'PlatformStore',
    'open_store_request',
)
