"""Which ends of a worker are noted, stored, acknowledged and told."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from curranthill.clock import Clock, wait_at_most
from curranthill.dispatch.workers import EndReport

#: While ends wait to be stored a renewal is made so often, in seconds: the
#: worker lists them again at once each time.
UNSAVED_PAUSE_S: Final = 0.5


class EndLog:
    """The numbers of one incarnation's ends, as far as each has come.

    :param noted: ends up to this number were taken note of.
    :param acknowledged: ends up to this number are stored; the worker may
        forget them.
    :param told: the worker has heard that ends up to this number are stored.
    """

    def __init__(
        self,
        *,
        saved: Callable[[], Awaitable[None]],
        clock: Clock,
    ) -> None:
        """Start with a worker that has ended nothing.

        :param saved: returns once all that was noted by its call is stored.
        """
        self.noted = 0
        self.acknowledged = 0
        self.told = 0
        self._saved = saved
        self._clock = clock
        self._saving: asyncio.Future[None] | None = None
        self._saving_upto = 0

    @property
    def all_stored(self) -> bool:
        """Return whether all ends that were noted are stored."""
        return self.acknowledged == self.noted

    @property
    def settled(self) -> bool:
        """Return whether the worker has heard that all its ends are stored."""
        return self.told == self.noted

    def new_of(self, ends: tuple[EndReport, ...]) -> list[EndReport]:
        """Return the ends that are not noted yet."""
        return [end for end in ends if end.number > self.noted]

    def note(self, end: EndReport) -> None:
        """Take note of an end."""
        self.noted = max(self.noted, end.number)

    def tell(self, number: int) -> None:
        """Take note that the worker has heard of a number."""
        self.told = max(self.told, number)

    async def acknowledge(self) -> None:
        """Acknowledge ends that are stored; wait a while for those noted.

        A store that is away must not keep the lease from being renewed: the
        worker's other runs would lapse.
        """
        if self._saving is None:
            if self.all_stored:
                return
            self._saving_upto = self.noted
            self._saving = asyncio.ensure_future(self._saved())
        if await wait_at_most(
            self._saving,
            timeout_s=UNSAVED_PAUSE_S,
            clock=self._clock,
        ):
            if self._saving.cancelled():
                # Closed meanwhile: nobody asks for these numbers any more.
                return
            self._saving.result()
            self.acknowledged = self._saving_upto
            self._saving = None

    def close(self) -> None:
        """Wait for the store no more."""
        if self._saving is not None:
            self._saving.cancel()


__all__ = ('EndLog',)
