"""Detects outages of the store and notifies waiting callers when one ends.

Without it, calls in flight when the store comes back would have to time out
before their callers retry, which adds seconds to every outage.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from curranthill.clock import Clock

#: Seconds without a reply after which a store whose calls fail counts as
#: unavailable; above the 0.3 s that the slowest observed replies take.
OUTAGE_AFTER_S: Final = 0.6


class StoreOutage:
    """Tracks from the calls of this host whether the store is unavailable."""

    def __init__(self, *, clock: Clock) -> None:
        """Initialize without a reply: a first failed call is an outage."""
        self._clock = clock
        self._replied_s = -OUTAGE_AFTER_S
        self._failed = False
        self._ended = asyncio.Event()
        self._callbacks: list[Callable[[], None]] = []

    def on_end(self, callback: Callable[[], None]) -> None:
        """Register a callback to be called when an outage ends."""
        self._callbacks.append(callback)

    @property
    def is_ongoing(self) -> bool:
        """Return whether calls fail and there was no recent reply."""
        since_reply_s = self._clock.monotonic_s() - self._replied_s
        return self._failed and since_reply_s >= OUTAGE_AFTER_S

    def record_failure(self) -> None:
        """Record a failed call."""
        self._failed = True

    def record_reply(self) -> None:
        """Record a reply; if it ends an outage, wake waiters and callbacks."""
        was_ongoing = self.is_ongoing
        self._failed = False
        self._replied_s = self._clock.monotonic_s()
        if was_ongoing:
            ended = self._ended
            self._ended = asyncio.Event()
            ended.set()
            for callback in self._callbacks:
                callback()

    async def wait_for_end(self) -> None:
        """Return when the next outage ends."""
        await self._ended.wait()


__all__ = ('StoreOutage',)
