"""Tasks that may be what crashes their workers, and how they are started.

Answers tasks that crash each worker that starts them: nobody can tell which
of a worker's tasks did it, so those that may have are started where a further
crash hits nobody else, and never two of them side by side.
"""

from typing import Final

from curranthill.tasks import TaskProgress

#: Losses of any kind from which on a task is a suspect; one alone is what
#: every crash of a worker leaves of all tasks there.
SUSPECT_LOSSES: Final = 2

#: The share of a service's workers that suspects may have for themselves at
#: one moment, rounded up. Others start where there is room.
EXCLUSIVE_SHARE: Final = 0.5

#: How long a suspect waits for a worker of its own, in seconds: with its start
#: it has nothing running for less than the 3 s that callers may see while most
#: room is free.
EXCLUSIVE_MAX_WAIT_S: Final = 2.0

#: The same for a task that lasts, in seconds: its users wait meanwhile.
PERPETUAL_MAX_WAIT_S: Final = 0.5

#: A suspect that has worked for so long holds up neither another one of its job
#: nor others that its worker has room for, in seconds: most crashes come
#: sooner, and many innocent ones must go on.
SUSPECT_TRIAL_S: Final = 5.0


def is_suspect(task: TaskProgress) -> bool:
    """Return whether a task may be what crashed its workers."""
    return bool(task.prompt_crashes) or task.losses >= SUSPECT_LOSSES


__all__ = (
    'EXCLUSIVE_MAX_WAIT_S',
    'EXCLUSIVE_SHARE',
    'PERPETUAL_MAX_WAIT_S',
    'SUSPECT_LOSSES',
    'SUSPECT_TRIAL_S',
    'is_suspect',
)
