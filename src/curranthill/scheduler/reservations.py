"""Workers kept for gangs that wait, and what may fill them meanwhile."""

from collections.abc import Iterable
from typing import NamedTuple

from curranthill.jobs import Job, Member
from curranthill.scheduler.cluster import Rack, WorkerState
from curranthill.scheduler.reservation_windows import WorkerReservationWindows
from curranthill.scheduler.search import Barred
from curranthill.scheduler.state import SchedulerState

#: The most jobs for which workers are kept at the same time.
MOST_KEPT = 4

#: The part of the workers that stays open beside the first reservation.
OPEN_SHARE = 0.75

_NEVER = float('inf')


class Reservation(NamedTuple):
    """Workers of one rack kept for a job until it is expected to fit."""

    job_id: str
    rack: str
    workers: frozenset[str]
    until_s: float


class Reservations:
    """Workers on which waiting gangs are expected to fit first.

    Later jobs may use a kept worker only if they are expected to end by then
    (backfill). The rest of the rack stays open to everybody, and at least
    three quarters of all workers do, unless the first gang needs more.

    Only slots that no promise covers are counted on: a worker that drains
    for a gang into a guarantee's hands would never be free for it.

    A worker that was kept in vain for its turn is open to everybody for as
    long: work on it, or on those kept with it, may outlast its estimate.
    """

    def __init__(self) -> None:
        """Start with no worker kept."""
        self._kept: dict[str, Reservation] = {}
        self._turns = WorkerReservationWindows()

    @property
    def full(self) -> bool:
        """Return whether no more jobs can be given workers."""
        return len(self._kept) >= MOST_KEPT

    def clear(self, now_s: float) -> None:
        """Keep no worker any more."""
        kept = [one.workers for one in self._kept.values()]
        self._turns.forget_except(frozenset().union(*kept), now_s)
        self._kept.clear()

    def started(self, job_id: str, members: Iterable[Member]) -> None:
        """Keep no worker any more for a job that has a place now."""
        reservation = self._kept.pop(job_id, None)
        if reservation is not None:
            used = {member.worker for member in members}
            self._turns.end(reservation.workers & used)

    def get(self, job_id: str) -> Reservation | None:
        """Return what is kept for a job."""
        return self._kept.get(job_id)

    def keep_for(self, state: SchedulerState, job: Job, now_s: float) -> None:
        """Keep the workers on which a job will fit first, if any are left."""
        taken = self.barred(self._kept)
        closed = _with_workers(state, taken, self._turns.pausing(now_s))
        best: Reservation | None = None
        for name, rack in state.cluster.racks.items():
            found = _in_rack(state, rack, job, closed.get(name))
            if found and (best is None or found.until_s < best.until_s):
                best = found
        if best is None or best.until_s == _NEVER:
            return
        kept = sum(len(workers) for workers in taken.values())
        open_after = len(state.cluster.workers) - kept - len(best.workers)
        if not self._kept or open_after >= OPEN_SHARE * len(
            state.cluster.workers,
        ):
            until_s = max(now_s, best.until_s)
            self._kept[job.job_id] = best._replace(until_s=until_s)
            self._turns.begin(best.workers, now_s, until_s - now_s)

    def before(
        self,
        state: SchedulerState,
        job: Job,
        now_s: float,
    ) -> frozenset[str]:
        """Return the jobs whose kept workers a job may not use."""
        if not self._kept:
            return frozenset()
        ends_s = now_s + state.run_time_s(job)
        return frozenset(
            job_id
            for job_id, reservation in self._kept.items()
            if job_id != job.job_id and ends_s > reservation.until_s
        )

    def barred(self, before: Iterable[str]) -> Barred:
        """Return the workers that are kept for some jobs, by rack."""
        barred: dict[str, frozenset[str]] = {}
        for job_id in before:
            reservation = self._kept[job_id]
            others = barred.get(reservation.rack, frozenset())
            barred[reservation.rack] = others | reservation.workers
        return barred


def _with_workers(
    state: SchedulerState,
    barred: Barred,
    names: Iterable[str],
) -> Barred:
    """Return barred workers, by rack, with some more of them."""
    workers = state.cluster.workers
    more = dict(barred)
    for worker in filter(None, map(workers.get, names)):
        others = more.get(worker.rack, frozenset())
        more[worker.rack] = others | {worker.name}
    return more


def _in_rack(
    state: SchedulerState,
    rack: Rack,
    job: Job,
    closed: frozenset[str] | None,
) -> Reservation | None:
    """Return the workers of a rack on which a job would fit first."""
    memo_key = (job.slots, job.adjacent)
    if closed is None and memo_key in rack.memo:
        found: Reservation | None = rack.memo[memo_key]
        return found and found._replace(job_id=job.job_id)
    able = [
        worker
        for worker in rack.workers
        if worker.usable and not (closed and worker.name in closed)
    ]
    found = _first_fitting(state, rack, job, able)
    if closed is None:
        rack.memo[memo_key] = found
    return found


def _first_fitting(
    state: SchedulerState,
    rack: Rack,
    job: Job,
    able: list[WorkerState],
) -> Reservation | None:
    widest = max((worker.unguaranteed for worker in able), default=0)
    if job.slots <= widest:
        until_s, name = min(
            (_has_free_at_s(state, worker, job.slots), worker.name)
            for worker in able
            if worker.unguaranteed >= job.slots
        )
        return Reservation(job.job_id, rack.name, frozenset((name,)), until_s)
    total = sum(worker.unguaranteed for worker in able)
    if job.adjacent == 'worker' or total < job.slots:
        return None
    return _whole_workers(state, rack, job, able)


def _whole_workers(
    state: SchedulerState,
    rack: Rack,
    job: Job,
    able: list[WorkerState],
) -> Reservation | None:
    """Take the workers that are wholly free first until they are enough."""
    times = sorted(
        (
            _has_free_at_s(state, worker, worker.unguaranteed),
            worker.name,
            worker.unguaranteed,
        )
        for worker in able
    )
    names: list[str] = []
    missing = job.slots
    for until_s, name, capacity in times:
        names.append(name)
        missing -= capacity
        if missing <= 0:
            kept = frozenset(names)
            return Reservation(job.job_id, rack.name, kept, until_s)
    return None


def _has_free_at_s(
    state: SchedulerState,
    worker: WorkerState,
    slots: int,
) -> float:
    """Return when a worker is expected to have so many slots free."""
    free = worker.free
    if free >= slots:
        return 0
    for end_s, freed in state.ends_on(worker):
        free += freed
        if free >= slots:
            return end_s
    return _NEVER


__all__ = ('MOST_KEPT', 'Reservation', 'Reservations')
