"""A host holds no more than its machine has, whatever its clients send."""

import asyncio
import unittest
from typing import Final

from crowds.bed import HostBed, play
from crowds.measure import MEGABYTE

#: The memory of the machine in the settings, in megabytes.
MEMORY_MB: Final = 96

#: The descriptors of a process in the settings; 200 of them are for files.
MAX_FDS: Final = 500
FILE_FDS: Final = 200

#: The connections of a crowd; less than the descriptors allow.
CONNECTIONS: Final = 250

#: The connections of a crowd that would use up the descriptors.
MANY_CONNECTIONS: Final = 400


class HostCrowdTest(unittest.TestCase):
    """The process lives, stays within its bounds and serves a request."""

    def play(self, name: str, connections: int = CONNECTIONS) -> int:
        """Play a crowd, check the host and return the bytes that were sent."""
        return asyncio.run(self._play(name, connections))

    def test_large_heads(self) -> None:
        """110 header fields of 8,000 characters each."""
        self.play('large_heads')

    def test_heads_without_end(self) -> None:
        """Header fields of 2,000 characters."""
        self.play('heads_without_end')

    def test_field_without_end(self) -> None:
        """One header field, 2 MB of it on each connection."""
        self.assert_not_read(self.play('field_without_end'))

    def test_line_without_end(self) -> None:
        """One request line, 2 MB of it on each connection."""
        self.assert_not_read(self.play('line_without_end'))

    def test_empty_lines(self) -> None:
        """Empty lines before a request, 2 MB of them on each connection."""
        self.assert_not_read(self.play('empty_lines'))

    def test_short_bodies(self) -> None:
        """Large bodies that stop just short of their end."""
        self.play('short_bodies')

    def test_short_bodies_in_pieces(self) -> None:
        """Large bodies in pieces that stop just short of their end."""
        self.play('short_bodies_in_pieces')

    def test_whole_bodies(self) -> None:
        """Large bodies."""
        self.play('whole_bodies')

    def test_pipelined_bodies(self) -> None:
        """Large bodies on the same connections, answers unread."""
        self.play('pipelined_bodies')

    def test_pipelined_heads(self) -> None:
        """Small requests on the same connections, answers unread."""
        self.play('pipelined_heads')

    def test_short_chunked_bodies(self) -> None:
        """Large chunks that stop just short of their end."""
        self.play('short_chunked_bodies')

    def test_short_single_chunks(self) -> None:
        """One chunk that stops just short of its end."""
        self.play('short_single_chunks')

    def test_short_bodies_in_tiny_chunks(self) -> None:
        """Chunks of one byte that stop just short of their end."""
        self.play('short_bodies_in_tiny_chunks')

    def test_chunks_without_end(self) -> None:
        """Chunks of 64 KB."""
        self.play('chunks_without_end')

    def test_chunk_extensions_without_end(self) -> None:
        """One chunk with an extension, 2 MB of it on each connection."""
        self.assert_not_read(self.play('chunk_extensions_without_end'))

    def test_trailers_without_end(self) -> None:
        """Trailer fields after the last chunk."""
        self.play('trailers_without_end')

    def test_bodies_of_get(self) -> None:
        """Large bodies of requests that have no use for them."""
        self.play('bodies_of_get')

    def test_deflated_bodies(self) -> None:
        """Small bodies that inflate to 100 MB."""
        self.play('deflated_bodies')

    def test_many_steps(self) -> None:
        """Jobs of 87,000 steps."""
        self.play('many_steps')

    def test_many_mistakes(self) -> None:
        """Jobs in which each number is a mistake."""
        self.play('many_mistakes')

    def test_nothing(self) -> None:
        """Connections without a byte, more than there are descriptors."""
        self.play('nothing', MANY_CONNECTIONS)

    def test_mixed(self) -> None:
        """Several of these at once."""
        self.play('mixed')

    def assert_not_read(self, sent_bytes: int) -> None:
        """Check that less was taken than the machine's memory.

        What never becomes a request is not read without end.
        """
        self.assertLess(sent_bytes, MEMORY_MB * MEGABYTE, 'bytes read')

    async def _play(self, name: str, connections: int) -> int:
        limits = {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}
        async with HostBed(limits=limits) as bed:
            sent, held, is_served = await play(name, connections, bed)
            log_bytes = len(bed.log_text())
            print(  # noqa: WPS421
                f'{name}: {held.memory_bytes // MEGABYTE} MB, {held.sockets}'
                f' sockets, {log_bytes // 1024} KB of log; {sent}',
            )
            self.assertIsNone(bed.process.returncode, 'the process ended')
            self.assertLess(
                held.memory_bytes, MEMORY_MB * MEGABYTE, 'memory in bytes'
            )
            self.assertLess(log_bytes, MEMORY_MB * MEGABYTE, 'bytes of log')
            self.assertLessEqual(held.sockets, MAX_FDS - FILE_FDS, 'sockets')
            self.assertTrue(is_served, 'no ordinary request was served')
        return sent.sent_bytes
