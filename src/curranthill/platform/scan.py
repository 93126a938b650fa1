"""A scan of a whole table, page by page."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, NamedTuple

from curranthill.errors import StorageError
from curranthill.storage.rows import RowChanges, StoredRow

#: How often one page is requested before the scan fails.
PAGE_ATTEMPTS: Final = 3

#: The delay before a page is requested again, in seconds.
RETRY_DELAY_S: Final = 0.05


class TablePage(NamedTuple):
    """Some rows of one partition, in the order of their keys.

    :param version: the latest version of the store when the page was read.
    :param has_more: whether more rows follow.
    """

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool


#: Reads a page with the given query parameters.
PageReader = Callable[[dict[str, str]], Awaitable[TablePage]]


class TableScan:
    """Reads the partitions of a table concurrently.

    A lost page is requested again, so that its loss discards neither earlier
    pages nor those of other partitions. Until a first page has arrived, any
    loss fails the scan at once, because the store may be unavailable.

    :param page_rows: the maximum number of rows in a page.
    """

    def __init__(self, *, read_page: PageReader, page_rows: int) -> None:
        """Initialize without any page read."""
        self._read_page = read_page
        self._page_rows = page_rows
        self._pages_read = 0

    async def read(self, partitions: Iterable[str]) -> RowChanges:
        """Return all rows, and the version from which to follow changes.

        :raises StorageError: if a page could not be read.
        """
        tasks = [
            asyncio.ensure_future(self._read_partition(partition))
            for partition in partitions
        ]
        try:
            scans = await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
        return RowChanges(
            tuple(row for scan in scans for row in scan.rows),
            # Changes made while other partitions were read are fetched again.
            min(scan.version for scan in scans),
        )

    async def _read_partition(self, partition: str) -> RowChanges:
        params = {'part': partition, 'limit': str(self._page_rows)}
        page = await self._read_with_retries(params)
        version = page.version
        rows = list(page.rows)
        while page.has_more and page.rows:
            # The smallest key after the last one in byte order.
            params['from'] = f'{page.rows[-1].key}\0'
            page = await self._read_with_retries(params)
            rows.extend(page.rows)
        return RowChanges(tuple(rows), version)

    async def _read_with_retries(self, params: dict[str, str]) -> TablePage:
        for _ in range(PAGE_ATTEMPTS - 1):
            try:
                return await self._read_once(params)
            except StorageError:
                if not self._pages_read:
                    raise
            await asyncio.sleep(RETRY_DELAY_S)
        return await self._read_once(params)

    async def _read_once(self, params: dict[str, str]) -> TablePage:
        page = await self._read_page(params)
        self._pages_read += 1
        return page


__all__ = ('PageReader', 'TablePage', 'TableScan')
