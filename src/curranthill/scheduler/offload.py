"""Moves of waiting jobs to data centres that have free capacity for them.

A job that may run here soon is not moved: it must have waited for a minimum
time, its workspace must be allowed to borrow and must have no unused guarantee
of its shape here, and the job must fit into one rack of the other data centre
according to the last known load there.
"""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple, Protocol

from curranthill.clock import Clock
from curranthill.jobs import accepting_data_centre
from curranthill.scheduler.state import SchedulerState, WaitingJob

#: How long a job waits here before it may be moved, in seconds.
MIN_WAIT_S: Final = 1.0

#: The same for a job that was moved here, which keeps it from moving back and
#: forth.
MOVED_MIN_WAIT_S: Final = 10.0

#: How long the slots of moved jobs count as taken at the neighbour, in seconds;
#: longer than its next load update takes.
RECENT_MOVE_S: Final = 3.0

#: The maximum number of jobs that one check moves.
MAX_MOVES: Final = 16


class Neighbour(Protocol):
    """The load that another data centre's active scheduler publishes."""

    @property
    def data_centre(self) -> str:
        """Return the data centre's name."""

    @property
    def free_slots(self) -> int:
        """Return its free slots."""

    @property
    def widest_free(self) -> int:
        """Return the free slots of its emptiest rack."""

    @property
    def waiting_slots(self) -> int:
        """Return the slots that its own waiting jobs need."""


class Move(NamedTuple):
    """The move of one job to another data centre."""

    job_id: str
    data_centre: str
    reason: str


class _RecentMove(NamedTuple):
    data_centre: str
    slots: int
    at_s: float


class Offload:
    """Chooses jobs to move to neighbours.

    :param neighbours: returns the region's other active schedulers.
    """

    def __init__(
        self,
        *,
        state: SchedulerState,
        clock: Clock,
        neighbours: Callable[[], Sequence[Neighbour]],
    ) -> None:
        """Initialize without recent moves."""
        self._state = state
        self._clock = clock
        self._neighbours = neighbours
        self._recent_moves: list[_RecentMove] = []

    def choose(self) -> list[Move]:
        """Return the moves to make, longest waiting jobs first."""
        now_s = self._clock.monotonic_s()
        self._recent_moves = [
            recent
            for recent in self._recent_moves
            if now_s - recent.at_s < RECENT_MOVE_S
        ]
        neighbours = self._neighbours()
        moves: list[Move] = []
        if not neighbours:
            return moves
        for waiting in sorted(self._state.queue, key=_waiting_since):
            if len(moves) >= MAX_MOVES:
                break
            if self._must_stay(waiting, now_s):
                continue
            neighbour = self._target_for(waiting, neighbours)
            if neighbour is not None:
                moves.append(self._make_move(waiting, neighbour, now_s))
        return moves

    def _must_stay(self, waiting: WaitingJob, now_s: float) -> bool:
        job = waiting.job
        unused_unit = self._state.plan.free_unit(job.workspace, job.shape)
        may_borrow = self._state.may_borrow.get(job.workspace, True)
        waited_s = now_s - waiting.since_s
        moved = accepting_data_centre(job.job_id) != job.home
        min_wait_s = MOVED_MIN_WAIT_S if moved else MIN_WAIT_S
        return (
            unused_unit is not None or not may_borrow or waited_s < min_wait_s
        )

    def _target_for(
        self,
        waiting: WaitingJob,
        neighbours: Sequence[Neighbour],
    ) -> Neighbour | None:
        slots = waiting.job.slots
        eligible = [
            (self._surplus(neighbour), neighbour)
            for neighbour in neighbours
            if neighbour.widest_free - self._recent_slots_to(neighbour) >= slots
        ]
        if not eligible:
            return None
        return max(eligible, key=_surplus_of)[1]

    def _surplus(self, neighbour: Neighbour) -> int:
        """Return the free slots that its own queue does not need."""
        taken = neighbour.waiting_slots + self._recent_slots_to(neighbour)
        return neighbour.free_slots - taken

    def _recent_slots_to(self, neighbour: Neighbour) -> int:
        return sum(
            recent.slots
            for recent in self._recent_moves
            if recent.data_centre == neighbour.data_centre
        )

    def _make_move(
        self,
        waiting: WaitingJob,
        neighbour: Neighbour,
        now_s: float,
    ) -> Move:
        job = waiting.job
        surplus = self._surplus(neighbour)
        self._recent_moves.append(
            _RecentMove(neighbour.data_centre, job.slots, now_s),
        )
        return Move(
            job_id=job.job_id,
            data_centre=neighbour.data_centre,
            reason=f'{surplus} slots left there, {job.slots} needed',
        )


def _waiting_since(waiting: WaitingJob) -> float:
    return waiting.since_s


def _surplus_of(candidate: tuple[int, Neighbour]) -> int:
    return candidate[0]


__all__ = ('Move', 'Neighbour', 'Offload')
