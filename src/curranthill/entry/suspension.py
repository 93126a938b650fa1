"""Notices that this host did not run for a while, as when suspended."""

from collections.abc import Callable
from typing import Final

from curranthill.clock import Clock
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

#: How often a host looks at its clock, in seconds.
TICK_S: Final = 0.25

#: A host that has not looked for so long did not run, in seconds: a leader
#: orders nothing on a write that is 1.2 s old, so this is noticed before.
PAUSE_S: Final = 1.0


class SuspensionDetector:
    """Looks at the clock again and again, and before whatever matters.

    :param on_resume: is called once after each pause, before anything is
        done on what was known before it.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        on_resume: Callable[[], None],
    ) -> None:
        """Start as running."""
        self._clock = clock
        self._on_resume = on_resume
        self._looked_s = clock.monotonic_s()

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            self.check()
            await self._clock.sleep(TICK_S)

    def check(self) -> None:
        """Tell of a pause, if there was one since the last look."""
        now_s = self._clock.monotonic_s()
        away_s = now_s - self._looked_s
        self._looked_s = now_s
        if away_s < PAUSE_S:
            return
        metrics.pauses.add(1)
        events.log('resumed', away_s=round(away_s, 2))
        self._on_resume()


__all__ = ('SuspensionDetector',)
