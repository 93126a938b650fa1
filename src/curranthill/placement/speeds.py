"""Estimation of each worker's lasting speed from the progress of its runs.

The platform does not list the speeds of workers. A run is slow because its
worker is slow, because its step was estimated too short, or because its task
is longer than the others. The logarithm of its progress rate is modelled as
the sum of a worker effect, a step effect and a residual: the tasks of a step
on other workers determine the step effect, and other steps on the same worker
the worker effect. Residuals are bounded (Huber weights), so that one long task
doesn't make its worker count as slow.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from itertools import islice
from statistics import median
from typing import Any, Final, NamedTuple, TypeVar

from curranthill.placement.durations import DurationEstimator, Ratio
from curranthill.tasks import TaskKey

#: The standard deviation between tasks of one step, as a natural logarithm:
#: about a third.
TASK_SPREAD: Final = 0.3

#: The prior standard deviation between workers, as a logarithm: some are twice
#: as fast as others.
WORKER_SPREAD: Final = 0.5

#: The influence of a run that deviates by more standard deviations is bounded:
#: it is taken for a long task or a temporary slowdown of its worker.
HUBER_DEVIATIONS: Final = 1.5

#: The newest steps that count for one worker: few enough to learn a lasting
#: change within seconds, enough for a slowdown of some seconds to stay the
#: smaller part.
STEPS_PER_WORKER: Final = 16

#: The workers that count for the effect of one step: more add no information.
WORKERS_PER_STEP: Final = 48

#: The runs of one step that count on one worker.
RUNS_PER_CELL: Final = 8

#: The maximum number of steps stored: with the workers' cells it bounds memory.
MAX_STEPS: Final = 2048

#: A worker counts as different from a typical one only beyond this number of
#: its standard deviations: of some hundred equal workers none should.
SIGNIFICANT_DEVIATIONS: Final = 3.5

#: The least number of steps for a worker to count as different, so that no
#: single job decides.
MIN_STEPS: Final = 3

#: Smaller differences are irrelevant, as a logarithm.
MIN_DIFFERENCE: Final = 0.1

#: The number of iterations of the Huber weights.
HUBER_ITERATIONS: Final = 3

#: Logarithms of progress rates are clipped to this absolute value.
MAX_LOG: Final = 3.0

#: The most workers, and the most steps, estimated in one refresh, so that
#: thousands of workers don't delay a heartbeat.
MAX_PER_REFRESH: Final = 256

_StepKey = tuple[str, int, int]

Name = TypeVar('Name')


class Speed(NamedTuple):
    """A worker's lasting speed.

    :param factor: as a multiple of a typical worker's; 1.0 if it is not known
        to differ.
    :param spread: the standard deviation of the estimate, as a logarithm.
    :param estimate: the estimated factor, significant or not.
    :param steps: how many steps the estimate is based on.
    """

    factor: float = 1.0
    spread: float = WORKER_SPREAD
    estimate: float = 1.0
    steps: int = 0


#: The speed of a worker without any observation.
UNKNOWN: Final = Speed()


class Observation(NamedTuple):
    """The progress rate of one run.

    :param progress_rate: estimated seconds of work done per second: 1.0 if the
        run takes as long as estimated.
    """

    worker_id: str
    incarnation: int
    queue: str
    task: TaskKey
    progress_rate: float


class _Cell:
    """The runs of one step on one worker: a cell of the two-way table.

    :param worker: the worker on which they ran.
    :param step: the step that they belong to.
    :param log: the median logarithm of their progress rates.
    """

    __slots__ = ('_logs', 'log', 'step', 'worker')

    def __init__(self, worker: '_Worker', step: '_Step') -> None:
        self.worker = worker
        self.step = step
        self.log = 0.0
        self._logs: OrderedDict[int, float] = OrderedDict()

    @property
    def variance(self) -> float:
        """Return the variance of the median due to the tasks' residuals."""
        return TASK_SPREAD**2 / len(self._logs)

    def record(self, rank: int, log: float) -> None:
        self._logs[rank] = log
        if len(self._logs) > RUNS_PER_CELL:
            self._logs.popitem(last=False)
        self.log = median(self._logs.values())


