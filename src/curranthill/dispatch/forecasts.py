"""Carries the wait forecast from the leader to the hosts that admit jobs."""

from functools import reduce
from typing import Any, Final

import msgspec

from curranthill.admission import Forecast, ServiceResources, make_forecast
from curranthill.clock import Clock
from curranthill.dispatch.session import WorkerSession
from curranthill.dispatch.term_state import TermState
from curranthill.placement import WorkerCapacity
from curranthill.tasks import Resources, Revision
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: The interval between two forecasts, in seconds.
PUBLISH_INTERVAL_S: Final = 1.0

#: The delay before the first forecast of a term, in seconds: by then most
#: workers have reported their runs.
FIRST_DELAY_S: Final = 2.0

#: No job is refused for this long after a call without a response, in seconds:
#: the store may still apply a write whose outcome is open, so a job could run
#: although its repeated request was refused.
REFUSAL_PAUSE_S: Final = 5.0


class ForecastPublisher:
    """Makes the forecasts of one term."""

    def __init__(self, *, clock: Clock, term: TermState) -> None:
        """Initialize the publisher at the start of a term."""
        self._clock = clock
        self._term = term
        self._number = 0
        self._due_s = clock.monotonic_s() + FIRST_DELAY_S

    @property
    def due(self) -> bool:
        """Return whether it is time for another forecast."""
        return self._clock.monotonic_s() >= self._due_s

    def make(self, revision: Revision | None) -> Forecast | None:
        """Return a new forecast, or None without a configuration."""
        self._due_s = self._clock.monotonic_s() + PUBLISH_INTERVAL_S
        if revision is None:
            return None
        self._number += 1
        return make_forecast(
            self._term.jobs.values(),
            resources=self._capacities(),
            guaranteed={
                one.name: one.guaranteed_gpus for one in revision.workspaces
            },
            now_s=self._clock.wall_s(),
            number=self._number,
        )

    def _capacities(self) -> dict[str, ServiceResources]:
        """Return the capacity of all listed workers by service, busy or not.

        Unreachable workers count too: an estimate of the wait that is too
        short is better than one that is too long.
        """
        by_service: dict[str, list[WorkerSession]] = {}
        for session in self._term.sessions.values():
            if session.listed and not session.removed:
                by_service.setdefault(session.entry.service, []).append(session)
        return {
            service: ServiceResources(
                reduce(
                    Resources.plus,
                    (session.entry.capacity for session in sessions),
                ),
                _LargestFree(sessions),
            )
            for service, sessions in by_service.items()
        }


class _LargestFree:
    """Computes the largest free capacity; called only if jobs wait long."""

    def __init__(self, sessions: list[WorkerSession]) -> None:
        self._sessions = sessions

    def __call__(self) -> Resources:
        """Return the most that is free on any worker, for each resource."""
        largest = Resources()
        for session in self._sessions:
            capacity = WorkerCapacity(
                entry=session.entry,
                runs=session.runs.values(),
                failure_score=0.0,
            )
            largest = Resources(*map(max, largest, capacity.free))
        return largest


class ForecastReader:
    """Keeps the newest forecast that a host has read, and its age.

    The age is measured on this host's clock from when the forecast was first
    read, including time for which the host was suspended; the leader's clock
    is not used.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Initialize the reader before the first forecast."""
        self._clock = clock
        self._content: Any = None
        self._epoch = 0
        self._forecast: Forecast | None = None
        self._since_s = 0.0
        self._lost_reply_s = -REFUSAL_PAUSE_S

    def newest(self) -> tuple[Forecast | None, float]:
        """Return the newest forecast and its age in seconds."""
        now_s = self._clock.monotonic_s()
        if now_s - self._lost_reply_s < REFUSAL_PAUSE_S:
            return (None, 0.0)
        return (self._forecast, now_s - self._since_s)

    def update(self, epoch: int, content: Any) -> None:
        """Store the forecast that the leader's row contains.

        Every forecast has a number of its own, which distinguishes a new
        forecast from one that is read again.

        :param epoch: the leader's epoch; a forecast of another one is dropped.
        """
        if epoch == self._epoch and content == self._content:
            return
        self._epoch = epoch
        self._content = content
        self._forecast = _decoded(content)
        self._since_s = self._clock.monotonic_s()

    def record_lost_reply(self) -> None:
        """Record a failed read, or a write without a response."""
        self._lost_reply_s = self._clock.monotonic_s()


def _decoded(content: Any) -> Forecast | None:
    if content is None:
        return None
    try:
        return msgspec.convert(content, Forecast, str_keys=True)
    except msgspec.ValidationError as error:
        # The forecast may be of another release; the row itself stays valid.
        events.log('outlook_bad', error=str(error))
        metrics.malformed_records.add(1, {'kind': 'outlook'})
        return None


__all__ = ('ForecastPublisher', 'ForecastReader')
