"""Faults that can be injected into a stand-in."""

import random
from typing import NamedTuple

from curranthill.clock import Clock


class FaultSettings(NamedTuple):
    """The faults that a stand-in injects.

    :param down: refuse every call before it has any effect.
    :param slow_s: delay each call by so many seconds.
    :param lose_replies: the share of calls, from 0 to 1, that take effect but
        whose reply is dropped.
    :param paused: hold every call until this fault is cleared.
    :param fails: let every task fail at the end of its run.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_replies: float = 0.0
    paused: bool = False
    fails: bool = False


class Faults:
    """The faults of one stand-in, which can be changed while it runs.

    :param seed: the seed of the random choice of lost replies.
    """

    def __init__(self, *, clock: Clock, seed: int = 0) -> None:
        """Initialize without faults."""
        self.settings = FaultSettings()
        self._clock = clock
        self._random = random.Random(seed)  # noqa: S311

    async def refuses(self) -> bool:
        """Delay the call as set; return whether it must be refused."""
        while self.settings.paused:
            await self._clock.sleep(0.05)
        if self.settings.slow_s:
            await self._clock.sleep(self.settings.slow_s)
        return self.settings.down

    def loses_reply(self) -> bool:
        """Return whether to drop the reply of this call."""
        return self._random.random() < self.settings.lose_replies


__all__ = ('FaultSettings', 'Faults')
