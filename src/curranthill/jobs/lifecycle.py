"""Which change of state a job may make, by ``transitions``."""

from functools import cache
from typing import Any, Final, cast, get_args

from transitions import Machine

from curranthill.errors import CurranthillError
from curranthill.jobs.records import JobState

_OPEN: Final = ['accepted', 'reserved', 'marked', 'running', 'preempted']

_CHANGES: Final[list[Any]] = [
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

# One machine without a model serves every job: it is asked, never driven.
_machine: Final = Machine(
    model=None,
    states=list(get_args(JobState)),
    transitions=_CHANGES,
    initial='accepted',
    auto_transitions=False,
)


class InvalidTransitionError(CurranthillError):
    """A job was asked to make a change that its state does not allow."""


@cache
def next_state(state: JobState, change: str) -> JobState:
    """Return the state after a change.

    :raises InvalidTransitionError: if the state does not allow the change.
    """
    found = _machine.get_transitions(trigger=change, source=state)
    if not found:
        raise InvalidTransitionError(
            f'A job that is {state} cannot {change}.',
            step=change,
        )
    return cast(JobState, found[0].dest)


__all__ = ('InvalidTransitionError', 'next_state')
