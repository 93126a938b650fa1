"""Turns in which a leader looks at workers that have not answered yet.

Answers a takeover over thousands of workers: looked at in one go, they keep a
host of one core from its heartbeat for longer than its term lasts. Whoever
holds runs is listed first, so that it is looked at first.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from curranthill.clock import Clock, wait_at_most

#: Workers looked at side by side: a look takes some 0.8 ms of a core, so they
#: hold up a heartbeat by 26 ms, on half a core by 50 ms. Over 3,000 workers
#: 15 of 17 terms were lost within 12 s when all were looked at in one go.
MAX_CONCURRENT_PROBES: Final = 32

#: How long a worker that does not answer keeps others from their turn, in
#: seconds: a usual answer takes a few milliseconds, and a look is given up
#: after 0.7 s.
SLOT_HOLD_S: Final = 0.05


class ProbeLimiter:
    """Bounds how many workers are looked at side by side."""

    def __init__(self, *, clock: Clock) -> None:
        """Start with all turns free."""
        self._clock = clock
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_PROBES)

    async def run(self, probe: Coroutine[Any, Any, None]) -> None:
        """Make a look in its turn; return once it is over.

        A look that takes long goes on after its turn.
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
