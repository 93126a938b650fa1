"""How fast each worker is for good, learnt from the progress of its runs.

Answers workers of unlike speed of which nothing is told. A run is slow because
its worker is, because its step was estimated too short, or by itself. Tasks of
one step on other workers tell the step's part, other steps on the same worker
tell the worker's; what is left is the task's own and is bounded, so that a
long task makes no worker slow.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from itertools import islice
from statistics import median
from typing import Any, Final, NamedTuple, TypeVar

from curranthill.placement.durations import DurationEstimator, Ratio
from curranthill.tasks import TaskKey

#: How far tasks of one step differ, as a logarithm: by about a third.
TASK_SPREAD: Final = 0.3

#: How far workers may differ before anything is known, as a logarithm: some
#: are twice as fast as others.
WORKER_SPREAD: Final = 0.5

#: Beyond so many standard deviations a run pulls no harder: it is taken for a
#: long task, or for a spell of its worker.
BOUND_DEVIATIONS: Final = 1.5

#: Steps that count for one worker, the newest: what changes for good is learnt
#: within seconds, and a spell of seconds is still the smaller part.
STEPS_A_WORKER: Final = 16

#: Workers that tell a step's part: more of them tell nothing new.
WORKERS_A_STEP: Final = 48

#: Runs of one step that count at one worker.
RUNS_A_CELL: Final = 8

#: Steps that are remembered at all; bounds memory beside the workers'.
MOST_STEPS: Final = 2048

#: A worker counts as unlike others by no less than so many of its standard
#: deviations: of some hundred alike none should.
SURE_DEVIATIONS: Final = 3.5

#: From so many steps on, so that no single job speaks for a worker.
SURE_STEPS: Final = 3

#: Unlikeness below this matters to nobody, as a logarithm.
LEAST_UNLIKE: Final = 0.1

#: How often the Huber weights are worked out anew.
BALANCE_ROUNDS: Final = 3

#: The largest logarithm of a ratio that is believed.
MOST_LOG: Final = 3.0

#: Workers and steps worked out in one go, so that thousands of workers hold up
#: no heartbeat.
MOST_AT_ONCE: Final = 256

_StepName = tuple[str, int, int]

Name = TypeVar('Name')


class Speed(NamedTuple):
    """A worker's lasting speed.

    :param factor: of a typical worker's; 1.0 if it is not known to differ.
    :param spread: how uncertain the learnt speed is, as a logarithm.
    :param estimate: what the factor would be were it sure.
    :param steps: how many steps told of it.
    """

    factor: float = 1.0
    spread: float = WORKER_SPREAD
    estimate: float = 1.0
    steps: int = 0


#: What is said of a worker that nothing is known of.
UNKNOWN: Final = Speed()


class Observation(NamedTuple):
    """How fast one run comes on.

    :param progress_rate: estimated seconds of work done per second: 1.0 if the
        run takes as long as estimated.
    """

    worker_id: str
    incarnation: int
    queue: str
    task: TaskKey
    progress_rate: float


class _Cell:
    """The runs of one step at one worker.

    :param worker: where they ran.
    :param step: what they were part of.
    :param log: the median logarithm of their paces.
    """

    __slots__ = ('_logs', 'log', 'step', 'worker')

    def __init__(self, worker: '_Worker', step: '_Step') -> None:
        self.worker = worker
        self.step = step
        self.log = 0.0
        self._logs: OrderedDict[int, float] = OrderedDict()

    @property
    def variance(self) -> float:
        """Return how uncertain the median is by the tasks' own part."""
        return TASK_SPREAD**2 / len(self._logs)

    def record(self, rank: int, log: float) -> None:
        self._logs[rank] = log
        if len(self._logs) > RUNS_A_CELL:
            self._logs.popitem(last=False)
        self.log = median(self._logs.values())


