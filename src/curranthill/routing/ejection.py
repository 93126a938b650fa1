"""Outlier ejection: excludes workers that fail more than their peers do."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from curranthill.clock import Clock

#: Most recent results kept for each worker.
SAMPLES: Final = 20

#: Results needed before a worker is compared with its peers.
MIN_SAMPLES: Final = 5

#: A worker may be ejected if more than this share of its results failed.
MAX_FAILED_SHARE: Final = 0.5

#: Duration of the first and the longest ejection of a worker, in seconds; it
#: doubles with each further one.
FIRST_EJECTION_S: Final = 5.0
MAX_EJECTION_S: Final = 60.0

#: How long a worker has a reduced limit after its ejection, in seconds.
SLOW_START_S: Final = 10.0


class Sample(NamedTuple):
    """A result of a worker: the kind of the request and whether it failed."""

    kind: str
    failed: bool


@dataclass(kw_only=True)
class _Record:
    samples: deque[Sample] = field(
        default_factory=lambda: deque(maxlen=SAMPLES),
    )
    ejected_until_s: float = 0.0
    ejections: int = 0

    def failed_share(self, kinds: frozenset[str] | None = None) -> float:
        relevant = [
            sample.failed
            for sample in self.samples
            if kinds is None or sample.kind in kinds
        ]
        return sum(relevant) / len(relevant) if relevant else 0.0


class OutlierEjector:
    """Compares each worker with its peers on the same kinds of requests.

    A kind that fails on all workers ejects none of them.

    :param healthy_share: the share of workers that are never ejected.
    """

    def __init__(self, *, clock: Clock, healthy_share: float) -> None:
        """Initialize with no worker ejected."""
        self._clock = clock
        self._healthy_share = healthy_share
        self._records: dict[str, _Record] = {}

    def record(self, worker: str, kind: str, *, failed: bool) -> bool:
        """Record a result; return whether the worker is ejected for it."""
        record = self._records.setdefault(worker, _Record())
        record.samples.append(Sample(kind, failed))
        if not failed:
            if not self.is_ejected(worker) and record.failed_share() == 0:
                record.ejections = 0
            return False
        if self.is_ejected(worker) or not self._is_outlier(worker, record):
            return False
        return self._eject(record)

    def is_ejected(self, worker: str) -> bool:
        """Return whether a worker gets no requests now."""
        record = self._records.get(worker)
        now_s = self._clock.monotonic_s()
        return record is not None and now_s < record.ejected_until_s

    def limit_share(self, worker: str) -> float:
        """Return the share of its limit that a worker may use, 0 to 1."""
        record = self._records.get(worker)
        if record is None or record.ejections == 0:
            return 1.0
        since_return_s = self._clock.monotonic_s() - record.ejected_until_s
        if since_return_s < 0:
            return 0.0
        return min(1.0, max(0.1, since_return_s / SLOW_START_S))

    def retain(self, present: frozenset[str]) -> None:
        """Drop the records of all workers but the present ones."""
        for worker in set(self._records) - present:
            self._records.pop(worker)

    def _is_outlier(self, worker: str, record: _Record) -> bool:
        on_probation = record.ejections > 0
        if len(record.samples) < MIN_SAMPLES and not on_probation:
            return False
        share = record.failed_share()
        if share <= MAX_FAILED_SHARE:
            return False
        kinds = frozenset(sample.kind for sample in record.samples)
        peers = [
            other.failed_share(kinds)
            for name, other in self._records.items()
            if name != worker and other.samples and not self.is_ejected(name)
        ]
        # Without a peer there is no comparison, and the worker stays.
        return bool(peers) and sorted(peers)[len(peers) // 2] < share / 2

    def _eject(self, record: _Record) -> bool:
        now_s = self._clock.monotonic_s()
        ejected = sum(
            one.ejected_until_s > now_s for one in self._records.values()
        )
        max_ejected = int(len(self._records) * (1 - self._healthy_share))
        if ejected + 1 > max_ejected:
            return False
        duration_s = min(
            MAX_EJECTION_S,
            FIRST_EJECTION_S * 2**record.ejections,
        )
        record.ejected_until_s = now_s + duration_s
        record.ejections += 1
        record.samples.clear()
        return True


__all__ = ('OutlierEjector', 'Sample')
