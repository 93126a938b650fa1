"""Plays a crowd: ``python -m crowds.play NAME TARGET IP:PORT CONNECTIONS``.

Connects at once, sends without reading, and keeps all connections open until
its standard input ends. Prints what was sent, as JSON, when everything is sent,
the other side has closed the connections, or the time is over.
"""

import asyncio
import json
import socket
import sys
from contextlib import suppress
from typing import Final, NamedTuple

from crowds.senders import TARGETS, senders

#: How long a crowd sends, in seconds.
PLAY_S: Final = 8.0

#: The send buffer of a connection, in bytes: what is in it counts as sent.
_SEND_BUFFER_BYTES: Final = 16_384


class Sent(NamedTuple):
    """What a crowd has sent.

    :param connected: connections that were opened.
    :param sent_bytes: the bytes that all connections have sent.
    :param closed: connections that the other side has closed.
    """

    connected: int
    sent_bytes: int
    closed: int


class Crowd:
    """The connections of a crowd to one address."""

    def __init__(self, *, name: str, target: str, address: str) -> None:
        """Initialize without connections."""
        ip, port = address.rsplit(':', 1)
        self._address = (ip, int(port))
        self._sender = senders[name]
        self._target = TARGETS[target]
        self._sockets: list[socket.socket] = []
        self._connected = 0
        self._sent_bytes = 0
        self._closed = 0

    async def play(self, connections: int) -> Sent:
        """Open the connections and send on all of them."""
        tasks = [asyncio.create_task(self._send()) for _ in range(connections)]
        with suppress(TimeoutError):
            async with asyncio.timeout(PLAY_S):
                await asyncio.gather(*tasks)
        return Sent(self._connected, self._sent_bytes, self._closed)

    async def _send(self) -> None:
        loop = asyncio.get_running_loop()
        one = socket.socket()
        one.setblocking(False)  # noqa: FBT003
        one.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
        self._sockets.append(one)
        try:
            await loop.sock_connect(one, self._address)
            self._connected += 1
            for piece in self._sender(self._target):
                await loop.sock_sendall(one, piece)
                self._sent_bytes += len(piece)
        except OSError:
            self._closed += 1


async def main() -> None:
    """Play the crowd that the arguments name."""
    name, target, address, connections = sys.argv[1:]
    crowd = Crowd(name=name, target=target, address=address)
    sent = await crowd.play(int(connections))
    sys.stdout.write(f'{json.dumps(sent._asdict())}\n')
    sys.stdout.flush()
    await asyncio.to_thread(sys.stdin.read)


if __name__ == '__main__':
    asyncio.run(main())
