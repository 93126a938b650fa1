"""The jobs of a long backlog that a round of placement considers.

One round can't consider all waiting jobs of a long backlog. Besides the first
ones it considers a part of the others: if none of the first fits, one further
back may.
"""

from collections.abc import Sequence
from typing import Final

from curranthill.placement.jobs import ActiveJob

#: How many of the first waiting jobs one round considers: bounds the processor
#: time of a round under a backlog.
JOBS_PER_ROUND: Final = 200

#: How many of the other waiting jobs one round considers in addition.
LATER_JOBS_PER_ROUND: Final = 50


class BacklogCursor:
    """The position in the backlog at which the next round continues."""

    def __init__(self) -> None:
        """Initialize at the position after the first jobs."""
        self._position = 0

    def take(self, later: Sequence[ActiveJob]) -> Sequence[ActiveJob]:
        """Return the next part of the later jobs; wrap around at the end.

        :param later: the waiting jobs after the first ``JOBS_PER_ROUND``.
        """
        if self._position >= len(later):
            self._position = 0
        start = self._position
        self._position += LATER_JOBS_PER_ROUND
        return later[start : self._position]


__all__ = ('JOBS_PER_ROUND', 'LATER_JOBS_PER_ROUND', 'BacklogCursor')
