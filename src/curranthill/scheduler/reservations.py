"""Racks kept for gangs that wait, and what may fill them meanwhile."""

from typing import NamedTuple

from curranthill.jobs import Job
from curranthill.scheduler.board import Board, Placed
from curranthill.scheduler.cluster import Rack
from curranthill.scheduler.search import NO_RACKS, Barred

#: The most jobs that racks are kept for at the same time.
MOST_KEPT = 8


class Reservation(NamedTuple):
    """A rack kept for a job until it is expected to fit there."""

    job_id: str
    slots: int
    until_s: float


class Reservations:
    """Racks in which waiting gangs are expected to fit first.

    Later jobs may use a kept rack only if they are expected to end by then
    (backfill). At least half of the racks are never kept; where there is one
    rack it may be.
    """

    def __init__(self) -> None:
        """Start with no rack kept."""
        self._kept: dict[str, Reservation] = {}

    @property
    def full(self) -> bool:
        """Return whether no more jobs can be given a rack."""
        return len(self._kept) >= MOST_KEPT

    def clear(self) -> None:
        """Keep no rack any more."""
        self._kept.clear()

    def drop(self, job_id: str) -> None:
        """Keep no rack for a job any more."""
        for name, reservation in list(self._kept.items()):
            if reservation.job_id == job_id:
                self._kept.pop(name)

    def keep_for(self, board: Board, job: Job, now_s: float) -> None:
        """Keep the rack in which a job will fit first, if any is left."""
        most = min(MOST_KEPT, max(1, len(board.cluster.racks) // 2))
        if len(self._kept) >= most:
            return
        expected = [
            (_fits_at_s(board, rack, job.slots, now_s), name)
            for name, rack in board.cluster.racks.items()
            if name not in self._kept
        ]
        if not expected:
            return
        fits_at_s, name = min(expected)
        if fits_at_s != float('inf'):
            self._kept[name] = Reservation(job.job_id, job.slots, fits_at_s)

    def barred_for(self, board: Board, job: Job, now_s: float) -> Barred:
        """Return the racks that a job may not use."""
        if not self._kept:
            return NO_RACKS
        ends_s = now_s + board.run_time_s(job)
        return frozenset(
            name
            for name, reservation in self._kept.items()
            if ends_s > reservation.until_s and reservation.job_id != job.job_id
        )


def _fits_at_s(board: Board, rack: Rack, slots: int, now_s: float) -> float:
    """Return when a rack is expected to have so many slots free."""
    free = rack.room('free').total
    if free >= slots:
        return now_s
    if sum(worker.slots for worker in rack.workers) < slots:
        return float('inf')
    names = {worker.name for worker in rack.workers}
    jobs = {job_id for worker in rack.workers for job_id in worker.jobs}
    ends = sorted((board.placed[job_id] for job_id in jobs), key=_expected_end)
    for placed in ends:
        free += sum(
            member.slots for member in placed.members if member.worker in names
        )
        if free >= slots:
            return max(now_s, placed.expected_end_s)
    return float('inf')


def _expected_end(placed: Placed) -> float:
    return placed.expected_end_s


__all__ = ('MOST_KEPT', 'Reservation', 'Reservations')
