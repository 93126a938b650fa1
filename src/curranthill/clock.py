"""Time as an object, so that tests can move it."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, Protocol


class Clock(Protocol):
    """What the system asks of time."""

    def monotonic_s(self) -> float:
        """Return seconds that never run back, time suspended included."""

    def wall_s(self) -> float:
        """Return seconds since 1970, for records that people read."""

    async def sleep(self, delay_s: float) -> None:
        """Return after ``delay_s`` seconds or later.

        Timers stand still while the machine is suspended, so whoever wakes
        up reads the clock before it goes by what it knew.
        """


def uptime_s() -> float:
    """Return seconds since the machine's start, time suspended included.

    The steady clock stands still while the machine is suspended: leases and
    ages read by it would seem to be as fresh as before.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SystemClock:
    """The machine's own clocks."""

    def monotonic_s(self) -> float:
        """Return seconds that go on while the machine is suspended."""
        return uptime_s()

    def wall_s(self) -> float:
        """Return the machine's wall clock."""
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        """Sleep in the event loop."""
        await asyncio.sleep(delay_s)


async def wait_at_most(
    work: Coroutine[Any, Any, Any] | asyncio.Future[Any],
    *,
    timeout_s: float,
    clock: Clock,
) -> bool:
    """Wait for some work by a clock; return whether it ended in time.

    A coroutine that did not end is cancelled; a future is left as it is.
    """
    task = asyncio.ensure_future(work)
    sleep = asyncio.ensure_future(clock.sleep(timeout_s))
    try:
        await asyncio.wait((task, sleep), return_when=asyncio.FIRST_COMPLETED)
        return task.done()
    finally:
        sleep.cancel()
        if task is not work:
            task.cancel()


__all__ = ('Clock', 'SystemClock', 'uptime_s', 'wait_at_most')
