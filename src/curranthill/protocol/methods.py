"""Selectors of the inner protocol's methods, for :meth:`Channels.call`."""

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
    """Return the method that probes a peer."""
    return PeerStub(channel).Probe


def relay_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.RelayReply]]:
    """Return the method that has a peer probe a third process."""
    return PeerStub(channel).Relay


def fetch_configuration_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.ConfigurationContent]]:
    """Return the method that fetches a peer's configuration."""
    return PeerStub(channel).FetchConfiguration


def notify_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.NotifyReply]]:
    """Return the method that notifies a scheduler of changed jobs."""
    return SchedulerStub(channel).Notify


def report_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.Allotment]]:
    """Return the method that reports a gateway's demand."""
    return SchedulerStub(channel).Report


def explain_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.ExplainReply]]:
    """Return the method that explains why a job waits."""
    return SchedulerStub(channel).Explain


def drain_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.DrainReply]]:
    """Return the method that drains a worker."""
    return SchedulerStub(channel).Drain


def status_method(
    channel: Channel,
) -> Callable[..., Awaitable[inner_pb2.StatusReply]]:
    """Return the method that returns the status of a process."""
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
