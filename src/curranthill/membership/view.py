"""One process's view of the members, with SWIM's update rules."""

from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

from loguru import logger

from curranthill.clock import Clock

ALIVE: Final = 0
SUSPECT: Final = 1
DEAD: Final = 2
LEFT: Final = 3

#: Each update is sent this many times per doubling of the number of members.
TRANSMIT_FACTOR: Final = 3

#: How long a dead or left member is kept, in seconds, so that a late update
#: does not revive it.
TOMBSTONE_S: Final = 60.0


class Load(NamedTuple):
    """The load of the data centre that a scheduler leads.

    :param widest_free: free slots of the rack that has the most.
    :param waiting_slots: slots that the jobs in its queue request.
    """

    free_slots: int
    widest_free: int
    waiting_slots: int


class Member(NamedTuple):
    """A process and its state.

    :param incarnation: incremented by the process itself to refute a
        suspicion, and higher after a restart; higher ones take precedence.
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
        """Return whether the member is alive or only suspected."""
        return self.status in {ALIVE, SUSPECT}


Listener = Callable[[Member], None]


class View:
    """The members that a process knows, and the updates to disseminate.

    :param own: the entry of this process itself.
    """

    def __init__(self, *, own: Member, clock: Clock) -> None:
        """Initialize with this process as the only member."""
        self.own = own
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._changed_s: dict[str, float] = {}
        self._transmits_left: dict[str, int] = {}
        self._listeners: list[Listener] = []

    def __iter__(self) -> Iterator[Member]:
        """Yield the other members, including dead ones."""
        return iter(list(self._members.values()))

    def get(self, name: str) -> Member | None:
        """Return a member by name; this process is a member too."""
        return self.own if name == self.own.name else self._members.get(name)

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with each member that changes."""
        self._listeners.append(listener)

    def alive(self, role: str = '', data_centre: str = '') -> list[Member]:
        """Return the reachable members, including this process.

        :param role: only members of this role, if not empty.
        :param data_centre: only members there, if not empty.
        """
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
        """Change the entry of this process and disseminate it."""
        given = {
            'revision': revision,
            'leading_epoch': leading_epoch,
            'status': status,
        }
        changes: dict[str, Any] = {
            name: value for name, value in given.items() if value is not None
        }
        if load is not None:
            changes |= load._asdict()
        own = self.own._replace(**changes)
        if own == self.own:
            return
        self.own = own._replace(incarnation=own.incarnation + 1)
        self._queue_update(own.name)

    def apply(self, update: Member) -> bool:
        """Apply an update of a member; return whether it changed the view.

        The higher incarnation wins; at the same one, the worse status wins.
        """
        if update.name == self.own.name:
            return self._refute(update)
        known = self._members.get(update.name)
        if known is not None and not _overrides(update, known):
            return False
        if known is None and not update.is_reachable:
            return False
        self._members[update.name] = update
        self._changed_s[update.name] = self._clock.monotonic_s()
        self._queue_update(update.name)
        if known is None or known.status != update.status:
            logger.bind(step='membership', peer=update.name).info(
                '{} is {}',
                update.name,
                ('alive', 'suspect', 'dead', 'left')[update.status],
            )
        for listener in self._listeners:
            listener(update)
        return True

    def suspect(self, name: str) -> None:
        """Suspect a member that did not respond."""
        member = self._members.get(name)
        if member is not None and member.status == ALIVE:
            self.apply(member._replace(status=SUSPECT))

    def expire(self, suspicion_s: float) -> None:
        """Declare members dead that were suspected for long; drop tombstones.

        :param suspicion_s: how long a member is suspected first, in seconds.
        """
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
        """Return up to ``limit`` updates to send, the least sent ones first."""
        names = sorted(self._transmits_left, key=self._update_order)[:limit]
        updates: list[Member] = []
        for name in names:
            member = self.get(name)
            self._transmits_left[name] -= 1
            if self._transmits_left[name] <= 0:
                self._transmits_left.pop(name)
            if member is not None:
                updates.append(member)
        return updates

    def _refute(self, update: Member) -> bool:
        if update.incarnation < self.own.incarnation:
            return False
        if update == self.own:
            return False
        # Another member suspects this process, or knows a later incarnation of
        # it from before a restart: a higher incarnation overrides both.
        self.own = self.own._replace(incarnation=update.incarnation + 1)
        self._queue_update(self.own.name)
        return True

    def _queue_update(self, name: str) -> None:
        size = max(2, len(self._members) + 1)
        self._transmits_left[name] = TRANSMIT_FACTOR * size.bit_length()

    def _update_order(self, name: str) -> int:
        return -self._transmits_left[name]


def _overrides(update: Member, known: Member) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return update.status > known.status


__all__ = ('ALIVE', 'DEAD', 'LEFT', 'SUSPECT', 'Load', 'Member', 'View')
