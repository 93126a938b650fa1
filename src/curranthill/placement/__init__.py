"""What starts where, what is stopped for it, and what moves.

Decisions only: no input or output, no clock, no event loop, no log lines.
"""

from curranthill.placement.backlog import BacklogCursor
from curranthill.placement.capacity import (
    WorkerCapacity,
    resources_needed,
    speed_level,
)
from curranthill.placement.durations import DurationEstimator, Ratio
from curranthill.placement.fitting import MAX_SKEW_S, waits_for_rack
from curranthill.placement.jobs import ActiveJob, ReadyStep, newest_checkpoint
from curranthill.placement.mechanisms import (
    FAILURE_SCORE,
    LOAD_SHEDDING,
    NONE_DISABLED,
    SLOW_MOVES,
    SPEEDS,
    STALLED_MOVES,
    mechanisms,
    validate_mechanisms,
)
from curranthill.placement.order import (
    covered_jobs,
    in_service_order,
    infeasible_jobs,
    late_jobs,
)
from curranthill.placement.planner import Placement, Plan, Planner
from curranthill.placement.reservation_windows import ReservationWindows
from curranthill.placement.runs import (
    ASSIGNED,
    FILLING,
    ORDERED,
    PLAIN,
    RUNNING,
    SERVING,
    UNKNOWN,
    URGENT,
    Run,
    RunKind,
    RunState,
    kind_of,
)
from curranthill.placement.speeds import Observation, Speed, SpeedEstimator
from curranthill.placement.stragglers import (
    SLOW,
    STALLED,
    Move,
    MoveReason,
    move_of,
)
from curranthill.placement.timeliness import MAX_LATE_FACTOR
from curranthill.placement.workers import WorkerEntry

__all__ = (
    'NONE_DISABLED',
    'FAILURE_SCORE',
    'FILLING',
    'MAX_LATE_FACTOR',
    'ASSIGNED',
    'MAX_SKEW_S',
    'ORDERED',
    'PLAIN',
    'RUNNING',
    'SERVING',
    'SLOW',
    'SLOW_MOVES',
    'SPEEDS',
    'STALLED',
    'STALLED_MOVES',
    'LOAD_SHEDDING',
    'UNKNOWN',
    'URGENT',
    'ActiveJob',
    'BacklogCursor',
    'DurationEstimator',
    'Move',
    'MoveReason',
    'Observation',
    'Placement',
    'Plan',
    'Planner',
    'Ratio',
    'ReadyStep',
    'ReservationWindows',
    'WorkerCapacity',
    'Run',
    'RunKind',
    'RunState',
    'Speed',
    'SpeedEstimator',
    'WorkerEntry',
    'validate_mechanisms',
    'newest_checkpoint',
    'covered_jobs',
    'infeasible_jobs',
    'in_service_order',
    'late_jobs',
    'kind_of',
    'speed_level',
    'mechanisms',
    'move_of',
    'resources_needed',
    'waits_for_rack',
)
