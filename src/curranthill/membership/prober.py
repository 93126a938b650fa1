"""Random probes that detect failed peers and disseminate updates (SWIM)."""

import hashlib
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from curranthill.application import Application
from curranthill.errors import PeerError
from curranthill.membership.messages import member_of, message_of
from curranthill.membership.view import LEFT, Member, View
from curranthill.protocol import Channels, PeerBase, inner_pb2
from curranthill.protocol.methods import probe_method, relay_method
from curranthill.settings import MembershipSettings

#: Maximum number of member updates in one probe or its reply.
UPDATES_PER_PROBE = 6

#: Peers that probe an unresponsive member before it is suspected.
RELAYS = 2

#: One in this many probes goes to another data centre.
REMOTE_PROBE_INTERVAL = 4


ContentSource = Callable[[int], inner_pb2.ConfigurationContent]


class Prober:
    """Probes random peers and applies the updates that they return.

    :param app: owns the tasks.
    :param view: the members that this process knows; probes update it.
    :param settings: intervals, timeouts and seed addresses.
    :param seed: of the random choice of peers, fixed in tests.
    """

    def __init__(
        self,
        *,
        app: Application,
        view: View,
        channels: Channels,
        settings: MembershipSettings,
        seed: int | None = None,
    ) -> None:
        """Initialize without probing anything."""
        self._app = app
        self._view = view
        self._channels = channels
        self._settings = settings
        self._random = random.Random(seed)  # noqa: S311
        self._round: list[str] = []
        self._probes = 0

    async def start(self) -> None:
        """Join through the seeds and probe periodically."""
        self._app.spawn(self._run(), name='probes')

    async def leave(self) -> None:
        """Announce to some peers that this process leaves."""
        self._view.update_own(status=LEFT)
        for member in self._random_local_peers(3):
            await self.probe(member.address)

    async def probe(self, address: str, *, full_view: bool = False) -> bool:
        """Probe an address; return whether it responded."""
        updates = self._view.take_updates(UPDATES_PER_PROBE)
        request = inner_pb2.ProbeRequest(
            sender=message_of(self._view.own),
            news=[message_of(member) for member in updates],
            full_view=full_view,
        )
        try:
            reply = await self._channels.call(
                address,
                probe_method,
                request,
                self._settings.probe_timeout_s,
            )
        except PeerError:
            return False
        apply_updates(self._view, (reply.answerer, *reply.news))
        return True

    def handle_probe(
        self,
        request: inner_pb2.ProbeRequest,
    ) -> inner_pb2.ProbeReply:
        """Apply the updates of a probe and return the reply with own ones."""
        is_new = self._view.get(request.sender.name) is None
        apply_updates(self._view, (request.sender, *request.news))
        if request.full_view or is_new:
            members = self._view.alive()
        else:
            members = self._view.take_updates(UPDATES_PER_PROBE)
        return inner_pb2.ProbeReply(
            answerer=message_of(self._view.own),
            news=[message_of(member) for member in members],
        )

    async def _run(self) -> None:
        while True:
            for seed in self._unknown_seeds():
                await self.probe(seed, full_view=True)
            await self._probe_next()
            self._view.expire(self._settings.suspicion_s)
            # Jitter keeps processes that started together from probing in step.
            jitter = self._random.uniform(0.9, 1.1)
            await self._app.clock.sleep(
                self._settings.probe_interval_s * jitter,
            )

    def _unknown_seeds(self) -> Sequence[str]:
        """Return the seeds to probe.

        A process without peers probes all seeds; with peers, every tenth round
        probes one that is not a known member.
        """
        known = {member.address for member in self._view.alive()}
        unknown = [seed for seed in self._settings.seeds if seed not in known]
        if len(known) > 1 and unknown:
            return unknown[:1] if self._probes % 10 == 0 else ()
        return unknown

    async def _probe_next(self) -> None:
        self._probes += 1
        target = self._next_target()
        if target is None or await self.probe(target.address):
            return
        if not await self.probe_indirectly(target):
            self._channels.close_channel(target.address)
            self._view.suspect(target.name)

    def _next_target(self) -> Member | None:
        """Return the next peer: each once per round, in random order."""
        if self._probes % REMOTE_PROBE_INTERVAL == 0:
            remote = self._remote_contacts()
            if remote:
                return self._random.choice(remote)
        while self._round:
            member = self._view.get(self._round.pop())
            if member is not None and member.is_reachable:
                return member
        own = self._view.own
        self._round = [
            member.name
            for member in self._view.alive(data_centre=own.data_centre)
            if member.name != own.name
        ]
        self._random.shuffle(self._round)
        return self._view.get(self._round.pop()) if self._round else None

    def _remote_contacts(self) -> list[Member]:
        contacts: list[Member] = []
        own = self._view.own
        by_data_centre: dict[str, list[Member]] = {}
        for member in self._view.alive():
            if member.data_centre != own.data_centre:
                by_data_centre.setdefault(member.data_centre, []).append(member)
        for members in by_data_centre.values():
            contacts.extend(
                _preferred_contacts(
                    own,
                    members,
                    self._settings.remote_contacts,
                ),
            )
        return contacts

    async def probe_indirectly(self, target: Member) -> bool:
        """Return whether another peer reaches an unresponsive member."""
        relays = [
            member
            for member in self._random_local_peers(RELAYS + 1)
            if member.name != target.name
        ]
        for relay in relays[:RELAYS]:
            try:
                reply = await self._channels.call(
                    relay.address,
                    relay_method,
                    inner_pb2.RelayRequest(address=target.address),
                    2 * self._settings.probe_timeout_s,
                )
            except PeerError:
                continue
            if reply.reached:
                return True
        return False

    def _random_local_peers(self, count: int) -> list[Member]:
        own = self._view.own
        peers = [
            member
            for member in self._view.alive(data_centre=own.data_centre)
            if member.name != own.name
        ]
        self._random.shuffle(peers)
        return peers[:count]


class PeerService(PeerBase):
    """Implements the inner protocol's ``Peer`` service.

    :param prober: handles probes.
    :param content: returns the configuration in force if it is above a
        revision.
    """

    def __init__(self, *, prober: Prober, content: ContentSource) -> None:
        """Initialize with the prober and the source of configurations."""
        self._prober = prober
        self._content = content

    async def Probe(self, stream: Any) -> None:  # noqa: N802
        """Respond to a probe."""
        request = await stream.recv_message()
        await stream.send_message(self._prober.handle_probe(request))

    async def Relay(self, stream: Any) -> None:  # noqa: N802
        """Probe another process on behalf of a peer."""
        request = await stream.recv_message()
        reached = await self._prober.probe(request.address)
        await stream.send_message(inner_pb2.RelayReply(reached=reached))

    async def FetchConfiguration(self, stream: Any) -> None:  # noqa: N802
        """Send the configuration in force if it is above a revision."""
        request = await stream.recv_message()
        await stream.send_message(self._content(request.above_revision))


def apply_updates(view: View, messages: Iterable[inner_pb2.Member]) -> None:
    """Apply the updates that a probe carried."""
    for message in messages:
        view.apply(member_of(message))


def _preferred_contacts(
    own: Member,
    members: list[Member],
    count: int,
) -> list[Member]:
    return sorted(
        members,
        key=lambda member: _rank(own.name, member.name),
    )[:count]


def _rank(own: str, other: str) -> int:
    """Return a rendezvous hash, so that processes prefer different contacts."""
    pair = f'{own} {other}'.encode()
    return int.from_bytes(hashlib.sha256(pair).digest()[:8])


__all__ = ('PeerService', 'Prober')
