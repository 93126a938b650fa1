"""A store of rows in memory, with the faults that a real one shows."""

import asyncio
from collections.abc import Sequence
from typing import Final

from curranthill.clock import Clock, wait_at_most
from curranthill.errors import NotSentError, ReplyLostError
from curranthill.storage.rows import (
    HistoryLostError,
    RowChanges,
    RowCheck,
    RowConflictError,
    RowPut,
    RowRemoval,
    StoredRow,
)
from curranthill.tasks import tables

#: What a commit takes in its partition, in seconds.
COMMIT_S: Final = 0.005

#: When a caller gives up on an answer, in seconds.
CLIENT_TIMEOUT_S: Final = 0.7

#: How soon a client gives up what it asked while the store was away once it is
#: back, in seconds: the interval at which a host tries a store that is away.
RETURN_NOTICE_S: Final = 0.2

#: How often a waiting feed looks for news, in seconds.
FEED_POLL_S: Final = 0.005


class RowStoreModel:
    """The rows and their history.

    :param unresponsive_hosts: hosts that get no answer; ``*`` stands for all.
    :param refused_hosts: hosts whose calls are refused; ``*`` stands for all.
    :param refused_partitions: partitions whose commits are refused.
    :param lost_replies: how many of the next commits apply without an answer.
    :param late_commits: how many of the next commits apply ``late_s`` later.
    :param commit_s: what a commit takes; those of one partition take turns.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Start empty and without faults."""
        self.clock = clock
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.unresponsive_hosts: set[str] = set()
        self.refused_hosts: set[str] = set()
        self.refused_partitions: set[str] = set()
        self.lost_replies = 0
        self.late_commits = 0
        self.late_s = 2.0
        self.commits = 0
        self.commit_s = COMMIT_S
        self._turns: dict[str, asyncio.Lock] = {}
        self._version = 0
        self._history: list[StoredRow] = []
        self._oldest = 0
        self._late: set[asyncio.Task[None]] = set()

    def client(self, host: str) -> 'RowStoreClient':
        """Return the store as one host reaches it."""
        return RowStoreClient(model=self, host=host)

    def truncate_history(self) -> None:
        """Drop all history, so that feeds must read again."""
        self._history.clear()
        self._oldest = self._version

    def apply(
        self,
        checks: Sequence[RowCheck],
        puts: Sequence[RowPut],
        removals: Sequence[RowRemoval],
    ) -> int:
        """Apply all or nothing and return the new version."""
        _partition_of_all(checks, puts, removals)
        names = [(check.table, check.key) for check in checks]
        for check in checks:
            row = self.rows.get((check.table, check.key))
            version = row.version if row else 0
            if version != check.version:
                raise RowConflictError(
                    'A row has another version.',
                    step='commit',
                    rows=tuple(
                        self.rows[name] for name in names if name in self.rows
                    ),
                )
        self.commits += 1
        self._version += 1
        for put in puts:
            self._note(
                StoredRow(put.table, put.key, put.content, self._version)
            )
        for one in removals:
            if (one.table, one.key) in self.rows:
                self._note(
                    StoredRow(one.table, one.key, b'', self._version, True),
                )
        return self._version

    def scan(self, table: str) -> RowChanges:
        """Return a table's rows in the order of their keys."""
        rows = [row for name, row in self.rows.items() if name[0] == table]
        rows.sort(key=lambda row: row.key)
        return RowChanges(tuple(rows), self._version)

    def changes(self, table: str, after: int) -> RowChanges:
        """Return what changed since a version."""
        if after < self._oldest:
            raise HistoryLostError('The history is gone.', step='changes')
        rows = [
            row
            for row in self._history
            if row.table == table and row.version > after
        ]
        return RowChanges(tuple(rows), self._version)

    async def apply_in_turn(
        self,
        checks: Sequence[RowCheck],
        puts: Sequence[RowPut],
        removals: Sequence[RowRemoval],
    ) -> int:
        """Apply a commit after those before it in its partition."""
        partition = _partition_of_all(checks, puts, removals)
        async with self._turns.setdefault(partition, asyncio.Lock()):
            await self.clock.sleep(self.commit_s)
            return self.apply(checks, puts, removals)

    def apply_late(
        self,
        checks: Sequence[RowCheck],
        puts: Sequence[RowPut],
        removals: Sequence[RowRemoval],
    ) -> None:
        """Apply a commit some seconds on, if its checks hold then."""

        async def apply() -> None:
            await self.clock.sleep(self.late_s)
            try:
                self.apply(checks, puts, removals)
            except RowConflictError:
                return

        task = asyncio.ensure_future(apply())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    def _note(self, row: StoredRow) -> None:
        self._history.append(row)
        if row.removed:
            self.rows.pop((row.table, row.key))
        else:
            self.rows[(row.table, row.key)] = row


