"""Mechanisms of placement that can be switched off by name.

So that each can be measured: what a mechanism is worth is the difference
between the same load with and without it.
"""

from collections.abc import Iterable
from typing import Final

from curranthill.registry import Registry

#: Every mechanism that can be switched off -> what it is there for.
mechanisms: Final[Registry[str]] = Registry(concern='mechanism')

RESERVATION: Final = 'reservation'
RACK_PATIENCE: Final = 'rack-patience'
FAILURE_SCORE: Final = 'doubt'
BOUNDED_LOSS: Final = 'bounded-loss'
STALLED_MOVES: Final = 'stalled-moves'
INFEASIBLE_LAST: Final = 'hopeless-last'
IN_TIME_FIRST: Final = 'in-time-first'
SPEEDS: Final = 'speeds'
SLOW_MOVES: Final = 'slow-moves'
LOAD_SHEDDING: Final = 'turning-away'

mechanisms.register(RESERVATION)('A gang that does not fit keeps room.')
mechanisms.register(RACK_PATIENCE)('Tasks wait for the rack they run fast in.')
mechanisms.register(FAILURE_SCORE)(
    'Workers at which runs failed are taken last.'
)
mechanisms.register(BOUNDED_LOSS)('Uncovered urgent jobs stop little work.')
mechanisms.register(STALLED_MOVES)('Runs that stand still start elsewhere.')
mechanisms.register(INFEASIBLE_LAST)('Work of no more use to anyone goes last.')
mechanisms.register(IN_TIME_FIRST)(
    'What can be in time goes before what is late.'
)
mechanisms.register(SLOW_MOVES)('Runs leave workers found to be slow.')
mechanisms.register(SPEEDS)('Tasks start where they end in time.')
mechanisms.register(LOAD_SHEDDING)('Hosts refuse what waiting makes too late.')


#: The value of ``disabled`` when every mechanism is on.
NONE_DISABLED: Final[frozenset[str]] = frozenset()


def validate_mechanisms(names: Iterable[str]) -> frozenset[str]:
    """Return names of mechanisms.

    :raises SettingsError: if there is no such mechanism.
    """
    for name in names:
        mechanisms.get(name)
    return frozenset(names)


__all__ = (
    'NONE_DISABLED',
    'BOUNDED_LOSS',
    'FAILURE_SCORE',
    'INFEASIBLE_LAST',
    'IN_TIME_FIRST',
    'RACK_PATIENCE',
    'RESERVATION',
    'SLOW_MOVES',
    'SPEEDS',
    'STALLED_MOVES',
    'LOAD_SHEDDING',
    'validate_mechanisms',
    'mechanisms',
)
