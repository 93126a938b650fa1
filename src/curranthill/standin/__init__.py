"""Stand-ins for the platform and for workers: tests, demo and load only."""

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
