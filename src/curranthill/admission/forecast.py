"""Forecast of the wait of new jobs, which the leader publishes to all hosts.

Under overload, the wait of a job that arrives now is the work that is served
before it, divided by the whole capacity of its service.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

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
from curranthill.tasks import JobProgress, Resources

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

#: Work by resource: millicore-seconds, MB-seconds, accelerator-seconds.
_Work = tuple[float, float, float]

_NO_WORK: Final[_Work] = (0.0, 0.0, 0.0)

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
    waiting: dict[str, list[ActiveJob]] = defaultdict(list)
    for job in jobs:
        if job.spec.queue.service in resources and _is_entirely_waiting(job):
            waiting[job.spec.queue.service].append(job)
    forecasts = []
    for name, queue in waiting.items():
        waits = _wait_curves(queue, resources[name].total, covered, now_s)
        if waits:
            forecasts.append((_max_wait_s(waits), name, waits))
    forecasts.sort(key=lambda one: -one[0])
    return tuple(
        ServiceForecast(
            name, resources[name].total, resources[name].largest_free(), waits
        )
        for _, name, waits in forecasts[:MAX_FORECAST_SERVICES]
    )


def _is_entirely_waiting(job: ActiveJob) -> bool:
    """Return whether a job waits as a whole and will end.

    The remaining work of a job that runs in part or recurs is uncertain.
    """
    return not (job.runs or job.perpetual or job.spec.times)


def _wait_curves(
    waiting: list[ActiveJob],
    total: Resources,
    covered: set[str],
    now_s: float,
) -> dict[int, _WaitCurve]:
    """Return the wait by objective, for each priority with long waits."""
    probes = _probes(waiting, now_s)
    ahead = _NO_WORK
    waits: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for job in _in_service_order((*waiting, *probes), covered, now_s):
        if job in probes:
            wait_s = _drain_time_s(ahead, total)
            if wait_s >= MIN_FORECAST_WAIT_S:
                due_s = round(job.objective_s - now_s, 1)
                point = (due_s, round(wait_s, 1))
                waits[job.spec.queue.priority].append(point)
        else:
            ahead = _add_work(ahead, _work_of(job))
    return {
        priority: tuple(sorted(set(points)))
        for priority, points in waits.items()
    }


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
        same_priority.sort(key=_objective_time_s)
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


def _work_of(job: ActiveJob) -> _Work:
    """Return the remaining work of a job of which nothing runs."""
    work = _NO_WORK
    for number, step in enumerate(job.spec.steps):
        if job.begun and job.step_done(0, number):
            continue
        needs = resources_needed(step)
        work_s = step.width * step.estimate_s
        work = _add_work(
            work,
            (
                needs.cpu_millis * work_s,
                needs.memory_mb * work_s,
                needs.gpus * work_s,
            ),
        )
    return work


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


def _objective_time_s(job: ActiveJob) -> float:
    return job.objective_s - job.spec.accepted_at_s


def _drain_time_s(work: _Work, total: Resources) -> float:
    """Return how long all workers together take for some work, in seconds."""
    return max(
        (
            amount / have
            for amount, have in zip(work, total, strict=True)
            if have > 0
        ),
        default=0.0,
    )


def _add_work(work: _Work, more: _Work) -> _Work:
    cpu, memory, gpus = more
    return (work[0] + cpu, work[1] + memory, work[2] + gpus)


def _max_wait_s(waits: Mapping[int, _WaitCurve]) -> float:
    return max(wait_s for curve in waits.values() for _, wait_s in curve)


__all__ = ('MIN_FORECAST_WAIT_S', 'ServiceResources', 'make_forecast')
