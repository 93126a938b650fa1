"""Which runs to evict so that urgent tasks fit, at the least cost.

Serves a burst of urgent jobs on a full cluster. Runs are evicted where it costs
their callers the least, and between the tasks of one gang only the workers that
changed are evaluated again.
"""

import heapq
import math
from collections import defaultdict
from collections.abc import Sequence
from typing import Final, NamedTuple

from curranthill.placement.capacity import WorkerCapacity, resources_needed
from curranthill.placement.lost_work import LostWork
from curranthill.placement.runs import (
    RESTART_COST_S,
    RUNNING,
    URGENT,
    Run,
)
from curranthill.placement.stop_costs import StopCosts
from curranthill.tasks import Resources, Step, TaskKey

#: The cost of a worker for each point of its failure score, that is for each
#: recent failed or stalled run, in core-seconds: the work of an urgent task of
#: two accelerators and 2.5 s.
FAILURE_CORE_S: Final = 50.0


class Eviction(NamedTuple):
    """Workers for some tasks, one each, and the runs that must end first.

    :param victims: those of these runs that must be stopped.
    :param awaited: those that end by themselves before a stop would end them.
    :param cost: what the stops cost the callers of the victims, in
        core-seconds.
    """

    workers: tuple[WorkerCapacity, ...]
    victims: tuple[Run, ...]
    awaited: tuple[Run, ...]
    cost: float


class EvictionRules(NamedTuple):
    """Which runs a job may have stopped; the defaults are for a guarantee.

    :param max_restarts: runs of tasks that were restarted this often are not
        stopped.
    :param awaits_ends: whether runs that end at once are waited for.
    """

    max_restarts: float = math.inf
    awaits_ends: bool = False


class _Option(NamedTuple):
    """An eviction option for one task: which runs of one worker to stop.

    :param cost: that of the stops and the penalty for failures of the worker.
    """

    cost: float
    victims: tuple[Run, ...]


#: Options by worker, each with the version of the worker it was found for.
_OptionsByWorker = dict[str, tuple[int, _Option | None]]


class EvictionFinder:
    """Finds the cheapest evictions, caching the option of each worker.

    An option is valid until the worker's version changes.

    :param lost_work: the work lost by stopping runs.
    :param stop_costs: the cost of stopping them.
    :param rules: which runs may be stopped.
    """

    def __init__(
        self,
        *,
        lost_work: LostWork,
        stop_costs: StopCosts,
        rules: EvictionRules,
    ) -> None:
        """Initialize with an empty cache."""
        self._lost_work = lost_work
        self._stop_costs = stop_costs
        self._rules = rules
        self._awaited: dict[Run, bool] = {}
        self._candidates: dict[str, tuple[int, list[Run]]] = {}
        self._options: dict[Resources, _OptionsByWorker] = defaultdict(dict)

    def cheapest(
        self,
        tasks: Sequence[TaskKey],
        step: Step,
        workers: Sequence[WorkerCapacity],
        max_loss: float = math.inf,
        max_cost: float = math.inf,
    ) -> Eviction | None:
        """Return workers for all the tasks; nothing if no eviction suffices.

        The tasks are assigned sequentially, each to the worker on which it
        costs the least.

        :param max_loss: the search is abandoned if more work than this is
            lost, in core-seconds.
        :param max_cost: the same for its cost.
        """
        search = _Search(
            key=tasks[0],
            step=step,
            workers=workers,
            finder=self,
            lost_work=self._lost_work,
        )
        chosen: list[WorkerCapacity] = []
        while len(chosen) < len(tasks):
            worker = search.claim_cheapest()
            if worker is None:
                return None
            if search.loss > max_loss or search.cost > max_cost:
                return None
            chosen.append(worker)
        return Eviction(
            workers=tuple(chosen),
            victims=tuple(run for run in search.ended if not self.awaits(run)),
            awaited=tuple(run for run in search.ended if self.awaits(run)),
            cost=search.cost,
        )

    def option_on(
        self, worker: WorkerCapacity, needs: Resources
    ) -> _Option | None:
        """Return the cheapest option for a task on one worker, if any."""
        options = self._options[needs]
        known = options.get(worker.entry.worker_id)
        if known is not None and known[0] == worker.version:
            return known[1]
        option = self.option_after(worker, needs, worker.unclaimed, {})
        options[worker.entry.worker_id] = (worker.version, option)
        return option

    def option_after(
        self,
        worker: WorkerCapacity,
        needs: Resources,
        unclaimed: Resources,
        ended: dict[Run, None],
    ) -> _Option | None:
        """Return the cheapest option once some runs have ended, if any.

        :param unclaimed: what is unclaimed on the worker by then.
        :param ended: the runs that are counted as ended.
        """
        failure_core_s = worker.failure_score * FAILURE_CORE_S
        if unclaimed.covers(needs):
            return _Option(failure_core_s, ())
        cost = failure_core_s
        victims: list[Run] = []
        for run in self._candidates_in(worker):
            if run in ended:
                continue
            unclaimed = unclaimed.plus(run.needs)
            cost += self.cost_of(run)
            victims.append(run)
            if unclaimed.covers(needs):
                return _Option(cost, tuple(victims))
        return None

    def awaits(self, run: Run) -> bool:
        """Return whether a run ends, with its gang, before a stop would."""
        if not self._rules.awaits_ends:
            return False
        awaited = self._awaited.get(run)
        if awaited is None:
            members = self._lost_work.runs_ended_by(run)
            awaited = all(_ends_at_once(member) for member in members)
            self._awaited.update(dict.fromkeys(members, awaited))
        return awaited

    def loss_of(self, run: Run) -> float:
        """Return the work lost if a run must end, in core-seconds."""
        return 0.0 if self.awaits(run) else self._lost_work.of(run)

    def cost_of(self, run: Run) -> float:
        """Return what it costs if a run must end, in core-seconds."""
        return 0.0 if self.awaits(run) else self._stop_costs.of(run)

    def _candidates_in(self, worker: WorkerCapacity) -> list[Run]:
        """Return the runs that may have to end, the cheapest first."""
        known = self._candidates.get(worker.entry.worker_id)
        if known is not None and known[0] == worker.version:
            return known[1]
        runs = [run for run in worker.runs if self._may_end(run)]
        runs.sort(key=self.cost_of)
        self._candidates[worker.entry.worker_id] = (worker.version, runs)
        return runs

    def _may_end(self, run: Run) -> bool:
        if self.awaits(run):
            return True
        if not is_evictable(run):
            return False
        return self._stop_costs.restarts_of(run) < self._rules.max_restarts


