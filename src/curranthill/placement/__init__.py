"""What starts where, what is stopped for it, and what moves.

Decisions only: no input or output, no clock, no event loop, no log lines.
"""

from curranthill.placement.jobs import ActiveJob, ReadyStep, checkpoint_of
from curranthill.placement.planner import Placement, Plan, Planner
from curranthill.placement.rooms import Room, room_needed
from curranthill.placement.runs import (
    FILLING,
    MARKED,
    ORDERED,
    PLAIN,
    RUNNING,
    SERVING,
    UNKNOWN,
    Run,
    RunKind,
    RunState,
    kind_of,
)
from curranthill.placement.workers import WorkerEntry

__all__ = (
    'FILLING',
    'MARKED',
    'ORDERED',
    'PLAIN',
    'RUNNING',
    'SERVING',
    'UNKNOWN',
    'ActiveJob',
    'Placement',
    'Plan',
    'Planner',
    'ReadyStep',
    'Room',
    'Run',
    'RunKind',
    'RunState',
    'WorkerEntry',
    'checkpoint_of',
    'kind_of',
    'room_needed',
)
