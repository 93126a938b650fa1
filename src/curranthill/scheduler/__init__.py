"""Queue, guarantees, gang placement, leases and recovery."""

from curranthill.scheduler.board import Board, Decision, Waiting
from curranthill.scheduler.daemon import SchedulerDaemon
from curranthill.scheduler.fair import Guarantees
from curranthill.scheduler.fifo import FifoFirstFit
from curranthill.scheduler.policies import Policy, policies

__all__ = (
    'Board',
    'Decision',
    'FifoFirstFit',
    'Guarantees',
    'Policy',
    'SchedulerDaemon',
    'Waiting',
    'policies',
)
