"""Limits the first renewals that a new leader sends to unconfirmed workers.

After a takeover with thousands of workers, probing all of them at once keeps a
host with one core from writing its heartbeat for longer than its term lasts.
The sessions of workers that may hold runs are opened first, so that these
workers are probed first.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from curranthill.clock import Clock, wait_at_most

#: Workers probed at the same time. A probe takes some 0.8 ms of a core, so
#: they delay a heartbeat by 26 ms, and by 50 ms on half a core.
MAX_CONCURRENT_PROBES: Final = 32

#: How long a worker that does not respond may occupy a slot, in seconds: a
#: response usually takes a few milliseconds, and a probe times out after 0.7 s.
SLOT_HOLD_S: Final = 0.05


class ProbeLimiter:
    """Bounds the number of concurrent probes."""

    def __init__(self, *, clock: Clock) -> None:
        """Initialize the limiter with all slots free."""
        self._clock = clock
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_PROBES)

    async def run(self, probe: Coroutine[Any, Any, None]) -> None:
        """Run a probe once a slot is free; return when it has finished.

        A slow probe continues after it has given up its slot.
        """
        running: asyncio.Future[None] | None = None
        try:
            async with self._slots:
                running = asyncio.ensure_future(probe)
                await wait_at_most(
                    running,
                    timeout_s=SLOT_HOLD_S,
                    clock=self._clock,
                )
            await running
        finally:
            if running is None:
                probe.close()
            else:
                running.cancel()


__all__ = ('ProbeLimiter',)
