"""The in-memory table of the simulated platform, with rate limits."""

from bisect import bisect_right, insort
from typing import Any

from curranthill.clock import Clock
from curranthill.errors import ConflictError, NotSentError
from curranthill.storage.records import Page, Row, Transaction


class RateLimiter:
    """A token bucket for calls; a burst may use one second's calls at once."""

    def __init__(self, *, clock: Clock, per_s: float) -> None:
        """Initialize with a full bucket."""
        self._clock = clock
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_at_s = clock.monotonic_s()

    def try_acquire(self) -> bool:
        """Take a token; return whether there was one."""
        now_s = self._clock.monotonic_s()
        refill = (now_s - self._refilled_at_s) * self._per_s
        self._tokens = min(self._per_s, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class TableModel:
    """A table of rows in key order, changed by conditional transactions.

    :param writes_per_s: transactions allowed per second.
    :param reads_per_s: reads and scans allowed per second.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        writes_per_s: float,
        reads_per_s: float,
    ) -> None:
        """Initialize an empty table."""
        self.write_count = 0
        self.read_count = 0
        self._write_limiter = RateLimiter(clock=clock, per_s=writes_per_s)
        self._read_limiter = RateLimiter(clock=clock, per_s=reads_per_s)
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._last_version = 0

    def read(self, key: str) -> Row | None:
        """Return a row, or nothing if there is none.

        :raises NotSentError: if reads exceed the rate limit.
        """
        self._count_read()
        return self._rows.get(key)

    def scan(self, prefix: str, after: str, limit: int) -> Page:
        """Return a page of the rows whose keys have a prefix.

        :param after: return only keys above this one, if not empty.
        :raises NotSentError: if reads exceed the rate limit.
        """
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
        """Apply all writes or none; return the new versions by key.

        :raises NotSentError: if transactions exceed the rate limit.
        :raises ConflictError: if a row has another version than expected;
            its ``peer`` lists the keys of these rows.
        """
        if not self._write_limiter.try_acquire():
            raise NotSentError('Too many writes.', step='transact')
        self.write_count += 1
        self._check_versions(transaction)
        versions: dict[str, int] = {}
        for write in transaction.writes:
            versions[write.key] = self._apply(
                write.key,
                write.document,
                transaction.operation_id,
            )
        return versions

    def _count_read(self) -> None:
        if not self._read_limiter.try_acquire():
            raise NotSentError('Too many reads.', step='read')
        self.read_count += 1

    def _check_versions(self, transaction: Transaction) -> None:
        expected = {
            write.key: write.expected_version for write in transaction.writes
        }
        expected.update(dict(transaction.checks))
        conflicts = [
            key
            for key, version in expected.items()
            if self._version_of(key) != version
        ]
        if conflicts:
            raise ConflictError(
                'Another write was first.',
                step='transact',
                peer=','.join(conflicts),
            )

    def _version_of(self, key: str) -> int:
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


__all__ = ('RateLimiter', 'TableModel')
