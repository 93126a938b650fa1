"""Which way calls to the store take: straight, or through another host.

Answers faults in which some hosts lose the store while others reach it: a
third of the hosts refused jobs for as long as that lasted, and the leader was
replaced. A peer passes calls on; it never decides anything.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final

from curranthill.telemetry.events import events

#: How many peers are tried, one after the other, before the straight way is
#: tried again: with two thirds of the hosts in reach of the store, one of
#: three peers reaches it in 26 of 27 cases.
MAX_PEER_ATTEMPTS: Final = 3


class StorePaths:
    """The way in use, changed whenever a call over it fails.

    :param direct: the store's own address.
    :param peers: returns the addresses at which other hosts pass calls on.
    """

    def __init__(
        self,
        *,
        direct: str,
        peers: Callable[[], Sequence[str]],
    ) -> None:
        """Start with the straight way."""
        self.direct = direct
        self.address = direct
        self._peers = peers
        self._peers_tried = 0

    @property
    def is_direct(self) -> bool:
        """Return whether calls go straight to the store."""
        return self.address == self.direct

    def record_reply(self, address: str) -> None:
        """Take note of an answer that came from the store."""
        if address == self.direct and not self.is_direct:
            events.log('store_path', path='direct')
            self.address = self.direct
        if address == self.address:
            self._peers_tried = 0

    def record_failure(self, address: str) -> None:
        """Take another way if the one in use has failed.

        Calls that were under way together fail together; only the first of
        them changes the way.
        """
        if address != self.address:
            return
        self.address = self._next()
        events.log(
            'store_path',
            path='direct' if self.is_direct else self.address,
        )

    def _next(self) -> str:
        others = [peer for peer in self._peers() if peer != self.address]
        if not others or self._peers_tried >= MAX_PEER_ATTEMPTS:
            self._peers_tried = 0
            return self.direct
        self._peers_tried += 1
        return random.choice(others)


__all__ = ('StorePaths',)
