"""Tells when a store that was away is back, so that nobody waits longer.

Answers the seconds after an outage: calls under way when the store returned
would have to time out before their callers try again.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from curranthill.clock import Clock

#: A store that has answered nothing for so long counts as away, in seconds:
#: above the 0.3 s that the slowest answers seen take.
OUTAGE_AFTER_S: Final = 0.6


class StoreOutage:
    """Whether the store is away, as told by all calls of this host."""

    def __init__(self, *, clock: Clock) -> None:
        """Start as away, until the first answer."""
        self._clock = clock
        self._answered_s = -OUTAGE_AFTER_S
        self._failed = False
        self._back = asyncio.Event()
        self._callbacks: list[Callable[[], None]] = []

    def on_end(self, callback: Callable[[], None]) -> None:
        """Have a callback called at the end of each absence."""
        self._callbacks.append(callback)

    @property
    def is_ongoing(self) -> bool:
        """Return whether calls have failed, and none was answered of late."""
        silent_s = self._clock.monotonic_s() - self._answered_s
        return self._failed and silent_s >= OUTAGE_AFTER_S

    def record_failure(self) -> None:
        """Take note of a call that failed."""
        self._failed = True

    def record_reply(self) -> None:
        """Take note of an answer; one that ends an absence is told to all."""
        was_away = self.is_ongoing
        self._failed = False
        self._answered_s = self._clock.monotonic_s()
        if was_away:
            back = self._back
            self._back = asyncio.Event()
            back.set()
            for callback in self._callbacks:
                callback()

    async def wait_for_end(self) -> None:
        """Return when the next absence ends."""
        await self._back.wait()


__all__ = ('StoreOutage',)
