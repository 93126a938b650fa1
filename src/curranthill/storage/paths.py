"""Selects the path of calls to the store: direct or relayed by a peer.

Some network faults cut off only some of the hosts from the store. Without
relaying, a third of the hosts refused jobs for as long as such a fault lasted,
and the leader was replaced. A relaying peer only forwards calls; it makes no
decisions.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final

from curranthill.telemetry.events import events

#: Number of peers tried sequentially before the direct path is tried again:
#: if two thirds of the hosts reach the store, at least one of three peers
#: reaches it in 26 of 27 cases.
MAX_PEER_ATTEMPTS: Final = 3


class StorePaths:
    """The path in use, which changes when a call over it fails.

    :param direct: the store's own address.
    :param peers: returns the addresses at which other hosts relay calls.
    """

    def __init__(
        self,
        *,
        direct: str,
        peers: Callable[[], Sequence[str]],
    ) -> None:
        """Initialize with the direct path in use."""
        self.direct = direct
        self.address = direct
        self._peers = peers
        self._peers_tried = 0

    @property
    def is_direct(self) -> bool:
        """Return whether calls go directly to the store."""
        return self.address == self.direct

    def record_reply(self, address: str) -> None:
        """Record a reply of the store to a call over a path."""
        if address == self.direct and not self.is_direct:
            events.log('store_path', path='direct')
            self.address = self.direct
        if address == self.address:
            self._peers_tried = 0

    def record_failure(self, address: str) -> None:
        """Record a failed call and switch paths if it used the current one.

        Concurrent calls over one path fail together; only the first failure
        changes the path.
        """
        if address != self.address:
            return
        self.address = self._next_address()
        events.log(
            'store_path',
            path='direct' if self.is_direct else self.address,
        )

    def _next_address(self) -> str:
        others = [peer for peer in self._peers() if peer != self.address]
        if not others or self._peers_tried >= MAX_PEER_ATTEMPTS:
            self._peers_tried = 0
            return self.direct
        self._peers_tried += 1
        return random.choice(others)


__all__ = ('StorePaths',)
