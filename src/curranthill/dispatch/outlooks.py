"""How the outlook of what waits gets from the leader to the desks."""

from functools import reduce
from typing import Any, Final

import msgspec

from curranthill.admission import Forecast, ServiceResources, make_forecast
from curranthill.clock import Clock
from curranthill.dispatch.session import WorkerSession
from curranthill.dispatch.work import Work
from curranthill.placement import WorkerCapacity
from curranthill.tasks import Resources, Revision
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: How often an outlook is made, in seconds.
INTERVAL_S: Final = 1.0

#: A term's first outlook is made so late, in seconds: by then most workers
#: have told what runs there.
FIRST_S: Final = 2.0

#: After a call without an answer nobody is refused for so long, in seconds: the
#: store may yet carry out what was left so, and a job that came before would
#: run though it was refused when it came again.
NO_REFUSAL_S: Final = 5.0


class OutlookMaker:
    """Makes outlooks for one term."""

    def __init__(self, *, clock: Clock, work: Work) -> None:
        """Begin a term."""
        self._clock = clock
        self._work = work
        self._number = 0
        self._due_s = clock.monotonic_s() + FIRST_S

    @property
    def due(self) -> bool:
        """Return whether another one should be made."""
        return self._clock.monotonic_s() >= self._due_s

    def make(self, revision: Revision | None) -> Forecast | None:
        """Return what hosts should know now, if anything."""
        self._due_s = self._clock.monotonic_s() + INTERVAL_S
        if revision is None:
            return None
        self._number += 1
        return make_forecast(
            self._work.jobs.values(),
            resources=self._rooms(),
            guaranteed={
                one.name: one.guaranteed_gpus for one in revision.workspaces
            },
            now_s=self._clock.wall_s(),
            number=self._number,
        )

    def _rooms(self) -> dict[str, ServiceResources]:
        """Return the room of all workers that may take work, busy or not.

        One that does not answer now counts too: the wait is rather told as
        too short.
        """
        by_service: dict[str, list[WorkerSession]] = {}
        for session in self._work.sessions.values():
            if session.listed and not session.gone:
                by_service.setdefault(session.entry.service, []).append(session)
        return {
            service: ServiceResources(
                reduce(
                    Resources.plus,
                    (session.entry.capacity for session in sessions),
                ),
                _FreeRoom(sessions),
            )
            for service, sessions in by_service.items()
        }


class _FreeRoom:
    """Adds up what is free; asked only when something waits for long."""

    def __init__(self, sessions: list[WorkerSession]) -> None:
        self._sessions = sessions

    def __call__(self) -> Resources:
        """Return the most that is free on one worker, part by part."""
        most = Resources()
        for session in self._sessions:
            room = WorkerCapacity(
                entry=session.entry,
                runs=session.runs.values(),
                failure_score=0.0,
            )
            most = Resources(*map(max, most, room.free))
        return most


class OutlookWatch:
    """The newest outlook that one host has read, and since when it knows it.

    The leader's clock is not asked: its age is what has passed here since it
    was first seen, a pause of this host included.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Start with nothing known."""
        self._clock = clock
        self._content: Any = None
        self._epoch = 0
        self._outlook: Forecast | None = None
        self._since_s = 0.0
        self._missed_s = -NO_REFUSAL_S

    def newest(self) -> tuple[Forecast | None, float]:
        """Return the newest outlook and its age in seconds."""
        now_s = self._clock.monotonic_s()
        if now_s - self._missed_s < NO_REFUSAL_S:
            return (None, 0.0)
        return (self._outlook, now_s - self._since_s)

    def take(self, epoch: int, content: Any) -> None:
        """Take what stands in the leader's row.

        Every outlook has a number of its own, so one that is made anew is
        told from one that is read again.

        :param epoch: the leader's term; nothing of another one counts.
        """
        if epoch == self._epoch and content == self._content:
            return
        self._epoch = epoch
        self._content = content
        self._outlook = _decoded(content)
        self._since_s = self._clock.monotonic_s()

    def missed(self) -> None:
        """Take note of a reading that failed, or a write without an answer."""
        self._missed_s = self._clock.monotonic_s()


def _decoded(content: Any) -> Forecast | None:
    if content is None:
        return None
    try:
        return msgspec.convert(content, Forecast, str_keys=True)
    except msgspec.ValidationError as error:
        # Perhaps of another release; the leader's row holds all the same.
        events.log('outlook_bad', error=str(error))
        metrics.records_bad.add(1, {'kind': 'outlook'})
        return None


__all__ = ('OutlookMaker', 'OutlookWatch')
