"""Forecast of the wait of new jobs, which the leader publishes to all hosts.

Hypothetical jobs that would arrive now show where a new job stands in the order
of service, and :mod:`~curranthill.admission.expected_wait` how long it waits.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Final, NamedTuple

from curranthill.admission.expected_wait import (
    NO_WORK,
    Backlog,
    add_work,
    objective_time_s,
    work_of,
)
from curranthill.admission.shedding import (
    MAX_FORECAST_AGE_S,
    MAX_WAITING,
    MAX_WAITING_PER_WORKSPACE,
    Forecast,
    ServiceForecast,
)
from curranthill.placement import (
    ActiveJob,
    covered_jobs,
    in_service_order,
    infeasible_jobs,
    late_jobs,
    resources_needed,
)
from curranthill.tasks import JobProgress, Resources, Step

#: Shorter waits are left out of the forecast, in seconds: of a job that has
#: less time than this beyond its longest chain it can't be predicted whether it
#: ends in time.
MIN_FORECAST_WAIT_S: Final = 1.0

#: The waiting jobs that are sampled for each priority: those with the earliest,
#: the median and the latest objective.
SAMPLES_PER_PRIORITY: Final = 3

#: The maximum number of workspaces in a forecast, so that the leader's row
#: stays small: the guarantees of all others count as unused.
MAX_FORECAST_WORKSPACES: Final = 8

#: The number of waiting jobs is published from this share of the maximum on.
MIN_FORECAST_WAITING_SHARE: Final = 0.5

#: The maximum number of services in a forecast, the longest wait first.
MAX_FORECAST_SERVICES: Final = 2

#: Pairs of an objective in seconds from now and the expected wait in seconds.
_WaitCurve = tuple[tuple[float, float], ...]

#: The prefix of the ids of hypothetical jobs that would arrive now.
PROBE: Final = 'probe'


class ServiceResources(NamedTuple):
    """The capacity of one service's workers.

    :param total: the sum of all workers, used or not.
    :param largest_free: returns the most that is free on any one worker, for
        each resource separately.
    """

    total: Resources
    largest_free: Callable[[], Resources]


def make_forecast(
    jobs: Iterable[ActiveJob],
    *,
    resources: Mapping[str, ServiceResources],
    guaranteed: Mapping[str, int],
    now_s: float,
    number: int,
) -> Forecast | None:
    """Return the forecast for all hosts, or nothing while no job waits long.

    :param resources: the capacity of each service.
    :param guaranteed: guaranteed accelerators by workspace.
    :param now_s: wall-clock seconds.
    :param number: incremented with each forecast of one leader.
    """
    open_jobs = [job for job in jobs if not job.ended]
    not_started = [job for job in open_jobs if not job.begun]
    waiting = Counter(job.spec.workspace for job in not_started)
    covered = covered_jobs(open_jobs, guaranteed)
    services = _services(open_jobs, resources, covered, now_s)
    many_wait = len(not_started) >= MIN_FORECAST_WAITING_SHARE * MAX_WAITING
    if not services and not many_wait:
        return None
    return Forecast(
        number=number,
        waiting=len(not_started),
        services=services,
        unused_guarantees=_unused_guarantees(open_jobs, guaranteed, covered),
        full_workspaces=tuple(
            workspace
            for workspace, count in waiting.most_common(MAX_FORECAST_WORKSPACES)
            if count >= MAX_WAITING_PER_WORKSPACE
        ),
    )


def _services(
    jobs: list[ActiveJob],
    resources: Mapping[str, ServiceResources],
    covered: set[str],
    now_s: float,
) -> tuple[ServiceForecast, ...]:
    """Return the forecasts of the services with long waits."""
    by_service: dict[str, list[ActiveJob]] = defaultdict(list)
    for job in jobs:
        if job.spec.queue.service in resources and _will_end(job):
            by_service[job.spec.queue.service].append(job)
    forecasts = []
    for name, known in by_service.items():
        waiting = [job for job in known if not job.runs]
        backlog = Backlog(
            jobs=known,
            waiting=waiting,
            total=resources[name].total,
            now_s=now_s,
        )
        waits = _wait_curves(waiting, backlog, covered, now_s)
        if waits:
            forecasts.append((_max_wait_s(waits), name, waits, backlog))
    forecasts.sort(key=lambda one: -one[0])
    return tuple(
        ServiceForecast(
            name=name,
            total=resources[name].total,
            largest_free=resources[name].largest_free(),
            waits=waits,
            free=_free(by_service[name], resources[name].total),
            least_waiting=_least_waiting(by_service[name], waits, now_s),
            drain_s=round(backlog.drain_s(), 1),
        )
        for _, name, waits, backlog in forecasts[:MAX_FORECAST_SERVICES]
    )


def _free(jobs: Iterable[ActiveJob], total: Resources) -> Resources:
    """Return what no run of these jobs uses."""
    for job in jobs:
        for run in job.runs.values():
            total = total.minus(run.needs)
    return total


def _least_waiting(
    jobs: Iterable[ActiveJob], priorities: Iterable[int], now_s: float
) -> dict[int, Resources]:
    """Return the least that a task needs that waits, for each priority."""
    waiting = [
        (job.spec.queue.priority, needs)
        for job in jobs
        for needs in _waiting_alone(job, now_s)
    ]
    return {
        priority: min(
            (needs for own, needs in waiting if own <= priority), key=_size
        )
        for priority in priorities
        if any(own <= priority for own, _ in waiting)
    }


def _waiting_alone(job: ActiveJob, now_s: float) -> Iterator[Resources]:
    """Yield what the waiting tasks of a job need that may start anywhere."""
    if job.suspects or job.spec.queue.advisor:
        return
    for ready in job.ready_steps(now_s):
        if _starts_anywhere(ready.step):
            yield resources_needed(ready.step)


def _starts_anywhere(step: Step) -> bool:
    """Return whether tasks of a step start alone, beside any other task."""
    constraints = (
        step.gang,
        step.label,
        step.near_rack,
        step.same_rack,
        step.max_per_worker,
        step.fills,
        step.target_ms,
    )
    return not any(constraints)


def _size(needs: Resources) -> tuple[int, float]:
    return (needs.gpus, needs.weight_cores)


def _will_end(job: ActiveJob) -> bool:
    """Return whether a job is done once; what a recurring one needs varies."""
    return not (job.perpetual or job.spec.times)


def _wait_curves(
    waiting: list[ActiveJob],
    backlog: Backlog,
    covered: set[str],
    now_s: float,
) -> dict[int, _WaitCurve]:
    """Return the wait by objective, for each priority with long waits."""
    probes = _probes(waiting, now_s)
    ahead = NO_WORK
    waits: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for job in _in_service_order((*waiting, *probes), covered, now_s):
        if job not in probes:
            ahead = add_work(ahead, work_of(job))
            continue
        wait_s = backlog.expected_wait_s(job, ahead)
        if wait_s >= MIN_FORECAST_WAIT_S:
            due_s = round(job.objective_s - now_s, 1)
            point = (due_s, round(wait_s, 1))
            waits[job.spec.queue.priority].append(point)
    return {
        priority: _ascending(sorted(set(points)))
        for priority, points in waits.items()
    }


def _ascending(points: list[tuple[float, float]]) -> _WaitCurve:
    """Return a curve on which no later objective has a shorter wait."""
    waits_s = [wait_s for _, wait_s in points]
    return tuple(
        (due_s, min(waits_s[number:]))
        for number, (due_s, _) in enumerate(points)
    )


def _in_service_order(
    jobs: tuple[ActiveJob, ...],
    covered: set[str],
    now_s: float,
) -> list[ActiveJob]:
    """Return jobs in the order in which the leader serves them.

    :param now_s: wall-clock seconds.
    """
    infeasible = infeasible_jobs(jobs, covered, now_s)
    return in_service_order(jobs, covered, infeasible, late_jobs(jobs, now_s))


def _probes(waiting: list[ActiveJob], now_s: float) -> list[ActiveJob]:
    """Return hypothetical jobs like those that wait, as if they arrived now.

    Their positions in the order show which jobs are served before one that
    arrives now, whatever the order depends on.
    """
    by_priority: dict[int, list[ActiveJob]] = defaultdict(list)
    for job in waiting:
        by_priority[job.spec.queue.priority].append(job)
    probes: list[ActiveJob] = []
    for same_priority in by_priority.values():
        same_priority.sort(key=objective_time_s)
        last = len(same_priority) - 1
        for index in range(SAMPLES_PER_PRIORITY):
            template = same_priority[
                last * index // (SAMPLES_PER_PRIORITY - 1)
            ].spec
            spec = template._replace(
                job_id=f'{PROBE}-{len(probes)}', accepted_at_s=now_s
            )
            probes.append(ActiveJob(spec=spec, progress=JobProgress('')))
    return probes


def _unused_guarantees(
    jobs: list[ActiveJob],
    guaranteed: Mapping[str, int],
    covered: set[str],
) -> dict[str, int]:
    """Return unused guarantees of workspaces with uncovered urgent jobs."""
    used: Counter[str] = Counter()
    waiting_beyond: Counter[str] = Counter()
    for job in jobs:
        workspace = job.spec.workspace
        if job.spec.job_id in covered:
            used[workspace] += 0 if _ends_soon(job) else job.gpus
        elif not job.begun and not job.spec.queue.priority:
            waiting_beyond[workspace] += 1
    return {
        workspace: max(guaranteed.get(workspace, 0) - used[workspace], 0)
        for workspace, _ in waiting_beyond.most_common(MAX_FORECAST_WORKSPACES)
    }


def _ends_soon(job: ActiveJob) -> bool:
    """Return whether a job may end while a forecast is still in use."""
    remaining_s = [
        run.estimate_s * (1 - run.done_percent / 100)
        for run in job.runs.values()
    ]
    return bool(remaining_s) and max(remaining_s) <= MAX_FORECAST_AGE_S


def _max_wait_s(waits: Mapping[int, _WaitCurve]) -> float:
    return max(wait_s for curve in waits.values() for _, wait_s in curve)


__all__ = ('MIN_FORECAST_WAIT_S', 'ServiceResources', 'make_forecast')