class _Search:
    """The search for one step: its victims, and what their ends would free.

    :param loss: the work lost so far, in core-seconds.
    :param cost: that of the stops so far, in core-seconds.
    :param ended: the runs that must end, in the order of the search.
    """

    def __init__(
        self,
        *,
        key: TaskKey,
        step: Step,
        workers: Sequence[WorkerCapacity],
        finder: EvictionFinder,
        lost_work: LostWork,
    ) -> None:
        """Evaluate each worker once."""
        self.loss = 0.0
        self.cost = 0.0
        self._needs = resources_needed(step)
        self._finder = finder
        self._lost_work = lost_work
        self._workers: dict[str, tuple[int, WorkerCapacity]] = {}
        self._tasks_left: dict[str, float] = {}
        self._unclaimed: dict[str, Resources] = {}
        self.ended: dict[Run, None] = {}
        self._options: dict[str, _Option] = {}
        self._queue: list[tuple[float, int, str]] = []
        for index, worker in enumerate(workers):
            if not worker.allows(key, step):
                continue
            worker_id = worker.entry.worker_id
            self._workers[worker_id] = (index, worker)
            self._tasks_left[worker_id] = worker.tasks_left(key, step)
            option = finder.option_on(worker, self._needs)
            if option is not None:
                self._options[worker_id] = option
                self._queue.append((option.cost, index, worker_id))
        heapq.heapify(self._queue)

    def claim_cheapest(self) -> WorkerCapacity | None:
        """Claim the worker on which a task costs the least, if there is any."""
        while self._queue:
            cost, _, worker_id = heapq.heappop(self._queue)
            option = self._options.get(worker_id)
            if option is not None and option.cost == cost:
                return self._claim(worker_id, option)
        return None

    def _claim(self, worker_id: str, option: _Option) -> WorkerCapacity:
        worker = self._workers[worker_id][1]
        changed = {worker_id}
        for victim in option.victims:
            if victim not in self.ended:
                self.loss += self._finder.loss_of(victim)
                self.cost += self._finder.cost_of(victim)
                changed.update(
                    self._count_as_ended(self._lost_work.runs_ended_by(victim))
                )
        unclaimed = self._unclaimed.get(worker_id, worker.unclaimed)
        self._unclaimed[worker_id] = unclaimed.minus(self._needs)
        self._tasks_left[worker_id] -= 1
        for one in changed:
            self._update_option(one)
        return worker

    def _count_as_ended(self, runs: Sequence[Run]) -> set[str]:
        """Count runs as ended; return the ids of the workers affected."""
        changed = set()
        for run in runs:
            self.ended[run] = None
            worker_id = run.worker_id
            indexed = self._workers.get(worker_id)
            if indexed is not None:
                unclaimed = self._unclaimed.get(worker_id, indexed[1].unclaimed)
                self._unclaimed[worker_id] = unclaimed.plus(run.needs)
                changed.add(worker_id)
        return changed

    def _update_option(self, worker_id: str) -> None:
        index, worker = self._workers[worker_id]
        option = self._finder.option_after(
            worker,
            self._needs,
            self._unclaimed[worker_id],
            self.ended,
        )
        if option is None or self._tasks_left[worker_id] <= 0:
            self._options.pop(worker_id, None)
            return
        self._options[worker_id] = option
        heapq.heappush(self._queue, (option.cost, index, worker_id))


def _ends_at_once(run: Run) -> bool:
    """Return whether a run ends before a stop would end it, if it goes on.

    A run is stalled if its percentage has changed, but not for some time.
    """
    if run.state != RUNNING or run.perpetual or run.stop_wanted:
        return False
    if run.time_left_s > RESTART_COST_S:
        return False
    has_changed = run.percent_changed_s > run.started_s
    return not (has_changed and run.stalled_s)


def is_evictable(run: Run) -> bool:
    """Return whether a run may be stopped for other tasks."""
    if run.stop_wanted or run.perpetual:
        return False
    return run.priority > URGENT and run.state == RUNNING


__all__ = ('Eviction', 'EvictionFinder', 'EvictionRules', 'is_evictable')