class _Worker:
    """What is known of one worker.

    :param log: the logarithm of its speed against a typical worker's.
    """

    __slots__ = ('cells', 'incarnation', 'log', 'variance')

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.cells: OrderedDict[_StepName, _Cell] = OrderedDict()
        self.log = 0.0
        self.variance = WORKER_SPREAD**2

    def refresh(self) -> None:
        """Work out the speed from what its cells and their steps tell."""
        told = [cell.step.without(cell) for cell in self.cells.values()]
        pulls = [
            _Pull(cell.log - part.log, cell.variance + part.variance)
            for cell, part in zip(self.cells.values(), told, strict=True)
        ]
        prior = _Part(0.0, WORKER_SPREAD**2)
        part = _balance(pulls, prior, self.log)
        self.log = part.log
        self.variance = part.variance


class _Part(NamedTuple):
    """One side's part in the paces, as a logarithm, and how sure it is."""

    log: float
    variance: float


class _Pull(NamedTuple):
    """What one cell says of a part."""

    log: float
    variance: float


class _Step:
    """What is known of one step.

    :param cells: by worker.
    :param log: the logarithm of its pace on a typical worker.
    """

    __slots__ = ('_pulls', '_sum', '_weight', 'cells', 'log', 'queue')

    def __init__(self, queue: str) -> None:
        self.queue = queue
        self.cells: OrderedDict[str, _Cell] = OrderedDict()
        self.log = 0.0
        self._pulls: dict[_Cell, tuple[float, float]] = {}
        self._sum = 0.0
        self._weight = 1.0 / WORKER_SPREAD**2

    def refresh(self, expected: Ratio) -> None:
        """Work out the pace from the cells and what is expected."""
        found = [
            _Pull(
                cell.log - cell.worker.log,
                cell.variance + cell.worker.variance,
            )
            for cell in self.cells.values()
        ]
        prior = _Part(-expected.log, expected.spread**2)
        self.log = _balance(found, prior, _middle(found, prior)).log
        self._pulls = {}
        self._sum = prior.log / prior.variance
        self._weight = 1 / prior.variance
        for cell, pull in zip(self.cells.values(), found, strict=True):
            weight = _weight(pull, self.log)
            self._pulls[cell] = (weight, weight * pull.log)
            self._sum += weight * pull.log
            self._weight += weight

    def without(self, cell: _Cell) -> _Part:
        """Return the step's part as all other workers tell it."""
        weight, pulled = self._pulls.get(cell, (0.0, 0.0))
        left = self._weight - weight
        return _Part((self._sum - pulled) / left, 1 / left)


