"""Forecast of the wait of new jobs, which the leader tells all hosts.

Answers more work than there is room for: the wait of a job that comes now is
the work that goes before it, divided by all room of its service.
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

#: Shorter waits are not told of, in seconds: what must end sooner than that
#: after its longest chain is told by nobody.
MIN_FORECAST_WAIT_S: Final = 1.0

#: Waiting jobs that are sampled for each priority: those of the earliest, the
#: middle and the latest objective.
SAMPLES_A_PRIORITY: Final = 3

#: The most workspaces that are told of one by one: the rest is refused
#: nothing for its guarantee, and the leader's row stays small.
TOLD_WORKSPACES: Final = 8

#: Jobs are told of as waiting from this share of the most on.
TOLD_WAITING_SHARE: Final = 0.5

#: Services that are told of, the longest wait first.
TOLD_SERVICES: Final = 2

#: Work by kind of room: millicore-seconds, MB-seconds, accelerator-seconds.
_Work = tuple[float, float, float]

_NO_WORK: Final[_Work] = (0.0, 0.0, 0.0)

#: Pairs of an objective in seconds from now and the expected wait in seconds.
_WaitCurve = tuple[tuple[float, float], ...]

#: What the ids begin with of what stands for a job that comes now.
PROBE: Final = 'probe'


class ServiceResources(NamedTuple):
    """The room of one service's workers.

    :param total: all of it, used or not.
    :param free: returns the most that is free on one worker, part by part.
    """

    total: Resources
    free: Callable[[], Resources]


def make_forecast(
    jobs: Iterable[ActiveJob],
    *,
    resources: Mapping[str, ServiceResources],
    guaranteed: Mapping[str, int],
    now_s: float,
    number: int,
) -> Forecast | None:
    """Return what hosts should know, or nothing while nothing waits long.

    :param guaranteed: guaranteed accelerators by workspace.
    :param now_s: wall-clock seconds.
    :param number: grows with each outlook of one leader.
    """
    open_jobs = [job for job in jobs if not job.ended]
    unbegun = [job for job in open_jobs if not job.begun]
    waiting = Counter(job.spec.workspace for job in unbegun)
    covered = covered_jobs(open_jobs, guaranteed)
    services = _services(open_jobs, resources, covered, now_s)
    many = len(unbegun) >= TOLD_WAITING_SHARE * MAX_WAITING
    if not services and not many:
        return None
    return Forecast(
        number=number,
        waiting=len(unbegun),
        services=services,
        uncovered=_unused_guarantees(open_jobs, guaranteed, covered),
        full=tuple(
            workspace
            for workspace, count in waiting.most_common(TOLD_WORKSPACES)
            if count >= MAX_WAITING_PER_WORKSPACE
        ),
    )


def _services(
    jobs: list[ActiveJob],
    resources: Mapping[str, ServiceResources],
    covered: set[str],
    now_s: float,
) -> tuple[ServiceForecast, ...]:
    """Return the services for which something waits long."""
    waiting: dict[str, list[ActiveJob]] = defaultdict(list)
    for job in jobs:
        if job.spec.queue.service in resources and _waits_whole(job):
            waiting[job.spec.queue.service].append(job)
    told = []
    for name, queue in waiting.items():
        waits = _waits(queue, resources[name].total, covered, now_s)
        if waits:
            told.append((_longest_s(waits), name, waits))
    told.sort(key=lambda one: -one[0])
    return tuple(
        ServiceForecast(
            name, resources[name].total, resources[name].free(), waits
        )
        for _, name, waits in told[:TOLD_SERVICES]
    )


def _waits_whole(job: ActiveJob) -> bool:
    """Return whether all of a job waits that has to end.

    What runs in part or comes back at set times says nothing for sure.
    """
    return not (job.runs or job.perpetual or job.spec.times)


def _waits(
    waiting: list[ActiveJob],
    total: Resources,
    covered: set[str],
    now_s: float,
) -> dict[int, _WaitCurve]:
    """Return the steps of the wait for each priority with a long one."""
    probes = _probes(waiting, now_s)
    ahead = _NO_WORK
    waits: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for job in _as_served((*waiting, *probes), covered, now_s):
        if job in probes:
            wait_s = _drained_s(ahead, total)
            if wait_s >= MIN_FORECAST_WAIT_S:
                due_s = round(job.objective_s - now_s, 1)
                step = (due_s, round(wait_s, 1))
                waits[job.spec.queue.priority].append(step)
        else:
            ahead = _plus(ahead, _work_of(job))
    return {
        priority: tuple(sorted(set(steps))) for priority, steps in waits.items()
    }


def _as_served(
    jobs: tuple[ActiveJob, ...],
    covered: set[str],
    now_s: float,
) -> list[ActiveJob]:
    """Return jobs in the order in which the leader serves them."""
    infeasible = infeasible_jobs(jobs, covered, now_s)
    return in_service_order(jobs, covered, infeasible, late_jobs(jobs, now_s))


def _probes(waiting: list[ActiveJob], now_s: float) -> list[ActiveJob]:
    """Return jobs like those that wait, as if they came now.

    Where these stand in the order tells what goes before one that comes now,
    whatever the order goes by.
    """
    by_priority: dict[int, list[ActiveJob]] = defaultdict(list)
    for job in waiting:
        by_priority[job.spec.queue.priority].append(job)
    probes: list[ActiveJob] = []
    for alike in by_priority.values():
        alike.sort(key=_patience_s)
        last = len(alike) - 1
        for part in range(SAMPLES_A_PRIORITY):
            model = alike[last * part // (SAMPLES_A_PRIORITY - 1)].spec
            spec = model._replace(
                job_id=f'{PROBE}-{len(probes)}', accepted_at_s=now_s
            )
            probes.append(ActiveJob(spec=spec, progress=JobProgress('')))
    return probes


def _work_of(job: ActiveJob) -> _Work:
    """Return the work of a job of which nothing runs."""
    work = _NO_WORK
    for number, step in enumerate(job.spec.steps):
        if job.begun and job.step_done(0, number):
            continue
        needs = resources_needed(step)
        work_s = step.width * step.estimate_s
        work = _plus(
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
    """Return what is unused of guarantees beyond which urgent jobs wait."""
    used: Counter[str] = Counter()
    beyond: Counter[str] = Counter()
    for job in jobs:
        workspace = job.spec.workspace
        if job.spec.job_id in covered:
            used[workspace] += 0 if _ends_soon(job) else job.gpus
        elif not job.begun and not job.spec.queue.priority:
            beyond[workspace] += 1
    return {
        workspace: max(guaranteed.get(workspace, 0) - used[workspace], 0)
        for workspace, _ in beyond.most_common(TOLD_WORKSPACES)
    }


def _ends_soon(job: ActiveJob) -> bool:
    """Return whether a job may have ended while an outlook is gone by."""
    left_s = [
        run.estimate_s * (1 - run.done_percent / 100)
        for run in job.runs.values()
    ]
    return bool(left_s) and max(left_s) <= MAX_FORECAST_AGE_S


def _patience_s(job: ActiveJob) -> float:
    return job.objective_s - job.spec.accepted_at_s


def _drained_s(work: _Work, total: Resources) -> float:
    """Return how long all workers take for some work, in seconds."""
    return max(
        (
            amount / have
            for amount, have in zip(work, total, strict=True)
            if have > 0
        ),
        default=0.0,
    )


def _plus(work: _Work, more: _Work) -> _Work:
    cpu, memory, gpus = more
    return (work[0] + cpu, work[1] + memory, work[2] + gpus)


def _longest_s(waits: Mapping[int, _WaitCurve]) -> float:
    return max(wait_s for steps in waits.values() for _, wait_s in steps)


__all__ = ('MIN_FORECAST_WAIT_S', 'ServiceResources', 'make_forecast')
