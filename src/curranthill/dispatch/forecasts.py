"""How the outlook of what waits gets from the leader to the desks."""

from functools import reduce
from typing import Any, Final

import msgspec

from curranthill.admission import Outlook, ServiceRoom, outlook_of
from curranthill.clock import Clock
from curranthill.dispatch.session import WorkerSession
from curranthill.dispatch.term_state import TermState
from curranthill.placement import Room
from curranthill.tasks import Resources, Revision
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: How often an outlook is made, in seconds.
PUBLISH_INTERVAL_S: Final = 1.0

#: A term's first outlook is made so late, in seconds: by then most workers
#: have told what runs there.
FIRST_DELAY_S: Final = 2.0

#: After a call without an answer nobody is refused for so long, in seconds: the
#: store may yet carry out what was left so, and a job that came before would
#: run though it was refused when it came again.
REFUSAL_PAUSE_S: Final = 5.0


class ForecastPublisher:
    """Makes outlooks for one term."""

    def __init__(self, *, clock: Clock, term: TermState) -> None:
        """Begin a term."""
        self._clock = clock
        self._term = term
        self._number = 0
        self._due_s = clock.monotonic_s() + FIRST_DELAY_S

    @property
    def due(self) -> bool:
        """Return whether another one should be made."""
        return self._clock.monotonic_s() >= self._due_s

    def make(self, revision: Revision | None) -> Outlook | None:
        """Return what hosts should know now, if anything."""
        self._due_s = self._clock.monotonic_s() + PUBLISH_INTERVAL_S
        if revision is None:
            return None
        self._number += 1
        return outlook_of(
            self._term.jobs.values(),
            rooms=self._capacities(),
            guaranteed={
                one.name: one.guaranteed_gpus for one in revision.workspaces
            },
            now_s=self._clock.wall_s(),
            number=self._number,
        )

    def _capacities(self) -> dict[str, ServiceRoom]:
        """Return the room of all workers that may take work, busy or not.

        One that does not answer now counts too: the wait is rather told as
        too short.
        """
        by_service: dict[str, list[WorkerSession]] = {}
        for session in self._term.sessions.values():
            if session.listed and not session.removed:
                by_service.setdefault(session.entry.service, []).append(session)
        return {
            service: ServiceRoom(
                reduce(
                    Resources.plus,
                    (session.entry.room for session in sessions),
                ),
                _LargestFree(sessions),
            )
            for service, sessions in by_service.items()
        }


class _LargestFree:
    """Adds up what is free; asked only when something waits for long."""

    def __init__(self, sessions: list[WorkerSession]) -> None:
        self._sessions = sessions

    def __call__(self) -> Resources:
        """Return the most that is free on one worker, part by part."""
        most = Resources()
        for session in self._sessions:
            room = Room(
                entry=session.entry,
                runs=session.runs.values(),
                doubt=0.0,
            )
            most = Resources(*map(max, most, room.free))
        return most


class ForecastReader:
    """The newest outlook that one host has read, and since when it knows it.

    The leader's clock is not asked: its age is what has passed here since it
    was first seen, a pause of this host included.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Start with nothing known."""
        self._clock = clock
        self._content: Any = None
        self._epoch = 0
        self._forecast: Outlook | None = None
        self._since_s = 0.0
        self._missed_s = -REFUSAL_PAUSE_S

    def newest(self) -> tuple[Outlook | None, float]:
        """Return the newest outlook and its age in seconds."""
        now_s = self._clock.monotonic_s()
        if now_s - self._missed_s < REFUSAL_PAUSE_S:
            return (None, 0.0)
        return (self._forecast, now_s - self._since_s)

    def update(self, epoch: int, content: Any) -> None:
        """Take what stands in the leader's row.

        Every outlook has a number of its own, so one that is made anew is
        told from one that is read again.

        :param epoch: the leader's term; nothing of another one counts.
        """
        if epoch == self._epoch and content == self._content:
            return
        self._epoch = epoch
        self._content = content
        self._forecast = _decoded(content)
        self._since_s = self._clock.monotonic_s()

    def missed(self) -> None:
        """Take note of a reading that failed, or a write without an answer."""
        self._missed_s = self._clock.monotonic_s()


def _decoded(content: Any) -> Outlook | None:
    if content is None:
        return None
    try:
        return msgspec.convert(content, Outlook, str_keys=True)
    except msgspec.ValidationError as error:
        # Perhaps of another release; the leader's row holds all the same.
        events.log('outlook_bad', error=str(error))
        metrics.records_bad.add(1, {'kind': 'outlook'})
        return None


__all__ = ('ForecastPublisher', 'ForecastReader')
