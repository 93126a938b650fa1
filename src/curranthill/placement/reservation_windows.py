"""Time limits on the reservations of gangs.

Runs may outlast their estimates or stall. The gang that waits for them would
withhold capacity from other jobs for as long, and so would the next gang. So a
gang reserves capacity for a window in proportion to its expected wait; then a
cooldown follows in which no gang of the service reserves, and whatever fits
starts.
"""

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from curranthill.placement.jobs import ActiveJob
    from curranthill.tasks import TaskKey

#: The shortest reservation window, in seconds.
MIN_WINDOW_S: Final = 5.0

#: The length of a window, as a multiple of the estimated time until the runs
#: that the gang waits for have ended: some take longer than estimated.
WINDOW_FACTOR: Final = 2.0

#: For how long no gang reserves capacity after a window, in seconds: long
#: enough for several rounds of placement.
COOLDOWN_S: Final = 2.0


class _Window(NamedTuple):
    """A time in which gangs may reserve capacity; a cooldown follows.

    :param job: the job of the gang for which it was opened.
    :param member: a task of that gang.
    :param since_s: its start, in wall-clock seconds.
    """

    job: 'ActiveJob'
    member: 'TaskKey'
    since_s: float
    length_s: float

    def is_over(self, now_s: float) -> bool:
        """Return whether another window may be opened.

        A start in the future means that the clock was set back.
        """
        age_s = now_s - self.since_s
        satisfied = self.member in self.job.runs or self.job.ended
        return satisfied or age_s < 0 or age_s >= self.length_s + COOLDOWN_S


class ReservationWindows:
    """The current reservation window of each service.

    :param after_takeover: whether another leader may have had a window open: a
        cooldown comes first then, or it would never come while no leader lives
        as long as a window lasts.
    """

    def __init__(self, *, after_takeover: bool = False) -> None:
        """Initialize with no open window."""
        self._after_takeover = after_takeover
        self._windows: dict[str, _Window] = {}

    def may_reserve(
        self,
        service: str,
        job: 'ActiveJob',
        member: 'TaskKey',
        now_s: float,
        wait_s: float,
    ) -> bool:
        """Return whether a job's gang may reserve capacity now.

        :param member: any task of the gang.
        :param now_s: wall-clock seconds.
        :param wait_s: how long the gang waits for that capacity, by estimates.
        """
        window = self._windows.get(service)
        if window is None and self._after_takeover:
            window = _Window(job, member, now_s, length_s=0)
            self._windows[service] = window
        if window is None or window.is_over(now_s):
            length_s = max(MIN_WINDOW_S, WINDOW_FACTOR * wait_s)
            window = _Window(job, member, now_s, length_s)
            self._windows[service] = window
        return now_s - window.since_s < window.length_s


__all__ = ('COOLDOWN_S', 'MIN_WINDOW_S', 'WINDOW_FACTOR', 'ReservationWindows')
