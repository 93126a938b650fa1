"""For how long a gang may keep room that it does not get.

Answers runs that outlast their estimates or stand still: the gang that waits
for them would keep room from others for as long. It keeps room for a while
that its wait asks for, then leaves it to others for as long, and so on.
"""

from typing import Final, NamedTuple

#: The shortest time for which a gang keeps room, in seconds.
SHORTEST_TURN_S: Final = 5.0

#: A gang keeps room for so many times what is left of the runs that it waits
#: for, by their estimates: some take longer.
TURN_FACTOR: Final = 2.0

#: The occurrence and the number of a step.
_Place = tuple[int, int]


class _Turn(NamedTuple):
    """A time for which room is kept; a pause as long follows.

    :param since_s: its start, in wall-clock seconds.
    """

    since_s: float
    length_s: float

    def is_past(self, now_s: float) -> bool:
        """Return whether the pause is over too.

        A start in the future is that of a clock that was set back.
        """
        age_s = now_s - self.since_s
        return age_s < 0 or age_s >= 2 * self.length_s


class ReservationTurns:
    """The turns of one job's gangs."""

    def __init__(self) -> None:
        """Start with no room kept."""
        self._turns: dict[_Place, _Turn] = {}

    def may_keep(self, place: _Place, now_s: float, wait_s: float) -> bool:
        """Return whether a step may keep room now.

        :param wait_s: how long the step waits for that room, by estimates.
        """
        turn = self._turns.get(place)
        if turn is None or turn.is_past(now_s):
            length_s = max(SHORTEST_TURN_S, TURN_FACTOR * wait_s)
            turn = _Turn(now_s, length_s)
            self._turns[place] = turn
        return now_s - turn.since_s < turn.length_s


__all__ = ('SHORTEST_TURN_S', 'TURN_FACTOR', 'ReservationTurns')
