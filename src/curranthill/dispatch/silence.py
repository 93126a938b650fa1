"""Workers that do not respond, and when their leases expire at the latest.

The list is stored with every write of the leader, so a wait for the lease of a
lost worker continues under the next leader. In return a worker in the stored
list is not granted a lease before a write without it has been applied.
"""

import math
from collections.abc import Iterable, Mapping
from itertools import accumulate
from typing import Final

from curranthill.clock import Clock

#: The most workers that are stored. The row of the leader is read by all hosts
#: twice a second; the leases of further workers are awaited in full.
MAX_STORED: Final = 200

#: The most bytes of their ids together; the row also has a forecast.
MAX_STORED_ID_BYTES: Final = 24_000

#: Remaining times are rounded up to multiples of this for a write, in seconds.
RESOLUTION_S: Final = 0.01


class SilentWorkers:
    """The silent workers of one term of the leader.

    :param inherited: as stored by the previous leader: by worker id for how
        long its lease may last, in seconds from now.
    """

    def __init__(
        self, *, clock: Clock, inherited: Mapping[str, float] | None = None
    ) -> None:
        """Initialize the list of a term whose row has just been written."""
        now_s = clock.monotonic_s()
        self._clock = clock
        self._expiry_s = {
            worker_id: now_s + remaining_s
            for worker_id, remaining_s in (inherited or {}).items()
        }
        self._stored = frozenset(self._expiry_s)
        self._writing: frozenset[str] = frozenset()

    def remaining_s(self, worker_id: str) -> float | None:
        """Return for how long a worker's lease may last; None if unknown."""
        expiry_s = self._expiry_s.get(worker_id)
        if expiry_s is None:
            return None
        return max(0.0, expiry_s - self._clock.monotonic_s())

    def may_grant(self, worker_id: str) -> bool:
        """Return whether no stored list can contain a worker."""
        return worker_id not in self._stored and worker_id not in self._writing

    def add(self, worker_id: str, remaining_s: float) -> None:
        """Add a worker that does not respond, or update its lease."""
        self._expiry_s[worker_id] = self._clock.monotonic_s() + remaining_s

    def discard(self, worker_id: str) -> None:
        """Remove a worker that has responded or that may run nothing."""
        self._expiry_s.pop(worker_id, None)

    def retain(self, worker_ids: Iterable[str]) -> None:
        """Remove all workers but some."""
        for worker_id in self._expiry_s.keys() - set(worker_ids):
            self.discard(worker_id)

    def begin_write(self) -> dict[str, float]:
        """Return the list for a write, with remaining times in seconds."""
        now_s = self._clock.monotonic_s()
        earliest = sorted(self._expiry_s.items(), key=lambda one: one[1])
        id_bytes = accumulate(len(one[0].encode()) for one in earliest)
        listed = {
            worker_id: _rounded_up(max(0.0, expiry_s - now_s))
            for (worker_id, expiry_s), size in zip(
                earliest[:MAX_STORED], id_bytes, strict=False
            )
            if size <= MAX_STORED_ID_BYTES
        }
        self._writing = frozenset(listed)
        return listed

    def confirm_write(self) -> None:
        """Note that the list of the last write is the one that is stored."""
        self._stored = self._writing
        self._writing = frozenset()


def _rounded_up(remaining_s: float) -> float:
    """Round up, as a lease must not be taken for expired too early."""
    return round(math.ceil(remaining_s / RESOLUTION_S) * RESOLUTION_S, 2)


__all__ = ('SilentWorkers',)