class _Worker:
    """The effect of one worker.

    :param log: the logarithm of its speed, before the typical worker's is
        subtracted.
    :param variance: the variance of this estimate.
    """

    __slots__ = ('cells', 'incarnation', 'log', 'variance')

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.cells: OrderedDict[_StepKey, _Cell] = OrderedDict()
        self.log = 0.0
        self.variance = WORKER_SPREAD**2

    def refresh(self) -> None:
        """Estimate the speed from the cells, minus their steps' effects."""
        step_effects = [
            cell.step.leave_out(cell) for cell in self.cells.values()
        ]
        samples = [
            _Sample(cell.log - effect.log, cell.variance + effect.variance)
            for cell, effect in zip(
                self.cells.values(), step_effects, strict=True
            )
        ]
        prior = _Effect(0.0, WORKER_SPREAD**2)
        effect = _robust_mean(samples, prior, self.log)
        self.log = effect.log
        self.variance = effect.variance


class _Effect(NamedTuple):
    """The effect of a worker or a step on progress rates, as a logarithm."""

    log: float
    variance: float


class _Sample(NamedTuple):
    """The observation of an effect by one cell."""

    log: float
    variance: float


class _Step:
    """The effect of one step.

    :param cells: its cells by worker.
    :param log: the logarithm of its progress rate on a typical worker.
    """

    __slots__ = ('_contributions', '_sum', '_weight', 'cells', 'log', 'queue')

    def __init__(self, queue: str) -> None:
        self.queue = queue
        self.cells: OrderedDict[str, _Cell] = OrderedDict()
        self.log = 0.0
        self._contributions: dict[_Cell, tuple[float, float]] = {}
        self._sum = 0.0
        self._weight = 1.0 / WORKER_SPREAD**2

    def refresh(self, expected: Ratio) -> None:
        """Estimate the progress rate from the cells.

        :param expected: the ratio expected of the queue, as the prior.
        """
        samples = [
            _Sample(
                cell.log - cell.worker.log,
                cell.variance + cell.worker.variance,
            )
            for cell in self.cells.values()
        ]
        prior = _Effect(-expected.log, expected.spread**2)
        self.log = _robust_mean(samples, prior, _median_log(samples, prior)).log
        self._contributions = {}
        self._sum = prior.log / prior.variance
        self._weight = 1 / prior.variance
        for cell, sample in zip(self.cells.values(), samples, strict=True):
            weight = _huber_weight(sample, self.log)
            self._contributions[cell] = (weight, weight * sample.log)
            self._sum += weight * sample.log
            self._weight += weight

    def leave_out(self, cell: _Cell) -> _Effect:
        """Return the effect of the step as estimated without one cell."""
        weight, weighted_log = self._contributions.get(cell, (0.0, 0.0))
        left = self._weight - weight
        return _Effect((self._sum - weighted_log) / left, 1 / left)


