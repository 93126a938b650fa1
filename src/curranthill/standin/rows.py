"""An in-memory row store with the faults of a real one."""

import asyncio
import base64
from collections.abc import Sequence
from typing import Final

from curranthill.clock import Clock, wait_at_most
from curranthill.errors import NotSentError, ReplyLostError
from curranthill.storage.limits import StoreLimits
from curranthill.storage.rows import (
    HistoryLostError,
    RowChanges,
    RowCheck,
    RowConflictError,
    RowPut,
    RowRemoval,
    StoredRow,
    StoreRejectedError,
)
from curranthill.tasks import tables

#: How long a commit occupies its partition, in seconds.
COMMIT_S: Final = 0.005

#: The bytes of a commit beside its names and contents, for each entry.
ENTRY_OVERHEAD_BYTES: Final = 64

#: How long a client waits for a response, in seconds.
CLIENT_TIMEOUT_S: Final = 0.7

#: How often a client without a response checks whether the store is back, in
#: seconds. It then abandons the call, as a host does, which probes an
#: unavailable store at this interval.
RECOVERY_POLL_S: Final = 0.2

#: How often a waiting feed checks for changes, in seconds.
FEED_POLL_S: Final = 0.005


class RowStoreModel:
    """The rows of all tables, their change history and the injected faults.

    :param rows: the current rows by table and key.
    :param unresponsive_hosts: hosts that get no response; ``*`` means all.
    :param refused_hosts: hosts whose calls are refused; ``*`` means all.
    :param refused_partitions: partitions whose commits are refused.
    :param lost_replies: how many of the next commits take effect without a
        response.
    :param late_commits: how many of the next commits get no response and take
        effect ``late_s`` seconds later.
    :param limits: what the store accepts.
    :param commits: how many commits were applied.
    :param rejected: how many commits were rejected for their content.
    :param commit_s: how long a commit takes, in seconds; the commits of one
        partition are applied sequentially.
    """

    def __init__(
        self, *, clock: Clock, limits: StoreLimits | None = None
    ) -> None:
        """Initialize an empty store without faults."""
        self.clock = clock
        self.limits = limits or StoreLimits()
        self.rejected = 0
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.unresponsive_hosts: set[str] = set()
        self.refused_hosts: set[str] = set()
        self.refused_partitions: set[str] = set()
        self.lost_replies = 0
        self.late_commits = 0
        self.late_s = 2.0
        self.commits = 0
        self.commit_s = COMMIT_S
        self._partition_locks: dict[str, asyncio.Lock] = {}
        self._version = 0
        self._history: list[StoredRow] = []
        self._oldest_version = 0
        self._background: set[asyncio.Task[None]] = set()

    def client(self, host: str) -> 'RowStoreClient':
        """Return a client for one host."""
        return RowStoreClient(model=self, host=host)

    def truncate_history(self) -> None:
        """Drop the change history, so that feeds must read all rows again."""
        self._history.clear()
        self._oldest_version = self._version

    def apply(
        self,
        checks: Sequence[RowCheck],
        puts: Sequence[RowPut],
        removals: Sequence[RowRemoval],
    ) -> int:
        """Apply all changes or none and return the new version.

        :raises RowConflictError: if a check failed.
        :raises StoreRejectedError: if the commit exceeds a limit.
        :raises ValueError: if the rows belong to several partitions.
        """
        _common_partition(checks, puts, removals)
        excess = _excess(self.limits, checks, puts, removals)
        if excess:
            self.rejected += 1
            raise StoreRejectedError(excess, step='commit', peer='rows')
        row_ids = [(check.table, check.key) for check in checks]
        for check in checks:
            row = self.rows.get((check.table, check.key))
            version = row.version if row else 0
            if version != check.version:
                raise RowConflictError(
                    'A row has another version than expected.',
                    step='commit',
                    rows=tuple(
                        self.rows[row_id]
                        for row_id in row_ids
                        if row_id in self.rows
                    ),
                )
        self.commits += 1
        self._version += 1
        for put in puts:
            self._record(
                StoredRow(put.table, put.key, put.content, self._version)
            )
        for removal in removals:
            if (removal.table, removal.key) in self.rows:
                self._record(
                    StoredRow(
                        removal.table,
                        removal.key,
                        b'',
                        self._version,
                        True,
                    ),
                )
        return self._version

    def scan(self, table: str) -> RowChanges:
        """Return a table's rows in the order of their keys."""
        rows = [row for row_id, row in self.rows.items() if row_id[0] == table]
        rows.sort(key=lambda row: row.key)
        return RowChanges(tuple(rows), self._version)

    def changes(self, table: str, after: int) -> RowChanges:
        """Return a table's changes after a version.

        :raises HistoryLostError: if the history no longer reaches so far back.
        """
        if after < self._oldest_version:
            raise HistoryLostError(
                'The history no longer reaches so far back.',
                step='changes',
            )
        rows = [
            row
            for row in self._history
            if row.table == table and row.version > after
        ]
        return RowChanges(tuple(rows), self._version)

    async def apply_in_order(
        self,
        checks: Sequence[RowCheck],
        puts: Sequence[RowPut],
        removals: Sequence[RowRemoval],
    ) -> int:
        """Apply a commit after the earlier ones of its partition."""
        partition = _common_partition(checks, puts, removals)
        async with self._partition_locks.setdefault(partition, asyncio.Lock()):
            await self.clock.sleep(self.commit_s)
            return self.apply(checks, puts, removals)

    def apply_late(
        self,
        checks: Sequence[RowCheck],
        puts: Sequence[RowPut],
        removals: Sequence[RowRemoval],
    ) -> None:
        """Apply a commit ``late_s`` seconds later, if its checks hold then."""

        async def apply() -> None:
            await self.clock.sleep(self.late_s)
            try:
                self.apply(checks, puts, removals)
            except (RowConflictError, StoreRejectedError):
                return

        task = asyncio.ensure_future(apply())
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _record(self, row: StoredRow) -> None:
        self._history.append(row)
        if row.removed:
            self.rows.pop((row.table, row.key))
        else:
            self.rows[(row.table, row.key)] = row


