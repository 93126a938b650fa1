"""A worker's lease as the leader reckons it, from the worker's clock."""

from typing import Final

from curranthill.clock import Clock

#: A worker's clock may be 2% slow; its lease then lasts so much longer.
CLOCK_DRIFT: Final = 1.02

#: Added to every lease before it counts as lapsed, in seconds: covers the
#: error of the estimated worker clock and the time a kill takes.
EXPIRY_MARGIN_S: Final = 0.4


class Lease:
    """When the lease of one worker ends at the latest.

    :param length_s: the longest lease that the worker grants.
    :param clock_s: the worker's steady clock when it was listed.
    :param previous_s: how long another leader may have gone on renewing.
    :param worker_clock_s: the newest reading of the worker's clock.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        length_s: float,
        clock_s: float,
        previous_s: float,
    ) -> None:
        """Reckon with all that a former leader may have granted."""
        self._clock = clock
        self._length_s = length_s
        self.worker_clock_s = clock_s
        self._read_s = clock.monotonic_s()
        self._end_s = self._end_if_granted_now_s() + previous_s

    @property
    def expired(self) -> bool:
        """Return whether nothing can run there any more."""
        return self._clock.monotonic_s() >= self._end_s

    def grant(self) -> float:
        """Return the end of a new lease on the worker's clock."""
        self._end_s = max(self._end_s, self._end_if_granted_now_s())
        since_s = self._clock.monotonic_s() - self._read_s
        return self.worker_clock_s + since_s + self._length_s

    def read_clock(self, clock_s: float) -> None:
        """Take note of the worker's clock."""
        self.worker_clock_s = clock_s
        self._read_s = self._clock.monotonic_s()

    def exclude_older_grants(self) -> None:
        """Reckon with this leader's grants only: older orders are shut out."""
        self._end_s = self._end_if_granted_now_s()

    def _end_if_granted_now_s(self) -> float:
        lease_s = self._length_s * CLOCK_DRIFT + EXPIRY_MARGIN_S
        return self._clock.monotonic_s() + lease_s


__all__ = ('Lease',)
