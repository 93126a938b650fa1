"""The interface of a worker, and its implementation over HTTP."""

from curranthill.workers.http import http_worker_clients
from curranthill.workers.interface import (
    Worker,
    WorkerClients,
    worker_clients,
)
from curranthill.workers.records import (
    ENDED_STATES,
    FINISHED,
    RESERVED,
    RUNNING,
    STOPPED,
    TASK_FAILED,
    AttemptId,
    FencingToken,
    LeaseReport,
    LeaseRequest,
    LeaseState,
    QuickReply,
    QuickRequest,
    Task,
    WorkerReport,
)

__all__ = (
    'ENDED_STATES',
    'FINISHED',
    'RESERVED',
    'RUNNING',
    'STOPPED',
    'TASK_FAILED',
    'AttemptId',
    'FencingToken',
    'LeaseReport',
    'LeaseRequest',
    'LeaseState',
    'QuickReply',
    'QuickRequest',
    'Task',
    'Worker',
    'WorkerClients',
    'WorkerReport',
    'http_worker_clients',
    'worker_clients',
)
