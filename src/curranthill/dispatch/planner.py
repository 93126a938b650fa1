"""Decides which tasks start where, and which runs make room for them."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from curranthill.dispatch.jobs import ActiveJob, ReadyStep
from curranthill.dispatch.rooms import Room, room_needed
from curranthill.dispatch.runs import RUNNING, Run
from curranthill.tasks import Resources, Step, TaskKey

#: How many waiting jobs one round looks at: bounds a round's processor time
#: under a backlog; jobs further back could start only after these.
JOBS_PER_ROUND: Final = 200

#: Priority 0 may preempt the others.
URGENT: Final = 0

#: A task waits so many of its own run times for room near its data, since it
#: runs longer elsewhere by the far factor.
PATIENCE_FOR_NEARNESS: Final = 1.0


class Placement(NamedTuple):
    """Tasks of one step that start now; gangs are placed whole."""

    job: ActiveJob
    ready: ReadyStep
    workers: tuple[tuple[TaskKey, str], ...]


class Plan(NamedTuple):
    """What one round decided."""

    placements: tuple[Placement, ...]
    victims: tuple[Run, ...]


class Planner:
    """One round of decisions over a snapshot.

    :param rooms: the workers that accept work, by service.
    :param guaranteed: guaranteed accelerators by workspace.
    :param now_s: wall-clock seconds.
    :param fellows: the runs that end together with a run.
    """

    def __init__(
        self,
        *,
        rooms: dict[str, list[Room]],
        guaranteed: dict[str, int],
        now_s: float,
        fellows: dict[tuple[TaskKey, int], list[Run]],
    ) -> None:
        """Keep the snapshot."""
        self._rooms = rooms
        self._guaranteed = guaranteed
        self._now_s = now_s
        self._fellows = fellows
        self._placements: list[Placement] = []
        self._victims: list[Run] = []
        self._too_large: set[tuple[str, Step]] = set()

    def plan(self, jobs: Iterable[ActiveJob]) -> Plan:
        """Return the decisions for jobs in any order."""
        waiting = [job for job in jobs if not job.ended]
        covered = self._covered_jobs(waiting)
        waiting.sort(
            key=lambda job: (
                job.spec.job_id not in covered,
                job.spec.queue.priority,
                job.spec.objective_s,
            ),
        )
        looked_at = 0
        for job in waiting:
            ready_steps = list(job.ready_steps(self._now_s))
            if not ready_steps:
                continue
            looked_at += 1
            if looked_at > JOBS_PER_ROUND:
                break
            for ready in ready_steps:
                self._place_step(job, ready)
        return Plan(tuple(self._placements), tuple(self._victims))

    def _covered_jobs(self, jobs: list[ActiveJob]) -> set[str]:
        """Return urgent jobs that their workspace's guarantee covers.

        Earlier jobs are covered first, so that one more job never takes the
        guarantee away from those before it.
        """
        urgent = [job for job in jobs if job.spec.queue.priority == URGENT]
        urgent.sort(key=lambda job: job.spec.accepted_at_s)
        used: dict[str, int] = {}
        covered = set()
        for job in urgent:
            workspace = job.spec.workspace
            total = used.get(workspace, 0) + job.spec.gpus
            if total <= self._guaranteed.get(workspace, 0):
                used[workspace] = total
                covered.add(job.spec.job_id)
        return covered

    def _place_step(self, job: ActiveJob, ready: ReadyStep) -> None:
        shape = (job.spec.queue.service, ready.step)
        if shape in self._too_large:
            return
        rooms = self._rooms.get(job.spec.queue.service, [])
        chosen = self._choose(job, ready, rooms)
        if chosen:
            workers = tuple((key, room.entry.worker_id) for key, room in chosen)
            self._placements.append(Placement(job, ready, workers))
        if len(chosen) == len(ready.tasks):
            return
        if job.spec.queue.priority == URGENT:
            missing = ready.tasks[len(chosen) :]
            self._make_room(job, ready, missing, rooms)
        else:
            self._too_large.add(shape)

    def _choose(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        rooms: list[Room],
    ) -> list[tuple[TaskKey, Room]]:
        """Return rooms for the tasks, in order; a gang gets all or none."""
        if ready.step.same_rack and ready.step.gang:
            chosen = self._choose_in_one_rack(job, ready, rooms)
            if chosen or not self._may_go_far(job, ready.step):
                return chosen
        return self._choose_anywhere(job, ready, rooms)

    def _choose_anywhere(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        rooms: list[Room],
    ) -> list[tuple[TaskKey, Room]]:
        needs = room_needed(ready.step)
        may_go_far = self._may_go_far(job, ready.step)
        chosen: list[tuple[TaskKey, Room]] = []
        for key in ready.tasks:
            room = best_room(key, ready.step, needs, rooms, far=may_go_far)
            if room is None:
                break
            room.place(key, needs)
            chosen.append((key, room))
        if ready.step.gang and len(chosen) < len(ready.tasks):
            for key, room in chosen:
                room.unplace(key, needs)
            return []
        return chosen

    def _choose_in_one_rack(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        rooms: list[Room],
    ) -> list[tuple[TaskKey, Room]]:
        for rack in _racks(rooms):
            inside = [room for room in rooms if room.near(rack)]
            chosen = self._choose_anywhere(job, ready, inside)
            if chosen:
                return chosen
        return []

    def _may_go_far(self, job: ActiveJob, step: Step) -> bool:
        """Return whether the tasks may run away from their data or rack."""
        if job.spec.queue.priority == URGENT:
            return True
        waited_s = self._now_s - job.spec.accepted_at_s
        return waited_s > PATIENCE_FOR_NEARNESS * step.estimate_s

    def _make_room(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        missing: tuple[TaskKey, ...],
        rooms: list[Room],
    ) -> None:
        """Stop what is needed for urgent tasks, and keep what gets free."""
        needs = room_needed(ready.step)
        for key in missing:
            room = self._claimable(key, ready.step, needs, rooms)
            if room is None:
                room = self._evict_for(key, ready.step, needs, rooms)
            if room is not None:
                room.claim(needs)

    def _claimable(
        self,
        key: TaskKey,
        step: Step,
        needs: Resources,
        rooms: list[Room],
    ) -> Room | None:
        fitting = (
            room
            for room in rooms
            if room.soon.covers(needs) and room.allows(key, step)
        )
        return next(fitting, None)

    def _evict_for(
        self,
        key: TaskKey,
        step: Step,
        needs: Resources,
        rooms: list[Room],
    ) -> Room | None:
        """Choose the room whose victims lose the least work."""
        best: tuple[float, Room, list[Run]] | None = None
        for room in rooms:
            if not room.allows(key, step) or not room.entry.room.covers(needs):
                continue
            victims = self._victims_in(room, needs)
            if victims is None:
                continue
            cost = sum(self._loss_of(run) for run in victims)
            if best is None or cost < best[0]:
                best = (cost, room, victims)
        if best is None:
            return None
        for victim in best[2]:
            self._evict(victim)
        return best[1]

    def _victims_in(self, room: Room, needs: Resources) -> list[Run] | None:
        """Return the cheapest runs whose end lets the task fit, if any."""
        soon = room.soon
        victims = []
        candidates = [
            run
            for run in room.runs
            if run.priority > URGENT and run.state == RUNNING
        ]
        for run in sorted(candidates, key=self._loss_of):
            if soon.covers(needs):
                break
            soon = soon.plus(run.needs)
            victims.append(run)
        return victims if soon.covers(needs) else None

    def _loss_of(self, run: Run) -> float:
        """Return the work in core-seconds that a stop throws away."""
        fellows = self._fellows.get(run.name, [run])
        return sum(
            one.needs.weight_cores * (1.0 + one.done_percent) for one in fellows
        )

    def _evict(self, victim: Run) -> None:
        for run in self._fellows.get(victim.name, [victim]):
            if run in self._victims:
                continue
            self._victims.append(run)
            for rooms in self._rooms.values():
                for room in rooms:
                    if room.entry.worker_id == run.worker_id:
                        room.evict(run)


def best_room(
    key: TaskKey,
    step: Step,
    needs: Resources,
    rooms: Iterable[Room],
    *,
    far: bool,
) -> Room | None:
    """Return where a task fits best now: near its data, then tightest.

    :param far: whether the task may run away from its data.
    """
    best: Room | None = None
    best_rank: tuple[bool, bool, int, int] | None = None
    for room in rooms:
        if not room.fits_now(needs) or not room.allows(key, step):
            continue
        away = bool(step.data_rack) and not room.near(step.data_rack)
        if away and not far:
            continue
        rank = (
            not room.trusted,
            away,
            room.free.gpus - needs.gpus,
            room.free.cpu_millis,
        )
        if best_rank is None or rank < best_rank:
            best = room
            best_rank = rank
    return best


def _racks(rooms: list[Room]) -> list[str]:
    """Return all labels; those that are kinds only make larger groups."""
    labels = {label for room in rooms for label in room.entry.labels[1:]}
    return sorted(labels)


__all__ = ('Placement', 'Plan', 'Planner', 'best_room')
