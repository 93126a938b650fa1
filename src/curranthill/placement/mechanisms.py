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
DOUBT: Final = 'doubt'
ATTEMPT_CARE: Final = 'attempt-care'
BOUNDED_LOSS: Final = 'bounded-loss'
STALLED_MOVES: Final = 'stalled-moves'

mechanisms.register(RESERVATION)('A gang that does not fit keeps room.')
mechanisms.register(RACK_PATIENCE)('Tasks wait for the rack they run fast in.')
mechanisms.register(DOUBT)('Workers at which runs failed are taken last.')
mechanisms.register(ATTEMPT_CARE)('Attempts are spent on trusted workers.')
mechanisms.register(BOUNDED_LOSS)('Uncovered urgent jobs stop little work.')
mechanisms.register(STALLED_MOVES)('Runs that stand still start elsewhere.')


#: The value of ``without`` when nothing is switched off.
ALL_ON: Final[frozenset[str]] = frozenset()


def checked(names: Iterable[str]) -> frozenset[str]:
    """Return names of mechanisms.

    :raises SettingsError: if there is no such mechanism.
    """
    for name in names:
        mechanisms.get(name)
    return frozenset(names)


__all__ = (
    'ALL_ON',
    'ATTEMPT_CARE',
    'BOUNDED_LOSS',
    'DOUBT',
    'RACK_PATIENCE',
    'RESERVATION',
    'STALLED_MOVES',
    'checked',
    'mechanisms',
)
