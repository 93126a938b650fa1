"""Health of the connection between a host and the store."""

from typing import Final

from curranthill.clock import Clock
from curranthill.errors import StorageError
from curranthill.telemetry.events import events

#: Seconds without a reply after which the store counts as unreachable.
UNREACHABLE_S: Final = 0.9


class StoreHealth:
    """Tracks whether this host reaches the store, from its own reads."""

    def __init__(self, *, clock: Clock) -> None:
        """Initialize as unreachable until the first reply."""
        self._clock = clock
        self._replied_s = -UNREACHABLE_S
        self._was_reachable = False

    def record_reply(self) -> None:
        """Record a reply of the store."""
        self._replied_s = self._clock.monotonic_s()
        if not self._was_reachable:
            self._was_reachable = True
            events.log('store_reachable')

    def invalidate(self) -> None:
        """Treat the store as unreachable until the next reply."""
        self._replied_s = -UNREACHABLE_S

    def record_failure(self, error: StorageError) -> None:
        """Record a failed call; log it if the store became unreachable."""
        if self._was_reachable and not self.reachable:
            self._was_reachable = False
            events.log('store_unreachable', error=str(error))

    @property
    def reachable(self) -> bool:
        """Return whether the store replied recently."""
        age_s = self._clock.monotonic_s() - self._replied_s
        return age_s < UNREACHABLE_S


__all__ = ('UNREACHABLE_S', 'StoreHealth')
