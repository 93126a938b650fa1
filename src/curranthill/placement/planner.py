"""One round of placement: which tasks start where, and which runs stop."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from curranthill.placement.backlog import JOBS_PER_ROUND, BacklogCursor
from curranthill.placement.capacity import (
    ServiceCapacity,
    WorkerCapacity,
    resources_needed,
)
from curranthill.placement.evictions import (
    Eviction,
    EvictionFinder,
    EvictionRules,
)
from curranthill.placement.fitting import (
    Fit,
    candidate_groups,
    choose_group,
    release_all,
    waits_for_rack,
    without_delaying_workers,
)
from curranthill.placement.jobs import ActiveJob, ReadyStep
from curranthill.placement.lost_work import LostWork
from curranthill.placement.mechanisms import (
    AWAITED_ENDS,
    BOUNDED_LOSS,
    BOUNDED_STOPS,
    IN_TIME_FIRST,
    INFEASIBLE_LAST,
    NONE_DISABLED,
    RACK_WAIT,
    RESERVATION,
    STOP_COSTS,
)
from curranthill.placement.order import (
    covered_jobs,
    in_service_order,
    infeasible_jobs,
    is_urgent,
    late_jobs,
)
from curranthill.placement.required_speed import (
    ANY,
    RequiredSpeed,
    required_speed,
)
from curranthill.placement.reservation_windows import ReservationWindows
from curranthill.placement.reservations import (
    MAX_RESERVATIONS,
    find_workers_to_reserve,
    reserve,
    wait_for_capacity_s,
)
from curranthill.placement.runs import Run
from curranthill.placement.starvation import MAX_IDLE_S, is_mostly_free
from curranthill.placement.stop_costs import StopCosts
from curranthill.placement.suspects import EXCLUSIVE_SHARE
from curranthill.tasks import Step, TaskKey

#: An urgent job that no guarantee covers may destroy at most this multiple of
#: its own work: beyond that, others lose more than its caller gains.
MAX_LOSS_FACTOR: Final = 3.0

#: For such a job no task is stopped that was restarted this often: in a steady
#: sequence of urgent jobs it would start again and again and never end.
MAX_RESTARTS: Final = 3

#: The capacity of a service without workers.
_NO_CAPACITY: Final = ServiceCapacity(workers=())


class Placement(NamedTuple):
    """Tasks of one step that start now; a gang is placed as a whole.

    :param workers: the tasks and the ids of their workers.
    """

    job: ActiveJob
    ready: ReadyStep
    workers: tuple[tuple[TaskKey, str], ...]


class Plan(NamedTuple):
    """The decisions of one round.

    :param victims: the runs to stop.
    :param stopped_for: for each of the victims, the id of the job that it is
        stopped for.
    :param reserved_for: the ids of the jobs that have capacity reserved or
        claimed after a preemption, in the order in which they are served.
    :param covered: the ids of the jobs that a guarantee covers.
    """

    placements: tuple[Placement, ...]
    victims: tuple[Run, ...]
    stopped_for: tuple[str, ...] = ()
    reserved_for: tuple[str, ...] = ()
    covered: frozenset[str] = frozenset()


#: Handles an error in the placement of a job.
JobErrorHandler = Callable[[ActiveJob, Exception], None]


def ratio_of_one(queue: str) -> float:
    """Return 1, the ratio of run time to estimate if none is known."""
    return 1.0


class Planner:
    """One round of decisions on a snapshot.

    :param workers: the capacity of the workers that accept work, by service.
    :param guaranteed: guaranteed accelerators by workspace.
    :param now_s: wall-clock seconds.
    :param tickets: returns a step's valid tickets by worker; called only for
        queues with an advisor.
    :param windows: the reservation windows, shared by all rounds.
    :param backlog: the position in a long backlog, shared by all rounds.
    :param disabled: mechanisms that are switched off.
    :param on_error: is called with a job that can't be placed due to an error;
        the others are placed. Without it the error is raised.
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
        ratio_of: Callable[[str], float] = ratio_of_one,
        on_error: JobErrorHandler | None = None,
    ) -> None:
        """Initialize a round in which nothing is decided."""
        self._on_error = on_error
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
        self._speeds_differ = (
            len({one.speed for one in self._workers.values()}) > 1
        )
        self._guaranteed = guaranteed
        self._now_s = now_s
        self._lost_work = LostWork(jobs=())
        self._stop_costs = self._make_stop_costs(())
        self._eviction_finders: dict[EvictionRules, EvictionFinder] = {}
        self._placements: list[Placement] = []
        self._victims: list[Run] = []
        self._stopped_for: list[str] = []
        self._reserved_for: dict[str, None] = {}
        self._covered: set[str] = set()
        self._infeasible: set[str] = set()
        self._not_fitting: set[tuple[str, Step]] = set()
        self._free_services: dict[str, bool] = {}
        self._reservations_left = (
            0 if RESERVATION in disabled else MAX_RESERVATIONS
        )

    def plan(self, jobs: Iterable[ActiveJob]) -> Plan:
        """Return the decisions for all jobs, in any order."""
        known = list(jobs)
        waiting = [job for job in known if not job.ended]
        self._lost_work = LostWork(jobs=known)
        self._stop_costs = self._make_stop_costs(known)
        self._covered = covered_jobs(waiting, self._guaranteed)
        later = self._place_first_jobs(self._in_service_order(waiting))
        for job in self._backlog.take(later):
            self._place_job(job)
        return Plan(
            tuple(self._placements),
            tuple(self._victims),
            tuple(self._stopped_for),
            tuple(self._reserved_for),
            frozenset(self._covered),
        )

    def _make_stop_costs(self, jobs: Sequence[ActiveJob]) -> StopCosts:
        return StopCosts(
            lost_work=self._lost_work,
            jobs=jobs,
            now_s=self._now_s,
            lost_work_only=STOP_COSTS in self._disabled,
        )

    def _eviction_finder(self, rules: EvictionRules) -> EvictionFinder:
        finder = self._eviction_finders.get(rules)
        if finder is None:
            finder = EvictionFinder(
                lost_work=self._lost_work,
                stop_costs=self._stop_costs,
                rules=rules,
            )
            self._eviction_finders[rules] = finder
        return finder

    def _eviction_rules(
        self, job: ActiveJob, ready: ReadyStep
    ) -> EvictionRules:
        """Return which runs a step may have stopped."""
        if self._is_guaranteed(job, ready.step):
            return EvictionRules()
        bounded = BOUNDED_STOPS not in self._disabled
        return EvictionRules(
            max_restarts=MAX_RESTARTS if bounded else math.inf,
            awaits_ends=AWAITED_ENDS not in self._disabled
            and job.preemptions.may_await_ends(ready, self._now_s),
        )

    def _place_first_jobs(
        self, jobs: Sequence[ActiveJob]
    ) -> Sequence[ActiveJob]:
        """Place the first jobs that may start; return the others."""
        considered = 0
        for number, job in enumerate(jobs):
            if considered >= JOBS_PER_ROUND:
                return jobs[number:]
            considered += self._place_job(job)
        return ()

    def _place_job(self, job: ActiveJob) -> bool:
        """Place the ready steps of a job; return whether it has any."""
        try:
            return self._place_ready_steps(job)
        except Exception as error:
            if self._on_error is None:
                raise
            self._on_error(job, error)
            return False

    def _place_ready_steps(self, job: ActiveJob) -> bool:
        ready_steps = list(job.ready_steps(self._now_s))
        for ready in ready_steps:
            self._place_step(job, self._with_tickets(job, ready))
        job.occurrences.advance_position()
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
        # A perpetual task must run again soon, also on a full cluster.
        urgent = self._may_preempt(job) or ready.step.perpetual
        shape = (job.spec.queue.service, ready.step)
        advised = ready.tickets is not None
        # A step equal to one that did not fit in this round is skipped, except
        # for urgent work, which may preempt, starving jobs, which may use
        # reserved capacity, and queues whose advisor allows other workers.
        may_skip = not (urgent or advised or self._is_starving(job))
        if may_skip and shape in self._not_fitting:
            return
        groups = self._groups(job, ready)
        required = self._required_speed(job, ready)
        chosen = self._choose(job, ready, groups, required)
        if urgent and _is_delayed(ready, chosen, required):
            release_all(ready, chosen)
            if self._preempt_for_speed(
                job, ready, without_delaying_workers(groups, required)
            ):
                return
            chosen = choose_group(ready, groups, required)
        self._place(job, ready, chosen)
        remaining = ready.tasks[len(chosen) :]
        if not remaining or ready.exclusive:
            return
        if urgent:
            self._preempt_for_capacity(job, ready, remaining, groups, required)
            return
        if not (advised or _is_limited_by_own(job, ready)):
            self._not_fitting.add(shape)
        if ready.step.gang and self._reservations_left:
            self._reserve(job, ready, groups)

    def _choose(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        groups: list[Sequence[WorkerCapacity]],
        required: RequiredSpeed,
    ) -> Fit:
        """Choose workers; for a starving job also reserved capacity.

        None are chosen for suspects if these have their share of workers.
        """
        chosen = choose_group(ready, groups, required)
        if ready.exclusive and chosen and self._too_many_exclusive(job):
            release_all(ready, chosen)
            chosen = []
        if chosen or not self._is_starving(job):
            return chosen
        return choose_group(ready._replace(starving=True), groups, required)

    def _is_starving(self, job: ActiveJob) -> bool:
        if job.idle_s(self._now_s) < MAX_IDLE_S:
            return False
        service = job.spec.queue.service
        if service not in self._free_services:
            workers = self._services.get(service, _NO_CAPACITY).workers
            self._free_services[service] = is_mostly_free(workers)
        return self._free_services[service]

    def _too_many_exclusive(self, job: ActiveJob) -> bool:
        workers = self._services[job.spec.queue.service].workers
        held = sum(worker.held_exclusively for worker in workers)
        return held > math.ceil(EXCLUSIVE_SHARE * len(workers))

    def _count_workers(self, job: ActiveJob) -> int:
        """Return how many workers of a job's service accept work."""
        return len(self._services[job.spec.queue.service].workers)

    def _reserve(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        groups: list[Sequence[WorkerCapacity]],
    ) -> None:
        """Reserve capacity for a gang that does not fit, within its window."""
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
            self._reservations_left -= 1
            reserve(ready, workers, total_workers=self._count_workers(job))
            self._reserved_for[job.spec.job_id] = None

    def _may_preempt(self, job: ActiveJob) -> bool:
        """Return whether runs may be stopped for a job."""
        feasible = job.spec.job_id not in self._infeasible
        return is_urgent(job) and feasible and not job.is_ahead

    def _place(self, job: ActiveJob, ready: ReadyStep, chosen: Fit) -> None:
        if chosen:
            workers = tuple(
                (key, worker.entry.worker_id) for key, worker in chosen
            )
            self._placements.append(Placement(job, ready, workers))

    def _required_speed(
        self, job: ActiveJob, ready: ReadyStep
    ) -> RequiredSpeed:
        """Return the speed that a step requires, if workers differ at all."""
        if not self._speeds_differ:
            return ANY
        ratio = self._ratio_of(job.spec.queue.name)
        return required_speed(job, ready, ratio, self._now_s)

    def _groups(
        self,
        job: ActiveJob,
        ready: ReadyStep,
    ) -> list[Sequence[WorkerCapacity]]:
        """Return the sets of workers that a step may use, best first."""
        capacity = self._services.get(job.spec.queue.service, _NO_CAPACITY)
        if ready.tickets is not None:
            capacity = capacity.limited_to(ready.tickets)
        return candidate_groups(
            ready, capacity, wait_for_rack=self._waits_for_rack(job, ready)
        )

    def _waits_for_rack(self, job: ActiveJob, ready: ReadyStep) -> bool:
        """Return whether a job continues to wait for the right rack."""
        if RACK_WAIT in self._disabled:
            return False
        return waits_for_rack(job, ready, self._now_s)

    def _preempt_for_speed(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        groups: list[Sequence[WorkerCapacity]],
    ) -> bool:
        """Preempt others so that an urgent gang ends in time, once for a step.

        On the slow workers that are free its own work would be wasted, so it
        may destroy as much of others. Afterwards it waits only for runs that
        are already being stopped.
        """
        step = ready.step
        tasks = len(ready.tasks)
        max_loss = min(
            _work_core_s(step, tasks),
            self._max_loss(job, step, tasks),
        )
        best = self._best_eviction(job, ready, ready.tasks, groups, max_loss)
        # Only an eviction with victims uses up the step's one preemption.
        if best is None or (best.victims and not job.preemptions.claim(ready)):
            return False
        self._evict(best, job, ready)
        return True

    def _preempt_for_capacity(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        remaining: tuple[TaskKey, ...],
        groups: list[Sequence[WorkerCapacity]],
        required: RequiredSpeed,
    ) -> None:
        """Preempt runs for urgent tasks, and claim what gets free."""
        batches = (
            [remaining] if ready.step.gang else [(key,) for key in remaining]
        )
        for tasks in batches:
            max_loss = self._max_loss(job, ready.step, len(tasks))
            best = self._best_eviction(job, ready, tasks, groups, max_loss)
            if best is None:
                # The remaining tasks have the same needs.
                return
            if required.is_met_by_typical and any(
                map(required.delays_gang, best.workers)
            ):
                work_core_s = _work_core_s(ready.step, len(tasks))
                best = (
                    self._best_eviction(
                        job,
                        ready,
                        tasks,
                        without_delaying_workers(groups, required),
                        min(max_loss, MAX_LOSS_FACTOR * work_core_s),
                    )
                    or best
                )
            self._evict(best, job, ready)

    def _best_eviction(
        self,
        job: ActiveJob,
        ready: ReadyStep,
        tasks: tuple[TaskKey, ...],
        groups: list[Sequence[WorkerCapacity]],
        max_loss: float,
    ) -> Eviction | None:
        """Return the cheapest eviction over all groups, if there is any."""
        best: Eviction | None = None
        max_cost = math.inf
        finder = self._eviction_finder(self._eviction_rules(job, ready))
        for group in groups:
            found = finder.cheapest(
                tasks, ready.step, group, max_loss, max_cost
            )
            if found is not None and found.cost < max_cost:
                best = found
                max_cost = found.cost
        return best

    def _is_guaranteed(self, job: ActiveJob, step: Step) -> bool:
        """Return whether a step must start soon, whatever is stopped for it."""
        return step.perpetual or job.spec.job_id in self._covered

    def _max_loss(self, job: ActiveJob, step: Step, tasks: int) -> float:
        """Return the most work that may be lost for tasks, in core-seconds."""
        if self._is_guaranteed(job, step) or not step.estimate_s:
            return math.inf
        if BOUNDED_LOSS in self._disabled:
            return math.inf
        return MAX_LOSS_FACTOR * _work_core_s(step, tasks)

    def _evict(
        self,
        eviction: Eviction,
        job: ActiveJob,
        ready: ReadyStep,
    ) -> None:
        self._reserved_for[job.spec.job_id] = None
        if eviction.awaited:
            job.preemptions.record_awaited_ends(ready, self._now_s)
        self._victims.extend(eviction.victims)
        self._stopped_for.extend(job.spec.job_id for _ in eviction.victims)
        for run in (*eviction.victims, *eviction.awaited):
            worker = self._workers.get(run.worker_id)
            if worker is not None:
                worker.evict(run)
        for claimed in eviction.workers:
            claimed.claim(resources_needed(ready.step))


def _is_limited_by_own(job: ActiveJob, ready: ReadyStep) -> bool:
    """Return whether tasks of the same occurrence may be in a step's way."""
    if not ready.step.max_per_worker:
        return False
    return job.is_recurring and job.occurrences.is_open(
        ready.occurrence, ready.number
    )


def _work_core_s(step: Step, tasks: int) -> float:
    """Return the work of a number of tasks of a step, in core-seconds."""
    return tasks * step.needs.weight_cores * step.estimate_s


def _is_delayed(ready: ReadyStep, chosen: Fit, required: RequiredSpeed) -> bool:
    """Return whether slow workers make a gang late that can be in time."""
    if not ready.step.gang or not required.is_met_by_typical:
        return False
    return any(required.delays_gang(worker) for _, worker in chosen)


__all__ = ('Placement', 'Plan', 'Planner')
