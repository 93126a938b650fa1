"""Placement of tasks on workers, preemption, and moves of running tasks.

Pure decisions: no input or output, no clock, no event loop, no logging.
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
from curranthill.placement.occurrences import StepId
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
    'ASSIGNED',
    'FAILURE_SCORE',
    'FILLING',
    'LOAD_SHEDDING',
    'MAX_LATE_FACTOR',
    'MAX_SKEW_S',
    'NONE_DISABLED',
    'ORDERED',
    'PLAIN',
    'RUNNING',
    'SERVING',
    'SLOW',
    'SLOW_MOVES',
    'SPEEDS',
    'STALLED',
    'STALLED_MOVES',
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
    'Run',
    'StepId',
    'RunKind',
    'RunState',
    'Speed',
    'SpeedEstimator',
    'WorkerCapacity',
    'WorkerEntry',
    'covered_jobs',
    'in_service_order',
    'infeasible_jobs',
    'kind_of',
    'late_jobs',
    'mechanisms',
    'move_of',
    'newest_checkpoint',
    'resources_needed',
    'speed_level',
    'validate_mechanisms',
    'waits_for_rack',
)
