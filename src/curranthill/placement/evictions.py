"""Which runs to stop so that urgent tasks find room, at the least loss.

Answers a burst of urgent jobs on a full cluster: room is made where the least
work is thrown away, and only what changed is looked at again between the
tasks of one gang.
"""

import heapq
import math
from collections import defaultdict
from collections.abc import Sequence
from typing import Final, NamedTuple

from curranthill.placement.capacity import WorkerCapacity, resources_needed
from curranthill.placement.losses import Losses
from curranthill.placement.runs import RUNNING, URGENT, Run
from curranthill.tasks import Resources, Step, TaskKey

#: What a worker costs for each point of its failure score (recent failures),
#: in core-seconds: the work of an urgent task of two accelerators and 2.5 s.
FAILURE_CORE_S: Final = 50.0


class Eviction(NamedTuple):
    """Rooms for tasks, one each, and the runs that must end first.

    :param loss: the work thrown away, in core-seconds.
    """

    workers: tuple[WorkerCapacity, ...]
    victims: tuple[Run, ...]
    loss: float


class _Way(NamedTuple):
    """One way to make room for one task: stop these runs of one worker."""

    cost: float
    victims: tuple[Run, ...]


#: Ways by worker, each with the version of the room that it was found for.
_WaysByWorker = dict[str, tuple[int, _Way | None]]


class Evictions:
    """Ways to make room, kept per worker for as long as it does not change.

    :param losses: what stopping a run throws away.
    """

    def __init__(self, *, losses: Losses) -> None:
        """Start with no worker looked at."""
        self._losses = losses
        self._candidates: dict[str, tuple[int, list[Run]]] = {}
        self._ways: dict[Resources, _WaysByWorker] = defaultdict(dict)

    def cheapest(
        self,
        tasks: Sequence[TaskKey],
        step: Step,
        workers: Sequence[WorkerCapacity],
        most_loss: float = math.inf,
    ) -> Eviction | None:
        """Return room for all the tasks, or nothing if no stop makes enough.

        Tasks are given room one after the other, each where it costs the
        least.

        :param most_loss: a search that loses more is given up.
        """
        search = _Search(
            key=tasks[0],
            step=step,
            workers=workers,
            evictions=self,
            losses=self._losses,
        )
        chosen: list[WorkerCapacity] = []
        while len(chosen) < len(tasks):
            worker = search.take_cheapest()
            if worker is None or search.loss > most_loss:
                return None
            chosen.append(worker)
        return Eviction(tuple(chosen), search.victims, search.loss)

    def way_in(self, worker: WorkerCapacity, needs: Resources) -> _Way | None:
        """Return the cheapest way to room for a task on one worker."""
        ways = self._ways[needs]
        known = ways.get(worker.entry.worker_id)
        if known is not None and known[0] == worker.version:
            return known[1]
        way = self.way_from(worker, needs, worker.soon, {})
        ways[worker.entry.worker_id] = (worker.version, way)
        return way

    def way_from(
        self,
        worker: WorkerCapacity,
        needs: Resources,
        soon: Resources,
        ended: dict[Run, None],
    ) -> _Way | None:
        """Return the cheapest way once some runs have ended.

        :param soon: what is free of the room by then.
        """
        failure_core_s = worker.failure_score * FAILURE_CORE_S
        if soon.covers(needs):
            return _Way(failure_core_s, ())
        loss = 0.0
        victims: list[Run] = []
        for run in self._candidates_in(worker):
            if run in ended:
                continue
            soon = soon.plus(run.needs)
            loss += self._losses.of(run)
            victims.append(run)
            if soon.covers(needs):
                return _Way(loss + failure_core_s, tuple(victims))
        return None

    def _candidates_in(self, worker: WorkerCapacity) -> list[Run]:
        """Return the runs that may be stopped, the least loss first."""
        known = self._candidates.get(worker.entry.worker_id)
        if known is not None and known[0] == worker.version:
            return known[1]
        runs = [run for run in worker.runs if may_stop(run)]
        runs.sort(key=self._losses.of)
        self._candidates[worker.entry.worker_id] = (worker.version, runs)
        return runs


class _Search:
    """What would be free if the victims found so far had ended.

    :param loss: the work thrown away so far, in core-seconds.
    """

    def __init__(
        self,
        *,
        key: TaskKey,
        step: Step,
        workers: Sequence[WorkerCapacity],
        evictions: Evictions,
        losses: Losses,
    ) -> None:
        """Look at each room once."""
        self.loss = 0.0
        self._needs = resources_needed(step)
        self._evictions = evictions
        self._losses = losses
        self._workers: dict[str, tuple[int, WorkerCapacity]] = {}
        self._tasks_left: dict[str, float] = {}
        self._soon: dict[str, Resources] = {}
        self._ended: dict[Run, None] = {}
        self._ways: dict[str, _Way] = {}
        self._queue: list[tuple[float, int, str]] = []
        for index, worker in enumerate(workers):
            if not worker.allows(key, step):
                continue
            worker_id = worker.entry.worker_id
            self._workers[worker_id] = (index, worker)
            self._tasks_left[worker_id] = worker.tasks_left(key, step)
            way = evictions.way_in(worker, self._needs)
            if way is not None:
                self._ways[worker_id] = way
                self._queue.append((way.cost, index, worker_id))
        heapq.heapify(self._queue)

    @property
    def victims(self) -> tuple[Run, ...]:
        """Return the runs to stop."""
        return tuple(self._ended)

    def take_cheapest(self) -> WorkerCapacity | None:
        """Take room for a task where that costs the least, if anywhere."""
        while self._queue:
            cost, _, worker_id = heapq.heappop(self._queue)
            way = self._ways.get(worker_id)
            if way is not None and way.cost == cost:
                return self._take(worker_id, way)
        return None

    def _take(self, worker_id: str, way: _Way) -> WorkerCapacity:
        worker = self._workers[worker_id][1]
        changed = {worker_id}
        for victim in way.victims:
            if victim not in self._ended:
                self.loss += self._losses.of(victim)
                changed.update(self._end(self._losses.ending_with(victim)))
        soon = self._soon.get(worker_id, worker.soon)
        self._soon[worker_id] = soon.minus(self._needs)
        self._tasks_left[worker_id] -= 1
        for one in changed:
            self._look_again(one)
        return worker

    def _end(self, runs: Sequence[Run]) -> set[str]:
        """Count runs as ended; return the workers whose room that changes."""
        changed = set()
        for run in runs:
            self._ended[run] = None
            worker_id = run.worker_id
            place = self._workers.get(worker_id)
            if place is not None:
                soon = self._soon.get(worker_id, place[1].soon)
                self._soon[worker_id] = soon.plus(run.needs)
                changed.add(worker_id)
        return changed

    def _look_again(self, worker_id: str) -> None:
        index, worker = self._workers[worker_id]
        way = self._evictions.way_from(
            worker,
            self._needs,
            self._soon[worker_id],
            self._ended,
        )
        if way is None or self._tasks_left[worker_id] <= 0:
            self._ways.pop(worker_id, None)
            return
        self._ways[worker_id] = way
        heapq.heappush(self._queue, (way.cost, index, worker_id))


def may_stop(run: Run) -> bool:
    """Return whether a run may be stopped for others."""
    if run.stop_wanted or run.perpetual:
        return False
    return run.priority > URGENT and run.state == RUNNING


__all__ = ('Eviction', 'Evictions', 'may_stop')
