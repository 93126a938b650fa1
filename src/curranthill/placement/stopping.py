"""Which runs need no stop, as they end by themselves.

Answers urgent work that comes to a full cluster: a stop takes a while too, and
throws away all the work of a run that is nearly done.
"""

from typing import Final

from curranthill.placement.runs import (
    ALL_DONE_PERCENT,
    RUNNING,
    SHORTEST_STALL_S,
    Run,
)

#: A run that ends within so long is waited for, in seconds: a stop and its
#: report take as long.
ENDS_SOON_S: Final = 0.5


def ends_soon(run: Run) -> bool:
    """Return whether a run ends by itself as soon as a stop would end it.

    Only by what it reports, and only while that changes. A task with
    checkpoints loses next to nothing by a stop, and its percentage may count
    what an earlier run did.
    """
    if run.state != RUNNING or run.checkpointable or not run.done_percent:
        return False
    unchanged_s = run.started_s + run.age_s - run.percent_changed_s
    if unchanged_s >= SHORTEST_STALL_S:
        return False
    left_percent = ALL_DONE_PERCENT - run.done_percent
    return run.age_s * left_percent / run.done_percent <= ENDS_SOON_S


__all__ = ('ENDS_SOON_S', 'ends_soon')
