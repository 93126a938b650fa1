"""A bound on one process's writes, so that all together stay in theirs."""

from curranthill.clock import Clock
from curranthill.errors import NotSentError

#: The longest that a write waits for its turn, in seconds.
MAX_WAIT_S = 5.0


class WriteRateLimiter:
    """Let so many writes a second pass; the rest wait their turn.

    The leader's heartbeat does not go through it: a burst of jobs must not
    cost the lease. After an outage the writes that waited pass at this rate.

    :param per_s: writes a second, with a burst of one second.
    """

    def __init__(self, *, clock: Clock, per_s: float) -> None:
        """Start with a full second's allowance."""
        self._clock = clock
        self._per_s = per_s
        # The moment at which the allowance is full again.
        self._full_s = clock.monotonic_s()

    async def acquire(self) -> None:
        """Wait for one write's turn.

        :raises NotSentError: if it would come too late; nothing was sent.
        """
        now_s = self._clock.monotonic_s()
        full_s = max(now_s, self._full_s) + 1 / self._per_s
        wait_s = full_s - now_s - 1
        if wait_s > MAX_WAIT_S:
            raise NotSentError(
                'Too many writes wait in this process.',
                step='write budget',
            )
        self._full_s = full_s
        if wait_s > 0:
            await self._clock.sleep(wait_s)


__all__ = ('MAX_WAIT_S', 'WriteRateLimiter')
