"""Quarantine, then probation, of workers on which different jobs fail."""

from curranthill.clock import Clock
from curranthill.settings import PlacementSettings


class WorkerHealth:
    """Counts the different jobs that failed on each worker in a row."""

    def __init__(self, *, clock: Clock, settings: PlacementSettings) -> None:
        """Initialize with no failure recorded."""
        self._clock = clock
        self._settings = settings
        self._failed_jobs: dict[str, set[str]] = {}
        self._quarantined_until_s: dict[str, float] = {}

    def record_failure(self, worker: str, job_id: str) -> bool:
        """Record a failure; return whether the worker is now quarantined.

        A worker whose quarantine has ended is on probation: a single failure
        quarantines it again.
        """
        jobs = self._failed_jobs.setdefault(worker, set())
        jobs.add(job_id)
        threshold = self._settings.quarantine_failures
        on_probation = worker in self._quarantined_until_s
        if len(jobs) < threshold and not on_probation:
            return False
        self._quarantined_until_s[worker] = (
            self._clock.monotonic_s() + self._settings.quarantine_s
        )
        return True

    def record_success(self, worker: str) -> None:
        """Clear a worker's failures and, after a quarantine, its probation."""
        self._failed_jobs.pop(worker, None)
        if not self.is_quarantined(worker):
            self._quarantined_until_s.pop(worker, None)

    def is_quarantined(self, worker: str) -> bool:
        """Return whether a worker is quarantined and gets no new work."""
        until_s = self._quarantined_until_s.get(worker, 0)
        return self._clock.monotonic_s() < until_s


__all__ = ('WorkerHealth',)
