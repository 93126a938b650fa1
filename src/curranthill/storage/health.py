"""Whether a host reaches the store."""

from typing import Final

from curranthill.clock import Clock
from curranthill.errors import StorageError
from curranthill.telemetry.events import events

#: The store counts as unreachable after so long without an answer, in seconds.
UNREACHABLE_S: Final = 0.9


class StoreHealth:
    """Whether this host reaches the store, from its own readings."""

    def __init__(self, *, clock: Clock) -> None:
        """Start as unreachable, until the first answer."""
        self._clock = clock
        self._answered_s = -UNREACHABLE_S
        self._was_reachable = False

    def record_reply(self) -> None:
        """Take note of an answer."""
        self._answered_s = self._clock.monotonic_s()
        if not self._was_reachable:
            self._was_reachable = True
            events.log('store_reachable')

    def invalidate(self) -> None:
        """Count as unreachable until the next answer."""
        self._answered_s = -UNREACHABLE_S

    def record_failure(self, error: StorageError) -> None:
        """Take note of a failure."""
        if self._was_reachable and not self.reachable:
            self._was_reachable = False
            events.log('store_unreachable', error=str(error))

    @property
    def reachable(self) -> bool:
        """Return whether the store answered of late."""
        age_s = self._clock.monotonic_s() - self._answered_s
        return age_s < UNREACHABLE_S


__all__ = ('UNREACHABLE_S', 'StoreHealth')