class RowStoreClient:
    """A :class:`RowStore` client of one host, with the model's faults."""

    def __init__(self, *, model: RowStoreModel, host: str) -> None:
        """Initialize the client of a host."""
        self._model = model
        self._host = host

    async def commit(
        self,
        *,
        checks: Sequence[RowCheck] = (),
        puts: Sequence[RowPut] = (),
        removals: Sequence[RowRemoval] = (),
    ) -> int:
        """Apply all changes or none and return the new version."""
        await self._check_reachable('commit')
        partition = _common_partition(checks, puts, removals)
        if partition in self._model.refused_partitions:
            raise NotSentError(
                'The store refused the commit.',
                step='commit',
                peer='rows',
            )
        if self._model.late_commits:
            self._model.late_commits -= 1
            self._model.apply_late(checks, puts, removals)
            await self._time_out('commit')
        # A commit takes effect in order even if its client has timed out.
        commit = asyncio.ensure_future(
            self._model.apply_in_order(checks, puts, removals),
        )
        commit.add_done_callback(_retrieve_error)
        if not await wait_at_most(
            commit,
            timeout_s=CLIENT_TIMEOUT_S,
            clock=self._model.clock,
        ):
            raise ReplyLostError(
                'The commit timed out.',
                step='commit',
                peer='rows',
            )
        version = commit.result()
        if self._model.lost_replies:
            self._model.lost_replies -= 1
            await self._time_out('commit')
        return version

    async def read(self, table: str, key: str) -> StoredRow | None:
        """Return a row, or nothing if there is none."""
        await self._check_reachable('read')
        return self._model.rows.get((table, key))

    async def scan(self, table: str) -> RowChanges:
        """Return all rows of a table."""
        await self._check_reachable('scan')
        return self._model.scan(table)

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> RowChanges:
        """Return changes after a version, waiting for the first one."""
        deadline_s = self._model.clock.monotonic_s() + wait_s
        while True:
            await self._check_reachable('changes')
            changes = self._model.changes(table, after)
            if changes.rows or self._model.clock.monotonic_s() >= deadline_s:
                return changes
            await self._model.clock.sleep(FEED_POLL_S)

    async def _check_reachable(self, step: str) -> None:
        """Fail the call if a fault affects this host."""
        if self._includes_host(self._model.refused_hosts):
            raise NotSentError(
                'The store refused the call.',
                step=step,
                peer='rows',
            )
        if self._includes_host(self._model.unresponsive_hosts):
            await self._wait_unresponsive(step)

    async def _wait_unresponsive(self, step: str) -> None:
        """Wait until the client times out or the store is back, then fail."""
        deadline_s = self._model.clock.monotonic_s() + CLIENT_TIMEOUT_S
        while self._model.clock.monotonic_s() < deadline_s:
            await self._model.clock.sleep(RECOVERY_POLL_S)
            if not self._includes_host(self._model.unresponsive_hosts):
                break
        raise ReplyLostError(
            'The store did not respond.',
            step=step,
            peer='rows',
        )

    async def _time_out(self, step: str) -> None:
        await self._model.clock.sleep(CLIENT_TIMEOUT_S)
        raise ReplyLostError(
            'The store did not respond.',
            step=step,
            peer='rows',
        )

    def _includes_host(self, hosts: set[str]) -> bool:
        return '*' in hosts or self._host in hosts


