"""The scheduling state that placement policies read and change."""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final, NamedTuple

from curranthill.configuration import Adjacency
from curranthill.jobs import Job, Member
from curranthill.membership import Load
from curranthill.scheduler.cluster import Allocation, Cluster, WorkerState
from curranthill.scheduler.estimates import RunTimeEstimates
from curranthill.scheduler.guarantees import GuaranteePlan, GuaranteeUnit

#: Each earlier preemption adds this share to the cost of the next one.
PREEMPTION_COST_SHARE: Final = 0.5


class WaitingJob(NamedTuple):
    """A job that waits for placement.

    :param since_s: monotonic time at which it began to wait, in seconds.
    """

    job: Job
    since_s: float


class ShapeKey(NamedTuple):
    """Properties that make waiting jobs interchangeable for placement."""

    workspace: str
    shape: str
    slots: int
    adjacent: Adjacency
    preemptible: bool


@dataclass(kw_only=True)
class PlacedJob:
    """A job that holds slots on its workers.

    :param non_preemptible: whether it may not be preempted.
    :param guaranteed: whether it uses a guarantee unit.
    """

    job: Job
    members: tuple[Member, ...]
    non_preemptible: bool
    guaranteed: bool
    since_s: float
    expected_end_s: float

    def lost_work_s(self, now_s: float) -> float:
        """Return the slot-seconds of work lost if it is preempted now."""
        if self.job.checkpointable:
            return 0
        return self.job.slots * (now_s - self.since_s)

    def preemption_cost(self, now_s: float) -> float:
        """Return what its preemption costs its caller, in slot-seconds.

        Earlier preemptions count, since a job that was preempted a moment ago
        has the least work to lose and would be preempted again and again.
        """
        restarts_cost = 1 + PREEMPTION_COST_SHARE * self.job.preemptions
        return (self.lost_work_s(now_s) + self.job.slots) * restarts_cost


class Decision(NamedTuple):
    """One placement and the jobs to preempt before it starts.

    :param victims: ids of the jobs to preempt.
    :param guaranteed: whether it uses a guarantee unit.
    :param reason: a few words for the log.
    """

    job: Job
    members: tuple[Member, ...]
    victims: tuple[str, ...]
    guaranteed: bool
    reason: str


class FitClass(NamedTuple):
    """Properties that decide whether a job fits, equal for all of a class."""

    slots: int
    adjacent: Adjacency
    preemptible: bool


