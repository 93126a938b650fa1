"""One reading of a whole table, page by page."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, NamedTuple

from curranthill.errors import StorageError
from curranthill.storage.rows import RowChanges, StoredRow

#: How often one page is asked for.
PAGE_TRIES: Final = 3

#: The pause between two tries, in seconds.
RETRY_S: Final = 0.05


class TablePage(NamedTuple):
    """Some rows of one part, in the order of their keys.

    :param version: the newest version of the store when it was read.
    :param has_more: whether rows follow.
    """

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool


#: Reads a page with the given parameters of the call.
PageReader = Callable[[dict[str, str]], Awaitable[TablePage]]


class TableScan:
    """Reads the parts of a table side by side.

    A lost page is asked for again, so that it costs neither those before it
    nor those of other parts. While no page has come at all, the first loss
    ends the scan: the store may be away.

    :param page_rows: the most rows in one page.
    """

    def __init__(self, *, read_page: PageReader, page_rows: int) -> None:
        """Start with no page read."""
        self._read_page = read_page
        self._page_rows = page_rows
        self._pages_read = 0

    async def read(self, parts: Iterable[str]) -> RowChanges:
        """Return all rows, and the version to resume a feed from.

        :raises StorageError: if a page could not be read.
        """
        readings = [
            asyncio.ensure_future(self._read_part(part)) for part in parts
        ]
        try:
            scans = await asyncio.gather(*readings)
        finally:
            for reading in readings:
                reading.cancel()
        return RowChanges(
            tuple(row for scan in scans for row in scan.rows),
            # What changed while the others were read comes once more.
            min(scan.version for scan in scans),
        )

    async def _read_part(self, part: str) -> RowChanges:
        params = {'part': part, 'limit': str(self._page_rows)}
        page = await self._insist(params)
        version = page.version
        rows = list(page.rows)
        while page.has_more and page.rows:
            # The next key in byte order.
            params['from'] = f'{page.rows[-1].key}\0'
            page = await self._insist(params)
            rows.extend(page.rows)
        return RowChanges(tuple(rows), version)

    async def _insist(self, params: dict[str, str]) -> TablePage:
        for _ in range(PAGE_TRIES - 1):
            try:
                return await self._take_page(params)
            except StorageError:
                if not self._pages_read:
                    raise
            await asyncio.sleep(RETRY_S)
        return await self._take_page(params)

    async def _take_page(self, params: dict[str, str]) -> TablePage:
        page = await self._read_page(params)
        self._pages_read += 1
        return page


__all__ = ('PageReader', 'TablePage', 'TableScan')
