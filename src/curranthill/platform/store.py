"""The platform's metadata store as a :class:`RowStore`."""

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
from curranthill.platform.decoding import Count, decode_fields
from curranthill.platform.http_client import (
    HttpClient,
    HttpResponse,
    RequestNotSentError,
    ResponseLostError,
    StreamingResponse,
)
from curranthill.platform.scan import TablePage, TableScan
from curranthill.storage.absence import StoreAbsence
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
)
from curranthill.storage.timeouts import ReplyTimeout
from curranthill.tasks import tables

#: Tables that the platform, its operator and its workers write have no part.
PLATFORM_TABLES: Final = frozenset(('op', 'servers', 'status'))
PLATFORM_PART: Final = ''

#: How long after the wait that was asked for a feed's answer must have begun,
#: in seconds.
FEED_SLACK_S: Final = 0.5

#: The same after answers that did not come in time, in seconds: it doubles up
#: to this, so that a congested link does not hold changes up for good.
MOST_FEED_SLACK_S: Final = 2.0

#: Rows in one reading of a table. Parts that are read side by side share it.
PAGE_ROWS: Final = 100

#: When a page must have begun, in seconds: on a slow link the pages of other
#: parts come before it.
PAGE_TIMEOUT_S: Final = 1.5

#: What the paths of the store's calls begin with.
PATH_PREFIX: Final = '/curranthill/'

#: What a peer answers if it does not know whether the store did a call.
UNANSWERED: Final = 504

#: Statuses of calls that were refused, or of which nobody knows the effect.
_NO_OUTCOME: Final = frozenset((429, 503, UNANSWERED))

_OK: Final = 200
_GONE: Final = 410
_CONFLICT: Final = 412


class RowFields(msgspec.Struct):
    """One row; ``schema_ver`` is its own version, not that of a schema."""

    table: str
    key: str
    value: str | None = None
    schema_ver: Count = 0
    removed: bool = False


class RowsFields(msgspec.Struct):
    """What the store answers to any call about rows."""

    schema_ver: Count = 0
    rows: list[RowFields] = []
    has_more: bool = False


class StoreReturnedError(ReplyLostError):
    """A call was given up because the store is back from an absence."""


