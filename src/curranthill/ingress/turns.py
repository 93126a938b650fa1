"""Spreads the work on incoming bytes over turns of the event loop."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

#: How many connections with more to send are read in one turn.
READS_PER_TURN: Final = 32

#: How many heads may be passed to the HTTP library before it is known how many
#: requests it has parsed from them.
MAX_UNCONFIRMED: Final = 8

#: Turns of the event loop within which the HTTP library has passed a complete
#: head to the handler: one wakes its task, the next one runs the handler.
_HANDLER_TURNS: Final = 2


class Turns:
    """Lets connections that send a lot read one piece after another in turn.

    A connection reads its first piece at once, so that ordinary requests do
    not wait for the bytes of others.
    """

    def __init__(self) -> None:
        """Initialize without waiting connections."""
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[Callable[[], None]] = deque()
        self._scheduled = False
        self._heads: deque[Callable[[], None]] = deque()
        self._unconfirmed = 0

    def pass_head(self, pass_on: Callable[[], None]) -> None:
        """Call a function that passes bytes of a head to the HTTP library.

        The library may parse many requests from them, which is known only once
        the handler of the first one has begun. So the others wait.
        """
        if self._unconfirmed < MAX_UNCONFIRMED:
            self._unconfirmed += 1
            self.after_handler(self._confirm)
            pass_on()
        else:
            self._heads.append(pass_on)

    def wait(self, read: Callable[[], None]) -> None:
        """Call a function in a later turn, in order of waiting."""
        self._waiting.append(read)
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run)

    def after_handler(self, callback: Callable[[], None]) -> None:
        """Call a function once the handler of a complete head has begun."""
        self._call_after(_HANDLER_TURNS, callback)

    def _call_after(self, turns: int, callback: Callable[[], None]) -> None:
        if turns:
            self._loop.call_soon(self._call_after, turns - 1, callback)
        else:
            callback()

    def _confirm(self) -> None:
        self._unconfirmed -= 1
        if self._heads:
            self.pass_head(self._heads.popleft())

    def _run(self) -> None:
        try:
            for _ in range(min(READS_PER_TURN, len(self._waiting))):
                self._waiting.popleft()()
        finally:
            # An error of one connection does not hold up the others.
            self._scheduled = bool(self._waiting)
            if self._scheduled:
                self._loop.call_soon(self._run)


__all__ = ('Turns',)
