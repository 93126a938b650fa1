"""Interface of the store of versioned rows that diskless hosts share.

Rows are grouped in named tables. A commit is conditional on versions and atomic
across tables; a feed delivers changes in the order of their versions.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from curranthill.errors import ConflictError, CurranthillError, StorageError


class StoredRow(NamedTuple):
    """A row as read.

    :param version: increases with each commit to the store.
    :param removed: whether a feed reports that the row was removed.
    """

    table: str
    key: str
    content: bytes
    version: int
    removed: bool = False


class RowCheck(NamedTuple):
    """A precondition: the version of a row, or 0 if it must not exist."""

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
    """Rows in order, and the version from which a feed resumes."""

    rows: tuple[StoredRow, ...]
    version: int


class RowConflictError(ConflictError):
    """A precondition of a commit failed; nothing was written.

    :param rows: the checked rows as they are now; absent ones are omitted.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        rows: tuple[StoredRow, ...],
        peer: str = '',
    ) -> None:
        """Initialize with the current rows."""
        super().__init__(message, step=step, peer=peer)
        self.rows = rows


class StoreRejectedError(StorageError):
    """The store rejects a call for its content; repeating it cannot succeed."""


class MalformedRecordError(CurranthillError):
    """A stored or received record violates its specified format."""


class HistoryLostError(StorageError):
    """The feed no longer has the requested versions; read the table again."""


class RowStore(Protocol):
    """The store; any method may raise any storage error."""

    async def commit(
        self,
        *,
        checks: Sequence[RowCheck] = (),
        puts: Sequence[RowPut] = (),
        removals: Sequence[RowRemoval] = (),
    ) -> int:
        """Apply all changes or none and return the new version.

        :raises RowConflictError: if a check failed.
        :raises NotSentError: if nothing was written.
        :raises StoreRejectedError: if nothing was written and the same commit
            can never be applied, as with a row that is too large.
        :raises ReplyLostError: if the effect is unknown; the commit may still
            be applied seconds later.
        """

    async def read(self, table: str, key: str) -> StoredRow | None:
        """Return a row, or nothing if there is none."""

    async def scan(self, table: str) -> RowChanges:
        """Return all rows of a table, and the version to follow it from."""

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> RowChanges:
        """Return changes after a version, waiting for the first one.

        :raises HistoryLostError: if the feed no longer has that version.
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
    'StoreRejectedError',
    'StoredRow',
)
