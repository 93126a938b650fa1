"""One round of placement: which tasks start where, and what is stopped."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from curranthill.placement.backlog import JOBS_PER_ROUND, BacklogCursor
from curranthill.placement.capacity import (
    ServiceCapacity,
    WorkerCapacity,
    resources_needed,
)
from curranthill.placement.evictions import Eviction, Evictions
from curranthill.placement.fitting import (
    Fit,
    choose_group,
    give_back,
    groups_of,
    in_time,
    waits_for_rack,
)
from curranthill.placement.jobs import ActiveJob, ReadyStep
from curranthill.placement.losses import Losses
from curranthill.placement.mechanisms import (
    BOUNDED_LOSS,
    IN_TIME_FIRST,
    INFEASIBLE_LAST,
    NONE_DISABLED,
    RACK_PATIENCE,
    RESERVATION,
)
from curranthill.placement.order import (
    covered_jobs,
    in_service_order,
    infeasible_jobs,
    is_urgent,
    late_jobs,
)
from curranthill.placement.paces import ANY, Pace, pace_of
from curranthill.placement.reservation_windows import ReservationWindows
from curranthill.placement.reservations import (
    RESERVATIONS,
    find_workers_to_reserve,
    reserve,
    wait_for_capacity_s,
)
from curranthill.placement.runs import Run
from curranthill.placement.starvation import MAX_IDLE_S, is_mostly_free
from curranthill.placement.suspects import EXCLUSIVE_SHARE
from curranthill.tasks import Resources, Step, TaskKey

#: An urgent job that no guarantee covers may throw away at most so many times
#: its own work: more of it would serve others worse than it serves its caller.
MOST_LOSS_SHARE: Final = 3.0

#: The rooms of a service that has no workers.
_NO_WORKERS: Final = ServiceCapacity(workers=())


class Placement(NamedTuple):
    """Tasks of one step that start now; gangs are placed whole."""

    job: ActiveJob
    ready: ReadyStep
    workers: tuple[tuple[TaskKey, str], ...]


class Plan(NamedTuple):
    """What one round decided.

    :param stopped_for: for each of the victims, the id of the job that its
        room goes to.
    :param reserved_for: the ids of the jobs that room is kept for, by
        reservation or after a preemption, in the order of their turn.
    """

    placements: tuple[Placement, ...]
    victims: tuple[Run, ...]
    stopped_for: tuple[str, ...] = ()
    reserved_for: tuple[str, ...] = ()


def as_estimated(queue: str) -> float:
    """Return the ratio of run time to estimate of which nothing is known."""
    return 1.0


class Planner:
    """One round of decisions over a snapshot.

    :param workers: the workers that accept work, by service.
    :param guaranteed: guaranteed accelerators by workspace.
    :param now_s: wall-clock seconds.
    :param tickets: returns a step's good tickets by worker; asked only for
        queues with an advisor.
    :param windows: who keeps room for how long, over all rounds.
    :param backlog: where a long backlog is gone on with, over all rounds.
    :param disabled: mechanisms that are switched off.
    :param ratio_of: returns run time over estimate in a queue, by its name.
    """

    def __init__(
        self,
        *,
        workers: Mapping[str, Sequence[WorkerCapacity]],
        guaranteed: Mapping[str, int],
        now_s: float,
        tickets: Callable[[ActiveJob, ReadyStep], dict[str, str]],
        windows: ReservationWindows | None = None,
        backlog: BacklogCursor | None = None,
        disabled: frozenset[str] = NONE_DISABLED,
        ratio_of: Callable[[str], float] = as_estimated,
    ) -> None:
        """Keep the snapshot."""
        self._ratio_of = ratio_of
        self._tickets = tickets
        self._windows = windows or ReservationWindows()
        self._backlog = backlog or BacklogCursor()
        self._disabled = disabled
        self._services = {
            service: ServiceCapacity(workers=found)
            for service, found in workers.items()
        }
        self._workers = {
            worker.entry.worker_id: worker
            for found in workers.values()
            for worker in found
        }
        self._unlike = len({one.speed for one in self._workers.values()}) > 1
        self._guaranteed = guaranteed
        self._now_s = now_s
        self._evictions = Evictions(losses=Losses(jobs=()))
        self._placements: list[Placement] = []
        self._victims: list[Run] = []
        self._stopped_for: list[str] = []
        self._reserved_for: dict[str, None] = {}
        self._covered: set[str] = set()
        self._infeasible: set[str] = set()
        self._too_large: set[tuple[str, Step]] = set()
        self._mostly_free: dict[str, bool] = {}
        self._reservations = 0 if RESERVATION in disabled else RESERVATIONS

    def plan(self, jobs: Iterable[ActiveJob]) -> Plan:
        """Return the decisions for all jobs, in any order."""
        known = list(jobs)
        waiting = [job for job in known if not job.ended]
        self._evictions = Evictions(losses=Losses(jobs=known))
        self._covered = covered_jobs(waiting, self._guaranteed)
        later = self._place_first(self._in_service_order(waiting))
        for job in self._backlog.take(later):
            self._place_job(job)
        return Plan(
            tuple(self._placements),
            tuple(self._victims),
            tuple(self._stopped_for),
            tuple(self._reserved_for),
        )

    def _place_first(self, jobs: Sequence[ActiveJob]) -> Sequence[ActiveJob]:
        """Look at the first jobs that may start; return the others."""
        looked_at = 0
        for number, job in enumerate(jobs):
            if looked_at >= JOBS_PER_ROUND:
                return jobs[number:]
            looked_at += self._place_job(job)
        return ()

    def _place_job(self, job: ActiveJob) -> bool:
        """Place what may start of a job; return whether anything may."""
        ready_steps = list(job.ready_steps(self._now_s))
        for ready in ready_steps:
            self._place_step(job, self._with_tickets(job, ready))
        return bool(ready_steps)

    def _in_service_order(self, waiting: list[ActiveJob]) -> list[ActiveJob]:
        late: set[str] = set()
        if INFEASIBLE_LAST not in self._disabled:
            self._infeasible = infeasible_jobs(
                waiting,
                self._covered,
                self._now_s,
            )
        if IN_TIME_FIRST not in self._disabled:
            late = late_jobs(waiting, self._now_s)
        return in_service_order(waiting, self._covered, self._infeasible, late)

    def _with_tickets(self, job: ActiveJob, ready: ReadyStep) -> ReadyStep:
        if not job.spec.queue.advisor:
            return ready
        return ready._replace(tickets=self._tickets(job, ready))

    def _place_step(self, job: ActiveJob, ready: ReadyStep) -> None:
        # A task that lasts must be at work again soon, however full all is.
        urgent = self._may_preempt(job) or ready.step.perpetual
        shape = (job.spec.queue.service, ready.step)
        advised = ready.tickets is not None
        may_skip = not (urgent or advised or self._starves(job))
        if may_skip and shape in self._too_large:
            return
        groups = self._groups(job, ready)
        pace = self._pace(job, ready)
        chosen = self._choose(job, ready, groups, pace)
        if urgent and _is_held_up(ready, chosen, pace):
            give_back(ready, chosen)
            if self._make_way(job, ready, in_time(groups, pace)):
                return
            chosen = choose_group(ready, groups, pace)
        self._place(job, ready, chosen)
        missing = ready.tasks[len(chosen) :]
        if not missing or ready.exclusive:
            return
        if urgent:
            self._preempt_for(job, ready, missing, groups, pace)
            return
        if not advised:
            self._too_large.add(shape)
        if ready.step.gang and self._reservations:
            self._reserve(job, ready, groups)

    def _choose(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        groups: list[Sequence[WorkerCapacity]],
        pace: Pace,
    ) -> Fit:
        """Take rooms, also ones that are kept if a job starves otherwise.

        None are taken for suspects that have their share of workers.
        """
        chosen = choose_group(ready, groups, pace)
        if ready.exclusive and chosen and self._too_many_exclusive(job):
            give_back(ready, chosen)
            chosen = []
        if chosen or not self._starves(job):
            return chosen
        return choose_group(ready._replace(starving=True), groups, pace)

    def _starves(self, job: ActiveJob) -> bool:
        if job.idle_s(self._now_s) < MAX_IDLE_S:
            return False
        service = job.spec.queue.service
        if service not in self._mostly_free:
            workers = self._services.get(service, _NO_WORKERS).workers
            self._mostly_free[service] = is_mostly_free(workers)
        return self._mostly_free[service]

    def _too_many_exclusive(self, job: ActiveJob) -> bool:
        workers = self._services[job.spec.queue.service].workers
        held = sum(worker.held_exclusively for worker in workers)
        return held > math.ceil(EXCLUSIVE_SHARE * len(workers))

    def _workers_of(self, job: ActiveJob) -> int:
        """Return how many workers of a job's service accept work."""
        return len(self._services[job.spec.queue.service].workers)

    def _reserve(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        groups: list[Sequence[WorkerCapacity]],
    ) -> None:
        """Keep room for a gang that does not fit now, if it is its turn."""
        workers = find_workers_to_reserve(ready, groups)
        if not workers:
            return
        may_reserve = self._windows.may_reserve(
            job.spec.queue.service,
            job,
            ready.tasks[0],
            self._now_s,
            wait_for_capacity_s(workers),
        )
        if may_reserve:
            self._reservations -= 1
            reserve(ready, workers, of_workers=self._workers_of(job))
            self._reserved_for[job.spec.job_id] = None

    def _may_preempt(self, job: ActiveJob) -> bool:
        """Return whether runs may be stopped for a job."""
        return is_urgent(job) and job.spec.job_id not in self._infeasible

    def _place(self, job: ActiveJob, ready: ReadyStep, chosen: Fit) -> None:
        if chosen:
            workers = tuple(
                (key, worker.entry.worker_id) for key, worker in chosen
            )
            self._placements.append(Placement(job, ready, workers))

    def _pace(self, job: ActiveJob, ready: ReadyStep) -> Pace:
        """Return what a step asks of its workers, if they differ at all."""
        if not self._unlike:
            return ANY
        ratio = self._ratio_of(job.spec.queue.name)
        return pace_of(job, ready, ratio, self._now_s)

    def _groups(
        self,
        job: ActiveJob,
        ready: ReadyStep,
    ) -> list[Sequence[WorkerCapacity]]:
        """Return the sets of rooms that a step may be placed in, best first."""
        workers = self._services.get(job.spec.queue.service, _NO_WORKERS)
        if ready.tickets is not None:
            workers = workers.limited_to(ready.tickets)
        return groups_of(
            ready, workers, wait_for_rack=self._waits_for_rack(job, ready)
        )

    def _waits_for_rack(self, job: ActiveJob, ready: ReadyStep) -> bool:
        """Return whether a job goes on waiting for the right rack."""
        if RACK_PATIENCE in self._disabled:
            return False
        return waits_for_rack(job, ready, self._now_s)

    def _make_way(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        groups: list[Sequence[WorkerCapacity]],
    ) -> bool:
        """Stop others so that an urgent gang ends in time, once for a step.

        On the slow workers that are free it would run in vain, so that is what
        may be thrown away for it. Afterwards it waits only for what is being
        stopped already.
        """
        step = ready.step
        tasks = len(ready.tasks)
        most_loss = min(
            _work(step, tasks),
            self._most_loss(job, step, tasks),
        )
        best = self._best_eviction(ready.tasks, step, groups, most_loss)
        # Only an eviction with victims uses up the step's one preemption.
        if best is None or (best.victims and not job.claim_preemption(ready)):
            return False
        self._evict(best, job, resources_needed(step))
        return True

    def _preempt_for(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        missing: tuple[TaskKey, ...],
        groups: list[Sequence[WorkerCapacity]],
        pace: Pace,
    ) -> None:
        """Stop what is needed for urgent tasks, and keep what gets free."""
        needed = [missing] if ready.step.gang else [(key,) for key in missing]
        for tasks in needed:
            most_loss = self._most_loss(job, ready.step, len(tasks))
            best = self._best_eviction(tasks, ready.step, groups, most_loss)
            if best is None:
                # The tasks that are left need the same.
                return
            if pace.is_met_somewhere and any(map(pace.holds_up, best.workers)):
                work_core_s = _work(ready.step, len(tasks))
                best = (
                    self._best_eviction(
                        tasks,
                        ready.step,
                        in_time(groups, pace),
                        min(most_loss, MOST_LOSS_SHARE * work_core_s),
                    )
                    or best
                )
            self._evict(best, job, resources_needed(ready.step))

    def _best_eviction(
        self,
        tasks: tuple[TaskKey, ...],
        step: Step,
        groups: list[Sequence[WorkerCapacity]],
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
        if BOUNDED_LOSS in self._disabled:
            return math.inf
        return MOST_LOSS_SHARE * _work(step, tasks)

    def _evict(
        self,
        eviction: Eviction,
        job: ActiveJob,
        needs: Resources,
    ) -> None:
        self._reserved_for[job.spec.job_id] = None
        for run in eviction.victims:
            self._victims.append(run)
            self._stopped_for.append(job.spec.job_id)
            worker = self._workers.get(run.worker_id)
            if worker is not None:
                worker.evict(run)
        for claimed in eviction.workers:
            claimed.claim(needs)


def _work(step: Step, tasks: int) -> float:
    """Return the work of so many tasks of a step, in core-seconds."""
    return tasks * step.needs.weight_cores * step.estimate_s


def _is_held_up(ready: ReadyStep, chosen: Fit, pace: Pace) -> bool:
    """Return whether slow workers make a gang late that could be in time."""
    if not ready.step.gang or not pace.is_met_somewhere:
        return False
    return any(pace.holds_up(worker) for _, worker in chosen)


__all__ = ('Placement', 'Plan', 'Planner')
