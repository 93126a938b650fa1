"""Load balancing of quick requests: choice, limits, queues and retries."""

from curranthill.routing.choice import Choice, choices
from curranthill.routing.ejection import OutlierEjector
from curranthill.routing.pool import AllottedWorker, PooledWorker, WorkerPool
from curranthill.routing.queue import FairQueue, QueueFullError
from curranthill.routing.retries import RetryBudget
from curranthill.routing.router import QuickWork, Router

__all__ = (
    'AllottedWorker',
    'Choice',
    'FairQueue',
    'OutlierEjector',
    'PooledWorker',
    'QueueFullError',
    'QuickWork',
    'RetryBudget',
    'Router',
    'WorkerPool',
    'choices',
)