class RowStoreClient:
    """A :class:`RowStore` over a model, with the model's faults."""

    def __init__(self, *, model: RowStoreModel, host: str) -> None:
        """Keep whose calls these are."""
        self._model = model
        self._host = host

    async def commit(
        self,
        *,
        checks: Sequence[RowCheck] = (),
        puts: Sequence[RowPut] = (),
        removals: Sequence[RowRemoval] = (),
    ) -> int:
        """Apply all or nothing and return the new version."""
        await self._pass('commit')
        partition = _partition_of_all(checks, puts, removals)
        if partition in self._model.refused_partitions:
            raise NotSentError('Refused.', step='commit', peer='rows')
        if self._model.late_commits:
            self._model.late_commits -= 1
            self._model.apply_late(checks, puts, removals)
            await self._give_up('commit')
        # A commit takes effect in its turn, also when its caller gave up.
        turn = asyncio.ensure_future(
            self._model.apply_in_turn(checks, puts, removals),
        )
        turn.add_done_callback(_forget_error)
        if not await wait_at_most(
            turn,
            timeout_s=CLIENT_TIMEOUT_S,
            clock=self._model.clock,
        ):
            raise ReplyLostError('Too slow.', step='commit', peer='rows')
        version = turn.result()
        if self._model.lost_replies:
            self._model.lost_replies -= 1
            await self._give_up('commit')
        return version

    async def read(self, table: str, key: str) -> StoredRow | None:
        """Return one row or nothing."""
        await self._pass('read')
        return self._model.rows.get((table, key))

    async def scan(self, table: str) -> RowChanges:
        """Return all rows of a table."""
        await self._pass('scan')
        return self._model.scan(table)

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> RowChanges:
        """Return changes past a version, waiting for the first one."""
        until_s = self._model.clock.monotonic_s() + wait_s
        while True:
            await self._pass('changes')
            changes = self._model.changes(table, after)
            if changes.rows or self._model.clock.monotonic_s() >= until_s:
                return changes
            await self._model.clock.sleep(FEED_POLL_S)

    async def _pass(self, step: str) -> None:
        """Fail as the faults say."""
        if self._is_in(self._model.refused_hosts):
            raise NotSentError('Refused.', step=step, peer='rows')
        if self._is_in(self._model.unresponsive_hosts):
            await self._hang(step)

    async def _hang(self, step: str) -> None:
        """Wait for an answer until it is late, or the store is back."""
        until_s = self._model.clock.monotonic_s() + CLIENT_TIMEOUT_S
        while self._model.clock.monotonic_s() < until_s:
            await self._model.clock.sleep(RETURN_NOTICE_S)
            if not self._is_in(self._model.unresponsive_hosts):
                break
        raise ReplyLostError('No answer.', step=step, peer='rows')

    async def _give_up(self, step: str) -> None:
        await self._model.clock.sleep(CLIENT_TIMEOUT_S)
        raise ReplyLostError('No answer.', step=step, peer='rows')

    def _is_in(self, hosts: set[str]) -> bool:
        return '*' in hosts or self._host in hosts


def _partition_of_all(
    checks: Sequence[RowCheck],
    puts: Sequence[RowPut],
    removals: Sequence[RowRemoval],
) -> str:
    """Return the one partition of a commit's rows.

    :raises ValueError: if there are several.
    """
    names = [(one.table, one.key) for one in checks]
    names.extend((one.table, one.key) for one in puts)
    names.extend((one.table, one.key) for one in removals)
    partitions = {tables.partition_of(table, key) for table, key in names}
    if len(partitions) > 1:
        raise ValueError(f'One commit over {sorted(partitions)}.')
    return partitions.pop() if partitions else ''


def _forget_error(turn: asyncio.Future[int]) -> None:
    """Take note that nobody may wait for a commit's error any more."""
    if not turn.cancelled():
        turn.exception()


__all__ = ('RowStoreClient', 'RowStoreModel')