class SpeedEstimator:
    """Estimates the speed of each worker.

    :param durations: gives the prior of each queue and records each step's
        ratio.
    """

    def __init__(self, *, durations: DurationEstimator) -> None:
        """Initialize without any observation."""
        self._durations = durations
        self._workers: dict[str, _Worker] = {}
        self._steps: OrderedDict[_StepKey, _Step] = OrderedDict()
        self._stale_workers: dict[str, None] = {}
        self._stale_steps: dict[_StepKey, None] = {}
        self._typical = 0.0
        self._speeds: dict[str, Speed] = {}

    def record(self, observation: Observation) -> None:
        """Record a run's progress rate, replacing its previous one."""
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
            _drop_oldest(worker.cells, STEPS_PER_WORKER)
            _drop_oldest(step.cells, WORKERS_PER_STEP)
        log = math.log(observation.progress_rate)
        cell.record(observation.task.rank, max(-MAX_LOG, min(log, MAX_LOG)))
        self._stale_steps[name] = None
        self._stale_workers[observation.worker_id] = None

    def refresh(self) -> None:
        """Update the estimates that observations have changed.

        At most ``MAX_PER_REFRESH`` workers and steps; the next call
        continues with the rest.
        """
        if not self._stale_workers:
            return
        for name in _pop_oldest(self._stale_steps):
            step = self._steps.get(name)
            if step is not None:
                step.refresh(self._durations.ratio_of(step.queue))
                self._durations.record(step.queue, name, -step.log)
        for worker_id in _pop_oldest(self._stale_workers):
            worker = self._workers.get(worker_id)
            if worker is not None:
                worker.refresh()
        self._typical = _typical(self._workers.values())
        self._speeds.clear()

    def speed_of(self, worker_id: str, incarnation: int) -> Speed:
        """Return the speed of one incarnation of a worker."""
        known = self._speeds.get(worker_id)
        if known is None:
            known = self._estimate(worker_id)
            self._speeds[worker_id] = known
        worker = self._workers.get(worker_id)
        if worker is None or worker.incarnation != incarnation:
            return UNKNOWN
        return known

    def retain(self, worker_ids: Iterable[str]) -> None:
        """Drop all workers but these."""
        present = set(worker_ids)
        removed = [one for one in self._workers if one not in present]
        for worker_id in removed:
            self._workers.pop(worker_id)
            self._speeds.pop(worker_id, None)

    def _worker(self, observation: Observation) -> _Worker:
        worker = self._workers.get(observation.worker_id)
        if worker is None or worker.incarnation != observation.incarnation:
            worker = _Worker(observation.incarnation)
            self._workers[observation.worker_id] = worker
            self._speeds.pop(observation.worker_id, None)
        return worker

    def _step(self, name: _StepKey, queue: str) -> _Step:
        step = self._steps.get(name)
        if step is None:
            step = _Step(queue)
            self._steps[name] = step
            _drop_oldest(self._steps, MAX_STEPS)
        return step

    def _estimate(self, worker_id: str) -> Speed:
        worker = self._workers.get(worker_id)
        if worker is None:
            return UNKNOWN
        difference = worker.log - self._typical
        spread = math.sqrt(worker.variance)
        steps = len(worker.cells)
        estimate = math.exp(difference)
        significant = abs(difference) > max(
            SIGNIFICANT_DEVIATIONS * spread, MIN_DIFFERENCE
        )
        factor = estimate if significant and steps >= MIN_STEPS else 1.0
        return Speed(factor, spread, estimate, steps)


def _robust_mean(
    samples: list[_Sample],
    prior: _Effect,
    start: float,
) -> _Effect:
    """Return the robust weighted mean of samples and prior."""
    log = start
    weight = 1 / prior.variance
    for _ in range(HUBER_ITERATIONS):
        total = prior.log / prior.variance
        weight = 1 / prior.variance
        for sample in samples:
            one = _huber_weight(sample, log)
            total += one * sample.log
            weight += one
        log = total / weight
    return _Effect(log, 1 / weight)


def _median_log(samples: list[_Sample], prior: _Effect) -> float:
    return median([prior.log, *(one.log for one in samples)])


def _huber_weight(sample: _Sample, center: float) -> float:
    """Return the Huber weight: constant up to a bound, then decreasing."""
    distance = abs(sample.log - center)
    bound = HUBER_DEVIATIONS * math.sqrt(sample.variance)
    full = 1 / sample.variance
    return full if distance <= bound else full * bound / distance


def _typical(workers: Iterable[_Worker]) -> float:
    """Return the median logarithm of the workers' speeds."""
    return median([one.log for one in workers] or [0.0])


def _drop_oldest(table: OrderedDict[Any, Any], limit: int) -> None:
    if len(table) > limit:
        table.popitem(last=False)


def _pop_oldest(names: dict[Name, None]) -> list[Name]:
    """Remove and return some names, the oldest first."""
    chosen = list(islice(names, MAX_PER_REFRESH))
    for name in chosen:
        names.pop(name)
    return chosen


__all__ = ('UNKNOWN', 'Observation', 'Speed', 'SpeedEstimator')
