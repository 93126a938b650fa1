"""Random probes that find silent peers and carry the news."""

import hashlib
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from curranthill.application import Application
from curranthill.errors import PeerError
from curranthill.membership.messages import member_of, message_of
from curranthill.membership.view import LEFT, Member, View
from curranthill.protocol import Channels, PeerBase, inner_pb2
from curranthill.protocol.calls import call_probe, call_relay
from curranthill.settings import MembershipSettings

#: Changes carried on one probe.
UPDATES_PER_PROBE = 6

#: Peers asked to reach a silent one before it is doubted.
RELAYS = 2

#: One probe in this many goes to another data centre.
REMOTE_PROBE_INTERVAL = 4


ContentSource = Callable[[int], inner_pb2.ConfigurationContent]


class Prober:
    """Probe random peers and take in what they tell.

    :param app: owns the tasks.
    :param view: what is believed; probes change it.
    :param settings: times and seeds.
    :param seed: for the choice of peers, fixed in tests.
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
        """Keep the parts; nothing is probed yet."""
        self._app = app
        self._view = view
        self._channels = channels
        self._settings = settings
        self._random = random.Random(seed)  # noqa: S311
        self._round: list[str] = []
        self._probes = 0

    async def start(self) -> None:
        """Join by the seeds and probe from then on."""
        self._app.spawn(self._run(), name='probes')

    async def leave(self) -> None:
        """Tell some peers that this process leaves."""
        self._view.update_own(status=LEFT)
        for member in self._nearest(3):
            await self.probe(member.address)

    async def probe(self, address: str, *, full_view: bool = False) -> bool:
        """Probe one address; return whether it answered."""
        news = self._view.take_updates(UPDATES_PER_PROBE)
        request = inner_pb2.ProbeRequest(
            sender=message_of(self._view.own),
            news=[message_of(member) for member in news],
            full_view=full_view,
        )
        try:
            reply = await self._channels.call(
                address,
                call_probe,
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
        """Take in a probe and answer with news of our own."""
        newcomer = self._view.get(request.sender.name) is None
        apply_updates(self._view, (request.sender, *request.news))
        if request.full_view or newcomer:
            members = self._view.alive()
        else:
            members = self._view.take_updates(UPDATES_PER_PROBE)
        return inner_pb2.ProbeReply(
            answerer=message_of(self._view.own),
            news=[message_of(member) for member in members],
        )

    async def _run(self) -> None:
        while True:
            for seed in self._lost_seeds():
                await self.probe(seed, full_view=True)
            await self._probe_next()
            self._view.expire(self._settings.suspicion_s)
            # Jitter keeps a data centre that starts at once from marching.
            jitter = self._random.uniform(0.9, 1.1)
            await self._app.clock.sleep(
                self._settings.probe_interval_s * jitter,
            )

    def _lost_seeds(self) -> Sequence[str]:
        """Return seeds to try: all when alone, else one now and then."""
        known = {member.address for member in self._view.alive()}
        lost = [seed for seed in self._settings.seeds if seed not in known]
        if len(known) > 1 and lost:
            return lost[:1] if self._probes % 10 == 0 else ()
        return lost

    async def _probe_next(self) -> None:
        self._probes += 1
        target = self._next_target()
        if target is None or await self.probe(target.address):
            return
        if not await self.probe_indirectly(target):
            self._channels.forget(target.address)
            self._view.suspect(target.name)

    def _next_target(self) -> Member | None:
        """Return the next peer: each of a round once, in random order."""
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
        by_place: dict[str, list[Member]] = {}
        for member in self._view.alive():
            if member.data_centre != own.data_centre:
                by_place.setdefault(member.data_centre, []).append(member)
        for members in by_place.values():
            contacts.extend(
                _nearest_by_rank(own, members, self._settings.remote_contacts),
            )
        return contacts

    async def probe_indirectly(self, target: Member) -> bool:
        """Return whether a third process reaches a silent one."""
        helpers = [
            member
            for member in self._nearest(RELAYS + 1)
            if member.name != target.name
        ]
        for helper in helpers[:RELAYS]:
            try:
                reply = await self._channels.call(
                    helper.address,
                    call_relay,
                    inner_pb2.RelayRequest(address=target.address),
                    2 * self._settings.probe_timeout_s,
                )
            except PeerError:
                continue
            if reply.reached:
                return True
        return False

    def _nearest(self, count: int) -> list[Member]:
        own = self._view.own
        peers = [
            member
            for member in self._view.alive(data_centre=own.data_centre)
            if member.name != own.name
        ]
        self._random.shuffle(peers)
        return peers[:count]


class PeerService(PeerBase):
    """Answer probes, relays and requests for the configuration.

    :param prober: takes probes in.
    :param content: gives the configuration in force, above a revision.
    """

    def __init__(self, *, prober: Prober, content: ContentSource) -> None:
        """Keep the parts."""
        self._prober = prober
        self._content = content

    async def Probe(self, stream: Any) -> None:  # noqa: N802
        """Answer a probe."""
        request = await stream.recv_message()
        await stream.send_message(self._prober.handle_probe(request))

    async def Relay(self, stream: Any) -> None:  # noqa: N802
        """Probe a third process for a peer."""
        request = await stream.recv_message()
        reached = await self._prober.probe(request.address)
        await stream.send_message(inner_pb2.RelayReply(reached=reached))

    async def FetchConfiguration(self, stream: Any) -> None:  # noqa: N802
        """Send the configuration in force, if it is above the asked one."""
        request = await stream.recv_message()
        await stream.send_message(self._content(request.above_revision))


def apply_updates(view: View, messages: Iterable[inner_pb2.Member]) -> None:
    """Take in the news of a probe."""
    for message in messages:
        view.apply(member_of(message))


def _nearest_by_rank(
    own: Member,
    members: list[Member],
    count: int,
) -> list[Member]:
    return sorted(
        members,
        key=lambda member: _rank(own.name, member.name),
    )[:count]


def _rank(own: str, other: str) -> int:
    """Rendezvous rank: each process prefers other contacts than the next."""
    pair = f'{own} {other}'.encode()
    return int.from_bytes(hashlib.sha256(pair).digest()[:8])


__all__ = ('PeerService', 'Prober')
