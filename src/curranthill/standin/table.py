"""The table of the platform's stand-in: rows, versions and a rate bound."""

from bisect import bisect_right, insort
from typing import Any

from curranthill.clock import Clock
from curranthill.errors import ConflictError, NotSentError
from curranthill.storage.records import Page, Row, Transaction


class RateBound:
    """Allow a number of calls a second, with a burst of one second."""

    def __init__(self, *, clock: Clock, per_s: float) -> None:
        """Start with a full second's allowance."""
        self._clock = clock
        self._per_s = per_s
        self._left = per_s
        self._at_s = clock.monotonic_s()

    def take(self) -> bool:
        """Return whether one more call is allowed now."""
        now_s = self._clock.monotonic_s()
        gained = (now_s - self._at_s) * self._per_s
        self._left = min(self._per_s, self._left + gained)
        self._at_s = now_s
        if self._left < 1:
            return False
        self._left -= 1
        return True


class TableModel:
    """Rows in key order, changed only by conditional transactions.

    :param writes_per_s: transactions allowed a second.
    :param reads_per_s: reads and scans allowed a second.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        writes_per_s: float,
        reads_per_s: float,
    ) -> None:
        """Start empty."""
        self.write_count = 0
        self.read_count = 0
        self._writes = RateBound(clock=clock, per_s=writes_per_s)
        self._reads = RateBound(clock=clock, per_s=reads_per_s)
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._last_version = 0

    def read(self, key: str) -> Row | None:
        """Return one row or nothing."""
        self._count_read()
        return self._rows.get(key)

    def scan(self, prefix: str, after: str, limit: int) -> Page:
        """Return one page of rows under a prefix."""
        self._count_read()
        start = bisect_right(self._keys, max(prefix, after))
        if prefix in self._rows and not after:
            start -= 1
        rows: list[Row] = []
        for key in self._keys[start : start + limit]:
            if not key.startswith(prefix):
                return Page(rows=tuple(rows), after='')
            rows.append(self._rows[key])
        last = rows[-1].key if len(rows) == limit else ''
        return Page(rows=tuple(rows), after=last)

    def transact(self, transaction: Transaction) -> dict[str, int]:
        """Apply all writes or none."""
        if not self._writes.take():
            raise NotSentError('Too many writes.', step='transact')
        self.write_count += 1
        self._refuse_conflicts(transaction)
        versions: dict[str, int] = {}
        for write in transaction.writes:
            versions[write.key] = self._apply(
                write.key,
                write.document,
                transaction.operation_id,
            )
        return versions

    def _count_read(self) -> None:
        if not self._reads.take():
            raise NotSentError('Too many reads.', step='read')
        self.read_count += 1

    def _refuse_conflicts(self, transaction: Transaction) -> None:
        expected = {
            write.key: write.expected_version for write in transaction.writes
        }
        expected.update(dict(transaction.checks))
        conflicts = [
            key
            for key, version in expected.items()
            if self._version(key) != version
        ]
        if conflicts:
            raise ConflictError(
                'Another write was first.',
                step='transact',
                peer=','.join(conflicts),
            )

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else 0

    def _apply(
        self,
        key: str,
        document: dict[str, Any] | None,
        operation_id: str,
    ) -> int:
        if document is None:
            if self._rows.pop(key, None) is not None:
                self._keys.remove(key)
            return 0
        if key not in self._rows:
            insort(self._keys, key)
        self._last_version += 1
        self._rows[key] = Row(
            key=key,
            version=self._last_version,
            document=document,
            operation_id=operation_id,
        )
        return self._last_version


__all__ = ('RateBound', 'TableModel')
