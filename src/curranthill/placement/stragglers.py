"""Runs that would end sooner if they were restarted on another worker.

These are stalled runs, and runs on workers that turn out to be slow. A task
that is long takes as long elsewhere, so its own progress is no reason to move
it: its worker must be known to be slow.
"""

import math
from typing import Final, Literal, NamedTuple

from curranthill.placement.runs import (
    ALL_DONE_PERCENT,
    CHECKPOINT_LOSS_S,
    RESTART_COST_S,
    RUNNING,
    Run,
)

#: The reason for a move.
MoveReason = Literal['stalled', 'slow']

STALLED: Final = 'stalled'
SLOW: Final = 'slow'

#: A run on a slow worker is moved only if the rest takes at most this share of
#: its remaining time on another one: the loss is certain, the gain is not.
MAX_MOVE_TIME_SHARE: Final = 0.7


class Move(NamedTuple):
    """The move of a run to another worker.

    :param here_s: the expected remaining time on its present worker.
    :param elsewhere_s: the expected time on a typical worker, including the
        stop, the start and the work that is repeated.
    """

    reason: MoveReason
    here_s: float
    elsewhere_s: float


def move_of(run: Run, speed: float, left_s: float) -> Move | None:
    """Return the move of a run, if it should be moved.

    :param speed: its worker's speed as a multiple of a typical one's.
    :param left_s: the time left until its job's objective.
    """
    if run.stop_wanted or run.state != RUNNING or not run.estimate_s:
        return None
    if run.stalled_s:
        return _move_if_stalled(run)
    if speed < 1 and run.done_percent < ALL_DONE_PERCENT:
        return _move_if_slow(run, speed, left_s)
    return None


def _move_if_stalled(run: Run) -> Move | None:
    """Return a move once the stall is longer than the work to be repeated.

    The stall is expected to last as long again. As in the ski rental problem,
    waiting before the move costs at most twice the better choice.
    """
    here_s = run.stalled_s
    elsewhere_s = max(0.0, run.lost_s - run.stalled_s)
    if here_s > elsewhere_s:
        return Move(STALLED, here_s, elsewhere_s)
    return None


def _move_if_slow(run: Run, speed: float, left_s: float) -> Move | None:
    """Return a move if a run misses its objective only due to its worker."""
    here_s = run.time_left_s
    if math.isinf(here_s):
        return None
    repeated_s = CHECKPOINT_LOSS_S if run.checkpointable else run.age_s
    elsewhere_s = RESTART_COST_S + (here_s + repeated_s) * speed
    pays = elsewhere_s < MAX_MOVE_TIME_SHARE * here_s
    if pays and elsewhere_s < left_s < here_s:
        return Move(SLOW, here_s, elsewhere_s)
    return None


__all__ = ('SLOW', 'STALLED', 'Move', 'MoveReason', 'move_of')
