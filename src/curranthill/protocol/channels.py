"""gRPC channels to the other processes of the system, one for each peer."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from curranthill.errors import PeerError
from curranthill.protocol.inner_grpc import (
    OperationsStub,
    PeerStub,
    SchedulerStub,
)

#: The metadata field of the shared key.
KEY_FIELD = 'curranthill-key'

#: What a call without a response raises; a timeout is an OSError.
_FAILURES = (OSError, GRPCError, StreamTerminatedError)

Reply = TypeVar('Reply')
Stub = PeerStub | SchedulerStub | OperationsStub


class Channels:
    """A cache of channels to peers, by address.

    :param key: the key that all processes share; sent with each call.
    """

    def __init__(self, *, key: str) -> None:
        """Initialize without channels."""
        self._metadata = {KEY_FIELD: key}
        self._channels: dict[str, Channel] = {}

    async def call(
        self,
        address: str,
        method: Callable[[Channel], Callable[..., Awaitable[Reply]]],
        request: Any,
        timeout_s: float,
    ) -> Reply:
        """Call a method of a peer.

        :param method: returns the method of a channel's stub.
        :raises PeerError: if no response arrived in time.
        """
        channel = self._get_or_open(address)
        try:
            return await method(channel)(
                request,
                timeout=timeout_s,
                metadata=self._metadata,
            )
        except _FAILURES as error:
            raise PeerError(
                f'The peer did not respond: {error!r:.80}.',
                step=type(request).__name__,
                peer=address,
            ) from error

    def close_channel(self, address: str) -> None:
        """Close the channel to a peer; a later call opens a new one."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    async def close(self) -> None:
        """Close all channels."""
        for address in list(self._channels):
            self.close_channel(address)

    def _get_or_open(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(':')
            channel = Channel(host, int(port))
            self._channels[address] = channel
        return channel


__all__ = ('KEY_FIELD', 'Channels')
