"""Which runs to stop so that urgent tasks find room, at the least loss."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from curranthill.placement.rooms import Room, room_needed
from curranthill.placement.runs import RUNNING, Run
from curranthill.tasks import Resources, Step, TaskKey

#: Runs of this priority are never stopped for others.
URGENT: Final = 0

#: What a worker in doubt costs for each run that failed or stood still there,
#: in core-seconds: the work of an urgent task of two accelerators and 2.5 s.
DOUBT_CORE_S: Final = 50.0

Fellows = dict[tuple[TaskKey, int], list[Run]]


def may_stop(run: Run) -> bool:
    """Return whether a run may be stopped for others."""
    if run.stop_wanted or run.lasting:
        return False
    return run.priority > URGENT and run.state == RUNNING


class Eviction(NamedTuple):
    """Rooms for tasks, one each, and the runs that must end first.

    :param loss: the work thrown away, in core-seconds.
    """

    rooms: tuple[Room, ...]
    victims: tuple[Run, ...]
    loss: float


class _Search:
    """What would be free if the victims found so far had ended."""

    def __init__(self, *, rooms: Sequence[Room], fellows: Fellows) -> None:
        """Start without victims."""
        self._fellows = fellows
        self._soon = {room.entry.worker_id: room.soon for room in rooms}
        self._victims: dict[tuple[TaskKey, int], Run] = {}
        self.loss = 0.0

    @property
    def victims(self) -> tuple[Run, ...]:
        """Return the runs to stop."""
        return tuple(self._victims.values())

    def take(self, room: Room, needs: Resources) -> None:
        """Take room for a task."""
        worker_id = room.entry.worker_id
        self._soon[worker_id] = self._soon[worker_id].minus(needs)

    def victims_in(
        self,
        room: Room,
        needs: Resources,
    ) -> tuple[float, list[Run]] | None:
        """Return the cheapest runs whose end makes room, and their loss."""
        soon = self._soon[room.entry.worker_id]
        if soon.covers(needs):
            return (0, [])
        candidates = [
            run
            for run in room.runs
            if may_stop(run) and run.name not in self._victims
        ]
        chosen: list[Run] = []
        loss = 0.0
        for run in sorted(candidates, key=self._loss_of):
            if soon.covers(needs):
                break
            soon = soon.plus(run.needs)
            loss += self._loss_of(run)
            chosen.append(run)
        return (loss, chosen) if soon.covers(needs) else None

    def stop(self, runs: list[Run]) -> None:
        """Count runs, and those that end with them, as ended."""
        for run in runs:
            for fellow in self._fellows.get(run.name, [run]):
                self._stop_one(fellow)

    def _stop_one(self, run: Run) -> None:
        if run.name in self._victims:
            return
        self._victims[run.name] = run
        self.loss += run.loss_core_s
        soon = self._soon.get(run.worker_id)
        if soon is not None:
            self._soon[run.worker_id] = soon.plus(run.needs)

    def _loss_of(self, run: Run) -> float:
        fellows = self._fellows.get(run.name, [run])
        return sum(one.loss_core_s for one in fellows)


def cheapest_eviction(
    tasks: Sequence[TaskKey],
    step: Step,
    rooms: Sequence[Room],
    fellows: Fellows,
) -> Eviction | None:
    """Return room for all the tasks, or nothing if no stop makes enough.

    Tasks are given room one after the other, each where it costs the least.
    """
    needs = room_needed(step)
    search = _Search(rooms=rooms, fellows=fellows)
    chosen: list[Room] = []
    for key in tasks:
        room = _room_for(key, step, needs, rooms, search)
        if room is None:
            return None
        search.take(room, needs)
        chosen.append(room)
    return Eviction(tuple(chosen), search.victims, search.loss)


def _room_for(
    key: TaskKey,
    step: Step,
    needs: Resources,
    rooms: Sequence[Room],
    search: _Search,
) -> Room | None:
    allowed = [room for room in rooms if room.allows(key, step)]
    best: tuple[float, Room, list[Run]] | None = None
    for room in allowed:
        found = search.victims_in(room, needs)
        if found is None:
            continue
        cost = found[0] + room.doubt * DOUBT_CORE_S
        if best is None or cost < best[0]:
            best = (cost, room, found[1])
    if best is None:
        return None
    search.stop(best[2])
    return best[1]


__all__ = ('Eviction', 'Fellows', 'cheapest_eviction')
