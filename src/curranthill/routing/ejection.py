"""Eject workers that fail what their peers do well; let them back slowly."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from curranthill.clock import Clock

#: Results kept for each worker.
SAMPLES: Final = 20

#: Results that are needed before a worker is judged.
MIN_SAMPLES: Final = 5

#: A worker that fails more than this share may be ejected.
MAX_FAILED_SHARE: Final = 0.5

#: The first time that a worker is out, in seconds; it doubles each time.
FIRST_EJECTION_S: Final = 5.0
MAX_EJECTION_S: Final = 60.0

#: How long a worker that came back gets less than its part, in seconds.
SLOW_START_S: Final = 10.0


class Sample(NamedTuple):
    """One result: which kind of work and whether it failed."""

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
    """Judge each worker against its peers on the same kinds of work.

    A kind that fails everywhere ejects no one, since the peers fail it too.

    :param healthy_share: the share of workers that always remains.
    """

    def __init__(self, *, clock: Clock, healthy_share: float) -> None:
        """Start with every worker in."""
        self._clock = clock
        self._healthy_share = healthy_share
        self._records: dict[str, _Record] = {}

    def record(self, worker: str, kind: str, *, failed: bool) -> bool:
        """Take in a result; return whether the worker is ejected by it."""
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
        """Return whether a worker gets nothing now."""
        record = self._records.get(worker)
        now_s = self._clock.monotonic_s()
        return record is not None and now_s < record.ejected_until_s

    def limit_share(self, worker: str) -> float:
        """Return the part of its limit that a worker gets, 0 to 1."""
        record = self._records.get(worker)
        if record is None or record.ejections == 0:
            return 1.0
        since_return_s = self._clock.monotonic_s() - record.ejected_until_s
        if since_return_s < 0:
            return 0.0
        return min(1.0, max(0.1, since_return_s / SLOW_START_S))

    def retain(self, present: frozenset[str]) -> None:
        """Drop what is known of workers that are gone."""
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
        # Without a peer there is nobody to compare with: keep it.
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
