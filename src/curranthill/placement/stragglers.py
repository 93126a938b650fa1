"""Runs that would end sooner if they were stopped and started elsewhere.

Answers workers on which runs stand still, and such as are found to be slow when
work is on them already. A task that is long by itself is as long elsewhere, so
its own progress alone moves nothing: its worker must be known to differ.
"""

from typing import Final, Literal, NamedTuple

from curranthill.placement.runs import (
    ALL_DONE_PERCENT,
    CHECKPOINT_LOSS_S,
    RESTART_S,
    RUNNING,
    Run,
)

#: Why a run is moved.
MoveReason = Literal['stalled', 'slow']

STALLED: Final = 'stalled'
SLOW: Final = 'slow'

#: A run on a slow worker is moved only if what is left takes no more than this
#: share of its time elsewhere: the loss is known, the gain is a guess.
MOST_SHARE: Final = 0.7


class Move(NamedTuple):
    """A run that is better started elsewhere.

    :param here_s: how long it is expected to go on here.
    :param elsewhere_s: how long it takes on a typical worker, with the stop,
        the start and all that is done again.
    """

    reason: MoveReason
    here_s: float
    elsewhere_s: float


def move_of(run: Run, speed: float, left_s: float) -> Move | None:
    """Return why a run should start elsewhere, if it should.

    :param speed: its worker's, of a typical one's.
    :param left_s: the time left until its job's objective.
    """
    if run.stop_wanted or run.state != RUNNING or not run.estimate_s:
        return None
    if run.stalled_s:
        return _if_stalled(run)
    if speed < 1 and run.done_percent < ALL_DONE_PERCENT:
        return _if_slow(run, speed, left_s)
    return None


def _if_stalled(run: Run) -> Move | None:
    """Return a move once the stall outlasts the work that a restart repeats.

    The stall is expected to last as long again, so waiting and then moving
    costs at most twice the better choice.
    """
    here_s = run.stalled_s
    elsewhere_s = max(0.0, run.lost_s - run.stalled_s)
    if here_s > elsewhere_s:
        return Move(STALLED, here_s, elsewhere_s)
    return None


def _if_slow(run: Run, speed: float, left_s: float) -> Move | None:
    """Return a move if its worker alone makes a run miss its objective."""
    gained = run.done_percent - run.first_percent
    if gained <= 0 or run.age_s <= 0:
        return None
    left = ALL_DONE_PERCENT - run.done_percent
    here_s = run.age_s * left / gained
    again_s = CHECKPOINT_LOSS_S if run.checkpointable else run.age_s
    elsewhere_s = RESTART_S + (here_s + again_s) * speed
    pays = elsewhere_s < MOST_SHARE * here_s
    if pays and elsewhere_s < left_s < here_s:
        return Move(SLOW, here_s, elsewhere_s)
    return None


__all__ = ('SLOW', 'STALLED', 'Move', 'MoveReason', 'move_of')
