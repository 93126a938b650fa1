"""Adaptive timeouts that follow the observed reply times."""

from typing import Final

#: The shortest timeout, in seconds: sixty times the store's usual reply time,
#: so that a busy host does not mistake its own slowness for a lost reply.
MIN_TIMEOUT_S: Final = 0.3

#: The longest timeout, in seconds: a store that is seventy times slower than
#: usual and has a few calls queued ahead of this one still replies in time.
MAX_TIMEOUT_S: Final = 1.5

#: The weights of a new reply in the mean and the deviation, and the number of
#: deviations above the mean: those of TCP's retransmission timer (RFC 6298).
MEAN_WEIGHT: Final = 0.125
DEVIATION_WEIGHT: Final = 0.25
DEVIATIONS: Final = 4


class ReplyTimeout:
    """A retransmission timer with exponential backoff (RFC 6298).

    :param min_s: the shortest timeout, in seconds.
    """

    def __init__(self, *, min_s: float = MIN_TIMEOUT_S) -> None:
        """Initialize with the shortest timeout."""
        self._min_s = min_s
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._backoff = 1

    @property
    def timeout_s(self) -> float:
        """Return how long to wait for the next reply, in seconds."""
        expected_s = self._mean_s + DEVIATIONS * self._deviation_s
        backed_off_s = max(expected_s, self._min_s) * self._backoff
        return min(backed_off_s, MAX_TIMEOUT_S)

    def record_reply(self, took_s: float) -> None:
        """Record the time that a reply took; ends any backoff."""
        self._backoff = 1
        if not self._mean_s:
            self._mean_s = took_s
            self._deviation_s = took_s / 2
            return
        error_s = abs(took_s - self._mean_s)
        self._deviation_s += DEVIATION_WEIGHT * (error_s - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * (took_s - self._mean_s)

    def record_loss(self) -> None:
        """Record a reply that did not come in time; doubles the timeout."""
        if self.timeout_s < MAX_TIMEOUT_S:
            self._backoff *= 2


__all__ = ('MAX_TIMEOUT_S', 'MIN_TIMEOUT_S', 'ReplyTimeout')
