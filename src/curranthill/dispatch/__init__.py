"""The leader of a scheduling domain: election, placement, leases, recovery."""

from curranthill.dispatch.advice import Advice, Advisor, AdvisorError
from curranthill.dispatch.election import Election
from curranthill.dispatch.feeds import WorkerFeed
from curranthill.dispatch.leader import Leader
from curranthill.dispatch.leadership import (
    Leadership,
    LeadershipLostError,
    renew_without_store_s,
)
from curranthill.dispatch.owner import ClosedDataCentreSource
from curranthill.dispatch.rounds import RevisionSource
from curranthill.dispatch.workers import (
    EndReport,
    LeaseOrder,
    LeaseReport,
    RejectedError,
    RunReport,
    StartOrder,
    TaskWorker,
    WorkerConnector,
    WorkerReplacedError,
)

__all__ = (
    'Advice',
    'Advisor',
    'AdvisorError',
    'ClosedDataCentreSource',
    'Election',
    'EndReport',
    'Leader',
    'Leadership',
    'LeadershipLostError',
    'LeaseOrder',
    'LeaseReport',
    'RejectedError',
    'RevisionSource',
    'RunReport',
    'StartOrder',
    'TaskWorker',
    'WorkerConnector',
    'WorkerFeed',
    'WorkerReplacedError',
    'renew_without_store_s',
)
