"""Which ends of a worker are noted, stored, acknowledged and told."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from curranthill.clock import Clock, wait_at_most
from curranthill.dispatch.workers import EndReport

#: While ends wait to be stored a renewal is made so often, in seconds: the
#: worker lists them again at once each time.
UNSTORED_RETRY_S: Final = 0.5


class EndTracker:
    """The numbers of one incarnation's ends, as far as each has come.

    :param recorded: ends up to this number were taken note of.
    :param acknowledged: ends up to this number are stored; the worker may
        forget them.
    :param confirmed: the worker has heard that ends up to this number are stored.
    """

    def __init__(
        self,
        *,
        wait_stored: Callable[[], Awaitable[None]],
        clock: Clock,
    ) -> None:
        """Start with a worker that has ended nothing.

        :param wait_stored: returns once all that was noted by its call is stored.
        """
        self.recorded = 0
        self.acknowledged = 0
        self.confirmed = 0
        self._wait_stored = wait_stored
        self._clock = clock
        self._storing: asyncio.Future[None] | None = None
        self._storing_through = 0

    @property
    def all_stored(self) -> bool:
        """Return whether all ends that were noted are stored."""
        return self.acknowledged == self.recorded

    @property
    def all_confirmed(self) -> bool:
        """Return whether the worker has heard that all its ends are stored."""
        return self.confirmed == self.recorded

    def unrecorded(self, ends: tuple[EndReport, ...]) -> list[EndReport]:
        """Return the ends that are not noted yet."""
        return [end for end in ends if end.number > self.recorded]

    def record(self, end: EndReport) -> None:
        """Take note of an end."""
        self.recorded = max(self.recorded, end.number)

    def confirm(self, number: int) -> None:
        """Take note that the worker has heard of a number."""
        self.confirmed = max(self.confirmed, number)

    async def acknowledge(self) -> None:
        """Acknowledge ends that are stored; wait a while for those noted.

        A store that is away must not keep the lease from being renewed: the
        worker's other runs would lapse.
        """
        if self._storing is None:
            if self.all_stored:
                return
            self._storing_through = self.recorded
            self._storing = asyncio.ensure_future(self._wait_stored())
        if await wait_at_most(
            self._storing,
            timeout_s=UNSTORED_RETRY_S,
            clock=self._clock,
        ):
            if self._storing.cancelled():
                # Closed meanwhile: nobody asks for these numbers any more.
                return
            self._storing.result()
            self.acknowledged = self._storing_through
            self._storing = None

    def close(self) -> None:
        """Wait for the store no more."""
        if self._storing is not None:
            self._storing.cancel()


__all__ = ('EndTracker',)
