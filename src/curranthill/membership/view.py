"""What one process believes of the others."""

from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

from loguru import logger

from curranthill.clock import Clock

ALIVE: Final = 0
SUSPECT: Final = 1
DEAD: Final = 2
LEFT: Final = 3

#: Each change is passed on this many times for each doubling of the view.
TRANSMIT_FACTOR: Final = 3

#: How long a dead or left member is kept, so that late news of it loses.
TOMBSTONE_S: Final = 60.0


class Load(NamedTuple):
    """How full the data centre is that a scheduler leads.

    :param widest_free: free slots of the rack that has most of them.
    :param waiting_slots: what the jobs in its queue ask for.
    """

    free_slots: int
    widest_free: int
    waiting_slots: int


class Member(NamedTuple):
    """One process.

    :param incarnation: raised by the process itself, to refute a suspicion
        or when it starts again; higher news wins.
    """

    name: str
    role: str
    data_centre: str
    address: str
    incarnation: int
    status: int = ALIVE
    revision: int = 0
    leading_epoch: int = 0
    free_slots: int = 0
    widest_free: int = 0
    waiting_slots: int = 0

    @property
    def is_reachable(self) -> bool:
        """Return whether the member counts as one to talk to."""
        return self.status in {ALIVE, SUSPECT}


Listener = Callable[[Member], None]


class View:
    """The members as this process knows them, and the news to pass on.

    :param own: this process's own entry.
    """

    def __init__(self, *, own: Member, clock: Clock) -> None:
        """Start knowing only this process."""
        self.own = own
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._changed_s: dict[str, float] = {}
        self._transmits_left: dict[str, int] = {}
        self._listeners: list[Listener] = []

    def __iter__(self) -> Iterator[Member]:
        """Yield the other members, the dead ones included."""
        return iter(list(self._members.values()))

    def get(self, name: str) -> Member | None:
        """Return a member by name; this process itself is one."""
        return self.own if name == self.own.name else self._members.get(name)

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each member that changes."""
        self._listeners.append(listener)

    def alive(self, role: str = '', data_centre: str = '') -> list[Member]:
        """Return the members that answer, this process included."""
        return [
            member
            for member in (self.own, *self._members.values())
            if member.is_reachable
            and role in {'', member.role}
            and data_centre in {'', member.data_centre}
        ]

    def update_own(
        self,
        *,
        revision: int | None = None,
        leading_epoch: int | None = None,
        status: int | None = None,
        load: Load | None = None,
    ) -> None:
        """Change this process's own entry and make it news."""
        asked = {
            'revision': revision,
            'leading_epoch': leading_epoch,
            'status': status,
        }
        changes: dict[str, Any] = {
            name: value for name, value in asked.items() if value is not None
        }
        if load is not None:
            changes |= load._asdict()
        own = self.own._replace(**changes)
        if own == self.own:
            return
        self.own = own._replace(incarnation=own.incarnation + 1)
        self._queue_update(own.name)

    def apply(self, told: Member) -> bool:
        """Take in news of a member; return whether it changed the view.

        Higher incarnations win; at the same one, the worse status wins.
        """
        if told.name == self.own.name:
            return self._refute(told)
        known = self._members.get(told.name)
        if known is not None and not _overrides(told, known):
            return False
        if known is None and not told.is_reachable:
            return False
        self._members[told.name] = told
        self._changed_s[told.name] = self._clock.monotonic_s()
        self._queue_update(told.name)
        if known is None or known.status != told.status:
            logger.bind(step='membership', peer=told.name).info(
                '{} is {}',
                told.name,
                ('alive', 'suspect', 'dead', 'left')[told.status],
            )
        for listener in self._listeners:
            listener(told)
        return True

    def suspect(self, name: str) -> None:
        """Doubt a member that did not answer."""
        member = self._members.get(name)
        if member is not None and member.status == ALIVE:
            self.apply(member._replace(status=SUSPECT))

    def expire(self, suspicion_s: float) -> None:
        """Declare long doubted members dead and drop old tombstones."""
        now_s = self._clock.monotonic_s()
        for member in self:
            age_s = now_s - self._changed_s[member.name]
            if member.status == SUSPECT and age_s >= suspicion_s:
                self.apply(member._replace(status=DEAD))
            elif not member.is_reachable and age_s >= TOMBSTONE_S:
                self._members.pop(member.name)
                self._changed_s.pop(member.name)
                self._transmits_left.pop(member.name, None)

    def take_updates(self, limit: int) -> list[Member]:
        """Return up to ``limit`` changes to pass on, the freshest first."""
        names = sorted(self._transmits_left, key=self._update_order)[:limit]
        news: list[Member] = []
        for name in names:
            member = self.get(name)
            self._transmits_left[name] -= 1
            if self._transmits_left[name] <= 0:
                self._transmits_left.pop(name)
            if member is not None:
                news.append(member)
        return news

    def _refute(self, told: Member) -> bool:
        if told.incarnation < self.own.incarnation:
            return False
        if told == self.own:
            return False
        # Somebody doubts this process, or an earlier run of it was better
        # known: a higher incarnation settles both.
        self.own = self.own._replace(incarnation=told.incarnation + 1)
        self._queue_update(self.own.name)
        return True

    def _queue_update(self, name: str) -> None:
        size = max(2, len(self._members) + 1)
        self._transmits_left[name] = TRANSMIT_FACTOR * size.bit_length()

    def _update_order(self, name: str) -> int:
        return -self._transmits_left[name]


def _overrides(told: Member, known: Member) -> bool:
    if told.incarnation != known.incarnation:
        return told.incarnation > known.incarnation
    return told.status > known.status


__all__ = ('ALIVE', 'DEAD', 'LEFT', 'SUSPECT', 'Load', 'Member', 'View')
