"""Connections to other processes of the system, one for each peer."""

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

#: The metadata field that carries the shared key.
KEY_FIELD = 'curranthill-key'

#: What a call that got no answer raises; time-outs are OS errors.
_FAILURES = (OSError, GRPCError, StreamTerminatedError)

Reply = TypeVar('Reply')
Stub = PeerStub | SchedulerStub | OperationsStub


class Channels:
    """Open, keep and close connections to peers.

    :param key: the key that all processes share; sent with each call.
    """

    def __init__(self, *, key: str) -> None:
        """Start with no connection."""
        self._metadata = {KEY_FIELD: key}
        self._channels: dict[str, Channel] = {}

    async def call(
        self,
        address: str,
        method: Callable[[Channel], Callable[..., Awaitable[Reply]]],
        request: Any,
        timeout_s: float,
    ) -> Reply:
        """Make one call.

        :param method: picks a stub's method, given the channel.
        :raises PeerError: if no answer came in time.
        """
        channel = self._channel(address)
        try:
            return await method(channel)(
                request,
                timeout=timeout_s,
                metadata=self._metadata,
            )
        except _FAILURES as error:
            raise PeerError(
                f'The peer did not answer: {error!r:.80}.',
                step=type(request).__name__,
                peer=address,
            ) from error

    def forget(self, address: str) -> None:
        """Close the connection to a peer that is gone."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    async def close(self) -> None:
        """Close all connections."""
        for address in list(self._channels):
            self.forget(address)

    def _channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(':')
            channel = Channel(host, int(port))
            self._channels[address] = channel
        return channel


__all__ = ('KEY_FIELD', 'Channels')
