"""Clocks as objects, so that tests can control the time."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, Protocol


class Clock(Protocol):
    """The source of time for all components."""

    def monotonic_s(self) -> float:
        """Return seconds that never decrease and include suspended time."""

    def wall_s(self) -> float:
        """Return seconds since 1970, for timestamps in records and logs."""

    async def sleep(self, delay_s: float) -> None:
        """Return after ``delay_s`` seconds or later.

        Timers stop while the machine is suspended, so a caller must read the
        clock again afterwards before it relies on earlier readings.
        """


def uptime_s() -> float:
    """Return seconds since the machine started, including suspended time.

    The usual monotonic clock stops while the machine is suspended: by it,
    leases and ages would afterwards seem as fresh as before.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SystemClock:
    """The clocks of the operating system."""

    def monotonic_s(self) -> float:
        """Return the machine's uptime, including suspended time."""
        return uptime_s()

    def wall_s(self) -> float:
        """Return the wall-clock time in seconds since 1970."""
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        """Sleep in the event loop."""
        await asyncio.sleep(delay_s)


async def wait_at_most(
    awaitable: Coroutine[Any, Any, Any] | asyncio.Future[Any],
    *,
    timeout_s: float,
    clock: Clock,
) -> bool:
    """Wait with a timeout by a clock; return whether it ended in time.

    On a timeout a coroutine is cancelled; a future is not.
    """
    task = asyncio.ensure_future(awaitable)
    sleep = asyncio.ensure_future(clock.sleep(timeout_s))
    try:
        await asyncio.wait((task, sleep), return_when=asyncio.FIRST_COMPLETED)
        return task.done()
    finally:
        sleep.cancel()
        if task is not awaitable:
            task.cancel()


__all__ = ('Clock', 'SystemClock', 'uptime_s', 'wait_at_most')