class JobQueue:
    """Waiting jobs in one subqueue for each shape key, oldest first."""

    def __init__(self) -> None:
        """Initialize without waiting jobs."""
        self._keys: dict[str, ShapeKey] = {}
        self._subqueues: dict[ShapeKey, deque[WaitingJob]] = {}
        self._by_fit_class: dict[
            FitClass,
            dict[ShapeKey, deque[WaitingJob]],
        ] = {}
        self._by_shape: dict[tuple[str, str], set[ShapeKey]] = {}

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._keys)

    def __contains__(self, job_id: str) -> bool:
        """Return whether a job waits."""
        return job_id in self._keys

    def __iter__(self) -> Iterator[WaitingJob]:
        """Yield all waiting jobs."""
        for subqueue in self._subqueues.values():
            yield from subqueue

    def add(self, waiting: WaitingJob) -> None:
        """Add a job; one that waits longer than the head becomes the head."""
        key = shape_key(waiting.job)
        self._keys[waiting.job.job_id] = key
        subqueue = self._subqueues.get(key)
        if subqueue is None:
            subqueue = self._open(key)
        if subqueue and waiting.since_s < subqueue[0].since_s:
            subqueue.appendleft(waiting)
        else:
            subqueue.append(waiting)

    def remove(self, job_id: str) -> WaitingJob | None:
        """Remove a job from any position and return it."""
        waiting = self.get(job_id)
        if waiting is None:
            return None
        key = self._keys.pop(job_id)
        subqueue = self._subqueues[key]
        subqueue.remove(waiting)
        if not subqueue:
            self._close(key)
        return waiting

    def get(self, job_id: str) -> WaitingJob | None:
        """Return a waiting job by its id."""
        key = self._keys.get(job_id)
        if key is None:
            return None
        subqueue = self._subqueues[key]
        return next(
            waiting for waiting in subqueue if waiting.job.job_id == job_id
        )

    def head(self, key: ShapeKey) -> WaitingJob | None:
        """Return the oldest job of one subqueue."""
        subqueue = self._subqueues.get(key)
        return subqueue[0] if subqueue else None

    def heads(self) -> list[tuple[ShapeKey, WaitingJob]]:
        """Return the oldest job of each subqueue."""
        return [(key, subqueue[0]) for key, subqueue in self._subqueues.items()]

    def fit_classes(self) -> list[FitClass]:
        """Return the fit classes that have waiting jobs."""
        return list(self._by_fit_class)

    def heads_of_fit_class(
        self,
        fit_class: FitClass,
    ) -> list[tuple[ShapeKey, WaitingJob]]:
        """Return the oldest job of each subqueue of a fit class."""
        subqueues = self._by_fit_class.get(fit_class, {})
        return [(key, subqueue[0]) for key, subqueue in subqueues.items()]

    def heads_of_shape(
        self,
        workspace: str,
        shape: str,
    ) -> list[tuple[ShapeKey, WaitingJob]]:
        """Return the oldest job of each subqueue of a workspace and shape."""
        keys = self._by_shape.get((workspace, shape), ())
        return [(key, self._subqueues[key][0]) for key in keys]

    def _open(self, key: ShapeKey) -> deque[WaitingJob]:
        subqueue: deque[WaitingJob] = deque()
        self._subqueues[key] = subqueue
        self._by_fit_class.setdefault(fit_class_of(key), {})[key] = subqueue
        self._by_shape.setdefault((key.workspace, key.shape), set()).add(key)
        return subqueue

    def _close(self, key: ShapeKey) -> None:
        self._subqueues.pop(key)
        fit_class, shape = fit_class_of(key), (key.workspace, key.shape)
        self._by_fit_class[fit_class].pop(key)
        if not self._by_fit_class[fit_class]:
            self._by_fit_class.pop(fit_class)
        self._by_shape[shape].discard(key)
        if not self._by_shape[shape]:
            self._by_shape.pop(shape)


