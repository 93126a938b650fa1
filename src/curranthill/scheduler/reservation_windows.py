"""For how long workers may be kept for gangs that do not get them.

Answers work that outlasts its estimate: whoever waits for it would keep
workers from others for as long. A worker is kept for a while that the gang's
wait asks for; then nobody keeps it for as long.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

#: The shortest time for which a worker is kept, in seconds.
MIN_WINDOW_S: Final = 5.0

#: A worker is kept for so many times the wait by estimates: some take longer.
WINDOW_FACTOR: Final = 2.0


class _Window(NamedTuple):
    """A time for which a worker is kept; a pause as long follows.

    :param since_s: its start, in monotonic seconds.
    """

    since_s: float
    length_s: float

    def in_cooldown(self, now_s: float) -> bool:
        """Return whether the worker has been kept for long enough."""
        return now_s - self.since_s >= self.length_s

    def is_over(self, now_s: float) -> bool:
        """Return whether the pause has passed, too."""
        return now_s - self.since_s >= 2 * self.length_s


class WorkerReservationWindows:
    """The turns of all workers that are kept for gangs, or were of late."""

    def __init__(self) -> None:
        """Start with no worker kept."""
        self._windows: dict[str, _Window] = {}

    def cooling_down(self, now_s: float) -> frozenset[str]:
        """Return the workers that may not be kept now."""
        return frozenset(
            name
            for name, window in self._windows.items()
            if window.in_cooldown(now_s)
        )

    def begin(
        self,
        workers: Iterable[str],
        now_s: float,
        wait_s: float,
    ) -> None:
        """Keep workers from now on; those that are kept already go on.

        :param wait_s: how long the gang waits for them, by estimates.
        """
        length_s = max(MIN_WINDOW_S, WINDOW_FACTOR * wait_s)
        for name in workers:
            self._windows.setdefault(name, _Window(now_s, length_s))

    def end(self, workers: Iterable[str]) -> None:
        """Let workers be kept anew: their gang has started there."""
        for name in workers:
            self._windows.pop(name, None)

    def drop_except(self, kept: frozenset[str], now_s: float) -> None:
        """Drop the turns that are over, and of workers kept no more."""
        for name, window in list(self._windows.items()):
            unused = name not in kept and not window.in_cooldown(now_s)
            if unused or window.is_over(now_s):
                self._windows.pop(name)


__all__ = ('MIN_WINDOW_S', 'WINDOW_FACTOR', 'WorkerReservationWindows')
