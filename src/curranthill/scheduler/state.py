"""All that a placement policy sees and changes."""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from curranthill.configuration import Adjacency
from curranthill.jobs import Job, Member
from curranthill.membership import Load
from curranthill.scheduler.cluster import Allocation, Cluster, WorkerState
from curranthill.scheduler.estimates import Estimates
from curranthill.scheduler.guarantees import GuaranteePlan, GuaranteeUnit


class WaitingJob(NamedTuple):
    """A job that waits for a place.

    :param since_s: monotonic seconds at which it began to wait.
    """

    job: Job
    since_s: float


class ShapeKey(NamedTuple):
    """What makes two waiting jobs of a workspace equal to placement."""

    workspace: str
    shape: str
    slots: int
    adjacent: Adjacency
    preemptible: bool


@dataclass(kw_only=True)
class PlacedJob:
    """A job that holds a place."""

    job: Job
    members: tuple[Member, ...]
    hard: bool
    guaranteed: bool
    since_s: float
    expected_end_s: float

    def lost_work_s(self, now_s: float) -> float:
        """Return the slot-seconds that stopping it now would lose."""
        if self.job.checkpointable:
            return 0
        return self.job.slots * (now_s - self.since_s)


class Decision(NamedTuple):
    """One placement, with the victims that must stop before it."""

    job: Job
    members: tuple[Member, ...]
    victims: tuple[str, ...]
    guaranteed: bool
    reason: str


class Form(NamedTuple):
    """What two waiting jobs must share to fit or not fit together."""

    slots: int
    adjacent: Adjacency
    preemptible: bool


