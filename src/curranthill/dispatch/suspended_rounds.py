"""Logs when a leader makes no placement rounds although work waits."""

from typing import Final

from curranthill.clock import Clock
from curranthill.dispatch.leadership import Leadership
from curranthill.telemetry.events import events

#: The shortest interval between two log lines of a suspension, in seconds.
LOG_INTERVAL_S: Final = 1.0


class SuspendedRoundsReporter:
    """Logs the suspension of rounds while it lasts, and its end.

    A leader orders nothing once its last write is too old, or when it resigns.
    """

    def __init__(self, *, clock: Clock, leadership: Leadership) -> None:
        """Initialize the reporter of a term whose rounds are made."""
        self._clock = clock
        self._leadership = leadership
        self._since_s: float | None = None
        self._logged_s = clock.monotonic_s() - LOG_INTERVAL_S
        self._logged = False

    def suspended(self) -> None:
        """Record that a round was not made although work waits."""
        now_s = self._clock.monotonic_s()
        if self._since_s is None:
            self._since_s = now_s
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        self._logged = True
        events.log(
            'rounds_suspended',
            epoch=self._leadership.epoch,
            last_write_age_s=round(self._leadership.age_s, 2),
            resigning=self._leadership.resigning,
            lost=self._leadership.lost,
            suspended_s=round(now_s - self._since_s, 2),
        )

    def made(self) -> None:
        """Record that a round may be made."""
        if self._logged and self._since_s is not None:
            events.log(
                'rounds_resumed',
                epoch=self._leadership.epoch,
                suspended_s=round(self._clock.monotonic_s() - self._since_s, 2),
            )
        self._since_s = None
        self._logged = False


__all__ = ('SuspendedRoundsReporter',)
