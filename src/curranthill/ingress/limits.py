"""Limits on the connections of callers, by the size of the machine."""

from typing import Final, NamedTuple

_MEGABYTE: Final = 1024 * 1024

#: The share of the machine's memory for connections and their requests.
MEMORY_SHARE: Final = 0.25

#: The share of that memory for requests with large bodies.
LARGE_SHARE: Final = 0.25

#: Descriptors of a process that are reserved for files.
FILE_DESCRIPTORS: Final = 200

#: The share of the other descriptors for connections of callers. Each of their
#: requests may use two more for the store, one of which has timed out; the rest
#: is for workers, peers and the other ports.
DESCRIPTOR_SHARE: Final = 0.25

#: The receive buffer of a connection, in bytes. The kernel doubles the value.
RECEIVE_BUFFER_BYTES: Final = 16_384

#: What an open connection holds: its objects, and what the kernel has received.
CONNECTION_BYTES: Final = 8_192 + RECEIVE_BUFFER_BYTES

#: What a request with a small head and body holds until it is answered.
REQUEST_BYTES: Final = 24_576

#: The most connections that wait to be accepted.
MAX_BACKLOG: Final = 512


class MachineLimits(NamedTuple):
    """What the machine grants a process.

    :param memory_mb: memory, including received bytes that are not read yet.
    :param max_fds: file descriptors.
    """

    memory_mb: int = 256
    max_fds: int = 4100


class IngressLimits(NamedTuple):
    """Limits on the connections of one port and on their requests.

    :param connections: the most open connections.
    :param requests_bytes: the most memory of all requests together.
    :param large_bytes: the part of it for requests with large bodies.
    :param head_bytes: the longest request line and header of a request.
    :param field_bytes: the longest line of them.
    :param head_s: how long a head may take from its first byte.
    :param body_s: how long a body may take.
    :param answer_s: how long a caller may take to receive a response.
    :param linger_s: how long a refused caller may take to stop sending.
    :param linger_bytes: how much is read and discarded meanwhile.
    :param idle_s: how long a connection without a request stays open.
    """

    connections: int
    requests_bytes: int
    large_bytes: int
    head_bytes: int = 16_384
    field_bytes: int = 8_190
    head_s: int = 10
    body_s: int = 10
    answer_s: int = 10
    linger_s: int = 2
    linger_bytes: int = 65_536
    idle_s: float = 300.0

    @property
    def backlog(self) -> int:
        """Return how many connections may wait to be accepted."""
        return min(MAX_BACKLOG, max(1, self.connections // 2))


def limits_of(machine: MachineLimits, *, idle_s: float) -> IngressLimits:
    """Return the limits on callers of a process.

    Each connection may have one small request at the same time, so that only
    large ones compete for memory.
    """
    share_bytes = int(machine.memory_mb * _MEGABYTE * MEMORY_SHARE)
    large_bytes = int(share_bytes * LARGE_SHARE)
    by_memory = (share_bytes - large_bytes) // (
        CONNECTION_BYTES + REQUEST_BYTES
    )
    by_descriptors = int(
        (machine.max_fds - FILE_DESCRIPTORS) * DESCRIPTOR_SHARE,
    )
    connections = max(1, min(by_memory, by_descriptors))
    return IngressLimits(
        connections=connections,
        requests_bytes=connections * REQUEST_BYTES + large_bytes,
        large_bytes=large_bytes,
        idle_s=idle_s,
    )


__all__ = (
    'RECEIVE_BUFFER_BYTES',
    'REQUEST_BYTES',
    'IngressLimits',
    'MachineLimits',
    'limits_of',
)
