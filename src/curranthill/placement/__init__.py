"""What starts where, what is stopped for it, and what moves.

Decisions only: no input or output, no clock, no event loop, no log lines.
"""

from curranthill.placement.doubts import (
    HELD_S,
    ON_TRIAL,
    Standing,
    StartWatch,
    WorkerRecord,
)
from curranthill.placement.jobs import ActiveJob, ReadyStep, checkpoint_of
from curranthill.placement.mechanisms import (
    ALL_ON,
    DOUBT,
    STALLED_MOVES,
    checked,
    mechanisms,
)
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
    'ALL_ON',
    'DOUBT',
    'FILLING',
    'HELD_S',
    'MARKED',
    'ON_TRIAL',
    'ORDERED',
    'PLAIN',
    'RUNNING',
    'SERVING',
    'STALLED_MOVES',
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
    'Standing',
    'StartWatch',
    'WorkerEntry',
    'WorkerRecord',
    'checked',
    'checkpoint_of',
    'kind_of',
    'mechanisms',
    'room_needed',
)
