"""One round of placement: which tasks start where, and what is stopped."""

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from curranthill.placement.attempts import (
    BUSY_PATIENCE_S,
    IDLE_PATIENCE_S,
    Attempt,
    Groups,
    attempt_of,
    attempts_left,
    away_from,
    by_failures,
    is_busy,
    may_try,
    proven_groups,
    trusted_groups,
)
from curranthill.placement.doubts import ON_TRIAL
from curranthill.placement.evictions import Eviction, Evictions
from curranthill.placement.fitting import (
    Fit,
    choose_group,
    choose_rooms,
    groups_of,
)
from curranthill.placement.jobs import ActiveJob, ReadyStep
from curranthill.placement.losses import Losses
from curranthill.placement.mechanisms import (
    ALL_ON,
    ATTEMPT_CARE,
    BOUNDED_LOSS,
    DOUBT,
    RACK_PATIENCE,
    RESERVATION,
)
from curranthill.placement.order import covered_jobs, in_order, is_urgent
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
    """What one round decided."""

    placements: tuple[Placement, ...]
    victims: tuple[Run, ...]


class Planner:
    """One round of decisions over a snapshot.

    :param rooms: the workers that accept work, by service.
    :param guaranteed: guaranteed accelerators by workspace.
    :param now_s: wall-clock seconds.
    :param tickets: returns a step's good tickets by worker; asked only for
        queues with an advisor.
    :param without: mechanisms that are switched off.
    :param risky: services in a wave of failures.
    :param wary: these, and services that were in one of late.
    """

    def __init__(
        self,
        *,
        rooms: Mapping[str, Sequence[Room]],
        guaranteed: Mapping[str, int],
        now_s: float,
        tickets: Callable[[ActiveJob, ReadyStep], dict[str, str]],
        without: frozenset[str] = ALL_ON,
        risky: Collection[str] = (),
        wary: Collection[str] = (),
    ) -> None:
        """Keep the snapshot."""
        self._risky = risky
        self._wary = wary
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
        self._placements: list[Placement] = []
        self._victims: list[Run] = []
        self._covered: set[str] = set()
        self._too_large: set[tuple[str, Step]] = set()
        self._reservations = 0 if RESERVATION in without else RESERVATIONS
        self._cares = not without & {ATTEMPT_CARE, DOUBT}
        self._on_trial = [
            room for room in self._rooms.values() if room.trust == ON_TRIAL
        ]
        self._patience_s: dict[str, float] = {}

    def plan(self, jobs: Iterable[ActiveJob]) -> Plan:
        """Return the decisions for all jobs, in any order."""
        known = list(jobs)
        waiting = [job for job in known if not job.ended]
        self._evictions = Evictions(losses=Losses(jobs=known))
        self._covered = covered_jobs(waiting, self._guaranteed)
        looked_at = 0
        for job in in_order(waiting, self._covered):
            ready_steps = list(job.ready_steps(self._now_s))
            if not ready_steps:
                continue
            looked_at += 1
            if looked_at > JOBS_PER_ROUND:
                break
            for ready in ready_steps:
                self._place_step(job, self._with_tickets(job, ready))
        return Plan(tuple(self._placements), tuple(self._victims))

    def _with_tickets(self, job: ActiveJob, ready: ReadyStep) -> ReadyStep:
        if not job.spec.queue.advisor:
            return ready
        return ready._replace(tickets=self._tickets(job, ready))

    def _place_step(self, job: ActiveJob, ready: ReadyStep) -> None:
        """Place a step's tasks, those that have failed by themselves."""
        if not self._cares:
            self._place_tasks(job, ready)
            return
        for part in by_failures(job, ready):
            self._place_tasks(job, part)

    def _place_tasks(self, job: ActiveJob, ready: ReadyStep) -> None:
        # A task that lasts must be at work again soon, however full all is.
        urgent = is_urgent(job) or ready.step.perpetual
        shape = (job.spec.queue.service, ready.step)
        advised = ready.tickets is not None
        if not (urgent or advised) and shape in self._too_large:
            return
        choices = self._choices(job, ready)
        chosen = _choose(ready, choices)
        missing = ready.tasks[len(chosen) :]
        if missing and self._on_trial and may_try(job, ready):
            chosen += self._try_workers(job, ready._replace(tasks=missing))
            missing = ready.tasks[len(chosen) :]
        if chosen:
            workers = tuple((key, room.entry.worker_id) for key, room in chosen)
            self._placements.append(Placement(job, ready, workers))
        if not missing or ready.alone:
            return
        if urgent:
            self._make_room(job, ready, missing, choices)
            return
        if not (advised or job.failures_of(missing[0])):
            self._too_large.add(shape)
        if ready.step.gang and self._reservations:
            self._reservations -= 1
            reserve(ready, choices[-1])

    def _choices(self, job: ActiveJob, ready: ReadyStep) -> list[Groups]:
        """Return the groups of rooms to look for room in, one after another.

        Those that an attempt may be spent on come first; the others follow
        only once it may wait for them no longer.
        """
        groups = self._groups(job, ready)
        known = self._on_trial or self._wary or job.any_failed
        if not (self._cares and known):
            return [groups]
        attempt = attempt_of(
            job,
            ready,
            now_s=self._now_s,
            patience_s=self._patience_for_trust_s(job, ready),
            risky=job.spec.queue.service in self._risky,
            wary=job.spec.queue.service in self._wary,
        )
        trusted = trusted_groups(attempt, groups)
        choices: list[Groups] = [trusted]
        if attempt.failed_on:
            choices.insert(0, away_from(self._racks_of(attempt), trusted))
        if attempt.left <= 1:
            choices.insert(0, proven_groups(trusted))
        if attempt.waits:
            self._note_turned_down(job, ready, groups, attempt)
        else:
            choices.append(groups)
        return choices

    def _patience_for_trust_s(self, job: ActiveJob, ready: ReadyStep) -> float:
        """Return how long a step may wait for workers that are trusted."""
        left = attempts_left(job, ready)
        if ready.step.perpetual:
            return 0.0
        if left > 1 and job.spec.job_id in self._covered:
            # A guarantee counts from the first start on.
            return 0.0
        service = job.spec.queue.service
        patience_s = self._patience_s.get(service)
        if patience_s is None:
            rooms = self._services.get(service, _NO_ROOMS).rooms
            long = service in self._wary or is_busy(rooms)
            patience_s = BUSY_PATIENCE_S if long else IDLE_PATIENCE_S
            self._patience_s[service] = patience_s
        return patience_s

    def _racks_of(self, attempt: Attempt) -> frozenset[str]:
        """Return the racks in which a task has failed."""
        rooms = map(self._rooms.get, attempt.failed_on)
        return frozenset(room.entry.rack for room in rooms if room)

    def _note_turned_down(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        groups: Groups,
        attempt: Attempt,
    ) -> None:
        """Begin the wait for trust if it is what keeps room from a step."""
        needs = room_needed(ready.step)
        if any(
            room.fits_now(needs) and not attempt.admits(room)
            for group in groups
            for room in group
        ):
            job.note_turned_down(ready.tasks[0], self._now_s)

    def _try_workers(self, job: ActiveJob, ready: ReadyStep) -> Fit:
        """Take idle workers on trial for tasks, one for each."""
        if not self._cares:
            return []
        rooms = [room for group in self._groups(job, ready) for room in group]
        on_trial = [room for room in rooms if room.trust == ON_TRIAL]
        alone = ready._replace(alone=True)
        return choose_rooms(alone, list(dict.fromkeys(on_trial)))

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
        choices: list[Groups],
    ) -> None:
        """Stop what is needed for urgent tasks, and keep what gets free."""
        needed = [missing] if ready.step.gang else [(key,) for key in missing]
        for tasks in needed:
            most_loss = self._most_loss(job, ready.step, len(tasks))
            best = self._first_eviction(tasks, ready.step, choices, most_loss)
            if best is None:
                # The tasks that are left need the same.
                return
            self._evict(best, room_needed(ready.step))

    def _first_eviction(
        self,
        tasks: tuple[TaskKey, ...],
        step: Step,
        choices: list[Groups],
        most_loss: float,
    ) -> Eviction | None:
        """Return the best eviction in the first groups that have any."""
        for groups in choices:
            found = self._best_eviction(tasks, step, groups, most_loss)
            if found is not None:
                return found
        return None

    def _best_eviction(
        self,
        tasks: tuple[TaskKey, ...],
        step: Step,
        groups: Groups,
        most_loss: float,
    ) -> Eviction | None:
        """Return the eviction of the least loss over all groups, if any."""
        best: Eviction | None = None
        for group in groups:
            found = self._evictions.cheapest(tasks, step, group, most_loss)
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

    def _evict(self, eviction: Eviction, needs: Resources) -> None:
        for run in eviction.victims:
            self._victims.append(run)
            room = self._rooms.get(run.worker_id)
            if room is not None:
                room.evict(run)
        for claimed in eviction.rooms:
            claimed.claim(needs)


def _choose(ready: ReadyStep, choices: Sequence[Groups]) -> Fit:
    """Take rooms for the tasks, as many as possible of the first choice."""
    chosen: Fit = []
    for groups in choices:
        left = ready.tasks[len(chosen) :]
        if left:
            chosen += choose_group(ready._replace(tasks=left), groups)
    return chosen


__all__ = ('Placement', 'Plan', 'Planner')
