"""A budget that keeps retries a small share of recent requests."""

from typing import Final

from curranthill.clock import Clock

#: The window over which requests and retries are weighed, in seconds.
WINDOW_S: Final = 10.0

#: Retries allowed in a window however few the requests.
MIN_RETRIES: Final = 3


class RetryBudget:
    """Allow retries up to a share of the requests of the last seconds.

    :param share: retries for each request, such as 0.1.
    """

    def __init__(self, *, clock: Clock, share: float) -> None:
        """Start an empty window."""
        self._clock = clock
        self._share = share
        self._requests = 0.0
        self._retries = 0.0
        self._at_s = clock.monotonic_s()

    def count_request(self) -> None:
        """Count a request that is not a retry."""
        self._decay()
        self._requests += 1

    def take(self) -> bool:
        """Return whether one more retry is allowed, and count it."""
        self._decay()
        if self._retries + 1 > max(MIN_RETRIES, self._share * self._requests):
            return False
        self._retries += 1
        return True

    def _decay(self) -> None:
        now_s = self._clock.monotonic_s()
        kept = max(0.0, 1 - (now_s - self._at_s) / WINDOW_S)
        self._requests *= kept
        self._retries *= kept
        self._at_s = now_s


__all__ = ('RetryBudget',)
