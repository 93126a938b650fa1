"""Time as an object, so that tests can move it."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """What the system asks of time."""

    def monotonic_s(self) -> float:
        """Return seconds that never run backwards."""

    def wall_s(self) -> float:
        """Return seconds since 1970, for records that people read."""

    async def sleep(self, delay_s: float) -> None:
        """Return after ``delay_s`` seconds of this clock."""


class SystemClock:
    """The machine's own clocks."""

    def monotonic_s(self) -> float:
        """Return the machine's monotonic seconds."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return the machine's wall clock."""
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        """Sleep in the event loop."""
        await asyncio.sleep(delay_s)


__all__ = ('Clock', 'SystemClock')
