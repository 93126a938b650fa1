"""On which workers an attempt of a task may be spent.

Answers workers that fail what they start while all others are busy: those
that are free are then just the ones whose runs ended early, and a task placed
on one after the other has soon used up its attempts.
"""

import math
from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

from curranthill.placement.doubts import (
    DOUBTED,
    PROVEN,
    UNPROVEN,
    Trust,
)
from curranthill.placement.jobs import ActiveJob, ReadyStep
from curranthill.placement.order import is_urgent
from curranthill.placement.rooms import Room
from curranthill.tasks import TaskKey

#: How long an attempt waits for a trusted worker at most, in seconds: workers
#: that fail what they start are mostly sound again by then.
BUSY_PATIENCE_S: Final = 10.0

#: The same while most of them stand idle and no wave is on, in seconds: nobody
#: else needs the room, and callers see their job make no progress.
IDLE_PATIENCE_S: Final = 2.0

#: The share of a service's room in use from which on it is busy.
BUSY_SHARE: Final = 0.5

#: How long the last attempt waits after a failure at least, in seconds: workers
#: that fail together are found out by the starts of so long.
BACKOFF_S: Final = 1.0

#: Whom any attempt is given to, and the last one of a task that failed.
_NOT_ON_TRIAL: Final[frozenset[Trust]] = frozenset((PROVEN, UNPROVEN, DOUBTED))
_UNDOUBTED: Final[frozenset[Trust]] = frozenset((PROVEN, UNPROVEN))
_PROVEN: Final[frozenset[Trust]] = frozenset((PROVEN,))
_NOBODY: Final[frozenset[Trust]] = frozenset()

#: Rooms in groups, the best group first.
Groups = Sequence[Sequence[Room]]


class Attempt(NamedTuple):
    """What matters of the next attempt of some tasks.

    :param left: how many attempts the task that has the fewest may spend.
    :param risky: whether there is a wave of failures.
    :param wary: whether there was one of late, or is.
    :param failed_on: the workers on which they have failed.
    :param waited_s: how long room was turned down for it.
    :param patience_s: how long that may go on; 0 if it may not wait.
    """

    left: float
    risky: bool
    wary: bool
    failed_on: frozenset[str]
    waited_s: float
    patience_s: float

    @property
    def waits(self) -> bool:
        """Return whether it still waits for trusted workers.

        A time of day that was set back ends the wait.
        """
        return 0 <= self.waited_s < self.patience_s

    @property
    def trusted(self) -> frozenset[Trust]:
        """Return the workers that do for it, by how far they are trusted."""
        if self._sits_out:
            return _NOBODY
        if self.left > 1:
            return _NOT_ON_TRIAL
        return _PROVEN if self.wary else _UNDOUBTED

    @property
    def _sits_out(self) -> bool:
        """Return whether it waits for the end of a wave of failures.

        The last attempt after a failure waits a while to see if there is one.
        """
        new = bool(self.failed_on) and self.waited_s < BACKOFF_S
        return self.left <= 1 and (self.risky or new)

    def admits(self, room: Room) -> bool:
        """Return whether it may be spent on a worker while it can wait."""
        if room.trust not in self.trusted:
            return False
        return room.entry.worker_id not in self.failed_on


def attempt_of(
    job: ActiveJob,
    ready: ReadyStep,
    *,
    now_s: float,
    patience_s: float,
    risky: bool,
    wary: bool,
) -> Attempt:
    """Return the next attempt of tasks that :func:`by_failures` keeps together.

    :param now_s: wall-clock seconds.
    :param patience_s: how long any attempt may wait.
    """
    first = ready.tasks[0]
    left = attempts_left(job, ready)
    return Attempt(
        left=left,
        risky=risky,
        wary=wary,
        failed_on=job.failed_on(first),
        waited_s=job.turned_down_for_s(first, now_s),
        patience_s=patience_s,
    )


def attempts_left(job: ActiveJob, ready: ReadyStep) -> float:
    """Return how many attempts the task that has the fewest may spend."""
    if ready.step.perpetual:
        return math.inf
    failures = max(job.failures_of(key) for key in ready.tasks)
    return job.spec.queue.attempts - failures


def by_failures(job: ActiveJob, ready: ReadyStep) -> Iterator[ReadyStep]:
    """Yield a step's tasks apart by where they have failed; a gang whole."""
    if not job.any_failed or ready.step.gang:
        yield ready
        return
    together: dict[tuple[int, frozenset[str]], list[TaskKey]] = {}
    for key in ready.tasks:
        alike = (job.failures_of(key), job.failed_on(key))
        together.setdefault(alike, []).append(key)
    for tasks in together.values():
        yield ready._replace(tasks=tuple(tasks))


def may_try(job: ActiveJob, ready: ReadyStep) -> bool:
    """Return whether tasks may show what workers on trial do, one on each.

    Urgent ones and members of a gang have more to lose than one attempt.
    """
    step = ready.step
    if is_urgent(job) or step.perpetual or step.same_rack or ready.alone:
        return False
    if step.gang and step.width > 1:
        return False
    failed = any(job.failures_of(key) for key in ready.tasks)
    return not failed and job.spec.queue.attempts > 1


def trusted_groups(attempt: Attempt, groups: Groups) -> list[list[Room]]:
    """Return the rooms that an attempt may be spent on."""
    trusted = attempt.trusted
    if not attempt.failed_on:
        return [
            [room for room in group if room.trust in trusted]
            for group in groups
        ]
    return [
        [room for room in group if attempt.admits(room)] for group in groups
    ]


def proven_groups(groups: Groups) -> list[list[Room]]:
    """Return the rooms of workers that have held a start of late."""
    return [
        [room for room in group if room.trust == PROVEN] for group in groups
    ]


def away_from(racks: frozenset[str], groups: Groups) -> list[list[Room]]:
    """Return the rooms in other racks than some."""
    return [
        [room for room in group if room.entry.rack not in racks]
        for group in groups
    ]


def is_busy(rooms: Sequence[Room]) -> bool:
    """Return whether most of the rooms of a service are in use."""
    whole = sum(room.entry.room.weight_cores for room in rooms)
    free = sum(max(room.free.weight_cores, 0) for room in rooms)
    return whole - free >= BUSY_SHARE * whole


__all__ = (
    'BUSY_PATIENCE_S',
    'IDLE_PATIENCE_S',
    'Attempt',
    'Groups',
    'attempt_of',
    'attempts_left',
    'away_from',
    'by_failures',
    'is_busy',
    'may_try',
    'proven_groups',
    'trusted_groups',
)
