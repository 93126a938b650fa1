"""Capacity of workers while one round of placements is worked out."""

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

#: Kinds of runs that are not put on one worker: what fills slows what serves
#: within seconds, by amounts that nobody knows before.
_DISTURBED: Final[dict[RunKind, RunKind]] = {
    FILLING: SERVING,
    SERVING: FILLING,
}


#: Speeds within one level count as equal, as a logarithm: a quarter.
LEVEL: Final = 0.22


class WorkerCapacity:
    """One worker's room in one round.

    :param free: what no run takes now.
    :param soon: what will be free once the runs being stopped have ended,
        less what waiting urgent tasks have claimed of it.
    :param reserved: what of that is kept for gangs that do not fit yet.
    :param failure_score: recent failures and stalled runs here; 0 if none.
    :param speed: of a typical worker's; 1.0 if it is not known to differ.
    :param level: that speed in levels above the typical one.
    :param held_exclusively: whether a suspect has just started here alone, so
        that only its own gang may start beside it.
    :param shared_with_suspect: whether a suspect started here alone, so long
        ago that other tasks may start beside it.
    :param runs: what runs here, less what this round stops.
    :param version: grows with each change of this room.
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
        'soon',
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
        """Add up the runs that take room."""
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
        self.free = _less(entry.capacity, self.runs)
        stopping = [run for run in self.runs if run.stop_wanted]
        self.soon = _plus(self.free, stopping) if stopping else self.free
        self.reserved = Resources()

    def fits_now(self, needs: Resources, *, starving: bool = False) -> bool:
        """Return whether a task fits without taking what others claimed.

        :param starving: it may take what is kept for gangs.
        """
        free = self.free
        if free.gpus < needs.gpus:
            # Most rooms of a full cluster end here.
            return False
        soon = self.soon.plus(self.reserved) if starving else self.soon
        return free.covers(needs) and soon.covers(needs)

    def allows(
        self,
        key: TaskKey,
        step: Step,
        *,
        exclusive: bool = False,
        starving: bool = False,
    ) -> bool:
        """Return whether a step's own limits let a task run here.

        :param exclusive: only beside members of its own gang.
        :param starving: also beside a suspect that has just started.
        """
        closed = exclusive or (self.held_exclusively and not starving)
        if closed and not self._only_gang_of(key, step):
            return False
        if step.label and step.label not in self.entry.labels:
            return False
        if self._kinds:
            disturbed = _DISTURBED.get(kind_of(step), PLAIN)
            if disturbed in self._kinds:
                return False
        return self.tasks_left(key, step) > 0

    def tasks_left(self, key: TaskKey, step: Step) -> float:
        """Return how many more tasks of a step its own limit lets run here."""
        if not step.max_per_worker:
            return math.inf
        return step.max_per_worker - self._count(key)

    def near(self, rack: str) -> bool:
        """Return whether this worker stands in a rack."""
        return rack in self.entry.labels

    def place(
        self,
        key: TaskKey,
        step: Step,
        *,
        exclusive: bool = False,
    ) -> None:
        """Take room for a task that starts now."""
        self.held_exclusively = self.held_exclusively or exclusive
        needs = resources_needed(step)
        self.version += 1
        self.free = self.free.minus(needs)
        self.soon = self.soon.minus(needs)
        self._keys.append(key)
        if kind_of(step) != PLAIN:
            self._kinds.append(kind_of(step))

    def unplace(self, key: TaskKey, step: Step) -> None:
        """Give back what :meth:`place` took."""
        needs = resources_needed(step)
        self.version += 1
        self.free = self.free.plus(needs)
        self.soon = self.soon.plus(needs)
        self._keys.remove(key)
        if not self._keys:
            self.held_exclusively = False
        if kind_of(step) != PLAIN:
            self._kinds.remove(kind_of(step))

    def claim(self, needs: Resources) -> None:
        """Claim room that is becoming free for a task that waits for it."""
        self.version += 1
        self.soon = self.soon.minus(needs)

    def reserve(self, needs: Resources) -> None:
        """Claim room for a member of a gang, unless somebody starves."""
        self.claim(needs)
        self.reserved = self.reserved.plus(needs)

    def evict(self, run: Run) -> None:
        """Count a run's room as becoming free."""
        if run in self.runs:
            self.version += 1
            self.soon = self.soon.plus(run.needs)
            self.runs.remove(run)

    def _only_gang_of(self, key: TaskKey, step: Step) -> bool:
        """Return whether nothing runs here but members of a task's gang."""
        if not self._keys:
            return True
        return step.gang and all(one[:3] == key[:3] for one in self._keys)

    def _count(self, key: TaskKey) -> int:
        """Return how many tasks of a task's step run here."""
        step = key[:3]
        return sum(1 for one in self._keys if one[:3] == step)


