"""Racks kept for large gangs that wait, and what may fill them meanwhile."""

from collections.abc import Iterable

from curranthill.jobs import Job
from curranthill.scheduler.board import Board, Placed
from curranthill.scheduler.cluster import WorkerState
from curranthill.scheduler.search import Barred


class Reservations:
    """One pass's reservations, made in the order of the queue.

    A job that cannot be placed keeps the rack in which it is expected to fit
    first. Later jobs may use that rack only if they are expected to end by
    then (backfill). At least half of the racks are never kept.
    """

    def __init__(self, *, board: Board, now_s: float) -> None:
        """Start a pass with no rack kept."""
        self._board = board
        self._now_s = now_s
        self._until_s: dict[str, float] = {}
        self._most = max(1, len(board.cluster.racks) // 2)

    def keep_for(self, job: Job) -> None:
        """Keep the rack in which a job will fit first, if any is left."""
        if len(self._until_s) >= self._most:
            return
        expected = [
            (self._fits_at_s(workers, job.slots), name)
            for name, workers in self._board.cluster.racks.items()
            if name not in self._until_s
        ]
        if not expected:
            return
        fits_at_s, name = min(expected)
        if fits_at_s != float('inf'):
            self._until_s[name] = fits_at_s

    def barred_for(self, job: Job) -> Barred:
        """Return the racks that a job may not use."""
        if not self._until_s:
            return frozenset()
        run_s = self._board.estimates.run_time_s(
            job.workspace,
            job.kind,
            job.run_time_s,
        )
        ends_s = self._now_s + run_s
        return frozenset(
            name for name, until_s in self._until_s.items() if ends_s > until_s
        )

    def _fits_at_s(self, workers: list[WorkerState], slots: int) -> float:
        """Return when a rack is expected to have so many slots free."""
        free = sum(worker.free for worker in workers)
        if free >= slots:
            return self._now_s
        names = {worker.name for worker in workers}
        for placed in sorted(self._on(workers), key=_expected_end):
            free += sum(
                member.slots
                for member in placed.members
                if member.worker in names
            )
            if free >= slots:
                return max(self._now_s, placed.expected_end_s)
        return float('inf')

    def _on(self, workers: Iterable[WorkerState]) -> list[Placed]:
        jobs = {job_id for worker in workers for job_id in worker.jobs}
        return [self._board.placed[job_id] for job_id in jobs]


def _expected_end(placed: Placed) -> float:
    return placed.expected_end_s


__all__ = ('Reservations',)
