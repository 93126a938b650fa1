"""What a store of rows accepts, by default as the platform's does."""

from typing import Final, NamedTuple

#: The most bytes of a row's content.
MAX_ROW_BYTES: Final = 65_536

#: The most entries of a commit: checks, puts and removals together.
MAX_COMMIT_ENTRIES: Final = 100

#: The most bytes of a commit as it is sent.
MAX_COMMIT_BYTES: Final = 1_000_000

#: The most bytes of the name of a table, a partition or a row.
MAX_NAME_BYTES: Final = 200


class StoreLimits(NamedTuple):
    """The limits of one store.

    :param row_bytes: the most bytes of a row's content.
    :param commit_entries: the most checks, puts and removals of a commit.
    :param commit_bytes: the most bytes of a commit as it is sent.
    :param name_bytes: the most bytes of the name of a table or a row.
    """

    row_bytes: int = MAX_ROW_BYTES
    commit_entries: int = MAX_COMMIT_ENTRIES
    commit_bytes: int = MAX_COMMIT_BYTES
    name_bytes: int = MAX_NAME_BYTES


__all__ = (
    'MAX_COMMIT_BYTES',
    'MAX_COMMIT_ENTRIES',
    'MAX_NAME_BYTES',
    'MAX_ROW_BYTES',
    'StoreLimits',
)
