"""Scheduling of gangs: queue, guarantees, placement, leases and recovery."""

from curranthill.scheduler.daemon import SchedulerDaemon
from curranthill.scheduler.fair import FairSharePolicy
from curranthill.scheduler.fifo import FifoFirstFit
from curranthill.scheduler.policies import Policy, policies
from curranthill.scheduler.state import Decision, SchedulerState, WaitingJob

__all__ = (
    'Decision',
    'FairSharePolicy',
    'FifoFirstFit',
    'Policy',
    'SchedulerDaemon',
    'SchedulerState',
    'WaitingJob',
    'policies',
)
