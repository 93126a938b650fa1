"""Eject workers that fail what their peers do well; let them back slowly."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from curranthill.clock import Clock

#: Results kept for each worker.
SAMPLES: Final = 20

#: Results that are needed before a worker is judged.
LEAST_SAMPLES: Final = 5

#: A worker that fails more than this share may be ejected.
BAD_SHARE: Final = 0.5

#: The first time that a worker is out, in seconds; it doubles each time.
FIRST_EJECTION_S: Final = 5.0
LONGEST_EJECTION_S: Final = 60.0

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
    out_until_s: float = 0.0
    times_out: int = 0

    def failed_share(self, kinds: frozenset[str] | None = None) -> float:
        relevant = [
            sample.failed
            for sample in self.samples
            if kinds is None or sample.kind in kinds
        ]
        return sum(relevant) / len(relevant) if relevant else 0.0


class Ejection:
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
            if not self.ejected(worker) and record.failed_share() == 0:
                record.times_out = 0
            return False
        if self.ejected(worker) or not self._is_worse(worker, record):
            return False
        return self._eject(record)

    def ejected(self, worker: str) -> bool:
        """Return whether a worker gets nothing now."""
        record = self._records.get(worker)
        now_s = self._clock.monotonic_s()
        return record is not None and now_s < record.out_until_s

    def part(self, worker: str) -> float:
        """Return the part of its limit that a worker gets, 0 to 1."""
        record = self._records.get(worker)
        if record is None or record.times_out == 0:
            return 1.0
        back_s = self._clock.monotonic_s() - record.out_until_s
        if back_s < 0:
            return 0.0
        return min(1.0, max(0.1, back_s / SLOW_START_S))

    def forget(self, present: frozenset[str]) -> None:
        """Drop what is known of workers that are gone."""
        for worker in set(self._records) - present:
            self._records.pop(worker)

    def _is_worse(self, worker: str, record: _Record) -> bool:
        on_probation = record.times_out > 0
        if len(record.samples) < LEAST_SAMPLES and not on_probation:
            return False
        share = record.failed_share()
        if share <= BAD_SHARE:
            return False
        kinds = frozenset(sample.kind for sample in record.samples)
        peers = [
            other.failed_share(kinds)
            for name, other in self._records.items()
            if name != worker and other.samples and not self.ejected(name)
        ]
        # Without a peer there is nobody to compare with: keep it.
        return bool(peers) and sorted(peers)[len(peers) // 2] < share / 2

    def _eject(self, record: _Record) -> bool:
        now_s = self._clock.monotonic_s()
        out = sum(one.out_until_s > now_s for one in self._records.values())
        most_out = int(len(self._records) * (1 - self._healthy_share))
        if out + 1 > most_out:
            return False
        length_s = min(
            LONGEST_EJECTION_S,
            FIRST_EJECTION_S * 2**record.times_out,
        )
        record.out_until_s = now_s + length_s
        record.times_out += 1
        record.samples.clear()
        return True


__all__ = ('Ejection', 'Sample')
