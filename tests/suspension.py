"""A host that is suspended: its clock, and its calls.

Nothing of a suspended host runs. Its timers stand still meanwhile; a clock
that counts the time suspended goes on, a steady one does not.
"""

import asyncio
from collections.abc import Sequence

from curranthill.dispatch import LeaseOrder, LeaseReport, StartOrder, TaskWorker
from curranthill.dispatch.leadership import LeaderRow
from curranthill.storage.rows import (
    RowChanges,
    RowCheck,
    RowPut,
    RowRemoval,
    RowStore,
    StoredRow,
)
from curranthill.tasks import TaskKey, decode, tables
from tests.support import ManualClock

#: What is left of a timer that counts as over, in seconds.
OVER_S = 1e-9


class HostClock:
    """The clock of one host.

    :param counts_suspension: whether readings go on while it is suspended.
    """

    def __init__(self, *, clock: ManualClock) -> None:
        """Run with the others."""
        self.counts_suspension = True
        self._clock = clock
        self._away_s = 0.0
        self._suspended_s = 0.0
        self._awake = asyncio.Event()
        self._awake.set()

    @property
    def suspended(self) -> bool:
        """Return whether nothing of this host runs."""
        return not self._awake.is_set()

    def suspend(self) -> None:
        """Stand still from now on."""
        self._suspended_s = self._clock.monotonic_s()
        self._awake.clear()

    def resume(self) -> None:
        """Go on."""
        self._away_s += self._clock.monotonic_s() - self._suspended_s
        self._awake.set()

    def true_s(self) -> float:
        """Return the time that passes for everybody."""
        return self._clock.monotonic_s()

    def monotonic_s(self) -> float:
        """Return the reading that the host's parts go by."""
        now_s = self._clock.monotonic_s()
        return now_s if self.counts_suspension else now_s - self._gone_s()

    def wall_s(self) -> float:
        """Return the time of day."""
        return self._clock.wall_s()

    async def sleep(self, delay_s: float) -> None:
        """Wait on a timer, which stands still while the host does."""
        left_s = max(0.0, delay_s)
        while True:
            began_s = self._ticks_s()
            await self._clock.sleep(left_s)
            await self.awake()
            left_s -= self._ticks_s() - began_s
            if left_s <= OVER_S:
                return

    async def awake(self) -> None:
        """Return while the host is not suspended."""
        while self.suspended:
            await self._awake.wait()

    def _ticks_s(self) -> float:
        return self._clock.monotonic_s() - self._gone_s()

    def _gone_s(self) -> float:
        if not self.suspended:
            return self._away_s
        return self._away_s + self._clock.monotonic_s() - self._suspended_s


class HostStore:
    """The store as a host calls it that may be suspended.

    :param led_s: when this host sent its writes as a leader, by epoch; only
        those that it knows to be done.
    """

    def __init__(self, *, store: RowStore, clock: HostClock) -> None:
        """Keep the store."""
        self.led_s: dict[int, list[float]] = {}
        self._store = store
        self._clock = clock

    async def commit(
        self,
        *,
        checks: Sequence[RowCheck] = (),
        puts: Sequence[RowPut] = (),
        removals: Sequence[RowRemoval] = (),
    ) -> int:
        """Write; the answer is read once the host is awake."""
        await self._clock.awake()
        sent_s = self._clock.true_s()
        try:
            version = await self._store.commit(
                checks=checks,
                puts=puts,
                removals=removals,
            )
        finally:
            await self._clock.awake()
        for put in puts:
            if (put.table, put.key) == (tables.LEADER, tables.LEADER_KEY):
                epoch = decode(put.content, LeaderRow).epoch
                self.led_s.setdefault(epoch, []).append(sent_s)
        return version

    async def read(self, table: str, key: str) -> StoredRow | None:
        """Read one row."""
        await self._clock.awake()
        try:
            return await self._store.read(table, key)
        finally:
            await self._clock.awake()

    async def scan(self, table: str) -> RowChanges:
        """Read a table."""
        await self._clock.awake()
        try:
            return await self._store.scan(table)
        finally:
            await self._clock.awake()

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> RowChanges:
        """Read a feed."""
        await self._clock.awake()
        try:
            return await self._store.changes(table, after, wait_s)
        finally:
            await self._clock.awake()


class Order:
    """One order that a host sent.

    :param sent_s: when it was sent.
    :param kind: ``start``, ``stop`` or ``renew``.
    :param token: its fencing token.
    """

    def __init__(self, *, sent_s: float, kind: str, token: int) -> None:
        """Keep the fields."""
        self.sent_s = sent_s
        self.kind = kind
        self.token = token


class OrderedWorker:
    """A worker as a host calls it that may be suspended.

    :param orders: every order that was sent, in order.
    """

    def __init__(
        self,
        *,
        worker: TaskWorker,
        clock: HostClock,
        orders: list[Order],
    ) -> None:
        """Keep the worker."""
        self._worker = worker
        self._clock = clock
        self._orders = orders

    async def start(self, order: StartOrder) -> float:
        """Start a task."""
        await self._send('start', order.token)
        try:
            return await self._worker.start(order)
        finally:
            await self._clock.awake()

    async def stop(self, task: TaskKey, attempt: int, token: int) -> float:
        """Stop a run."""
        await self._send('stop', token)
        try:
            return await self._worker.stop(task, attempt, token)
        finally:
            await self._clock.awake()

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Renew the lease."""
        await self._send('renew', order.token)
        try:
            return await self._worker.renew(order)
        finally:
            await self._clock.awake()

    async def _send(self, kind: str, token: int) -> None:
        await self._clock.awake()
        sent_s = self._clock.true_s()
        self._orders.append(Order(sent_s=sent_s, kind=kind, token=token))


__all__ = ('HostClock', 'HostStore', 'Order', 'OrderedWorker')
