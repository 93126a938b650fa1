"""One round of placement: which tasks start where, and what is stopped."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from curranthill.placement.evictions import Eviction, Evictions
from curranthill.placement.fitting import choose_group, groups_of
from curranthill.placement.jobs import ActiveJob, ReadyStep
from curranthill.placement.losses import Losses
from curranthill.placement.mechanisms import (
    ALL_ON,
    BOUNDED_LOSS,
    HOPELESS_LAST,
    IN_TIME_FIRST,
    RACK_PATIENCE,
    RESERVATION,
    WAIT_FOR_ENDS,
)
from curranthill.placement.order import (
    covered_jobs,
    hopeless_jobs,
    in_order,
    is_urgent,
    late_jobs,
)
from curranthill.placement.reservations import RESERVATIONS, reserve
from curranthill.placement.rooms import Room, ServiceRooms, room_needed
from curranthill.placement.runs import Run
from curranthill.tasks import Resources, Step, TaskKey

#: How many waiting jobs one round looks at: bounds a round's processor time
#: under a backlog; jobs further back could start only after these.
JOBS_PER_ROUND: Final = 200

#: A task waits so many of its estimated run times for room in the right rack:
#: away from it, it runs longer by about as much.
PATIENCE_FOR_RACK: Final = 2.0

#: An urgent job that no guarantee covers may throw away so many times its own
#: work: mean worth of six days on 24 workers over three seeds 0.728 against
#: 0.704 without a limit, on workers four times as large 0.807 against 0.801.
MOST_LOSS_SHARE: Final = 3.0

#: The rooms of a service that has no workers.
_NO_ROOMS: Final = ServiceRooms(rooms=())


class Placement(NamedTuple):
    """Tasks of one step that start now; gangs are placed whole."""

    job: ActiveJob
    ready: ReadyStep
    workers: tuple[tuple[TaskKey, str], ...]


class Plan(NamedTuple):
    """What one round decided.

    :param stopped_for: for each of the victims, the id of the job that its
        room goes to.
    """

    placements: tuple[Placement, ...]
    victims: tuple[Run, ...]
    stopped_for: tuple[str, ...] = ()


class Planner:
    """One round of decisions over a snapshot.

    :param rooms: the workers that accept work, by service.
    :param guaranteed: guaranteed accelerators by workspace.
    :param now_s: wall-clock seconds.
    :param tickets: returns a step's good tickets by worker; asked only for
        queues with an advisor.
    :param without: mechanisms that are switched off.
    """

    def __init__(
        self,
        *,
        rooms: Mapping[str, Sequence[Room]],
        guaranteed: Mapping[str, int],
        now_s: float,
        tickets: Callable[[ActiveJob, ReadyStep], dict[str, str]],
        without: frozenset[str] = ALL_ON,
    ) -> None:
        """Keep the snapshot."""
        self._tickets = tickets
        self._without = without
        self._services = {
            service: ServiceRooms(rooms=found)
            for service, found in rooms.items()
        }
        self._rooms = {
            room.entry.worker_id: room
            for found in rooms.values()
            for room in found
        }
        self._guaranteed = guaranteed
        self._now_s = now_s
        self._evictions = Evictions(losses=Losses(jobs=()))
        self._covered_evictions = self._evictions
        self._placements: list[Placement] = []
        self._victims: list[Run] = []
        self._stopped_for: list[str] = []
        self._covered: set[str] = set()
        self._hopeless: set[str] = set()
        self._too_large: set[tuple[str, Step]] = set()
        self._reservations = 0 if RESERVATION in without else RESERVATIONS

    def plan(self, jobs: Iterable[ActiveJob]) -> Plan:
        """Return the decisions for all jobs, in any order."""
        known = list(jobs)
        waiting = [job for job in known if not job.ended]
        self._begin_evictions(known)
        self._covered = covered_jobs(waiting, self._guaranteed)
        looked_at = 0
        for job in self._in_order(waiting):
            ready_steps = list(job.ready_steps(self._now_s))
            if not ready_steps:
                continue
            looked_at += 1
            if looked_at > JOBS_PER_ROUND:
                break
            for ready in ready_steps:
                self._place_step(job, self._with_tickets(job, ready))
        return Plan(
            tuple(self._placements),
            tuple(self._victims),
            tuple(self._stopped_for),
        )

    def _begin_evictions(self, jobs: list[ActiveJob]) -> None:
        """Price the stops; what a guarantee covers waits for no end."""
        waits = WAIT_FOR_ENDS not in self._without
        self._covered_evictions = Evictions(losses=Losses(jobs=jobs))
        self._evictions = Evictions(losses=Losses(jobs=jobs, waits=waits))

    def _evictions_for(self, job: ActiveJob) -> Evictions:
        if job.lasting or job.spec.job_id in self._covered:
            return self._covered_evictions
        return self._evictions

    def _in_order(self, waiting: list[ActiveJob]) -> list[ActiveJob]:
        late: set[str] = set()
        if HOPELESS_LAST not in self._without:
            self._hopeless = hopeless_jobs(
                waiting,
                self._covered,
                self._now_s,
            )
        if IN_TIME_FIRST not in self._without:
            late = late_jobs(waiting, self._now_s)
        return in_order(waiting, self._covered, self._hopeless, late)

    def _with_tickets(self, job: ActiveJob, ready: ReadyStep) -> ReadyStep:
        if not job.spec.queue.advisor:
            return ready
        return ready._replace(tickets=self._tickets(job, ready))

    def _place_step(self, job: ActiveJob, ready: ReadyStep) -> None:
        # A task that lasts must be at work again soon, however full all is.
        urgent = self._makes_room(job) or ready.step.perpetual
        shape = (job.spec.queue.service, ready.step)
        advised = ready.tickets is not None
        if not (urgent or advised) and shape in self._too_large:
            return
        groups = self._groups(job, ready)
        chosen = choose_group(ready, groups)
        if chosen:
            workers = tuple((key, room.entry.worker_id) for key, room in chosen)
            self._placements.append(Placement(job, ready, workers))
        missing = ready.tasks[len(chosen) :]
        if not missing or ready.alone:
            return
        if urgent:
            self._make_room(job, ready, missing, groups)
            return
        if not advised:
            self._too_large.add(shape)
        if ready.step.gang and self._reservations:
            self._reservations -= 1
            reserve(ready, groups)

    def _makes_room(self, job: ActiveJob) -> bool:
        """Return whether runs may be stopped for a job."""
        return is_urgent(job) and job.spec.job_id not in self._hopeless

    def _groups(
        self,
        job: ActiveJob,
        ready: ReadyStep,
    ) -> list[Sequence[Room]]:
        """Return the sets of rooms that a step may be placed in, best first."""
        rooms = self._services.get(job.spec.queue.service, _NO_ROOMS)
        if ready.tickets is not None:
            rooms = rooms.limited_to(ready.tickets)
        return groups_of(ready, rooms, patient=self._is_patient(job, ready))

    def _is_patient(self, job: ActiveJob, ready: ReadyStep) -> bool:
        """Return whether a job goes on waiting for the right rack."""
        if RACK_PATIENCE in self._without:
            return False
        waited_s = self._now_s - job.spec.accepted_at_s
        return waited_s <= PATIENCE_FOR_RACK * ready.step.estimate_s

    def _make_room(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        missing: tuple[TaskKey, ...],
        groups: list[Sequence[Room]],
    ) -> None:
        """Stop what is needed for urgent tasks, and keep what gets free."""
        needed = [missing] if ready.step.gang else [(key,) for key in missing]
        for tasks in needed:
            most_loss = self._most_loss(job, ready.step, len(tasks))
            best = self._best_eviction(
                self._evictions_for(job),
                tasks,
                ready.step,
                groups,
                most_loss,
            )
            if best is None:
                # The tasks that are left need the same.
                return
            self._evict(best, job, room_needed(ready.step))

    def _best_eviction(
        self,
        evictions: Evictions,
        tasks: tuple[TaskKey, ...],
        step: Step,
        groups: list[Sequence[Room]],
        most_loss: float,
    ) -> Eviction | None:
        """Return the eviction of the least loss over all groups, if any."""
        best: Eviction | None = None
        for group in groups:
            found = evictions.cheapest(tasks, step, group, most_loss)
            if found is not None and (best is None or found.loss < best.loss):
                best = found
                most_loss = found.loss
        return best

    def _most_loss(self, job: ActiveJob, step: Step, tasks: int) -> float:
        """Return the most work that room for tasks may throw away."""
        covered = job.spec.job_id in self._covered
        if covered or step.perpetual or not step.estimate_s:
            return math.inf
        if BOUNDED_LOSS in self._without:
            return math.inf
        work_core_s = tasks * step.needs.weight_cores * step.estimate_s
        return MOST_LOSS_SHARE * work_core_s

    def _evict(
        self,
        eviction: Eviction,
        job: ActiveJob,
        needs: Resources,
    ) -> None:
        for run in eviction.victims:
            if run not in eviction.awaited:
                self._victims.append(run)
                self._stopped_for.append(job.spec.job_id)
            room = self._rooms.get(run.worker_id)
            if room is not None:
                room.evict(run)
        for claimed in eviction.rooms:
            claimed.claim(needs)


__all__ = ('Placement', 'Plan', 'Planner')
