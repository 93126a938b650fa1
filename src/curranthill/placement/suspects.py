"""Tasks that are suspected of crashing their workers.

A task may crash each worker that runs it, and which task of a worker caused a
crash is unknown. So the suspects are started exclusively, where another crash
affects no other task, and never two of them on one worker.
"""

from typing import Final

from curranthill.tasks import TaskProgress

#: The number of losses of any kind that make a task a suspect. One is not
#: enough: each crash of a worker causes one for every task there.
SUSPECT_LOSSES: Final = 2

#: The share of a service's workers that suspects may use exclusively at a time,
#: rounded up. Other suspects start wherever they fit.
EXCLUSIVE_SHARE: Final = 0.5

#: How long a suspect waits for an empty worker, in seconds: together with the
#: start, its job has nothing running for less than the 3 s that callers may see
#: while most capacity is free.
EXCLUSIVE_MAX_WAIT_S: Final = 2.0

#: The same for a perpetual task, in seconds: its users wait meanwhile.
PERPETUAL_MAX_WAIT_S: Final = 0.5

#: The trial of a suspect, in seconds: after it other suspects of its job and
#: other tasks on its worker may start. Most crashes come sooner, and many
#: suspects are innocent and must not block others.
SUSPECT_TRIAL_S: Final = 5.0


def is_suspect(task: TaskProgress) -> bool:
    """Return whether a task is suspected of crashing its workers."""
    return bool(task.prompt_crashes) or task.losses >= SUSPECT_LOSSES


__all__ = (
    'EXCLUSIVE_MAX_WAIT_S',
    'EXCLUSIVE_SHARE',
    'PERPETUAL_MAX_WAIT_S',
    'SUSPECT_LOSSES',
    'SUSPECT_TRIAL_S',
    'is_suspect',
)