class ServiceCapacity:
    """The rooms of one service, and which of them stand together.

    :param workers: in the order in which equal ones are taken.
    """

    def __init__(self, *, workers: Sequence[WorkerCapacity]) -> None:
        """Start with no rack asked for."""
        self.workers = workers
        self._labelled: dict[str, list[WorkerCapacity]] = {}
        self._racks: list[str] = []
        self._holding: dict[tuple[Step, int], list[str]] = {}

    def limited_to(self, worker_ids: Iterable[str]) -> 'ServiceCapacity':
        """Return only the rooms of some workers."""
        wanted = set(worker_ids)
        workers = [
            worker
            for worker in self.workers
            if worker.entry.worker_id in wanted
        ]
        return ServiceCapacity(workers=workers)

    @property
    def racks(self) -> list[str]:
        """Return the racks in which the workers stand, by name."""
        if not self._racks:
            self._racks = sorted({worker.entry.rack for worker in self.workers})
        return self._racks

    def in_rack(self, rack: str) -> list[WorkerCapacity]:
        """Return the rooms of one rack."""
        if not self._labelled:
            labelled: dict[str, list[WorkerCapacity]] = defaultdict(list)
            for worker in self.workers:
                for label in set(worker.entry.labels):
                    labelled[label].append(worker)
            self._labelled = dict(labelled)
        return self._labelled.get(rack, [])

    def racks_that_hold(self, step: Step, wanted: int) -> list[str]:
        """Return the racks that hold so many tasks once runs have ended."""
        found = self._holding.get((step, wanted))
        if found is None:
            found = [
                rack for rack in self.racks if self.holds_in(rack, step, wanted)
            ]
            self._holding[(step, wanted)] = found
        return found

    def holds_in(self, rack: str, step: Step, wanted: int) -> bool:
        """Return whether a rack holds so many tasks once runs have ended."""
        held = 0
        for worker in self.in_rack(rack):
            held += copies_once_free(worker, step)
            if held >= wanted:
                return True
        return False


def speed_level(speed: float) -> int:
    """Return a speed in levels above that of a typical worker."""
    return round(math.log(speed) / LEVEL)


def copies(worker: WorkerCapacity, step: Step) -> int:
    """Return how many tasks of a step an idle room holds."""
    return _copies_in(worker.entry.capacity, worker, step)


def copies_once_free(worker: WorkerCapacity, step: Step) -> int:
    """Return how many tasks of a step a room holds once its runs have ended.

    Runs that last do not.
    """
    perpetual = [run for run in worker.runs if run.perpetual]
    if not perpetual:
        return copies(worker, step)
    disturbed = _DISTURBED.get(kind_of(step))
    if disturbed and any(run.kind == disturbed for run in perpetual):
        return 0
    return max(
        _copies_in(_less(worker.entry.capacity, perpetual), worker, step), 0
    )


def _copies_in(free: Resources, worker: WorkerCapacity, step: Step) -> int:
    """Return how many tasks of a step fit into what is free of a room."""
    if step.label and step.label not in worker.entry.labels:
        return 0
    needs = resources_needed(step)
    most = step.width
    for have, need in zip(free, needs, strict=True):
        if need > 0:
            most = min(most, have // need)
    return min(most, step.max_per_worker or most)


def resources_needed(step: Step) -> Resources:
    """Return what a task of a step takes of a worker's room."""
    if step.fills:
        return step.needs._replace(cpu_millis=0)
    return step.needs


def _less(capacity: Resources, runs: Iterable[Run]) -> Resources:
    """Return what some runs leave of a capacity."""
    cpu_millis, memory_mb, gpus = capacity
    for run in runs:
        needs = run.needs
        cpu_millis -= needs.cpu_millis
        memory_mb -= needs.memory_mb
        gpus -= needs.gpus
    return Resources(cpu_millis, memory_mb, gpus)


def _plus(free: Resources, runs: Iterable[Run]) -> Resources:
    """Return free capacity with what some runs release."""
    for run in runs:
        free = free.plus(run.needs)
    return free


__all__ = (
    'LEVEL',
    'WorkerCapacity',
    'ServiceCapacity',
    'copies',
    'copies_once_free',
    'speed_level',
    'resources_needed',
)
