"""Limits the writes of each process, so that the total stays within bounds."""

from curranthill.clock import Clock
from curranthill.errors import NotSentError

#: The longest time that a write is delayed, in seconds.
MAX_WAIT_S = 5.0


class WriteRateLimiter:
    """Delays writes that exceed a rate.

    The leader's heartbeat bypasses the limiter, because a burst of jobs must
    not cost the leader its lease. Writes that queued up during an outage are
    also released at this rate.

    :param per_s: writes per second; bursts of up to one second's worth pass.
    """

    def __init__(self, *, clock: Clock, per_s: float) -> None:
        """Initialize with one second's worth of writes available."""
        self._clock = clock
        self._per_s = per_s
        # The time at which a full burst is available again.
        self._full_s = clock.monotonic_s()

    async def acquire(self) -> None:
        """Wait until one write is allowed.

        :raises NotSentError: if the wait would be too long; nothing was sent.
        """
        now_s = self._clock.monotonic_s()
        full_s = max(now_s, self._full_s) + 1 / self._per_s
        wait_s = full_s - now_s - 1
        if wait_s > MAX_WAIT_S:
            raise NotSentError(
                'Too many writes are queued in this process.',
                step='write budget',
            )
        self._full_s = full_s
        if wait_s > 0:
            await self._clock.sleep(wait_s)


__all__ = ('MAX_WAIT_S', 'WriteRateLimiter')
