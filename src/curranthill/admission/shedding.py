"""Load shedding: whether a host accepts a job while others wait.

Under overload, an accepted job that ends too late for its caller takes
capacity from jobs that would be in time. If it is refused at once, its caller
can submit it elsewhere. Only jobs that are too late by a margin are refused.
The number of waiting jobs is limited too; this bounds the leader's memory and
the reads of a takeover.
"""

from typing import Final, NamedTuple

import msgspec

from curranthill.placement import MAX_LATE_FACTOR, URGENT, resources_needed
from curranthill.placement.timeliness import INFEASIBLE_WAIT_S, MIN_RUN_SHARE
from curranthill.tasks import JobSpec, Queue, Resources, Step

#: The format version of the record; hosts ignore forecasts of other versions.
FORMAT_VERSION: Final = 1

#: The share of the expected wait that a refusal relies on: estimates are wrong
#: at times, and some waiting jobs are cancelled.
RELIABLE_WAIT_SHARE: Final = 0.6

#: An older forecast refuses no job, in seconds: one is made each second,
#: written with a heartbeat and read with the leader's row, and one of these may
#: fail.
MAX_FORECAST_AGE_S: Final = 2.5

#: The maximum number of waiting jobs of which no task has started: a new leader
#: first reads their rows, some 1 KB each, and a host with 5 Mbit/s must finish
#: this within 4 s.
MAX_WAITING: Final = 2000

#: The same for one workspace, so that no single caller can fill the queue.
MAX_WAITING_PER_WORKSPACE: Final = MAX_WAITING // 2

#: The shortest time after which a caller retries, in seconds: the header has
#: whole seconds.
MIN_RETRY_AFTER_S: Final = 1.0

#: A refused caller is asked to retry early enough for this many more attempts
#: while its job can still earn credit.
RETRIES: Final = 4

#: The maximum time to add at random, as a share of the time until a retry.
JITTER_SHARE: Final = 0.5

#: A job with a step wider than this share of the capacity takes longer than its
#: longest chain, even on idle workers.
WIDE_STEP_SHARE: Final = 0.25

#: The reasons for a refusal.
TOO_LATE: Final = 'too late'
WORKSPACE_FULL: Final = 'too many of the workspace wait'
FULL: Final = 'too many wait'


class ServiceForecast(msgspec.Struct, array_like=True):
    """The forecast for one service.

    :param total: the capacity of all its workers.
    :param largest_free: the most that is free on any one worker, for each
        resource separately.
    :param waits: by priority, ascending pairs of an objective (seconds from
        now) and the wait expected of a job whose objective is not earlier.
    :param free: the sum of what is free on all workers; unknown in forecasts of
        earlier releases.
    :param least_waiting: by priority, the least that any task needs that waits
        alone and has this priority or a higher one.
    :param drain_s: the wait expected of a job that is served after all others;
        0 if it is not known.
    """

    name: str
    total: Resources = Resources()
    largest_free: Resources = Resources()
    waits: dict[int, tuple[tuple[float, float], ...]] = {}
    free: Resources | None = None
    least_waiting: dict[int, Resources] = {}
    drain_s: float = 0.0

    def wait_s(self, priority: int, objective_s: float) -> float:
        """Return the wait expected of a job, in seconds.

        :param objective_s: its objective, in seconds from now.
        """
        return max(
            (
                wait_s
                for due_s, wait_s in self.waits.get(priority, ())
                if due_s <= objective_s
            ),
            default=0.0,
        )


class Forecast(msgspec.Struct, array_like=True):
    """The leader's forecast of the wait of new jobs.

    :param number: incremented with each forecast of one leader.
    :param waiting: the number of jobs of which no task has started.
    :param services: the services with long waits.
    :param unused_guarantees: accelerators left of each workspace's guarantee,
        only for workspaces with urgent jobs beyond it; others count as covered.
    :param full_workspaces: the workspaces with too many waiting jobs.
    """

    format_version: int = FORMAT_VERSION
    number: int = 0
    waiting: int = 0
    services: tuple[ServiceForecast, ...] = ()
    unused_guarantees: dict[str, int] = {}
    full_workspaces: tuple[str, ...] = ()

    def covers(self, spec: JobSpec) -> bool:
        """Return whether a guarantee may cover a job."""
        if spec.queue.priority != URGENT:
            return False
        unused = self.unused_guarantees.get(spec.workspace)
        return unused is None or spec.gpus <= unused


class Refusal(NamedTuple):
    """The refusal of a job.

    :param wait_s: its expected wait, in seconds.
    :param retry_after_s: the time until its caller should retry, in seconds.
    :param jitter_s: the maximum time to add at random, so that callers do not
        all retry at the same time.
    """

    reason: str
    wait_s: float
    retry_after_s: float
    jitter_s: float


