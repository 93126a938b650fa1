"""The capacity of workers, as one round of placement changes it."""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Final

from curranthill.placement.runs import (
    FILLING,
    PLAIN,
    SERVING,
    Run,
    RunKind,
    kind_of,
)
from curranthill.placement.suspects import SUSPECT_TRIAL_S
from curranthill.placement.workers import WorkerEntry
from curranthill.tasks import Resources, Step, TaskKey

#: Kinds of runs that never share a worker: best-effort runs slow down
#: latency-sensitive ones within seconds, by an amount that can't be predicted.
_INTERFERING: Final[dict[RunKind, RunKind]] = {
    FILLING: SERVING,
    SERVING: FILLING,
}

#: The width of a speed level, as a natural logarithm (about a quarter): speeds
#: within one level count as equal.
SPEED_LEVEL: Final = 0.22


class WorkerCapacity:
    """The capacity of one worker during one round.

    :param free: what no run uses now.
    :param unclaimed: what will be free once the runs being stopped have ended,
        less what is claimed for waiting tasks and gangs.
    :param reserved: the part of these claims that is reserved for gangs that
        do not fit yet.
    :param failure_score: recent failures and stalled runs here; 0 if none.
    :param speed: as a multiple of a typical worker's; 1.0 if it is not known
        to differ.
    :param level: the speed in levels above that of a typical worker.
    :param held_exclusively: whether a suspect started here exclusively and is
        still on trial, so that only its own gang may start beside it.
    :param shared_with_suspect: whether a suspect started here exclusively and
        its trial is over, so that other tasks may start beside it.
    :param runs: the runs here, less those that this round stops.
    :param version: incremented with each change.
    """

    __slots__ = (
        '_keys',
        '_kinds',
        'failure_score',
        'entry',
        'free',
        'held_exclusively',
        'reserved',
        'level',
        'runs',
        'shared_with_suspect',
        'unclaimed',
        'speed',
        'version',
    )

    def __init__(
        self,
        *,
        entry: WorkerEntry,
        runs: Iterable[Run],
        failure_score: float,
        speed: float = 1.0,
    ) -> None:
        """Subtract the runs from the capacity of the worker."""
        self.entry = entry
        self.runs = list(runs)
        self.failure_score = failure_score
        self.speed = speed
        self.level = speed_level(speed)
        self.version = 0
        self._keys = [run.key for run in self.runs]
        suspects = [run for run in self.runs if run.exclusive]
        self.held_exclusively = any(
            run.age_s < SUSPECT_TRIAL_S for run in suspects
        )
        self.shared_with_suspect = bool(suspects) and not self.held_exclusively
        self._kinds: list[RunKind] = [
            run.kind for run in self.runs if run.kind != PLAIN
        ]
        self.free = _minus_runs(entry.capacity, self.runs)
        stopping = [run for run in self.runs if run.stop_wanted]
        self.unclaimed = (
            _plus_runs(self.free, stopping) if stopping else self.free
        )
        self.reserved = Resources()

    def fits_now(self, needs: Resources, *, starving: bool = False) -> bool:
        """Return whether a task fits without using what is claimed for others.

        :param starving: whether it may use what is reserved for gangs.
        """
        free = self.free
        if free.gpus < needs.gpus:
            # Checked first, as it rules out most workers of a full cluster.
            return False
        unclaimed = (
            self.unclaimed.plus(self.reserved) if starving else self.unclaimed
        )
        return free.covers(needs) and unclaimed.covers(needs)

    def allows(
        self,
        key: TaskKey,
        step: Step,
        *,
        exclusive: bool = False,
        starving: bool = False,
    ) -> bool:
        """Return whether the constraints of a step let its task run here.

        :param exclusive: only beside members of its own gang.
        :param starving: also beside a suspect that is still on trial.
        """
        gang_only = exclusive or (self.held_exclusively and not starving)
        if gang_only and not self._runs_only_gang_of(key, step):
            return False
        if step.label and step.label not in self.entry.labels:
            return False
        if self._kinds:
            interfering = _INTERFERING.get(kind_of(step), PLAIN)
            if interfering in self._kinds:
                return False
        return self.tasks_left(key, step) > 0

    def tasks_left(self, key: TaskKey, step: Step) -> float:
        """Return how many more tasks of a step its limit per worker allows."""
        if not step.max_per_worker:
            return math.inf
        return step.max_per_worker - self._tasks_of_step(key)

    def is_in_rack(self, rack: str) -> bool:
        """Return whether this worker is in a rack."""
        return rack in self.entry.labels

    def place(
        self,
        key: TaskKey,
        step: Step,
        *,
        exclusive: bool = False,
    ) -> None:
        """Allocate the resources of a task that starts now."""
        self.held_exclusively = self.held_exclusively or exclusive
        needs = resources_needed(step)
        self.version += 1
        self.free = self.free.minus(needs)
        self.unclaimed = self.unclaimed.minus(needs)
        self._keys.append(key)
        if kind_of(step) != PLAIN:
            self._kinds.append(kind_of(step))

    def release(self, key: TaskKey, step: Step) -> None:
        """Undo :meth:`place`."""
        needs = resources_needed(step)
        self.version += 1
        self.free = self.free.plus(needs)
        self.unclaimed = self.unclaimed.plus(needs)
        self._keys.remove(key)
        if not self._keys:
            self.held_exclusively = False
        if kind_of(step) != PLAIN:
            self._kinds.remove(kind_of(step))

    def claim(self, needs: Resources) -> None:
        """Claim capacity that is becoming free for a task that waits for it."""
        self.version += 1
        self.unclaimed = self.unclaimed.minus(needs)

    def reserve(self, needs: Resources) -> None:
        """Claim capacity for a gang member; a starving job may still use it."""
        self.claim(needs)
        self.reserved = self.reserved.plus(needs)

    def evict(self, run: Run) -> None:
        """Count the resources of a run that is stopped as becoming free."""
        if run in self.runs:
            self.version += 1
            self.unclaimed = self.unclaimed.plus(run.needs)
            self.runs.remove(run)

    def _runs_only_gang_of(self, key: TaskKey, step: Step) -> bool:
        """Return whether only members of a task's gang run here."""
        if not self._keys:
            return True
        return step.gang and all(one[:3] == key[:3] for one in self._keys)

    def _tasks_of_step(self, key: TaskKey) -> int:
        """Return how many tasks of a task's step run here."""
        step = key[:3]
        return sum(1 for one in self._keys if one[:3] == step)


