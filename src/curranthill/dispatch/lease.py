"""The leader's estimate of a worker's lease, on the worker's clock."""

from typing import Final

from curranthill.clock import Clock
from curranthill.dispatch.silence import SilentWorkers

#: The least time that passes on a worker's clock in a second of this host: it
#: may be 2% slow.
MIN_CLOCK_RATE: Final = 0.98

#: The maximum age of a reading of the worker's clock for a start, in seconds.
#: The lease is shorter by what the clock may have lost since then.
MAX_CLOCK_AGE_S: Final = 20.0

#: Added to every lease before it counts as expired, in seconds: covers the
#: time that killing a run takes.
EXPIRY_MARGIN_S: Final = 0.4

#: A lease that expires within this time is awaited in place of another probe,
#: in seconds: a probe without a response would take as long.
AWAITED_EXPIRY_S: Final = 0.9

#: Added to the time until an expiry, in seconds, as clocks round.
EXPIRY_ROUNDING_S: Final = 0.01


class Lease:
    """The latest time at which the lease of one worker may end.

    :param length_s: the longest lease that the worker grants, in seconds.
    :param clock_s: the worker's monotonic clock when it was listed.
    :param previous_s: for how long another leader may still have renewed the
        lease, in seconds.
    :param silent_workers: the workers whose leases are stored, as they do not
        respond.
    :param worker_clock_s: the newest reading of the worker's clock.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        length_s: float,
        clock_s: float,
        previous_s: float,
        worker_id: str,
        silent_workers: SilentWorkers,
    ) -> None:
        """Assume the longest lease that a previous leader may have granted.

        That is what the previous leader has stored, if anything.
        """
        self._worker_id = worker_id
        self._silent_workers = silent_workers
        self._clock = clock
        self._length_s = length_s
        self.worker_clock_s = clock_s
        self._read_s = clock.monotonic_s()
        self._end_s = self._end_if_granted_now_s() + previous_s
        stored_s = silent_workers.remaining_s(worker_id)
        if stored_s is not None:
            self._end_s = clock.monotonic_s() + stored_s

    @property
    def expired(self) -> bool:
        """Return whether no run can exist there any more."""
        return not self.remaining_s

    @property
    def remaining_s(self) -> float:
        """Return for how long a run may still exist there, in seconds."""
        return max(0.0, self._end_s - self._clock.monotonic_s())

    @property
    def clock_age_s(self) -> float:
        """Return the age of the reading of the worker's clock, in seconds."""
        return self._clock.monotonic_s() - self._read_s

    @property
    def is_clock_outdated(self) -> bool:
        """Return whether the worker's clock has to be read before a start."""
        return self.clock_age_s > MAX_CLOCK_AGE_S

    @property
    def may_grant(self) -> bool:
        """Return whether the lease may be extended.

        It may not while it is stored as that of a silent worker, since a
        successor takes it for expired once the stored time has passed.
        """
        return self._silent_workers.may_grant(self._worker_id)

    def record_silence(self, *, may_run: bool) -> None:
        """Store the lease, so that a successor continues to wait for it.

        :param may_run: whether anything may run at the worker.
        """
        if may_run:
            self._silent_workers.add(self._worker_id, self.remaining_s)
        else:
            self.forget_silence()

    def forget_silence(self) -> None:
        """Leave the worker out of the list from the next write on."""
        self._silent_workers.discard(self._worker_id)

    def probe_pause_s(self, usual_s: float) -> float:
        """Return the delay before the next probe of a silent worker.

        :param usual_s: the delay if the lease does not expire soon, in seconds.
        """
        remaining_s = self.remaining_s
        if 0 < remaining_s < AWAITED_EXPIRY_S:
            return remaining_s + EXPIRY_ROUNDING_S
        return usual_s

    def grant(self) -> float:
        """Return the end of a new lease on the worker's clock; 0 for none.

        While a successor may take the lease for expired, none is granted.

        The worker shortens a lease that is too long only when the order takes
        effect, possibly seconds from now. So the end is reckoned from the
        earliest time that its clock may show now.
        """
        if not self.may_grant:
            return 0.0
        self._end_s = max(self._end_s, self._end_if_granted_now_s())
        passed_s = self.clock_age_s * MIN_CLOCK_RATE
        return self.worker_clock_s + passed_s + self._length_s

    def read_clock(self, clock_s: float) -> None:
        """Store a reading of the worker's clock."""
        self.worker_clock_s = clock_s
        self._read_s = self._clock.monotonic_s()

    def exclude_older_grants(self) -> None:
        """Count only this leader's grants, as older orders are fenced off."""
        self._end_s = self._end_if_granted_now_s()

    def _end_if_granted_now_s(self) -> float:
        lease_s = self._length_s / MIN_CLOCK_RATE + EXPIRY_MARGIN_S
        return self._clock.monotonic_s() + lease_s


__all__ = ('Lease',)
