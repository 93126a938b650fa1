"""Decides which tasks start where, and which runs make room for them."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from curranthill.placement.evictions import Eviction, cheapest_eviction
from curranthill.placement.jobs import ActiveJob, ReadyStep
from curranthill.placement.rooms import Room, racks_of, room_needed
from curranthill.placement.runs import Run
from curranthill.tasks import Resources, Step, TaskKey

#: How many waiting jobs one round looks at: bounds a round's processor time
#: under a backlog; jobs further back could start only after these.
JOBS_PER_ROUND: Final = 200

#: Priority 0 may preempt the others.
URGENT: Final = 0

#: A task waits so many of its estimated run times for room in the right rack:
#: away from it, it runs longer by about as much.
PATIENCE_FOR_RACK: Final = 2.0

#: How many gangs that do not fit keep room for themselves in one round; more
#: would leave room unused that smaller jobs could fill.
RESERVATIONS: Final = 1

#: An urgent job that no guarantee covers may throw away so many times its own
#: work: mean worth of six days at Tenggara over three seeds 0.728 against 0.704
#: without a limit, at Kalvola 0.807 against 0.801.
MOST_LOSS_SHARE: Final = 3.0


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
    :param tickets: returns a step's good tickets by worker; asked only for
        queues with an advisor.
    """

    def __init__(
        self,
        *,
        rooms: dict[str, list[Room]],
        guaranteed: dict[str, int],
        now_s: float,
        fellows: dict[tuple[TaskKey, int], list[Run]],
        tickets: Callable[[ActiveJob, ReadyStep], dict[str, str]],
    ) -> None:
        """Keep the snapshot."""
        self._tickets = tickets
        self._rooms = rooms
        self._guaranteed = guaranteed
        self._now_s = now_s
        self._fellows = fellows
        self._placements: list[Placement] = []
        self._victims: list[Run] = []
        self._covered: set[str] = set()
        self._too_large: set[tuple[str, Step]] = set()
        self._reservations = RESERVATIONS

    def plan(self, jobs: Iterable[ActiveJob]) -> Plan:
        """Return the decisions for jobs in any order."""
        waiting = [job for job in jobs if not job.ended]
        self._covered = self._covered_jobs(waiting)
        waiting.sort(
            key=lambda job: (
                job.spec.job_id not in self._covered,
                not job.lasting,
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
                self._place_step(job, self._with_tickets(job, ready))
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

    def _with_tickets(self, job: ActiveJob, ready: ReadyStep) -> ReadyStep:
        if not job.spec.queue.advisor:
            return ready
        return ready._replace(tickets=self._tickets(job, ready))

    def _place_step(self, job: ActiveJob, ready: ReadyStep) -> None:
        # A task that lasts must be at work again soon, however full all is.
        urgent = job.spec.queue.priority == URGENT or ready.step.perpetual
        shape = (job.spec.queue.service, ready.step)
        advised = ready.tickets is not None
        if shape in self._too_large and not (urgent or advised):
            return
        rooms = self._rooms.get(job.spec.queue.service, [])
        if ready.tickets is not None:
            rooms = [
                room for room in rooms if room.entry.worker_id in ready.tickets
            ]
        groups = self._groups(job, ready, rooms)
        chosen = choose_group(ready, groups)
        if chosen:
            workers = tuple((key, room.entry.worker_id) for key, room in chosen)
            self._placements.append(Placement(job, ready, workers))
        missing = ready.tasks[len(chosen) :]
        if not missing:
            return
        if urgent:
            self._make_room(job, ready, missing, groups)
            return
        if not advised:
            self._too_large.add(shape)
        if ready.step.gang:
            self._reserve(ready, groups)

    def _groups(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        rooms: list[Room],
    ) -> list[list[Room]]:
        """Return the sets of rooms that a step may be placed in, best first.

        Tasks that run longer away from a rack wait for it, unless it could
        never hold them or they have waited for as long as that costs.
        """
        racks = list(_near_racks(ready.step, rooms))
        near = [rack for rack in racks if could_ever_hold(ready, rack)]
        if not racks:
            return [rooms]
        waited_s = self._now_s - job.spec.accepted_at_s
        patience_s = PATIENCE_FOR_RACK * ready.step.estimate_s
        if not near or waited_s > patience_s:
            near.append(rooms)
        return near

    def _make_room(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        missing: tuple[TaskKey, ...],
        groups: list[list[Room]],
    ) -> None:
        """Stop what is needed for urgent tasks, and keep what gets free."""
        needed = [missing] if ready.step.gang else [(key,) for key in missing]
        for tasks in needed:
            best = self._best_eviction(tasks, ready.step, groups)
            if best is not None and self._pays(job, ready.step, tasks, best):
                self._evict(best, room_needed(ready.step))

    def _best_eviction(
        self,
        tasks: tuple[TaskKey, ...],
        step: Step,
        groups: list[list[Room]],
    ) -> Eviction | None:
        """Return the eviction of the least loss over all groups, if any."""
        found = (
            cheapest_eviction(tasks, step, group, self._fellows)
            for group in groups
        )
        return min(
            (one for one in found if one is not None),
            key=lambda one: one.loss,
            default=None,
        )

    def _pays(
        self,
        job: ActiveJob,
        step: Step,
        tasks: tuple[TaskKey, ...],
        eviction: Eviction,
    ) -> bool:
        """Return whether making room is worth the work thrown away."""
        covered = job.spec.job_id in self._covered
        if covered or step.perpetual or not step.estimate_s:
            return True
        work_core_s = len(tasks) * step.needs.weight_cores * step.estimate_s
        return eviction.loss <= MOST_LOSS_SHARE * work_core_s

    def _evict(self, eviction: Eviction, needs: Resources) -> None:
        for run in eviction.victims:
            self._victims.append(run)
            for rooms in self._rooms.values():
                for room in rooms:
                    room.evict(run)
        for room in eviction.rooms:
            room.claim(needs)

    def _reserve(self, ready: ReadyStep, groups: list[list[Room]]) -> None:
        """Keep room for a gang that does not fit yet, where most is free."""
        if not self._reservations or not groups:
            return
        self._reservations -= 1
        needs = room_needed(ready.step)
        group = max(
            groups,
            key=lambda rooms: sum(max(room.soon.gpus, 0) for room in rooms),
        )
        for room in reserve_rooms(ready, group):
            room.claim(needs)


def choose_group(
    ready: ReadyStep,
    groups: list[list[Room]],
) -> list[tuple[TaskKey, Room]]:
    """Take rooms of one group: the first without doubt, or the least doubted.

    A gang with one member on a worker that fails all it starts fails whole,
    each time it is put there.
    """
    best: tuple[float, list[Room]] | None = None
    for group in groups:
        chosen = choose_rooms(ready, group)
        doubt = sum(room.doubt for _, room in chosen)
        if chosen and not doubt:
            return chosen
        for key, room in chosen:
            room.unplace(key, ready.step)
        if chosen and (best is None or doubt < best[0]):
            best = (doubt, group)
    return choose_rooms(ready, best[1]) if best else []


def choose_rooms(
    ready: ReadyStep,
    rooms: list[Room],
) -> list[tuple[TaskKey, Room]]:
    """Take rooms for the tasks, in order; a gang takes all or none."""
    needs = room_needed(ready.step)
    chosen: list[tuple[TaskKey, Room]] = []
    for key in ready.tasks:
        room = best_room(key, ready.step, needs, rooms)
        if room is None:
            break
        room.place(key, ready.step)
        chosen.append((key, room))
    whole = ready.step.gang or ready.step.same_rack
    if whole and len(chosen) < len(ready.tasks):
        for key, room in chosen:
            room.unplace(key, ready.step)
        return []
    return chosen


def best_room(
    key: TaskKey,
    step: Step,
    needs: Resources,
    rooms: Iterable[Room],
) -> Room | None:
    """Return where a task fits best now: trusted, then tightest."""
    best: Room | None = None
    best_rank: tuple[float, int, int] | None = None
    for room in rooms:
        if not room.fits_now(needs) or not room.allows(key, step):
            continue
        rank = (room.doubt, room.free.gpus - needs.gpus, room.free.cpu_millis)
        if best_rank is None or rank < best_rank:
            best = room
            best_rank = rank
    return best


def reserve_rooms(ready: ReadyStep, rooms: list[Room]) -> list[Room]:
    """Return a room for each task, the emptiest first, as if it were idle."""
    needs = room_needed(ready.step)
    left = {room.entry.worker_id: room.entry.room for room in rooms}
    reserved: list[Room] = []
    by_room = sorted(rooms, key=lambda room: -room.soon.gpus)
    for room in by_room:
        free = left[room.entry.worker_id]
        while len(reserved) < len(ready.tasks) and free.covers(needs):
            free = free.minus(needs)
            reserved.append(room)
    return reserved


def could_ever_hold(ready: ReadyStep, rooms: list[Room]) -> bool:
    """Return whether idle rooms would hold what must start together."""
    needs = room_needed(ready.step)
    together = ready.step.gang or ready.step.same_rack
    wanted = len(ready.tasks) if together else 1
    held = 0
    for room in rooms:
        held += _copies(room, ready.step, needs)
        if held >= wanted:
            return True
    return False


def _copies(room: Room, step: Step, needs: Resources) -> int:
    """Return how many tasks of a step an idle room holds."""
    label = step.label
    if label and label not in room.entry.labels:
        return 0
    copies = (
        min(
            have // need
            for have, need in zip(room.entry.room, needs, strict=True)
            if need > 0
        )
        if any(needs)
        else step.width
    )
    return min(copies, step.max_per_worker or copies)


def _near_racks(step: Step, rooms: list[Room]) -> Iterable[list[Room]]:
    """Yield the racks in which a step runs fast; none if it does anywhere."""
    if step.near_rack:
        yield [room for room in rooms if room.near(step.near_rack)]
    elif step.same_rack:
        for rack in racks_of(rooms):
            yield [room for room in rooms if room.near(rack)]


__all__ = ('Placement', 'Plan', 'Planner')
