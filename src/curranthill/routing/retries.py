"""A retry budget, which bounds retries to a share of recent requests."""

from typing import Final

from curranthill.clock import Clock

#: The time window over which requests and retries are counted, in seconds.
WINDOW_S: Final = 10.0

#: Retries that are always allowed in a window, however few its requests.
MIN_RETRIES: Final = 3


class RetryBudget:
    """Allows retries up to a share of the requests in a decaying window.

    :param share: retries allowed per request, such as 0.1.
    """

    def __init__(self, *, clock: Clock, share: float) -> None:
        """Initialize with an empty window."""
        self._clock = clock
        self._share = share
        self._requests = 0.0
        self._retries = 0.0
        self._at_s = clock.monotonic_s()

    def count_request(self) -> None:
        """Count a first attempt of a request."""
        self._decay()
        self._requests += 1

    def take(self) -> bool:
        """Return whether a retry is allowed, and count it if so."""
        self._decay()
        if self._retries + 1 > max(MIN_RETRIES, self._share * self._requests):
            return False
        self._retries += 1
        return True

    def _decay(self) -> None:
        now_s = self._clock.monotonic_s()
        remaining = max(0.0, 1 - (now_s - self._at_s) / WINDOW_S)
        self._requests *= remaining
        self._retries *= remaining
        self._at_s = now_s


__all__ = ('RetryBudget',)
