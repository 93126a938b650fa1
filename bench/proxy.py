"""A loopback proxy that delays, slows, resets, cuts or silences a peer."""

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

#: What the ``delay`` mode adds to each piece of data, in seconds.
DELAY_S: Final = 0.15

#: What the ``slow`` mode lets through, in bytes a second and connection.
SLOW_BYTES_PER_S: Final = 5e6 / 8

PIECE_BYTES: Final = 16_384


class Proxy:
    """Forwards one port of this machine to another address.

    :param mode: what happens to connections and data from now on; ``mute``:
        those open by now are silent for good, new ones pass.
    """

    def __init__(self, *, target: str) -> None:
        """Listen nowhere yet."""
        self.mode: Mode = 'pass'
        self.changed_s = -math.inf
        self.address = ''
        ip, port = target.rsplit(':', 1)
        self._target = (ip, int(port))
        self._writers: set[asyncio.StreamWriter] = set()
        self._muted: set[asyncio.StreamWriter] = set()
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

    def change(self, mode: Mode) -> None:
        """Change the mode; ``reset`` also cuts what is open."""
        self.mode = mode
        self.changed_s = uptime_s()
        if mode == 'mute':
            self._muted.update(self._writers)
        if mode == 'reset':
            for writer in list(self._writers):
                writer.transport.abort()

    async def close(self) -> None:
        """Listen no more, and cut what is open."""
        self.change('reset')
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
            far_reader, far_writer = await asyncio.open_connection(
                *self._target,
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, far_writer))
        await asyncio.gather(
            self._copy(reader, far_writer, back=False),
            self._copy(far_reader, writer, back=True),
        )
        self._writers.difference_update((writer, far_writer))
        self._muted.difference_update((writer, far_writer))

    def _swallows(self, writer: asyncio.StreamWriter, *, back: bool) -> bool:
        """Return whether data towards a writer is lost."""
        if self.mode == 'silent' or writer in self._muted:
            return True
        return back and self.mode == 'one_way'

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        back: bool,
    ) -> None:
        with suppress(OSError):
            while piece := await reader.read(PIECE_BYTES):
                if self.mode == 'delay':
                    await asyncio.sleep(DELAY_S)
                if self.mode == 'slow':
                    await asyncio.sleep(len(piece) / SLOW_BYTES_PER_S)
                if self._swallows(writer, back=back):
                    continue
                writer.write(piece)
                await writer.drain()
        writer.close()


__all__ = ('Mode', 'Proxy')