class PlatformStore:
    """Rows over the platform's HTTP calls.

    :param paths: the way that calls take, which changes when they fail.
    :param outage: whether the store is unavailable; each call updates it.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        paths: StorePaths,
        clock: Clock,
    ) -> None:
        """Keep the paths."""
        self._client = client
        self._paths = paths
        self.outage = StoreAbsence(clock=clock)
        self._commit_timeout = ReplyTimeout()
        self._read_timeout = ReplyTimeout()
        self._page_timeout = ReplyTimeout(shortest_s=PAGE_TIMEOUT_S)
        self._feed_slack_s: dict[str, float] = {}

    async def commit(
        self,
        *,
        checks: Sequence[RowCheck] = (),
        puts: Sequence[RowPut] = (),
        removals: Sequence[RowRemoval] = (),
    ) -> int:
        """Apply all or nothing and return the new version."""
        fields = {
            'expected_rev': [
                {**_name(one.table, one.key), 'schema_ver': one.version}
                for one in checks
            ],
            'put': [
                {
                    **_name(one.table, one.key),
                    'value': base64.b64encode(one.content).decode(),
                }
                for one in puts
            ],
            'remove': [_name(one.table, one.key) for one in removals],
        }
        answer = await self._timed(
            self._commit_timeout,
            'POST',
            'rows-tx',
            fields=fields,
        )
        if answer.status == _CONFLICT:
            raise RowConflictError(
                'A row has another version than expected.',
                step='commit',
                peer=self._paths.address,
                rows=_rows(self._fields(answer, 'commit')),
            )
        self._expect_ok(answer, 'commit')
        return self._fields(answer, 'commit').schema_ver

    async def read(self, table: str, key: str) -> StoredRow | None:
        """Return one row or nothing."""
        fields = await self._get(
            table,
            {'part': _part_of(table, key), 'from': key, 'limit': '1'},
        )
        for row in _rows(fields):
            if row.key == key:
                return row
        return None

    async def scan(self, table: str) -> RowChanges:
        """Return all rows of a table; its parts are read side by side."""
        parts = tables.partitions_of(table)
        if table in PLATFORM_TABLES:
            parts = (PLATFORM_PART,)
        scan = TableScan(
            read_page=partial(self._read_page, table),
            page_rows=PAGE_ROWS // len(parts),
        )
        return await scan.read(parts)

    async def _read_page(self, table: str, params: dict[str, str]) -> TablePage:
        fields = await self._get(table, params, self._page_timeout)
        return TablePage(_rows(fields), fields.schema_ver, fields.has_more)

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> RowChanges:
        """Return changes past a version, waiting for the first one."""
        slack_s = self._feed_slack_s.pop(table, FEED_SLACK_S)
        try:
            answer = await self._call(
                'GET',
                'rows-feed',
                timeout_s=wait_s + slack_s,
                params={
                    'table': table,
                    'after': str(after),
                    'wait_ms': str(int(wait_s * 1000)),
                },
            )
        except ReplyLostError:
            self._feed_slack_s[table] = min(2 * slack_s, MOST_FEED_SLACK_S)
            raise
        if answer.status == _GONE:
            raise HistoryLostError(
                f'The history of {table} past {after} is gone.',
                step='changes',
                peer=self._paths.address,
            )
        self._expect_ok(answer, 'changes')
        fields = self._fields(answer, 'changes')
        return RowChanges(_rows(fields), fields.schema_ver)

    async def _get(
        self,
        table: str,
        params: dict[str, str],
        timeout: ReplyTimeout | None = None,
    ) -> RowsFields:
        answer = await self._timed(
            timeout or self._read_timeout,
            'GET',
            'rows-get',
            params={'table': table, **params},
        )
        self._expect_ok(answer, 'read')
        return self._fields(answer, 'read')

    async def _timed(
        self,
        timeout: ReplyTimeout,
        method: str,
        path: str,
        **options: Any,
    ) -> HttpResponse:
        """Make a call whose timeout follows the replies before it.

        What counts is when they began: how long they were is no sign of how
        long the store takes.
        """
        try:
            answer = await self._call(
                method,
                path,
                timeout_s=timeout.seconds_s,
                **options,
            )
        except ReplyLostError:
            timeout.lost()
            raise
        timeout.replied(answer.first_byte_s)
        return answer

    async def _call(
        self,
        method: str,
        path: str,
        **options: Any,
    ) -> HttpResponse:
        address = self._paths.address
        begun = asyncio.Event()
        call = asyncio.ensure_future(
            self._receive(begun, address, method, path, **options),
        )
        try:
            answer = await self._answer_or_return(call, begun, path)
        except StoreReturnedError:
            raise
        except StorageError:
            self._paths.failed(address)
            self.outage.failed()
            raise
        finally:
            call.cancel()
        self._paths.answered(address)
        self.outage.answered()
        return answer

    async def _receive(
        self,
        begun: asyncio.Event,
        *call: str,
        **options: Any,
    ) -> HttpResponse:
        """Make a call and return its whole answer.

        :param begun: is set once it has begun.
        """
        async with open_store_call(self._client, *call, **options) as answer:
            begun.set()
            return await answer.read()

    async def _answer_or_return(
        self,
        call: asyncio.Future[HttpResponse],
        begun: asyncio.Event,
        path: str,
    ) -> HttpResponse:
        """Return the answer, unless the store was away and is back.

        What was asked while it was away is not answered any more. An answer
        that has begun is on its way, and is received.
        """
        back = asyncio.ensure_future(self.outage.ended())
        try:
            await asyncio.wait(
                (call, back),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            back.cancel()
        if call.done() or begun.is_set():
            return await call
        raise StoreReturnedError(
            'The store was away when it was asked, and is back.',
            step=path,
            peer=self._paths.address,
        )

    def _expect_ok(self, answer: HttpResponse, step: str) -> None:
        """Raise the error of any other status: nothing was done."""
        if answer.status == _OK:
            return
        raise StorageError(
            f'The store answered {answer.status}: {answer.body[:200]!r}.',
            step=step,
            peer=self._paths.address,
        )

    def _fields(self, answer: HttpResponse, step: str) -> RowsFields:
        try:
            return decode_fields(answer.body, RowsFields, step=step)
        except MalformedRecordError as error:
            raise ReplyLostError(
                f'The store did not answer: {error}.',
                step=step,
                peer=self._paths.address,
            ) from error


@asynccontextmanager
async def open_store_call(
    client: HttpClient,
    address: str,
    method: str,
    path: str,
    **options: Any,
) -> AsyncIterator[StreamingResponse]:
    """Make one call of the store; enter once its answer has begun.

    :param address: the store's own, or a peer's that passes calls on.
    :raises NotSentError: if nothing was done.
    :raises ReplyLostError: if the effect is unknown.
    """
    url = f'http://{address}{PATH_PREFIX}{path}'
    try:
        async with client.open(method, url, **options) as answer:
            if answer.status in _NO_OUTCOME:
                # A connection is kept only if its answer was read.
                await answer.read()
                raise _error_of(answer.status, path, address)
            yield answer
    except RequestNotSentError as error:
        raise NotSentError(
            f'The store cannot be reached: {error}.',
            step=path,
            peer=address,
        ) from error
    except ResponseLostError as error:
        raise ReplyLostError(
            f'The store did not answer: {error}.',
            step=path,
            peer=address,
        ) from error


def _error_of(status: int, path: str, address: str) -> StorageError:
    """Return the error of a status that tells no outcome of the call."""
    if status == UNANSWERED:
        return ReplyLostError(
            'The store did not answer the host that passed the call on.',
            step=path,
            peer=address,
        )
    return NotSentError(
        f'The store refused with {status}.',
        step=path,
        peer=address,
    )


def _part_of(table: str, key: str) -> str:
    if table in PLATFORM_TABLES:
        return PLATFORM_PART
    return tables.partition_of(table, key)


def _name(table: str, key: str) -> dict[str, Any]:
    return {'table': table, 'part': _part_of(table, key), 'key': key}


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
    """Return a row's bytes; none where another writer's value is no base64.

    Whoever reads the row finds that nothing can be decoded, and says so.
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
    'open_store_call',
)
