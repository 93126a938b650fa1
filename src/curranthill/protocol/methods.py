"""The methods of the inner protocol, as :meth:`Channels.call` takes them."""

from collections.abc import Awaitable, Callable

from grpclib.client import Channel

from curranthill.protocol import inner_pb2
from curranthill.protocol.inner_grpc import (
    OperationsStub,
    PeerStub,
    SchedulerStub,
)


def probe_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.ProbeReply]]:
    """Pick the probe of a peer."""
    return PeerStub(channel).Probe


def relay_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.RelayReply]]:
    """Pick the relayed probe of a third process."""
    return PeerStub(channel).Relay


def fetch_configuration_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.ConfigurationContent]]:
    """Pick the request for a peer's configuration."""
    return PeerStub(channel).FetchConfiguration


def notify_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.NotifyReply]]:
    """Pick the news of changed jobs."""
    return SchedulerStub(channel).Notify


def report_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.Allotment]]:
    """Pick the report of a gateway's demand."""
    return SchedulerStub(channel).Report


def explain_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.ExplainReply]]:
    """Pick the question why a job waits."""
    return SchedulerStub(channel).Explain


def drain_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.DrainReply]]:
    """Pick the order to place nothing more on a worker."""
    return SchedulerStub(channel).Drain


def status_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.StatusReply]]:
    """Pick the question how a process is."""
    return OperationsStub(channel).Status


__all__ = (
    'drain_method',
    'explain_method',
    'fetch_configuration_method',
    'notify_method',
    'probe_method',
    'relay_method',
    'report_method',
    'status_method',
)