class Queue:
    """Waiting jobs in lines of one workspace and shape, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._keys: dict[str, ShapeKey] = {}
        self._lines: dict[ShapeKey, deque[WaitingJob]] = {}
        self._by_form: dict[Form, dict[ShapeKey, deque[WaitingJob]]] = {}
        self._by_pair: dict[tuple[str, str], set[ShapeKey]] = {}

    def __len__(self) -> int:
        """Return how many jobs wait."""
        return len(self._keys)

    def __contains__(self, job_id: str) -> bool:
        """Return whether a job waits."""
        return job_id in self._keys

    def __iter__(self) -> Iterator[WaitingJob]:
        """Yield all waiting jobs."""
        for line in self._lines.values():
            yield from line

    def add(self, waiting: WaitingJob) -> None:
        """Let a job wait; one that has waited longer goes before."""
        key = shape_key(waiting.job)
        self._keys[waiting.job.job_id] = key
        line = self._lines.get(key)
        if line is None:
            line = self._open(key)
        if line and waiting.since_s < line[0].since_s:
            line.appendleft(waiting)
        else:
            line.append(waiting)

    def remove(self, job_id: str) -> WaitingJob | None:
        """Take a job out, wherever it stands."""
        waiting = self.get(job_id)
        if waiting is None:
            return None
        key = self._keys.pop(job_id)
        line = self._lines[key]
        line.remove(waiting)
        if not line:
            self._close(key)
        return waiting

    def get(self, job_id: str) -> WaitingJob | None:
        """Return a waiting job."""
        key = self._keys.get(job_id)
        if key is None:
            return None
        line = self._lines[key]
        return next(one for one in line if one.job.job_id == job_id)

    def head(self, key: ShapeKey) -> WaitingJob | None:
        """Return the oldest job of one line."""
        line = self._lines.get(key)
        return line[0] if line else None

    def heads(self) -> list[tuple[ShapeKey, WaitingJob]]:
        """Return the oldest job of each line."""
        return [(key, line[0]) for key, line in self._lines.items()]

    def forms(self) -> list[Form]:
        """Return the forms of which jobs wait."""
        return list(self._by_form)

    def heads_of_form(self, form: Form) -> list[tuple[ShapeKey, WaitingJob]]:
        """Return the oldest job of each line of a form."""
        lines = self._by_form.get(form, {})
        return [(key, line[0]) for key, line in lines.items()]

    def heads_of_pair(
        self,
        workspace: str,
        shape: str,
    ) -> list[tuple[ShapeKey, WaitingJob]]:
        """Return the oldest jobs of a workspace and shape."""
        keys = self._by_pair.get((workspace, shape), ())
        return [(key, self._lines[key][0]) for key in keys]

    def _open(self, key: ShapeKey) -> deque[WaitingJob]:
        line: deque[WaitingJob] = deque()
        self._lines[key] = line
        self._by_form.setdefault(form_of(key), {})[key] = line
        self._by_pair.setdefault((key.workspace, key.shape), set()).add(key)
        return line

    def _close(self, key: ShapeKey) -> None:
        self._lines.pop(key)
        form, pair = form_of(key), (key.workspace, key.shape)
        self._by_form[form].pop(key)
        if not self._by_form[form]:
            self._by_form.pop(form)
        self._by_pair[pair].discard(key)
        if not self._by_pair[pair]:
            self._by_pair.pop(pair)


class SchedulerState:
    """The cluster, the promises, the queue and what is placed.

    Every change goes through :meth:`place`, :meth:`adopt` and
    :meth:`release`, so that the counts always agree.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.cluster = Cluster()
        self.plan = GuaranteePlan(cluster=self.cluster)
        self.queue = Queue()
        self.estimates = Estimates()
        self.placed: dict[str, PlacedJob] = {}
        #: Slots that each workspace holds beyond its guarantees.
        self.borrowed: dict[str, int] = {}
        self.weights: dict[str, float] = {}
        self.may_borrow: dict[str, bool] = {}
        self._ends: dict[str, list[tuple[float, int]]] = {}

    def place(  # noqa: WPS211
        self,
        waiting: WaitingJob,
        members: tuple[Member, ...],
        *,
        hard: bool,
        now_s: float,
        reason: str,
        unit: GuaranteeUnit | None = None,
        victims: Iterable[str] = (),
    ) -> Decision:
        """Give a waiting job a place; its victims lose theirs."""
        stopped = tuple(victims)
        for victim in stopped:
            self.release(victim)
        job = waiting.job
        self.queue.remove(job.job_id)
        if unit is not None:
            self.plan.use(unit, job.job_id)
        self._hold(job, members, hard=hard, unit=unit, now_s=now_s)
        return Decision(
            job=job,
            members=members,
            victims=stopped,
            guaranteed=unit is not None,
            reason=reason,
        )

    def adopt(self, job: Job, now_s: float) -> None:
        """Count a job that already holds its place.

        Promises may then stand in its way; repair the plan once all are in.
        """
        unit = self.plan.free_unit(job.workspace, job.shape)
        if unit is not None:
            self.plan.use(unit, job.job_id)
        hard = unit is not None or not job.preemptible
        self._hold(job, job.members, hard=hard, unit=unit, now_s=now_s)

    def release(self, job_id: str) -> PlacedJob | None:
        """Take a job's place away; one without a place is no error."""
        placed = self.placed.pop(job_id, None)
        if placed is None:
            return None
        self.cluster.release(job_id)
        self._forget_ends(placed.members)
        if placed.guaranteed:
            self.plan.give_back(job_id, placed.members)
        else:
            self.borrowed[placed.job.workspace] -= placed.job.slots
        if placed.hard and self.plan.at_risk:
            self.plan.place_missing()
        return placed

    def load(self) -> Load:
        """Return how full the data centre is, for its neighbours."""
        workers = self.cluster.workers.values()
        return Load(
            free_slots=sum(worker.free for worker in workers),
            widest_free=self.cluster.most('free').total,
            waiting_slots=sum(waiting.job.slots for waiting in self.queue),
        )

    def ends_on(self, worker: WorkerState) -> list[tuple[float, int]]:
        """Return when slots of a worker are expected free, soonest first."""
        known = self._ends.get(worker.name)
        if known is None:
            here = [self.placed[job_id] for job_id in worker.jobs]
            known = sorted(
                (placed.expected_end_s, member.slots)
                for placed in here
                for member in placed.members
                if member.worker == worker.name
            )
            self._ends[worker.name] = known
        return known

    def run_time_s(self, job: Job) -> float:
        """Return how long a job is expected to run at the most, mostly."""
        return self.estimates.run_time_s(
            job.workspace,
            job.kind,
            job.run_time_s,
        )

    def _forget_ends(self, members: Iterable[Member]) -> None:
        for member in members:
            self._ends.pop(member.worker, None)

    def _hold(
        self,
        job: Job,
        members: tuple[Member, ...],
        *,
        hard: bool,
        unit: GuaranteeUnit | None,
        now_s: float,
    ) -> None:
        self._forget_ends(members)
        self.cluster.allocate(
            Allocation(
                job_id=job.job_id,
                members=members,
                hard=hard,
                guaranteed=unit is not None,
            ),
        )
        if unit is None:
            held = self.borrowed.get(job.workspace, 0)
            self.borrowed[job.workspace] = held + job.slots
        self.placed[job.job_id] = PlacedJob(
            job=job,
            members=members,
            hard=hard,
            guaranteed=unit is not None,
            since_s=now_s,
            expected_end_s=now_s + self.run_time_s(job),
        )


def form_of(key: ShapeKey) -> Form:
    """Return the form of a line's jobs."""
    return Form(
        slots=key.slots,
        adjacent=key.adjacent,
        preemptible=key.preemptible,
    )


def shape_key(job: Job) -> ShapeKey:
    """Return what placement tells jobs of a workspace apart by."""
    return ShapeKey(
        workspace=job.workspace,
        shape=job.shape,
        slots=job.slots,
        adjacent=job.adjacent,
        preemptible=job.preemptible,
    )


__all__ = (
    'SchedulerState',
    'Decision',
    'Form',
    'PlacedJob',
    'Queue',
    'ShapeKey',
    'WaitingJob',
    'form_of',
    'shape_key',
)
