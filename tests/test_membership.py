"""Tests of gossip membership: updates, suspicion, restarts and peer keys."""

import asyncio
import unittest
from typing import Any

from grpclib.exceptions import GRPCError
from hypothesis import given
from hypothesis import strategies as st

from curranthill.application import Application
from curranthill.errors import PeerError
from curranthill.membership import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Member,
    PeerService,
    Prober,
    View,
)
from curranthill.membership.notify import Notifier
from curranthill.protocol import Channels, InnerServer, inner_pb2
from curranthill.protocol.methods import probe_method
from curranthill.settings import MembershipSettings
from tests.support import ManualClock, run, run_until_idle

_UPDATE = st.builds(
    Member,
    name=st.sampled_from(['a', 'b']),
    role=st.just('gateway'),
    data_centre=st.just('dc'),
    address=st.sampled_from(['1:1', '1:2']),
    incarnation=st.integers(min_value=1, max_value=4),
    status=st.sampled_from([ALIVE, SUSPECT, DEAD, LEFT]),
)


def member(name: str, **fields: Any) -> Member:
    """Return a member with common fields."""
    known: dict[str, Any] = {
        'role': 'gateway',
        'data_centre': 'dc',
        'address': f'{name}:1',
        'incarnation': 1,
    }
    return Member(name=name, **(known | fields))


def make_view(clock: ManualClock | None = None) -> View:
    """Return a view with itself as the only member."""
    return View(own=member('me'), clock=clock or ManualClock())


class ViewTest(unittest.TestCase):
    """Members of a view after updates in any order."""

    @given(st.lists(_UPDATE, max_size=12), st.randoms(use_true_random=False))
    def test_order_does_not_matter(self, updates: Any, source: Any) -> None:
        """Two views that get the same updates end at the same status."""
        shuffled = list(updates)
        source.shuffle(shuffled)
        first, second = make_view(), make_view()
        for view, received in ((first, updates), (second, shuffled)):
            for name in ('a', 'b'):
                view.apply(member(name, address='1:1', incarnation=0))
            for one in received:
                view.apply(one)
        for name in ('a', 'b'):
            one, two = first.get(name), second.get(name)
            assert one is not None
            assert two is not None
            self.assertEqual(
                (one.incarnation, one.status),
                (two.incarnation, two.status),
            )

    def test_a_suspected_process_refutes(self) -> None:
        """It increments its incarnation, which takes precedence everywhere."""
        view, other = make_view(), make_view()
        view.apply(member('me', status=SUSPECT))
        self.assertGreater(view.own.incarnation, 1)
        other.apply(member('me2', incarnation=1))
        other.suspect('me2')
        self.assertTrue(other.apply(member('me2', incarnation=2)))

    def test_an_unresponsive_member_dies_and_may_return(self) -> None:
        """A flapping member is dead, then back with a higher incarnation."""
        clock = ManualClock()
        view = make_view(clock)
        view.apply(member('a'))
        for incarnation in (2, 3, 4):
            view.suspect('a')
            run(clock.advance(3))
            view.expire(3)
            self.assertEqual(len(view.alive()), 1)
            view.apply(member('a', incarnation=incarnation))
            self.assertEqual(len(view.alive()), 2)

    def test_a_late_update_does_not_revive_a_dead_member(self) -> None:
        """A tombstone rejects it until the incarnation is higher."""
        clock = ManualClock()
        view = make_view(clock)
        view.apply(member('a', status=DEAD))
        self.assertIsNone(view.get('a'))
        view.apply(member('a'))
        view.apply(member('a', status=DEAD))
        self.assertFalse(view.apply(member('a')))
        run(clock.advance(61))
        view.expire(3)
        self.assertIsNone(view.get('a'))

    def test_a_reused_address_is_another_process(self) -> None:
        """Names tell processes apart, not addresses."""
        view = make_view()
        view.apply(member('old', address='9:9'))
        view.apply(member('old', address='9:9', status=LEFT, incarnation=2))
        view.apply(member('new', address='9:9'))
        names = {one.name for one in view.alive()}
        self.assertEqual(names, {'me', 'new'})

    def test_an_update_is_sent_a_bounded_number_of_times(self) -> None:
        """Each update is dropped after some probes."""
        view = make_view()
        view.apply(member('a'))
        sent = [view.take_updates(6) for _ in range(50)]
        self.assertTrue(sent[0])
        self.assertEqual(sent[-1], [])


