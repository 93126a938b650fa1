"""What a process holds, as the kernel tells it."""

import os
from pathlib import Path
from typing import Final, NamedTuple

MEGABYTE: Final = 1024 * 1024

_PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')

#: Columns of a line of ``/proc/net/tcp``.
_LOCAL_ADDRESS: Final = 1
_QUEUES: Final = 4


class Held(NamedTuple):
    """What a process holds at one moment.

    :param memory_bytes: resident memory and received bytes that the process
        has not read yet.
    :param sockets: descriptors of sockets and pipes.
    """

    memory_bytes: int
    sockets: int


def held_by(pid: int, port: int) -> Held:
    """Return what a process holds that listens on a port."""
    return Held(_resident_bytes(pid) + _unread_bytes(port), _sockets(pid))


def _resident_bytes(pid: int) -> int:
    pages = Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * _PAGE_BYTES


def _unread_bytes(port: int) -> int:
    """Return the bytes in the receive buffers of a port's connections.

    Connections that wait to be accepted count too.
    """
    suffix = f':{port:04X}'
    lines = Path('/proc/net/tcp').read_text().splitlines()[1:]
    columns = (line.split() for line in lines)
    return sum(
        int(one[_QUEUES].split(':')[1], 16)
        for one in columns
        if one[_LOCAL_ADDRESS].endswith(suffix) and one[3] != '0A'
    )


def _sockets(pid: int) -> int:
    count = 0
    for name in os.listdir(f'/proc/{pid}/fd'):
        try:
            target = os.readlink(f'/proc/{pid}/fd/{name}')
        except FileNotFoundError:
            continue
        if target.startswith(('socket:', 'pipe:')):
            count += 1
    return count


__all__ = ('MEGABYTE', 'Held', 'held_by')
