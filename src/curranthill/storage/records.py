"""Records of the platform's table: rows, writes, transactions and pages."""

from typing import Any, NamedTuple

#: The content of a row: JSON values by name.
Document = dict[str, Any]

#: The expected version of a row that must not exist yet.
ABSENT = 0


class Row(NamedTuple):
    """A row as read.

    :param version: increases with each write and is never reused.
    :param operation_id: the id of the write that made this version.
    """

    key: str
    version: int
    document: Document
    operation_id: str


class Write(NamedTuple):
    """A conditional write; without a document it deletes the row."""

    key: str
    expected_version: int
    document: Document | None


class Check(NamedTuple):
    """A precondition of a transaction: the version that a row must have."""

    key: str
    version: int


class Transaction(NamedTuple):
    """Writes that are applied together or not at all.

    :param operation_id: unique to this transaction; stored in each written row.
    """

    operation_id: str
    writes: tuple[Write, ...]
    checks: tuple[Check, ...] = ()


class Page(NamedTuple):
    """Rows in key order; ``after`` requests the next page, if not empty."""

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
