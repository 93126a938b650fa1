"""Conditional writes whose lost replies are resolved by reading back."""

import uuid
from collections.abc import Sequence

from curranthill.clock import Clock
from curranthill.errors import (
    ConflictError,
    NotSentError,
    ReplyLostError,
    StorageError,
)
from curranthill.storage.interface import Table
from curranthill.storage.rate_limit import WriteRateLimiter
from curranthill.storage.records import Check, Transaction, Write
from curranthill.telemetry.metrics import metrics

#: Number of attempts to resolve a lost reply before the caller gets the error.
READ_BACK_ATTEMPTS = 4

#: Delay before the first read-back, in seconds; it doubles each time.
READ_BACK_DELAY_S = 0.05


class Committer:
    """Commits transactions exactly once, even if a reply is lost.

    :param table: the platform's table.
    :param clock: the clock of the delays between read-backs.
    :param rate_limiter: limits the writes; without one they are not delayed.
    """

    def __init__(
        self,
        *,
        table: Table,
        clock: Clock,
        rate_limiter: WriteRateLimiter | None = None,
    ) -> None:
        """Initialize the committer, which keeps no state between commits."""
        self._rate_limiter = rate_limiter
        self._table = table
        self._clock = clock

    async def commit(
        self,
        writes: Sequence[Write],
        checks: Sequence[Check] = (),
    ) -> dict[str, int]:
        """Apply the writes and return the new versions by key.

        A retry carries the same operation id and the same expected versions.
        If the first attempt is applied late, the retry conflicts with a row
        that carries its own id, which counts as success.

        :raises ConflictError: if another writer was first.
        :raises NotSentError: if nothing was written.
        :raises ReplyLostError: if the effect could not be determined.
        """
        transaction = Transaction(
            operation_id=uuid.uuid4().hex,
            writes=tuple(writes),
            checks=tuple(checks),
        )
        if self._rate_limiter is not None:
            await self._rate_limiter.acquire()
        metrics.table_writes.add(1)
        try:
            return await self._table.transact(transaction)
        except ReplyLostError as lost:
            return await self._resolve(transaction, lost)

    async def _resolve(
        self,
        transaction: Transaction,
        lost: ReplyLostError,
    ) -> dict[str, int]:
        metrics.table_replies_lost.add(1)
        delay_s = READ_BACK_DELAY_S
        for _ in range(READ_BACK_ATTEMPTS):
            await self._clock.sleep(delay_s)
            delay_s *= 2
            try:
                versions = await self._read_back(transaction)
            except (NotSentError, ReplyLostError):
                continue
            if versions is not None:
                return versions
        raise lost

    async def _read_back(
        self,
        transaction: Transaction,
    ) -> dict[str, int] | None:
        """Return the new versions; retry the transaction if not applied."""
        versions = await self._applied(transaction)
        if versions is not None:
            return versions
        try:
            return await self._table.transact(transaction)
        except ConflictError:
            # The first attempt may be applied between read-back and retry.
            versions = await self._applied(transaction)
            if versions is None:
                raise
            return versions

    async def _applied(self, transaction: Transaction) -> dict[str, int] | None:
        """Return the new versions if this transaction has been applied.

        A row that was rewritten since no longer shows the operation id, so
        each transaction writes at least one row that only its owner rewrites.
        """
        versions: dict[str, int] = {}
        for write in transaction.writes:
            row = await self._table.read(write.key)
            if row is None and write.document is None:
                versions[write.key] = 0
            elif row and row.operation_id == transaction.operation_id:
                versions[write.key] = row.version
        if any(versions.values()):
            return versions
        return None


__all__ = ('Committer', 'StorageError')
