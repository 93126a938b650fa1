"""Faults that a stand-in can be told to show."""

import random
from typing import NamedTuple

from curranthill.clock import Clock


class FaultSettings(NamedTuple):
    """Which faults a stand-in shows now.

    :param down: refuse every call before anything is done.
    :param slow_s: wait this long before each call.
    :param lose_replies: the share of calls whose reply is dropped after
        the effect, from 0 to 1.
    :param paused: hold every call until the fault is taken back.
    :param fails: run every task to a failure.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_replies: float = 0.0
    paused: bool = False
    fails: bool = False


class Faults:
    """The faults of one stand-in, changed while it runs.

    :param seed: makes the choice of lost replies the same on each run.
    """

    def __init__(self, *, clock: Clock, seed: int = 0) -> None:
        """Start with no fault."""
        self.settings = FaultSettings()
        self._clock = clock
        self._random = random.Random(seed)  # noqa: S311

    async def refuses(self) -> bool:
        """Wait as told; return whether the call is refused."""
        while self.settings.paused:
            await self._clock.sleep(0.05)
        if self.settings.slow_s:
            await self._clock.sleep(self.settings.slow_s)
        return self.settings.down

    def loses_reply(self) -> bool:
        """Return whether the reply of this call is dropped."""
        return self._random.random() < self.settings.lose_replies


__all__ = ('FaultSettings', 'Faults')