class ServiceCapacity:
    """The workers of one service, indexed by rack.

    :param workers: in the order in which equally good ones are chosen.
    """

    def __init__(self, *, workers: Sequence[WorkerCapacity]) -> None:
        """Initialize with an empty index, filled on first use."""
        self.workers = workers
        self._by_label: dict[str, list[WorkerCapacity]] = {}
        self._racks: list[str] = []
        self._fitting_racks: dict[tuple[Step, int], list[str]] = {}

    def limited_to(self, worker_ids: Iterable[str]) -> 'ServiceCapacity':
        """Return a copy with only some of the workers."""
        wanted = set(worker_ids)
        workers = [
            worker
            for worker in self.workers
            if worker.entry.worker_id in wanted
        ]
        return ServiceCapacity(workers=workers)

    @property
    def racks(self) -> list[str]:
        """Return the names of the workers' racks, sorted."""
        if not self._racks:
            self._racks = sorted({worker.entry.rack for worker in self.workers})
        return self._racks

    def in_rack(self, rack: str) -> list[WorkerCapacity]:
        """Return the workers of one rack."""
        if not self._by_label:
            by_label: dict[str, list[WorkerCapacity]] = defaultdict(list)
            for worker in self.workers:
                for label in set(worker.entry.labels):
                    by_label[label].append(worker)
            self._by_label = dict(by_label)
        return self._by_label.get(rack, [])

    def racks_fitting(self, step: Step, wanted: int) -> list[str]:
        """Return the racks that hold ``wanted`` tasks once runs have ended."""
        found = self._fitting_racks.get((step, wanted))
        if found is None:
            found = [
                rack
                for rack in self.racks
                if self.rack_fits(rack, step, wanted)
            ]
            self._fitting_racks[(step, wanted)] = found
        return found

    def rack_fits(self, rack: str, step: Step, wanted: int) -> bool:
        """Return whether a rack holds ``wanted`` tasks once runs have ended."""
        fitting = 0
        for worker in self.in_rack(rack):
            fitting += max_tasks_once_free(worker, step)
            if fitting >= wanted:
                return True
        return False


def speed_level(speed: float) -> int:
    """Return a speed in levels above the speed of a typical worker."""
    return round(math.log(speed) / SPEED_LEVEL)


def max_tasks(worker: WorkerCapacity, step: Step) -> int:
    """Return how many tasks of a step a worker holds when idle."""
    return _max_tasks_in(worker.entry.capacity, worker, step)


def max_tasks_once_free(worker: WorkerCapacity, step: Step) -> int:
    """Return how many tasks of a step a worker holds once its runs have ended.

    Perpetual runs do not end, so their resources count as in use.
    """
    perpetual = [run for run in worker.runs if run.perpetual]
    if not perpetual:
        return max_tasks(worker, step)
    interfering = _INTERFERING.get(kind_of(step))
    if interfering and any(run.kind == interfering for run in perpetual):
        return 0
    return max(
        _max_tasks_in(
            _minus_runs(worker.entry.capacity, perpetual), worker, step
        ),
        0,
    )


def _max_tasks_in(free: Resources, worker: WorkerCapacity, step: Step) -> int:
    """Return how many tasks of a step fit into the free part of a worker."""
    if step.label and step.label not in worker.entry.labels:
        return 0
    needs = resources_needed(step)
    limit = step.width
    for have, need in zip(free, needs, strict=True):
        if need > 0:
            limit = min(limit, have // need)
    return min(limit, step.max_per_worker or limit)


def resources_needed(step: Step) -> Resources:
    """Return the resources that a task of a step takes up on a worker.

    The processor time of a best-effort task is not counted.
    """
    if step.fills:
        return step.needs._replace(cpu_millis=0)
    return step.needs


def _minus_runs(capacity: Resources, runs: Iterable[Run]) -> Resources:
    """Return what some runs leave free of a capacity."""
    cpu_millis, memory_mb, gpus = capacity
    for run in runs:
        needs = run.needs
        cpu_millis -= needs.cpu_millis
        memory_mb -= needs.memory_mb
        gpus -= needs.gpus
    return Resources(cpu_millis, memory_mb, gpus)


def _plus_runs(free: Resources, runs: Iterable[Run]) -> Resources:
    """Return what is free once some runs have ended."""
    for run in runs:
        free = free.plus(run.needs)
    return free


__all__ = (
    'SPEED_LEVEL',
    'ServiceCapacity',
    'WorkerCapacity',
    'max_tasks',
    'max_tasks_once_free',
    'resources_needed',
    'speed_level',
)
