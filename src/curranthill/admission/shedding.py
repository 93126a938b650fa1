"""Load shedding: whether a host accepts a job while others wait.

Answers more work than there is room for. A job that is accepted and ends too
late for its caller takes room from jobs that would not; refused at once, it
can be answered elsewhere. Refused is only what is too late by a margin. What
waits is bounded besides, and so are the leader's memory and the readings of a
takeover.
"""

from typing import Final, NamedTuple

import msgspec

from curranthill.placement import MAX_LATE_FACTOR, URGENT, resources_needed
from curranthill.tasks import JobSpec, Queue, Resources, Step

#: The form of the record; hosts go by no other form.
FORM: Final = 1

#: The share of the expected wait that a refusal relies on: estimates err, and
#: some of what waits is cancelled.
CERTAIN_WAIT_SHARE: Final = 0.6

#: An older outlook refuses nobody, in seconds: one is made each second, written
#: with a heartbeat and read with a reading of the leader's row, and one of
#: them may be lost.
MAX_FORECAST_AGE_S: Final = 2.5

#: The most jobs that wait with no task begun, in all: a successor reads
#: their rows first, some 1 KB each, and a host with 5 Mbit/s must have read
#: them within 4 s.
MAX_WAITING: Final = 2000

#: The same of one workspace: no caller alone can fill the queue.
MAX_WAITING_PER_WORKSPACE: Final = MAX_WAITING // 2

#: The shortest time after which a caller comes back, in seconds: the header
#: has whole seconds.
MIN_RETRY_DELAY_S: Final = 1.0

#: A refused caller is asked back early enough for so many more tries.
TRIES: Final = 4

#: Jobs with a step wider than this share of the room take longer than their
#: longest chain says, on idle workers too.
WIDE_SHARE: Final = 0.25

#: Why a job is refused.
TOO_LATE: Final = 'too late'
WORKSPACE_FULL: Final = 'too many of the workspace wait'
FULL: Final = 'too many wait'


class ServiceForecast(msgspec.Struct, array_like=True):
    """What waits for one service's workers.

    :param total: the capacity of all its workers.
    :param free: the most that is free on one worker, part by part.
    :param waits: by priority, rising steps of an objective (seconds from now)
        and the wait expected of a job whose objective is not earlier.
    """

    name: str
    total: Resources = Resources()
    free: Resources = Resources()
    waits: dict[int, tuple[tuple[float, float], ...]] = {}

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
    """What the leader tells all hosts of the work that waits.

    :param number: grows with each outlook of one leader.
    :param waiting: jobs of which nothing has begun.
    :param services: those for which something waits for long.
    :param uncovered: accelerators left of a workspace's guarantee, only for
        workspaces with urgent jobs beyond it; others count as covered.
    :param full: workspaces of which too many jobs wait.
    """

    form: int = FORM
    number: int = 0
    waiting: int = 0
    services: tuple[ServiceForecast, ...] = ()
    uncovered: dict[str, int] = {}
    full: tuple[str, ...] = ()

    def covers(self, spec: JobSpec) -> bool:
        """Return whether a guarantee may cover a job."""
        if spec.queue.priority != URGENT:
            return False
        unused = self.uncovered.get(spec.workspace)
        return unused is None or spec.gpus <= unused


class Refusal(NamedTuple):
    """Why a job is not accepted.

    :param wait_s: the wait that is expected of it.
    :param retry_delay_s: when its caller should come back at the earliest.
    :param jitter_s: how much later some callers should, so that they do not
        come back together.
    """

    reason: str
    wait_s: float
    retry_delay_s: float
    jitter_s: float


def check_admission(
    spec: JobSpec,
    forecast: Forecast | None,
    age_s: float,
) -> Refusal | None:
    """Return the refusal of a job; nothing if it is accepted.

    :param forecast: the newest that is known, if any.
    :param age_s: for how long it has been known, by the reader's own clock.
    """
    if forecast is None or forecast.form != FORM or age_s > MAX_FORECAST_AGE_S:
        return None
    if forecast.covers(spec):
        return None
    wait_s = _wait_s(spec, forecast)
    reason = _reason(spec, forecast, wait_s)
    if not reason:
        return None
    # The same wait for all of a queue: the earlier the objective the less of
    # it is left, and the sooner the caller comes back.
    latest_s = (earns_until_s(spec) - spec.chain_s) / TRIES
    retry_delay_s = max(min(wait_s, latest_s), MIN_RETRY_DELAY_S)
    return Refusal(reason, wait_s, retry_delay_s, jitter_s=retry_delay_s / 2)


def has_objective(queue: Queue) -> bool:
    """Return whether a queue's configuration asks for ends in time."""
    return queue.target_s > 0 or queue.slack_factor > 1


def _reason(spec: JobSpec, forecast: Forecast, wait_s: float) -> str:
    if forecast.waiting >= MAX_WAITING:
        return FULL
    if spec.workspace in forecast.full:
        return WORKSPACE_FULL
    least_s = CERTAIN_WAIT_SHARE * wait_s + spec.chain_s
    if wait_s and least_s > earns_until_s(spec):
        return TOO_LATE
    return ''


def _wait_s(spec: JobSpec, forecast: Forecast) -> float:
    """Return the wait expected of a job; 0 where nothing is sure."""
    planned = spec.times or any(step.perpetual for step in spec.steps)
    if planned or not has_objective(spec.queue):
        return 0.0
    for service in forecast.services:
        if service.name == spec.queue.service and _must_wait(spec, service):
            objective_s = spec.objective_s - spec.accepted_at_s
            return service.wait_s(spec.queue.priority, objective_s)
    return 0.0


def _must_wait(spec: JobSpec, service: ServiceForecast) -> bool:
    """Return whether no task can start now, and the chain tells the run."""
    return not any(
        _is_wide(step, service.total)
        or service.free.covers(resources_needed(step))
        for step in spec.steps
    )


def _is_wide(step: Step, total: Resources) -> bool:
    return any(
        step.width * need > WIDE_SHARE * have
        for need, have in zip(resources_needed(step), total, strict=True)
    )


def earns_until_s(spec: JobSpec) -> float:
    """Return until when a job earns, in seconds from its acceptance."""
    return MAX_LATE_FACTOR * (spec.objective_s - spec.accepted_at_s)


__all__ = (
    'FORM',
    'FULL',
    'MAX_WAITING_PER_WORKSPACE',
    'MAX_WAITING',
    'MAX_FORECAST_AGE_S',
    'TOO_LATE',
    'WORKSPACE_FULL',
    'Forecast',
    'Refusal',
    'ServiceForecast',
    'earns_until_s',
    'has_objective',
    'check_admission',
)
