"""Jobs that wait here while another data centre has room for them now.

Nothing goes away that may still run here soon: a job is given away only
after it has waited, if no guarantee of its own restores it here, and if its
shape fits the other place as that place was last heard of.
"""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple, Protocol

from curranthill.clock import Clock
from curranthill.jobs import accepting_data_centre
from curranthill.scheduler.board import Board, Waiting

#: How long a job waits here before another place is considered, in seconds.
PATIENCE_S: Final = 1.0

#: The same for a job that came from elsewhere, lest it go to and fro.
MOVED_PATIENCE_S: Final = 10.0

#: How long a place counts as fuller by what was sent there, in seconds;
#: longer than its next news takes.
MEMORY_S: Final = 3.0

#: Jobs given away in one look.
MOST: Final = 16


class Neighbour(Protocol):
    """What is heard of another data centre's active scheduler."""

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
        """Return what its own queue asks for."""


class Move(NamedTuple):
    """One job that goes to another data centre."""

    job_id: str
    data_centre: str
    reason: str


class _Sent(NamedTuple):
    data_centre: str
    slots: int
    at_s: float


class Offload:
    """Choose jobs to give to neighbours.

    :param neighbours: returns the region's other active schedulers.
    """

    def __init__(
        self,
        *,
        board: Board,
        clock: Clock,
        neighbours: Callable[[], Sequence[Neighbour]],
    ) -> None:
        """Start with nothing sent."""
        self._board = board
        self._clock = clock
        self._neighbours = neighbours
        self._sent: list[_Sent] = []

    def choose(self) -> list[Move]:
        """Return the jobs that should go, the longest waiting first."""
        now_s = self._clock.monotonic_s()
        self._sent = [
            sent for sent in self._sent if now_s - sent.at_s < MEMORY_S
        ]
        places = self._neighbours()
        moves: list[Move] = []
        if not places:
            return moves
        for waiting in sorted(self._board.queue, key=_age):
            if len(moves) >= MOST:
                break
            if self._stays(waiting, now_s):
                continue
            place = self._place_for(waiting, places)
            if place is not None:
                moves.append(self._send(waiting, place, now_s))
        return moves

    def _stays(self, waiting: Waiting, now_s: float) -> bool:
        job = waiting.job
        entitled = self._board.plan.free_unit(job.workspace, job.shape)
        may_borrow = self._board.may_borrow.get(job.workspace, True)
        waited_s = now_s - waiting.since_s
        moved = accepting_data_centre(job.job_id) != job.home
        patience_s = MOVED_PATIENCE_S if moved else PATIENCE_S
        return entitled is not None or not may_borrow or waited_s < patience_s

    def _place_for(
        self,
        waiting: Waiting,
        places: Sequence[Neighbour],
    ) -> Neighbour | None:
        slots = waiting.job.slots
        able = [
            (self._left(place), place)
            for place in places
            if place.widest_free - self._sent_to(place) >= slots
        ]
        if not able:
            return None
        return max(able, key=_most_left)[1]

    def _left(self, place: Neighbour) -> int:
        """Return the slots that its own queue does not ask for either."""
        taken = place.waiting_slots + self._sent_to(place)
        return place.free_slots - taken

    def _sent_to(self, place: Neighbour) -> int:
        return sum(
            sent.slots
            for sent in self._sent
            if sent.data_centre == place.data_centre
        )

    def _send(self, waiting: Waiting, place: Neighbour, now_s: float) -> Move:
        job = waiting.job
        left = self._left(place)
        self._sent.append(_Sent(place.data_centre, job.slots, now_s))
        return Move(
            job_id=job.job_id,
            data_centre=place.data_centre,
            reason=f'{left} slots left there, {job.slots} needed',
        )


def _age(waiting: Waiting) -> float:
    return waiting.since_s


def _most_left(place: tuple[int, Neighbour]) -> int:
    return place[0]


__all__ = ('Move', 'Neighbour', 'Offload')
