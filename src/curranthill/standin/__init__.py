"""Simulated platform and workers, for tests, demos and load tests only."""

from curranthill.standin.faults import Faults, FaultSettings
from curranthill.standin.server import StandinServer, WorkerSpec
from curranthill.standin.table import TableModel
from curranthill.standin.worker import WorkerModel

__all__ = (
    'FaultSettings',
    'Faults',
    'StandinServer',
    'TableModel',
    'WorkerModel',
    'WorkerSpec',
)