class SchedulerState:
    """The cluster, the guarantee plan, the queue and the placed jobs.

    Placements change only through :meth:`place`, :meth:`adopt` and
    :meth:`release`, which keep all counts consistent.
    """

    def __init__(self) -> None:
        """Initialize without workers, guarantees and jobs."""
        self.cluster = Cluster()
        self.plan = GuaranteePlan(cluster=self.cluster)
        self.queue = JobQueue()
        self.estimates = RunTimeEstimates()
        self.placed: dict[str, PlacedJob] = {}
        #: Slots that each workspace holds beyond its guarantees.
        self.borrowed: dict[str, int] = {}
        self.weights: dict[str, float] = {}
        self.may_borrow: dict[str, bool] = {}
        self._expected_ends: dict[str, list[tuple[float, int]]] = {}

    def place(  # noqa: WPS211
        self,
        waiting: WaitingJob,
        members: tuple[Member, ...],
        *,
        non_preemptible: bool,
        now_s: float,
        reason: str,
        unit: GuaranteeUnit | None = None,
        victims: Iterable[str] = (),
    ) -> Decision:
        """Place a waiting job and release the slots of its victims."""
        preempted = tuple(victims)
        for victim in preempted:
            self.release(victim)
        job = waiting.job
        self.queue.remove(job.job_id)
        if unit is not None:
            self.plan.assign(unit, job.job_id)
        self._allocate(
            job,
            members,
            non_preemptible=non_preemptible,
            unit=unit,
            now_s=now_s,
        )
        return Decision(
            job=job,
            members=members,
            victims=preempted,
            guaranteed=unit is not None,
            reason=reason,
        )

    def adopt(self, job: Job, now_s: float) -> None:
        """Add a job that already holds its slots.

        Planned placements may then overlap with it: repair the plan after
        all such jobs have been added.
        """
        unit = self.plan.free_unit(job.workspace, job.shape)
        if unit is not None:
            self.plan.assign(unit, job.job_id)
        non_preemptible = unit is not None or not job.preemptible
        self._allocate(
            job,
            job.members,
            non_preemptible=non_preemptible,
            unit=unit,
            now_s=now_s,
        )

    def release(self, job_id: str) -> PlacedJob | None:
        """Release a job's slots; return nothing if it holds none."""
        placed = self.placed.pop(job_id, None)
        if placed is None:
            return None
        self.cluster.release(job_id)
        self._invalidate_expected_ends(placed.members)
        if placed.guaranteed:
            self.plan.return_unit(job_id, placed.members)
        else:
            self.borrowed[placed.job.workspace] -= placed.job.slots
        if placed.non_preemptible and self.plan.at_risk:
            self.plan.plan_missing()
        return placed

    def load(self) -> Load:
        """Return the load of the data centre, as published to neighbours."""
        workers = self.cluster.workers.values()
        return Load(
            free_slots=sum(worker.free for worker in workers),
            widest_free=self.cluster.max_capacity('free').total,
            waiting_slots=sum(waiting.job.slots for waiting in self.queue),
        )

    def expected_ends_on(self, worker: WorkerState) -> list[tuple[float, int]]:
        """Return expected end times and slots on a worker, soonest first."""
        ends = self._expected_ends.get(worker.name)
        if ends is None:
            placed_here = [self.placed[job_id] for job_id in worker.jobs]
            ends = sorted(
                (placed.expected_end_s, member.slots)
                for placed in placed_here
                for member in placed.members
                if member.worker == worker.name
            )
            self._expected_ends[worker.name] = ends
        return ends

    def run_time_s(self, job: Job) -> float:
        """Return the run time that a job is expected not to exceed."""
        return self.estimates.run_time_s(
            job.workspace,
            job.kind,
            job.run_time_s,
        )

    def _invalidate_expected_ends(self, members: Iterable[Member]) -> None:
        for member in members:
            self._expected_ends.pop(member.worker, None)

    def _allocate(
        self,
        job: Job,
        members: tuple[Member, ...],
        *,
        non_preemptible: bool,
        unit: GuaranteeUnit | None,
        now_s: float,
    ) -> None:
        self._invalidate_expected_ends(members)
        self.cluster.allocate(
            Allocation(
                job_id=job.job_id,
                members=members,
                non_preemptible=non_preemptible,
                guaranteed=unit is not None,
            ),
        )
        if unit is None:
            held = self.borrowed.get(job.workspace, 0)
            self.borrowed[job.workspace] = held + job.slots
        self.placed[job.job_id] = PlacedJob(
            job=job,
            members=members,
            non_preemptible=non_preemptible,
            guaranteed=unit is not None,
            since_s=now_s,
            expected_end_s=now_s + self.run_time_s(job),
        )


def fit_class_of(key: ShapeKey) -> FitClass:
    """Return the fit class of the jobs with a shape key."""
    return FitClass(
        slots=key.slots,
        adjacent=key.adjacent,
        preemptible=key.preemptible,
    )


def shape_key(job: Job) -> ShapeKey:
    """Return the shape key of a job."""
    return ShapeKey(
        workspace=job.workspace,
        shape=job.shape,
        slots=job.slots,
        adjacent=job.adjacent,
        preemptible=job.preemptible,
    )


__all__ = (
    'Decision',
    'FitClass',
    'JobQueue',
    'PlacedJob',
    'SchedulerState',
    'ShapeKey',
    'WaitingJob',
    'fit_class_of',
    'shape_key',
)
