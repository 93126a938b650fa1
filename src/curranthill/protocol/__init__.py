"""The protocol between the system's own processes, by gRPC."""

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