def _common_partition(
    checks: Sequence[RowCheck],
    puts: Sequence[RowPut],
    removals: Sequence[RowRemoval],
) -> str:
    """Return the partition of a commit's rows, empty without rows.

    :raises ValueError: if the rows belong to several partitions.
    """
    row_ids = [(check.table, check.key) for check in checks]
    row_ids.extend((put.table, put.key) for put in puts)
    row_ids.extend((removal.table, removal.key) for removal in removals)
    partitions = {tables.partition_of(table, key) for table, key in row_ids}
    if len(partitions) > 1:
        raise ValueError(f'A commit spans partitions {sorted(partitions)}.')
    return partitions.pop() if partitions else ''


def _excess(
    limits: StoreLimits,
    checks: Sequence[RowCheck],
    puts: Sequence[RowPut],
    removals: Sequence[RowRemoval],
) -> str:
    """Return which limit a commit exceeds, as a sentence; empty if none.

    Rows of others, such as a large configuration, are not limited.
    """
    entries: tuple[RowCheck | RowPut | RowRemoval, ...]
    entries = (*checks, *puts, *removals)
    if len(entries) > limits.commit_entries:
        return f'The commit has {len(entries)} entries.'
    for entry in entries:
        longest = max(len(entry.table.encode()), len(entry.key.encode()))
        if longest > limits.name_bytes:
            return f'The name {entry.key} is too long.'
    puts = [put for put in puts if put.table in tables.HOST_TABLES]
    for put in puts:
        if len(put.content) > limits.row_bytes:
            return f'Row {put.key} has {len(put.content)} bytes.'
    encoded = sum(len(base64.b64encode(put.content)) for put in puts)
    names = sum(len(entry.table) + len(entry.key) for entry in entries)
    size = encoded + names + ENTRY_OVERHEAD_BYTES * len(entries)
    if size > limits.commit_bytes:
        return f'The commit has {size} bytes.'
    return ''


def _retrieve_error(commit: asyncio.Future[int]) -> None:
    """Mark a commit's error as retrieved, as its client may have timed out."""
    if not commit.cancelled():
        commit.exception()


__all__ = ('ENTRY_OVERHEAD_BYTES', 'RowStoreClient', 'RowStoreModel')
