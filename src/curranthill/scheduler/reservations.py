"""Reservation of workers for waiting gangs, with backfill."""

from collections.abc import Iterable
from typing import NamedTuple

from curranthill.jobs import Job, Member
from curranthill.scheduler.cluster import Rack, WorkerState
from curranthill.scheduler.reservation_windows import WorkerReservationWindows
from curranthill.scheduler.search import ExcludedWorkers
from curranthill.scheduler.state import SchedulerState

#: The maximum number of jobs with reserved workers at the same time.
MAX_RESERVATIONS = 4

#: The minimum share of all workers that stays unreserved, except that the first
#: reservation may exceed it.
MIN_UNRESERVED_SHARE = 0.75

_NEVER = float('inf')


class Reservation(NamedTuple):
    """Workers of one rack reserved for a job until it is expected to fit.

    :param until_s: monotonic time at which it is expected to fit, in seconds.
    """

    job_id: str
    rack: str
    workers: frozenset[str]
    until_s: float


class Reservations:
    """Reserved workers, on which waiting gangs are expected to fit first.

    Other jobs may use a reserved worker only if they are expected to end
    before the gang starts (backfill). A reservation covers workers, not the
    rest of their rack, although :func:`find_placement` skips the whole rack. At
    least three quarters of all workers stay unreserved, unless the first gang
    needs more.

    Only unguaranteed slots are counted: a guarantee could claim other slots as
    soon as they are drained, and they would never be free for the gang.

    A worker that was reserved in vain for its window is open to all jobs for
    as long (cooldown): work on it, or on the workers reserved with it, may
    outlast its estimate.
    """

    def __init__(self) -> None:
        """Initialize without reservations."""
        self._reservations: dict[str, Reservation] = {}
        self._windows = WorkerReservationWindows()

    @property
    def full(self) -> bool:
        """Return whether the maximum number of reservations is reached."""
        return len(self._reservations) >= MAX_RESERVATIONS

    def clear(self, now_s: float) -> None:
        """Drop all reservations; windows and cooldowns of workers continue."""
        reserved = [one.workers for one in self._reservations.values()]
        self._windows.retain(frozenset().union(*reserved), now_s)
        self._reservations.clear()

    def on_placed(self, job_id: str, members: Iterable[Member]) -> None:
        """Drop the reservation of a job that has been placed."""
        reservation = self._reservations.pop(job_id, None)
        if reservation is not None:
            used = {member.worker for member in members}
            self._windows.end(reservation.workers & used)

    def get(self, job_id: str) -> Reservation | None:
        """Return the reservation of a job."""
        return self._reservations.get(job_id)

    def reserve_for(
        self,
        state: SchedulerState,
        job: Job,
        now_s: float,
    ) -> None:
        """Reserve the workers on which a job will fit first, if possible."""
        reserved_workers = self.reserved_workers(self._reservations)
        excluded = _with_workers(
            state,
            reserved_workers,
            self._windows.cooling_down(now_s),
        )
        best: Reservation | None = None
        for name, rack in state.cluster.racks.items():
            found = _in_rack(state, rack, job, excluded.get(name))
            if found and (best is None or found.until_s < best.until_s):
                best = found
        if best is None or best.until_s == _NEVER:
            return
        reserved = sum(len(workers) for workers in reserved_workers.values())
        unreserved = len(state.cluster.workers) - reserved - len(best.workers)
        if not self._reservations or unreserved >= MIN_UNRESERVED_SHARE * len(
            state.cluster.workers,
        ):
            until_s = max(now_s, best.until_s)
            self._reservations[job.job_id] = best._replace(until_s=until_s)
            self._windows.begin(best.workers, now_s, until_s - now_s)

    def blocking_jobs(
        self,
        state: SchedulerState,
        job: Job,
        now_s: float,
    ) -> frozenset[str]:
        """Return the jobs whose reserved workers a job may not use."""
        if not self._reservations:
            return frozenset()
        end_s = now_s + state.run_time_s(job)
        return frozenset(
            job_id
            for job_id, reservation in self._reservations.items()
            if job_id != job.job_id and end_s > reservation.until_s
        )

    def reserved_workers(self, blocking_jobs: Iterable[str]) -> ExcludedWorkers:
        """Return the workers that are reserved for some jobs, by rack."""
        excluded: dict[str, frozenset[str]] = {}
        for job_id in blocking_jobs:
            reservation = self._reservations[job_id]
            others = excluded.get(reservation.rack, frozenset())
            excluded[reservation.rack] = others | reservation.workers
        return excluded


def _with_workers(
    state: SchedulerState,
    excluded: ExcludedWorkers,
    names: Iterable[str],
) -> ExcludedWorkers:
    """Return excluded workers by rack, extended by more workers."""
    workers = state.cluster.workers
    more = dict(excluded)
    for worker in filter(None, map(workers.get, names)):
        others = more.get(worker.rack, frozenset())
        more[worker.rack] = others | {worker.name}
    return more


def _in_rack(
    state: SchedulerState,
    rack: Rack,
    job: Job,
    excluded: frozenset[str] | None,
) -> Reservation | None:
    """Return the workers of a rack on which a job would fit first."""
    cache_key = (job.slots, job.adjacent)
    if excluded is None and cache_key in rack.cache:
        found: Reservation | None = rack.cache[cache_key]
        return found and found._replace(job_id=job.job_id)
    eligible = [
        worker
        for worker in rack.workers
        if worker.usable and not (excluded and worker.name in excluded)
    ]
    found = _first_fitting(state, rack, job, eligible)
    if excluded is None:
        rack.cache[cache_key] = found
    return found


def _first_fitting(
    state: SchedulerState,
    rack: Rack,
    job: Job,
    eligible: list[WorkerState],
) -> Reservation | None:
    max_on_worker = max((worker.unguaranteed for worker in eligible), default=0)
    if job.slots <= max_on_worker:
        until_s, name = min(
            (_free_at_s(state, worker, job.slots), worker.name)
            for worker in eligible
            if worker.unguaranteed >= job.slots
        )
        return Reservation(job.job_id, rack.name, frozenset((name,)), until_s)
    total = sum(worker.unguaranteed for worker in eligible)
    if job.adjacent == 'worker' or total < job.slots:
        return None
    return _whole_workers(state, rack, job, eligible)


def _whole_workers(
    state: SchedulerState,
    rack: Rack,
    job: Job,
    eligible: list[WorkerState],
) -> Reservation | None:
    """Reserve the workers that are entirely free first until they suffice."""
    times = sorted(
        (
            _free_at_s(state, worker, worker.unguaranteed),
            worker.name,
            worker.unguaranteed,
        )
        for worker in eligible
    )
    names: list[str] = []
    missing = job.slots
    for until_s, name, capacity in times:
        names.append(name)
        missing -= capacity
        if missing <= 0:
            reserved = frozenset(names)
            return Reservation(job.job_id, rack.name, reserved, until_s)
    return None


def _free_at_s(
    state: SchedulerState,
    worker: WorkerState,
    slots: int,
) -> float:
    """Return when a worker is expected to have this many free slots."""
    free = worker.free
    if free >= slots:
        return 0
    for end_s, freed in state.expected_ends_on(worker):
        free += freed
        if free >= slots:
            return end_s
    return _NEVER


__all__ = ('MAX_RESERVATIONS', 'Reservation', 'Reservations')
