"""For how long gangs may keep room that they do not get.

Answers runs that outlast their estimates or stand still: the gang that waits
for them would keep room from others for as long, and so would the next one. A
gang keeps room for a while that its wait asks for; then no gang of the service
does for a moment, in which all that fits starts.
"""

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from curranthill.placement.jobs import ActiveJob
    from curranthill.tasks import TaskKey

#: The shortest time for which a gang keeps room, in seconds.
MIN_WINDOW_S: Final = 5.0

#: A gang keeps room for so many times what is left of the runs that it waits
#: for, by their estimates: some take longer.
WINDOW_FACTOR: Final = 2.0

#: For how long no gang keeps room after a turn, in seconds: some rounds of
#: placement fall into it.
COOLDOWN_S: Final = 2.0


class _Window(NamedTuple):
    """A time for which room is kept; a pause follows.

    :param job: that of the gang for which it began.
    :param member: a task of that gang.
    :param since_s: its start, in wall-clock seconds.
    """

    job: 'ActiveJob'
    member: 'TaskKey'
    since_s: float
    length_s: float

    def is_over(self, now_s: float) -> bool:
        """Return whether another turn may begin.

        A start in the future is that of a clock that was set back.
        """
        age_s = now_s - self.since_s
        served = self.member in self.job.runs or self.job.ended
        return served or age_s < 0 or age_s >= self.length_s + COOLDOWN_S


class ReservationWindows:
    """The turns of all services."""

    def __init__(self) -> None:
        """Start with no room kept."""
        self._windows: dict[str, _Window] = {}

    def may_reserve(
        self,
        service: str,
        job: 'ActiveJob',
        member: 'TaskKey',
        now_s: float,
        wait_s: float,
    ) -> bool:
        """Return whether a job's gang may keep room now.

        :param member: any task of the gang.
        :param now_s: wall-clock seconds.
        :param wait_s: how long the gang waits for that room, by estimates.
        """
        window = self._windows.get(service)
        if window is None or window.is_over(now_s):
            length_s = max(MIN_WINDOW_S, WINDOW_FACTOR * wait_s)
            window = _Window(job, member, now_s, length_s)
            self._windows[service] = window
        return now_s - window.since_s < window.length_s


__all__ = ('COOLDOWN_S', 'MIN_WINDOW_S', 'WINDOW_FACTOR', 'ReservationWindows')
