"""The inner protocol: gRPC between the processes of this system."""

from curranthill.protocol.channels import KEY_FIELD, Channels
from curranthill.protocol.inner_grpc import (
    OperationsBase,
    OperationsStub,
    PeerBase,
    PeerStub,
    SchedulerBase,
    SchedulerStub,
)
from curranthill.protocol.server import InnerServer

__all__ = (
    'KEY_FIELD',
    'Channels',
    'InnerServer',
    'OperationsBase',
    'OperationsStub',
    'PeerBase',
    'PeerStub',
    'SchedulerBase',
    'SchedulerStub',
)