def check_admission(
    spec: JobSpec,
    forecast: Forecast | None,
    age_s: float,
) -> Refusal | None:
    """Return the refusal of a job; nothing if it is accepted.

    :param forecast: the newest one that was read, if any.
    :param age_s: the time since it was read, by the reader's clock.
    """
    if (
        forecast is None
        or forecast.format_version != FORMAT_VERSION
        or age_s > MAX_FORECAST_AGE_S
    ):
        return None
    if forecast.covers(spec):
        return None
    wait_s = _wait_s(spec, forecast)
    reason = _reason(spec, forecast, wait_s)
    if not reason:
        return None
    # All jobs of a queue have the same wait: the earlier the objective, the
    # less time is left and the sooner the caller retries.
    usable_s = credit_until_s(spec) - spec.critical_path_s
    latest_s = usable_s / (RETRIES * (1 + JITTER_SHARE))
    retry_after_s = max(min(wait_s, latest_s), MIN_RETRY_AFTER_S)
    return Refusal(
        reason, wait_s, retry_after_s, jitter_s=JITTER_SHARE * retry_after_s
    )


def has_objective(queue: Queue) -> bool:
    """Return whether a queue's configuration sets an objective."""
    return queue.target_s > 0 or queue.slack_factor > 1


def _reason(spec: JobSpec, forecast: Forecast, wait_s: float) -> str:
    if forecast.waiting >= MAX_WAITING:
        return FULL
    if spec.workspace in forecast.full_workspaces:
        return WORKSPACE_FULL
    min_s = RELIABLE_WAIT_SHARE * wait_s + spec.critical_path_s
    if wait_s and min_s > credit_until_s(spec):
        return TOO_LATE
    return ''


def _wait_s(spec: JobSpec, forecast: Forecast) -> float:
    """Return the wait expected of a job; 0 if it is uncertain."""
    unbounded = spec.times or any(step.perpetual for step in spec.steps)
    if unbounded or not has_objective(spec.queue):
        return 0.0
    for service in forecast.services:
        if service.name == spec.queue.service and _must_wait(spec, service):
            objective_s = spec.objective_s - spec.accepted_at_s
            wait_s = service.wait_s(spec.queue.priority, objective_s)
            return _wait_if_infeasible_s(spec, wait_s, service.drain_s)
    return 0.0


def _wait_if_infeasible_s(
    spec: JobSpec, wait_s: float, drain_s: float
) -> float:
    """Return the wait of a job that may become infeasible while it waits.

    It is then served after all others for some time. The wait of urgent jobs is
    too short to tell whether it comes to that.
    """
    if spec.queue.priority == URGENT:
        return wait_s
    infeasible_s = credit_until_s(spec) - MIN_RUN_SHARE * spec.critical_path_s
    if wait_s <= infeasible_s:
        return wait_s
    return max(wait_s, min(drain_s, infeasible_s + INFEASIBLE_WAIT_S))


def _must_wait(spec: JobSpec, service: ServiceForecast) -> bool:
    """Return whether no task of a job can start now and no step is wide.

    The longest chain does not show how long a job with a wide step takes.
    """
    return not any(
        _is_wide(step, service.total)
        or _may_start(step, service, spec.queue.priority)
        for step in spec.steps
    )


def _may_start(step: Step, service: ServiceForecast, priority: int) -> bool:
    """Return whether a task of a step may start now, or all of a gang.

    What is free on a worker is of no use to a task while another one waits
    that needs no more and is served before.
    """
    needs = resources_needed(step)
    if not service.largest_free.covers(needs):
        return False
    if step.gang:
        return service.free is None or service.free.covers(
            Resources(*(step.width * part for part in needs))
        )
    least = service.least_waiting.get(priority)
    return least is None or not needs.covers(least)


def _is_wide(step: Step, total: Resources) -> bool:
    return any(
        step.width * need > WIDE_STEP_SHARE * have
        for need, have in zip(resources_needed(step), total, strict=True)
    )


def credit_until_s(spec: JobSpec) -> float:
    """Return until when a job earns credit, in seconds from acceptance."""
    return MAX_LATE_FACTOR * (spec.objective_s - spec.accepted_at_s)


__all__ = (
    'FORMAT_VERSION',
    'FULL',
    'MAX_FORECAST_AGE_S',
    'MAX_WAITING',
    'MAX_WAITING_PER_WORKSPACE',
    'TOO_LATE',
    'WORKSPACE_FULL',
    'Forecast',
    'Refusal',
    'ServiceForecast',
    'check_admission',
    'credit_until_s',
    'has_objective',
)
