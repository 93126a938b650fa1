"""Tracks which run ends of a worker are recorded, stored and acknowledged."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from curranthill.clock import Clock, wait_at_most
from curranthill.dispatch.workers import EndReport

#: The interval of renewals while ends wait to be stored, in seconds: the
#: worker lists the same ends again in the response to each one.
UNSTORED_RETRY_S: Final = 0.5

#: After this many renewals in a row that may not acknowledge stored ends, their
#: acknowledgement is overdue.
MAX_WITHHELD: Final = 3

#: It is not overdue while fewer ends than this wait for it: a start rarely
#: keeps them waiting for long, and to list them again costs little.
MIN_OVERDUE_ENDS: Final = 100

#: The delay before the last of these renewals, in seconds: the worker responds
#: to each one at once, with the same ends.
WITHHELD_DELAY_S: Final = 0.1


class EndTracker:
    """How far the numbered run ends of one incarnation have been processed.

    :param recorded: ends up to this number are recorded in memory.
    :param acknowledged: ends up to this number are stored; the worker may
        forget them.
    :param confirmed: the worker knows that ends up to this number are stored.
    """

    def __init__(
        self,
        *,
        wait_stored: Callable[[], Awaitable[None]],
        is_stored: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        """Initialize the tracker of a worker without ends.

        :param wait_stored: returns once all that was recorded before its call
            is stored, or rejected by the store.
        :param is_stored: returns whether the progress of a job was not
            rejected; until then no end of it may be acknowledged.
        """
        self.recorded = 0
        self.acknowledged = 0
        self.confirmed = 0
        self._wait_stored = wait_stored
        self._is_stored = is_stored
        self._clock = clock
        self._storing: asyncio.Future[None] | None = None
        self._storing_through = 0
        self._withheld = 0
        self._unacknowledged: list[tuple[int, str]] = []
        self._any_rejected = False

    @property
    def all_stored(self) -> bool:
        """Return whether all recorded ends are stored."""
        return self.acknowledged == self.recorded

    @property
    def all_confirmed(self) -> bool:
        """Return whether the worker knows that all its ends are stored."""
        return self.confirmed == self.recorded

    @property
    def is_overdue(self) -> bool:
        """Return whether many stored ends were repeatedly not acknowledged."""
        return self._are_many_withheld and self._withheld >= MAX_WITHHELD

    @property
    def _are_many_withheld(self) -> bool:
        return self.acknowledged - self.confirmed >= MIN_OVERDUE_ENDS

    def unrecorded(self, ends: tuple[EndReport, ...]) -> list[EndReport]:
        """Return the ends that are not recorded yet."""
        return [end for end in ends if end.number > self.recorded]

    def record(self, end: EndReport) -> None:
        """Record an end."""
        self.recorded = max(self.recorded, end.number)
        self._unacknowledged.append((end.number, end.task.job_id))

    def confirm(self, number: int) -> None:
        """Record that the worker knows ends up to a number are stored."""
        if number:
            self._withheld = 0
        self.confirmed = max(self.confirmed, number)

    def withhold(self) -> None:
        """Record that a renewal may not acknowledge the stored ends."""
        if self.acknowledged > self.confirmed:
            self._withheld += 1

    async def delay_if_withheld(self) -> None:
        """Delay a renewal that would list the same ends once more."""
        if self._any_rejected:
            await self._clock.sleep(UNSTORED_RETRY_S)
        elif self._are_many_withheld and self._withheld == MAX_WITHHELD - 1:
            await self._clock.sleep(WITHHELD_DELAY_S)

    async def acknowledge(self) -> None:
        """Acknowledge stored ends; wait a bounded time for recorded ones.

        The wait is bounded because an outage of the store must not delay the
        renewal of the lease: the worker's other runs would be ended.
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
                # The tracker was closed meanwhile; its numbers are obsolete.
                return
            self._storing.result()
            self._acknowledge_through(self._storing_through)
            self._storing = None

    def _acknowledge_through(self, number: int) -> None:
        """Acknowledge ends up to a number, but none of a rejected job."""
        rejected = [
            end_number
            for end_number, job_id in self._unacknowledged
            if end_number <= number and not self._is_stored(job_id)
        ]
        self._any_rejected = bool(rejected)
        through = min(rejected, default=number + 1) - 1
        self.acknowledged = max(self.acknowledged, through)
        self._unacknowledged = [
            one for one in self._unacknowledged if one[0] > through
        ]

    def close(self) -> None:
        """Stop waiting for the store."""
        if self._storing is not None:
            self._storing.cancel()


__all__ = ('EndTracker',)
