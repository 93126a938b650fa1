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

#: How often a lost reply is looked into before the caller is told so.
READ_BACK_ATTEMPTS = 4

#: The first wait between two looks, in seconds; it doubles each time.
READ_BACK_DELAY_S = 0.05


class Committer:
    """Write transactions so that each is known to have applied once.

    :param table: the platform's table.
    :param clock: the clock of the waits between two looks.
    :param rate_limiter: bounds the writes; without one they pass at once.
    """

    def __init__(
        self,
        *,
        table: Table,
        clock: Clock,
        rate_limiter: WriteRateLimiter | None = None,
    ) -> None:
        """Keep the table and the clock."""
        self._rate_limiter = rate_limiter
        self._table = table
        self._clock = clock

    async def commit(
        self,
        writes: Sequence[Write],
        checks: Sequence[Check] = (),
    ) -> dict[str, int]:
        """Apply the writes and return the new versions by key.

        A repeat carries the same operation id and the same expected
        versions, so the first try landing late makes the repeat conflict
        with its own id, which counts as done.

        :raises ConflictError: if another writer was first.
        :raises NotSentError: if nothing was written.
        :raises ReplyLostError: if the effect could not be learnt.
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
        metrics.replies_lost.add(1)
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
        """Return the versions if applied; else repeat the same intent."""
        versions = await self._applied(transaction)
        if versions is not None:
            return versions
        try:
            return await self._table.transact(transaction)
        except ConflictError:
            # The first try may have landed between the look and the repeat.
            versions = await self._applied(transaction)
            if versions is None:
                raise
            return versions

    async def _applied(self, transaction: Transaction) -> dict[str, int] | None:
        """Return the new versions if this transaction has been applied.

        A row written again since would hide the id, so each write of a
        transaction names at least one row that only its holder rewrites.
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