class SpeedEstimator:
    """What is known of all workers' speeds.

    :param durations: is told the ratio of each step.
    """

    def __init__(self, *, durations: DurationEstimator) -> None:
        """Start with nothing known."""
        self._durations = durations
        self._workers: dict[str, _Worker] = {}
        self._steps: OrderedDict[_StepName, _Step] = OrderedDict()
        self._stale_workers: dict[str, None] = {}
        self._stale_steps: dict[_StepName, None] = {}
        self._typical = 0.0
        self._speeds: dict[str, Speed] = {}

    def record(self, observation: Observation) -> None:
        """Take note of a run's pace; it takes the place of a former one."""
        if observation.progress_rate <= 0:
            return
        name = observation.task[:3]
        worker = self._worker(observation)
        step = self._step(name, observation.queue)
        cell = worker.cells.get(name)
        if cell is None or cell.step is not step:
            cell = _Cell(worker, step)
            worker.cells[name] = cell
            step.cells[observation.worker_id] = cell
            _drop_oldest(worker.cells, STEPS_A_WORKER)
            _drop_oldest(step.cells, WORKERS_A_STEP)
        log = math.log(observation.progress_rate)
        cell.record(observation.task.rank, max(-MOST_LOG, min(log, MOST_LOG)))
        self._stale_steps[name] = None
        self._stale_workers[observation.worker_id] = None

    def refresh(self) -> None:
        """Work out what was noted since; what is too much waits its turn."""
        if not self._stale_workers:
            return
        for name in _taken(self._stale_steps):
            step = self._steps.get(name)
            if step is not None:
                step.refresh(self._durations.ratio_of(step.queue))
                self._durations.record(step.queue, name, -step.log)
        for worker_id in _taken(self._stale_workers):
            worker = self._workers.get(worker_id)
            if worker is not None:
                worker.refresh()
        self._typical = _typical(self._workers.values())
        self._speeds.clear()

    def speed_of(self, worker_id: str, incarnation: int) -> Speed:
        """Return the speed of one life of a worker."""
        known = self._speeds.get(worker_id)
        if known is None:
            known = self._judge(worker_id)
            self._speeds[worker_id] = known
        worker = self._workers.get(worker_id)
        if worker is None or worker.incarnation != incarnation:
            return UNKNOWN
        return known

    def forget_except(self, worker_ids: Iterable[str]) -> None:
        """Drop the workers that are gone."""
        kept = set(worker_ids)
        gone = [one for one in self._workers if one not in kept]
        for worker_id in gone:
            self._workers.pop(worker_id)
            self._speeds.pop(worker_id, None)

    def _worker(self, observation: Observation) -> _Worker:
        worker = self._workers.get(observation.worker_id)
        if worker is None or worker.incarnation != observation.incarnation:
            worker = _Worker(observation.incarnation)
            self._workers[observation.worker_id] = worker
            self._speeds.pop(observation.worker_id, None)
        return worker

    def _step(self, name: _StepName, queue: str) -> _Step:
        step = self._steps.get(name)
        if step is None:
            step = _Step(queue)
            self._steps[name] = step
            _drop_oldest(self._steps, MOST_STEPS)
        return step

    def _judge(self, worker_id: str) -> Speed:
        worker = self._workers.get(worker_id)
        if worker is None:
            return UNKNOWN
        unlike = worker.log - self._typical
        spread = math.sqrt(worker.variance)
        steps = len(worker.cells)
        estimate = math.exp(unlike)
        sure = abs(unlike) > max(SURE_DEVIATIONS * spread, LEAST_UNLIKE)
        factor = estimate if sure and steps >= SURE_STEPS else 1.0
        return Speed(factor, spread, estimate, steps)


def _balance(
    pulls: list[_Pull],
    prior: _Part,
    start: float,
) -> _Part:
    """Return the robust weighted mean of pulls and prior, and its variance."""
    log = start
    weight = 1 / prior.variance
    for _ in range(BALANCE_ROUNDS):
        total = prior.log / prior.variance
        weight = 1 / prior.variance
        for pull in pulls:
            one = _weight(pull, log)
            total += one * pull.log
            weight += one
        log = total / weight
    return _Part(log, 1 / weight)


def _middle(pulls: list[_Pull], prior: _Part) -> float:
    return median([prior.log, *(one.log for one in pulls)])


def _weight(pull: _Pull, around: float) -> float:
    """Return the Huber weight: constant near, falling with distance beyond."""
    off = abs(pull.log - around)
    bound = BOUND_DEVIATIONS * math.sqrt(pull.variance)
    full = 1 / pull.variance
    return full if off <= bound else full * bound / off


def _typical(workers: Iterable[_Worker]) -> float:
    """Return the median logarithm of the known workers' speeds."""
    return median([one.log for one in workers] or [0.0])


def _drop_oldest(table: OrderedDict[Any, Any], most: int) -> None:
    if len(table) > most:
        table.popitem(last=False)


def _taken(names: dict[Name, None]) -> list[Name]:
    """Take some names off a list, the oldest first."""
    chosen = list(islice(names, MOST_AT_ONCE))
    for name in chosen:
        names.pop(name)
    return chosen


__all__ = ('UNKNOWN', 'Observation', 'Speed', 'SpeedEstimator')
