"""Detects that this host did not run for a while, as when suspended."""

from collections.abc import Callable
from typing import Final

from curranthill.clock import Clock
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: Interval between two reads of the clock, in seconds.
CHECK_INTERVAL_S: Final = 0.25

#: A gap between two reads of the clock that counts as a suspension, in seconds.
#: A leader sends no orders 1.2 s after its last write, so a suspension is
#: detected before it could matter.
MIN_SUSPENSION_S: Final = 1.0


class SuspensionDetector:
    """Checks the clock periodically, and on demand before requests.

    :param on_resume: is called once after each suspension, before anything
        relies on what was known before it.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        on_resume: Callable[[], None],
    ) -> None:
        """Initialize with the first read of the clock."""
        self._clock = clock
        self._on_resume = on_resume
        self._checked_s = clock.monotonic_s()

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            self.check()
            await self._clock.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Report a suspension, if there was one since the last check."""
        now_s = self._clock.monotonic_s()
        suspended_s = now_s - self._checked_s
        self._checked_s = now_s
        if suspended_s < MIN_SUSPENSION_S:
            return
        metrics.suspensions.add(1)
        events.log('resumed', away_s=round(suspended_s, 2))
        self._on_resume()


__all__ = ('SuspensionDetector',)
