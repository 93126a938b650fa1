"""Rows, writes and pages of the platform's table."""

from typing import Any, NamedTuple

#: A row's content: JSON values under string names.
Document = dict[str, Any]

#: The version that a write expects of a row that must not exist yet.
ABSENT = 0


class Row(NamedTuple):
    """One row as read.

    :param version: grows with each write and is never used twice.
    :param operation_id: the id of the write that made this version.
    """

    key: str
    version: int
    document: Document
    operation_id: str


class Write(NamedTuple):
    """One conditional write; no document means that the row is deleted."""

    key: str
    expected_version: int
    document: Document | None


class Check(NamedTuple):
    """A row that must still have this version for a transaction to apply."""

    key: str
    version: int


class Transaction(NamedTuple):
    """Writes that apply together or not at all.

    :param operation_id: unique to this intent; kept in each written row.
    """

    operation_id: str
    writes: tuple[Write, ...]
    checks: tuple[Check, ...] = ()


class Page(NamedTuple):
    """Rows in key order; ``after`` asks for the next page when not empty."""

    rows: tuple[Row, ...]
    after: str


__all__ = (
    'ABSENT',
    'Check',
    'Document',
    'Page',
    'Row',
    'Transaction',
    'Write',
)
