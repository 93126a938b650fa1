"""Mechanisms of placement that can be disabled by name.

This allows measuring each: its benefit is the difference between the results
of the same load with and without it.
"""

from collections.abc import Iterable
from typing import Final

from curranthill.registry import Registry

#: The mechanisms by name, with a description of each.
mechanisms: Final[Registry[str]] = Registry(concern='mechanism')

RESERVATION: Final = 'reservation'
RACK_WAIT: Final = 'rack-patience'
FAILURE_SCORE: Final = 'doubt'
BOUNDED_LOSS: Final = 'bounded-loss'
STOP_COSTS: Final = 'stop-costs'
BOUNDED_STOPS: Final = 'bounded-stops'
AWAITED_ENDS: Final = 'awaited-ends'
STALLED_MOVES: Final = 'stalled-moves'
INFEASIBLE_LAST: Final = 'hopeless-last'
IN_TIME_FIRST: Final = 'in-time-first'
SPEEDS: Final = 'speeds'
SLOW_MOVES: Final = 'slow-moves'
LOAD_SHEDDING: Final = 'turning-away'

mechanisms.register(RESERVATION)('A gang that does not fit reserves capacity.')
mechanisms.register(RACK_WAIT)(
    'Tasks wait for the rack in which they run fast.'
)
mechanisms.register(FAILURE_SCORE)(
    'Workers with recent failures are chosen last.'
)
mechanisms.register(BOUNDED_LOSS)(
    'Urgent jobs without a guarantee evict little work.'
)
mechanisms.register(STOP_COSTS)(
    'Jobs that were stopped before, or would be late, are stopped last.'
)
mechanisms.register(BOUNDED_STOPS)(
    'Urgent jobs without a guarantee stop a task only a few times.'
)
mechanisms.register(AWAITED_ENDS)(
    'Urgent jobs without a guarantee wait for runs that end at once.'
)
mechanisms.register(STALLED_MOVES)('Stalled runs are restarted elsewhere.')
mechanisms.register(INFEASIBLE_LAST)(
    'Jobs that can earn no credit are served last.'
)
mechanisms.register(IN_TIME_FIRST)(
    'Jobs that can be in time are served before late ones.'
)
mechanisms.register(SLOW_MOVES)('Runs are moved off slow workers.')
mechanisms.register(SPEEDS)('Tasks start on workers on which they end in time.')
mechanisms.register(LOAD_SHEDDING)(
    'Hosts refuse jobs whose wait makes them too late.'
)


#: The value of ``disabled`` when every mechanism is on.
NONE_DISABLED: Final[frozenset[str]] = frozenset()


def validate_mechanisms(names: Iterable[str]) -> frozenset[str]:
    """Return the names of mechanisms as a set, after checking each.

    :raises SettingsError: if there is no mechanism of such a name.
    """
    for name in names:
        mechanisms.get(name)
    return frozenset(names)


__all__ = (
    'AWAITED_ENDS',
    'BOUNDED_LOSS',
    'BOUNDED_STOPS',
    'FAILURE_SCORE',
    'INFEASIBLE_LAST',
    'IN_TIME_FIRST',
    'LOAD_SHEDDING',
    'NONE_DISABLED',
    'RACK_WAIT',
    'RESERVATION',
    'SLOW_MOVES',
    'SPEEDS',
    'STALLED_MOVES',
    'STOP_COSTS',
    'mechanisms',
    'validate_mechanisms',
)
