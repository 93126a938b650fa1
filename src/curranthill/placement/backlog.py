"""Which jobs of a long backlog a round looks at besides the first.

Answers more waiting jobs than one round can look at: none of the first may fit,
and one further back may.
"""

from collections.abc import Sequence
from typing import Final

from curranthill.placement.jobs import ActiveJob

#: How many waiting jobs one round looks at, the first in their order: bounds a
#: round's processor time under a backlog.
JOBS_PER_ROUND: Final = 200

#: How many of the others one round looks at besides.
LATER_JOBS_PER_ROUND: Final = 50


class BacklogCursor:
    """Where in the backlog the next round goes on."""

    def __init__(self) -> None:
        """Start right after the first jobs."""
        self._position = 0

    def take(self, later: Sequence[ActiveJob]) -> Sequence[ActiveJob]:
        """Return the next of the jobs that come after the first."""
        if self._position >= len(later):
            self._position = 0
        began = self._position
        self._position += LATER_JOBS_PER_ROUND
        return later[began : self._position]


__all__ = ('JOBS_PER_ROUND', 'LATER_JOBS_PER_ROUND', 'BacklogCursor')
