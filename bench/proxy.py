"""A loopback proxy that delays, throttles, resets or drops data of a peer."""

import asyncio
import math
from contextlib import suppress
from typing import Final, Literal

from curranthill.clock import uptime_s

Mode = Literal[
    'pass',
    'delay',
    'slow',
    'reset',
    'silent',
    'one_way',
    'mute',
]

#: The delay of each chunk in the ``delay`` mode, in seconds.
DELAY_S: Final = 0.15

#: The throughput of a connection in the ``slow`` mode, in bytes per second.
SLOW_BYTES_PER_S: Final = 5e6 / 8

CHUNK_BYTES: Final = 16_384


class Proxy:
    """Forwards connections from a port of this machine to another address.

    :param mode: the fault that applies to connections and data: ``silent``
        drops all data, ``one_way`` drops data to the clients, and ``mute``
        drops all data of the connections that are open when it is set, for as
        long as they last, and affects no later ones.
    :param mode_changed_s: when the mode was last set, as uptime in seconds.
    """

    def __init__(self, *, target: str) -> None:
        """Initialize without listening; open() begins to listen."""
        self.mode: Mode = 'pass'
        self.mode_changed_s = -math.inf
        self.address = ''
        ip, port = target.rsplit(':', 1)
        self._target = (ip, int(port))
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            0,
        )
        ip, port = self._server.sockets[0].getsockname()
        self.address = f'{ip}:{port}'

    def change_mode(self, mode: Mode) -> None:
        """Change the mode; ``reset`` also aborts all open connections."""
        self.mode = mode
        self.mode_changed_s = uptime_s()
        if mode == 'mute':
            self._silenced.update(self._writers)
        if mode == 'reset':
            for writer in list(self._writers):
                writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and abort all open connections."""
        self.change_mode('reset')
        if self._server is not None:
            self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.mode == 'reset':
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target,
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, target_writer))
        await asyncio.gather(
            self._copy(reader, target_writer, to_client=False),
            self._copy(target_reader, writer, to_client=True),
        )
        self._writers.difference_update((writer, target_writer))
        self._silenced.difference_update((writer, target_writer))

    def _drops(self, writer: asyncio.StreamWriter, *, to_client: bool) -> bool:
        """Return whether data for a writer is dropped."""
        if self.mode == 'silent' or writer in self._silenced:
            return True
        return to_client and self.mode == 'one_way'

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_client: bool,
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.mode == 'delay':
                    await asyncio.sleep(DELAY_S)
                if self.mode == 'slow':
                    await asyncio.sleep(len(chunk) / SLOW_BYTES_PER_S)
                if self._drops(writer, to_client=to_client):
                    continue
                writer.write(chunk)
                await writer.drain()
        writer.close()


__all__ = ('Mode', 'Proxy')
