"""The state machine of a job, built with ``transitions``."""

from functools import cache
from typing import Any, Final, cast, get_args

from transitions import Machine

from curranthill.errors import CurranthillError
from curranthill.jobs.records import JobState

_OPEN: Final = ['accepted', 'reserved', 'marked', 'running', 'preempted']

_TRANSITIONS: Final[list[Any]] = [
    ['reserve', 'accepted', 'reserved'],
    ['give_back', ['reserved', 'marked'], 'accepted'],
    ['mark', 'reserved', 'marked'],
    ['start', 'marked', 'running'],
    ['finish', ['marked', 'running'], 'finished'],
    ['fail', _OPEN, 'failed'],
    ['cancel', _OPEN, 'cancelled'],
    ['preempt', ['marked', 'running'], 'preempted'],
    ['requeue', ['marked', 'running', 'preempted'], 'accepted'],
    ['lose', ['marked', 'running'], 'unknown'],
]

# One machine without a model serves all jobs: it only looks up transitions, and
# the state itself is stored in the job.
_machine: Final = Machine(
    model=None,
    states=list(get_args(JobState)),
    transitions=_TRANSITIONS,
    initial='accepted',
    auto_transitions=False,
)


class InvalidTransitionError(CurranthillError):
    """A transition is not allowed in the current state of a job."""


@cache
def next_state(state: JobState, trigger: str) -> JobState:
    """Return the state after a transition.

    :param trigger: the name of the transition.
    :raises InvalidTransitionError: if the state does not allow it.
    """
    found = _machine.get_transitions(trigger=trigger, source=state)
    if not found:
        raise InvalidTransitionError(
            f'Transition {trigger} is not allowed from state {state}.',
            step=trigger,
        )
    return cast(JobState, found[0].dest)


__all__ = ('InvalidTransitionError', 'next_state')
