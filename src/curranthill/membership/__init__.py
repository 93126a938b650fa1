"""Gossip membership: views, probes and configuration replication."""

from curranthill.membership.node import Node, NodeSettings
from curranthill.membership.prober import PeerService, Prober
from curranthill.membership.replication import ConfigurationReplicator
from curranthill.membership.view import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Load,
    Member,
    View,
)

__all__ = (
    'ALIVE',
    'DEAD',
    'LEFT',
    'SUSPECT',
    'ConfigurationReplicator',
    'Load',
    'Member',
    'Node',
    'NodeSettings',
    'PeerService',
    'Prober',
    'View',
)
