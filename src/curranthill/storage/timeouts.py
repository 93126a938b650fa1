"""How long to wait for a reply, from the replies seen so far."""

from typing import Final

#: The shortest wait, in seconds: sixty times the store's usual reply, so that
#: a busy host does not take its own slowness for a lost reply.
MIN_TIMEOUT_S: Final = 0.3

#: The longest wait, in seconds: a store that is seventy times slower than
#: usual, with a few calls queued before this one, still replies in time.
MAX_TIMEOUT_S: Final = 1.5

#: The weights of a new reply in the mean and the deviation, and the number of
#: deviations above the mean: those of TCP's retransmission timer (RFC 6298).
MEAN_WEIGHT: Final = 0.125
DEVIATION_WEIGHT: Final = 0.25
DEVIATIONS: Final = 4


class ReplyTimeout:
    """A retransmission timer: follows replies, doubles with each lost one.

    :param min_s: the shortest wait, in seconds.
    """

    def __init__(self, *, min_s: float = MIN_TIMEOUT_S) -> None:
        """Start with the shortest wait."""
        self._min_s = min_s
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._backoff = 1

    @property
    def timeout_s(self) -> float:
        """Return how long to wait for the next reply."""
        usual_s = self._mean_s + DEVIATIONS * self._deviation_s
        waited_s = max(usual_s, self._min_s) * self._backoff
        return min(waited_s, MAX_TIMEOUT_S)

    def record_reply(self, took_s: float) -> None:
        """Take note of a reply."""
        self._backoff = 1
        if not self._mean_s:
            self._mean_s = took_s
            self._deviation_s = took_s / 2
            return
        error_s = abs(took_s - self._mean_s)
        self._deviation_s += DEVIATION_WEIGHT * (error_s - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * (took_s - self._mean_s)

    def record_loss(self) -> None:
        """Take note of a reply that did not come in time."""
        if self.timeout_s < MAX_TIMEOUT_S:
            self._backoff *= 2


__all__ = ('MAX_TIMEOUT_S', 'MIN_TIMEOUT_S', 'ReplyTimeout')