class Peer:
    """The membership components of a process, over loopback."""

    def __init__(self, name: str, *, key: str = 'key') -> None:
        """Initialize the components."""
        self.app = Application(name=name)
        self.view = View(own=member(name), clock=self.app.clock)
        self.channels = Channels(key=key)
        self.prober = Prober(
            app=self.app,
            view=self.view,
            channels=self.channels,
            settings=MembershipSettings(),
            seed=1,
        )
        self.server = InnerServer(
            key=key,
            handlers=[PeerService(prober=self.prober, content=_no_content)],
        )

    async def start(self) -> str:
        """Serve and return the address."""
        await self.server.start('127.0.0.1', 0)
        address = f'127.0.0.1:{self.server.port}'
        self.view.own = self.view.own._replace(address=address)
        return address

    async def stop(self) -> None:
        """Stop serving and close the connections."""
        await self.server.stop()
        await self.channels.close()


def _no_content(above_revision: int) -> inner_pb2.ConfigurationContent:
    return inner_pb2.ConfigurationContent()


class _SlowChannels:
    """Channels whose calls wait until a test opens the gate."""

    def __init__(self) -> None:
        """Initialize with a closed gate."""
        self.notified: list[str] = []
        self.gate = asyncio.Event()

    async def call(self, *given: Any) -> None:
        """Record the job ids of a call once the gate is open."""
        await self.gate.wait()
        self.notified.extend(given[2].job_ids)


class NotifierTest(unittest.TestCase):
    """Notifications of jobs to the active scheduler."""

    def test_a_notification_queued_during_a_call_is_not_lost(self) -> None:
        """Each job is notified exactly once."""

        async def case() -> None:
            app = Application(name='g')
            view = make_view()
            view.apply(member('s', role='scheduler', leading_epoch=1))
            channels: Any = _SlowChannels()
            notifier = Notifier(app=app, view=view, channels=channels)
            jobs = [f'j{number}' for number in range(300)]
            for job_id in jobs[:40]:
                notifier.notify('dc', job_id)
            await run_until_idle()
            for job_id in jobs[40:]:
                notifier.notify('dc', job_id)
            channels.gate.set()
            await run_until_idle()
            self.assertEqual(channels.notified, jobs)
            await app.stop()

        run(case())


class PeerTest(unittest.TestCase):
    """Probes over the inner protocol."""

    def test_a_new_member_gets_the_full_view(self) -> None:
        """One probe exchanges all members."""

        async def case() -> None:
            peers = [Peer('a'), Peer('b'), Peer('c')]
            addresses = [await peer.start() for peer in peers]
            self.assertTrue(await peers[1].prober.probe(addresses[0]))
            self.assertTrue(
                await peers[2].prober.probe(addresses[0], full_view=True),
            )
            names = {one.name for one in peers[2].view.alive()}
            self.assertEqual(names, {'a', 'b', 'c'})
            for peer in peers:
                await peer.stop()

        run(case())

    def test_a_probe_without_the_key_changes_no_view(self) -> None:
        """Without the key the call is refused and the view unchanged."""

        async def case() -> None:
            peer, stranger = Peer('a'), Peer('evil', key='guess')
            address = await peer.start()
            with self.assertRaises(PeerError) as caught:
                await stranger.channels.call(
                    address,
                    probe_method,
                    inner_pb2.ProbeRequest(
                        sender=inner_pb2.Member(name='evil', address='1:1'),
                    ),
                    2,
                )
            self.assertIsInstance(caught.exception.__cause__, GRPCError)
            self.assertEqual(len(peer.view.alive()), 1)
            await stranger.channels.close()
            await peer.stop()

        run(case())

    def test_an_unreachable_member_is_probed_indirectly(self) -> None:
        """On a broken link, another peer still reaches it."""

        async def case() -> None:
            first, relay, target = Peer('a'), Peer('b'), Peer('c')
            for peer in (first, relay, target):
                await peer.start()
            first.view.apply(relay.view.own)
            unreachable = target.view.own._replace(address='127.0.0.1:1')
            first.view.apply(unreachable)
            responded = await asyncio.gather(
                first.prober.probe(unreachable.address),
                relay.prober.probe(target.view.own.address),
            )
            self.assertEqual(responded, [False, True])
            reached = await first.prober.probe_indirectly(target.view.own)
            self.assertTrue(reached)
            for peer in (first, relay, target):
                await peer.stop()

        run(case())
