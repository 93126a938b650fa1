"""A network link whose bandwidth all connections of a host share."""

import asyncio
import socket
from contextlib import suppress
from typing import Final

#: Maximum number of bytes forwarded at once.
CHUNK_BYTES: Final = 4096

#: How far the link may fall behind its rate and catch up, in seconds, since
#: timers fire late on a busy machine.
CATCH_UP_S: Final = 0.05

#: Buffer size of a connection per direction and end, in bytes.
BUFFER_BYTES: Final = 16_384


class SlowLink:
    """Forwards connections to a server at the rate of one link.

    :param sent_bytes: the bytes of the server's responses so far.
    :param silent: whether all bytes are dropped without an error.
    """

    def __init__(self, *, target: str, rate_bytes_per_s: float) -> None:
        """Initialize without listening."""
        self.address = ''
        self.sent_bytes = 0
        self.silent = False
        ip, port = target.rsplit(':', 1)
        self._target = (ip, int(port))
        self._rate_bytes_per_s = rate_bytes_per_s
        self._free_s = {'in': 0.0, 'out': 0.0}
        self._writers: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task[None] | None] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        listener = socket.create_server(('127.0.0.1', 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        ip, port = listener.getsockname()
        self.address = f'{ip}:{port}'
        self._server = await asyncio.start_server(self._serve, sock=listener)

    async def close(self) -> None:
        """Stop listening and abort the open connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.gather(*(task for task in self._serving if task))

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._serving.add(asyncio.current_task())
        server_reader, server_writer = await asyncio.open_connection(
            *self._target,
            limit=BUFFER_BYTES,
        )
        for one in (writer, server_writer):
            _limit_buffers(one)
        self._writers.update((writer, server_writer))
        await asyncio.gather(
            self._copy(reader, server_writer, 'out'),
            self._copy(server_reader, writer, 'in'),
        )
        self._writers.difference_update((writer, server_writer))
        self._serving.discard(asyncio.current_task())

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._throttle(len(chunk), direction)
                if self.silent:
                    continue
                if direction == 'in':
                    self.sent_bytes += len(chunk)
                writer.write(chunk)
                await writer.drain()
        writer.close()

    async def _throttle(self, size_bytes: int, direction: str) -> None:
        """Wait until the link has carried all bytes up to these."""
        now_s = asyncio.get_running_loop().time()
        transfer_s = size_bytes / self._rate_bytes_per_s
        start_s = max(self._free_s[direction], now_s - CATCH_UP_S)
        self._free_s[direction] = start_s + transfer_s
        await asyncio.sleep(self._free_s[direction] - now_s)


def _limit_buffers(writer: asyncio.StreamWriter) -> None:
    writer.transport.set_write_buffer_limits(high=BUFFER_BYTES)
    end = writer.get_extra_info('socket')
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        end.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)


__all__ = ('SlowLink',)
