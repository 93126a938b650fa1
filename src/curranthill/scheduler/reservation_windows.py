"""Time limits of the reservations of workers.

Work may outlast its estimate, and a gang that waits for it would block the
workers reserved for it for as long. A worker is therefore reserved only for a
window, whose length follows from the gang's expected wait; after it comes a
cooldown of the same length, in which it cannot be reserved.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

#: The minimum length of a reservation window, in seconds.
MIN_WINDOW_S: Final = 5.0

#: The length of a window in expected waits; some waits exceed the estimate.
WINDOW_FACTOR: Final = 2.0


class _Window(NamedTuple):
    """A reservation window; a cooldown of the same length follows.

    :param since_s: monotonic time of its start, in seconds.
    """

    since_s: float
    length_s: float

    def in_cooldown(self, now_s: float) -> bool:
        """Return whether the window has passed and the cooldown has begun."""
        return now_s - self.since_s >= self.length_s

    def is_over(self, now_s: float) -> bool:
        """Return whether the cooldown has passed as well."""
        return now_s - self.since_s >= 2 * self.length_s


class WorkerReservationWindows:
    """Windows of workers that are, or recently were, reserved for gangs."""

    def __init__(self) -> None:
        """Initialize without windows."""
        self._windows: dict[str, _Window] = {}

    def cooling_down(self, now_s: float) -> frozenset[str]:
        """Return the workers in cooldown, which may not be reserved."""
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
        """Begin windows of workers; windows that have begun continue.

        :param wait_s: the expected wait of the gang for them, in seconds.
        """
        length_s = max(MIN_WINDOW_S, WINDOW_FACTOR * wait_s)
        for name in workers:
            self._windows.setdefault(name, _Window(now_s, length_s))

    def end(self, workers: Iterable[str]) -> None:
        """Drop the windows of workers on which their gang has started."""
        for name in workers:
            self._windows.pop(name, None)

    def retain(self, reserved: frozenset[str], now_s: float) -> None:
        """Drop windows that are over, and open ones of unreserved workers."""
        for name, window in list(self._windows.items()):
            unused = name not in reserved and not window.in_cooldown(now_s)
            if unused or window.is_over(now_s):
                self._windows.pop(name)


__all__ = ('MIN_WINDOW_S', 'WINDOW_FACTOR', 'WorkerReservationWindows')
