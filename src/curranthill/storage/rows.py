"""The store of versioned rows that hosts without disks share.

Rows lie in named tables. A commit is conditional on versions and atomic over
tables; a feed hands on changes in the order of their versions.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from curranthill.errors import ConflictError, CurranthillError, StorageError


class StoredRow(NamedTuple):
    """One row as read.

    :param version: grows with each commit of the whole store.
    :param removed: set in a feed for a row that was removed.
    """

    table: str
    key: str
    content: bytes
    version: int
    removed: bool = False


class RowCheck(NamedTuple):
    """A row that must have this version; 0 means that it must not exist."""

    table: str
    key: str
    version: int


class RowPut(NamedTuple):
    """A row to write."""

    table: str
    key: str
    content: bytes


class RowRemoval(NamedTuple):
    """A row to remove."""

    table: str
    key: str


class RowChanges(NamedTuple):
    """Rows in order, and the version to resume a feed from."""

    rows: tuple[StoredRow, ...]
    version: int


class RowConflictError(ConflictError):
    """A commit's condition failed; nothing was written.

    :param rows: the checked rows as they are now; absent ones are left out.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        rows: tuple[StoredRow, ...],
        peer: str = '',
    ) -> None:
        """Keep the rows that won."""
        super().__init__(message, step=step, peer=peer)
        self.rows = rows


class MalformedRecordError(CurranthillError):
    """A record that somebody else wrote is not as the platform says."""


class HistoryLostError(StorageError):
    """The feed no longer holds the asked versions; read the table again."""


class RowStore(Protocol):
    """The store; each method may raise any storage error."""

    async def commit(
        self,
        *,
        checks: Sequence[RowCheck] = (),
        puts: Sequence[RowPut] = (),
        removals: Sequence[RowRemoval] = (),
    ) -> int:
        """Apply all or nothing and return the new version.

        :raises RowConflictError: if a check failed.
        :raises NotSentError: if nothing was written.
        :raises ReplyLostError: if the effect is unknown, now or seconds on.
        """

    async def read(self, table: str, key: str) -> StoredRow | None:
        """Return one row or nothing."""

    async def scan(self, table: str) -> RowChanges:
        """Return all rows of a table; resume a feed from its version."""

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> RowChanges:
        """Return changes past a version, waiting for the first one.

        :raises HistoryLostError: if the versions are no longer known.
        """


__all__ = (
    'HistoryLostError',
    'MalformedRecordError',
    'RowChanges',
    'RowCheck',
    'RowConflictError',
    'RowPut',
    'RowRemoval',
    'RowStore',
    'StoredRow',
)
