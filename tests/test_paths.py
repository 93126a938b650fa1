"""Calls to the store go through another host while the straight way fails."""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any, Final, NamedTuple
from unittest.mock import patch

import aiohttp

from curranthill.entry import PeerList
from curranthill.errors import NotSentError, ReplyLostError
from curranthill.platform import HostDaemon, read_platform_settings
from curranthill.platform.http_client import HttpClient, RequestNotSentError
from curranthill.platform.relay import StoreProbe, StoreRelay
from curranthill.platform.store import PlatformStore
from curranthill.storage.paths import MAX_PEER_ATTEMPTS, StorePaths
from curranthill.storage.rows import RowCheck, RowConflictError, RowPut
from curranthill.tasks import tables
from tests.domain import Domain, in_domain
from tests.platform_standin import StoreServer, serve, worker_row
from tests.test_platform import (
    CONFIGURATION,
    JOB,
    Testbed,
    leader_of,
    on_testbed,
    settings_of,
    status,
    wait_until,
)

DIRECT = '10.0.0.1:80'
PEERS = ('10.0.1.1:80', '10.0.1.2:80')

PUT = RowPut('t', 'k', b'text')


class ChoiceTest(unittest.TestCase):
    """Which way is taken next."""

    def setUp(self) -> None:
        """Know two peers."""
        self.paths = StorePaths(direct=DIRECT, peers=lambda: PEERS)

    def test_the_straight_way_is_kept_while_it_answers(self) -> None:
        """Whatever peers there are."""
        self.paths.record_reply(DIRECT)
        self.assertTrue(self.paths.is_direct)

    def test_a_failure_of_the_straight_way_leads_to_a_peer(self) -> None:
        """From the next call on."""
        self.paths.record_failure(DIRECT)
        self.assertIn(self.paths.address, PEERS)

    def test_calls_that_fail_together_change_the_way_once(self) -> None:
        """Ten calls were under way when the store fell silent."""
        self.paths.record_failure(DIRECT)
        chosen = self.paths.address
        for _ in range(9):
            self.paths.record_failure(DIRECT)
        self.assertEqual(self.paths.address, chosen)

    def test_a_peer_that_fails_is_followed_by_another(self) -> None:
        """It may have lost the store too."""
        self.paths.record_failure(DIRECT)
        first = self.paths.address
        self.paths.record_failure(first)
        self.assertIn(self.paths.address, set(PEERS) - {first})

    def test_the_straight_way_has_its_turn_when_peers_fail_too(self) -> None:
        """The store may be down for all, and come back."""
        taken = []
        for _ in range(MAX_PEER_ATTEMPTS + 2):
            taken.append(self.paths.address)
            self.paths.record_failure(self.paths.address)
        self.assertEqual(taken[0], DIRECT)
        self.assertEqual(taken.count(DIRECT), 2)

    def test_the_straight_way_is_taken_again_once_it_answers(self) -> None:
        """A call that tried it tells."""
        self.paths.record_failure(DIRECT)
        self.paths.record_reply(DIRECT)
        self.assertTrue(self.paths.is_direct)

    def test_without_peers_the_straight_way_stays(self) -> None:
        """A deployment of one host."""
        paths = StorePaths(direct=DIRECT, peers=tuple)
        paths.record_failure(DIRECT)
        self.assertTrue(paths.is_direct)


class TwoHosts:
    """A host that has lost the store, and a peer that reaches it.

    :param own: what the store answers the first host itself with.
    """

    def __init__(self, *, testbed: Testbed) -> None:
        """Start nothing yet."""
        self.testbed = testbed
        self.own = StoreServer(model=testbed.rows)

    async def open(self) -> None:
        """Serve the first host's way to the store, and the peer's relay."""
        testbed = self.testbed
        runner, direct = await serve(self.own.handle)
        testbed.closers.append(runner.cleanup)
        self.peer_paths = StorePaths(direct=testbed.store_address, peers=tuple)
        relay = StoreRelay(client=testbed.client, paths=self.peer_paths)
        runner, peer = await serve(relay.handle)
        testbed.closers.append(runner.cleanup)
        self.paths = StorePaths(direct=direct, peers=lambda: (peer,))
        self.store = PlatformStore(
            client=testbed.client,
            paths=self.paths,
            clock=testbed.clock,
        )


class RelayTest(unittest.TestCase):
    """One host is refused by the store that serves the other."""

    def test_a_refused_host_commits_reads_and_follows_through_a_peer(
        self,
    ) -> None:
        """One call fails; those after it are answered."""

        async def case(testbed: Testbed) -> None:
            hosts = TwoHosts(testbed=testbed)
            await hosts.open()
            hosts.own.refuse_with = 503
            with self.assertRaises(NotSentError):
                await hosts.store.commit(puts=(PUT,))
            version = await hosts.store.commit(puts=(PUT,))
            row = await hosts.store.read('t', 'k')
            assert row is not None
            self.assertEqual(row.content, b'text')
            changes = await hosts.store.changes('t', version - 1, 1.0)
            self.assertEqual([one.key for one in changes.rows], ['k'])

        on_testbed(case)

    def test_a_silent_store_is_told_from_a_refusing_one(self) -> None:
        """The effect of the silent call stays unknown; the next is answered."""

        async def case(testbed: Testbed) -> None:
            hosts = TwoHosts(testbed=testbed)
            await hosts.open()
            await hosts.store.read('t', 'k')
            hosts.own.connections.stop_responding()
            with self.assertRaises(ReplyLostError):
                await hosts.store.commit(puts=(PUT,))
            await hosts.store.commit(puts=(PUT,))

        on_testbed(case)

    def test_a_conflict_passes_through_with_its_rows(self) -> None:
        """A leader that goes through a peer is fenced as ever."""

        async def case(testbed: Testbed) -> None:
            hosts = TwoHosts(testbed=testbed)
            await hosts.open()
            await testbed.store.commit(puts=(PUT,))
            hosts.paths.record_failure(hosts.paths.direct)
            with self.assertRaises(RowConflictError) as caught:
                await hosts.store.commit(
                    checks=(RowCheck('t', 'k', 0),),
                    puts=(PUT,),
                )
            self.assertEqual(caught.exception.rows[0].content, b'text')

        on_testbed(case)

    def test_a_peer_without_the_store_passes_nothing_on(self) -> None:
        """It says at once that nothing was done, and no call goes round."""

        async def case(testbed: Testbed) -> None:
            hosts = TwoHosts(testbed=testbed)
            await hosts.open()
            hosts.paths.record_failure(hosts.paths.direct)
            hosts.peer_paths.address = '127.0.0.1:1'
            with self.assertRaises(NotSentError):
                await hosts.store.commit(puts=(PUT,))
            self.assertEqual(testbed.rows.commits, 0)

        on_testbed(case)

    def test_a_peer_that_does_not_know_says_so(self) -> None:
        """The store fell silent with the peer's call under way."""

        async def case(testbed: Testbed) -> None:
            hosts = TwoHosts(testbed=testbed)
            await hosts.open()
            hosts.paths.record_failure(hosts.paths.direct)
            testbed.store_server.refuse_with = 504
            with self.assertRaises(ReplyLostError):
                await hosts.store.commit(puts=(PUT,))

        on_testbed(case)

    def test_the_straight_way_is_taken_again_when_it_opens(self) -> None:
        """Found out without a call of a caller."""

        async def case(testbed: Testbed) -> None:
            hosts = TwoHosts(testbed=testbed)
            await hosts.open()
            hosts.own.refuse_with = 503
            hosts.paths.record_failure(hosts.paths.direct)
            probe = StoreProbe(
                client=testbed.client,
                paths=hosts.paths,
                clock=testbed.clock,
                outage=hosts.store.outage,
            )
            probing = asyncio.ensure_future(probe.run())
            await asyncio.sleep(0.7)
            self.assertFalse(hosts.paths.is_direct)
            hosts.own.refuse_with = 0
            await wait_until(lambda: hosts.paths.is_direct)
            probing.cancel()

        on_testbed(case)


#: Where each host passes calls on.
ADDRESSES: Final = {'a': '10.0.0.1:7001', 'b': '10.0.0.2:7001'}


class PeerListTest(unittest.TestCase):
    """Who passes calls on."""

    def test_hosts_that_start_together_know_each_other(self) -> None:
        """After the second reading."""

        async def case(domain: Domain) -> None:
            first, second = (start_list(domain, name) for name in 'ab')
            await domain.clock.advance(4)
            self.assertEqual(first.addresses, (ADDRESSES['b'],))
            self.assertEqual(second.addresses, (ADDRESSES['a'],))

        in_domain(case)

    def test_a_silent_host_is_left_out_and_at_last_removed(self) -> None:
        """It was killed, and no other has its name."""

        async def case(domain: Domain) -> None:
            domain.rows.apply((), (listed_host('b'),), ())
            living = start_list(domain, 'a')
            await domain.clock.advance(4)
            self.assertEqual(living.addresses, (ADDRESSES['b'],))
            await domain.clock.advance(100)
            self.assertEqual(living.addresses, ())
            self.assertIn((tables.HOSTS, 'b'), domain.rows.rows)
            await domain.clock.advance(600)
            self.assertNotIn((tables.HOSTS, 'b'), domain.rows.rows)

        in_domain(case)

    def test_a_row_that_names_no_address_is_passed_over(self) -> None:
        """It is told of, and the other hosts are known all the same."""

        async def case(domain: Domain) -> None:
            for content in (b'', b'\xff', b'b', b'10.0.0.9'):
                put = RowPut(tables.HOSTS, repr(content), content)
                domain.rows.apply((), (put,), ())
            first = start_list(domain, 'a')
            start_list(domain, 'b')
            await domain.clock.advance(4)
            self.assertEqual(first.addresses, (ADDRESSES['b'],))

        in_domain(case)

    def test_the_list_outlives_the_store(self) -> None:
        """Peers are needed just when it cannot be read."""

        async def case(domain: Domain) -> None:
            first = start_list(domain, 'a')
            start_list(domain, 'b')
            await domain.clock.advance(4)
            domain.rows.down.add('*')
            await domain.clock.advance(60)
            self.assertEqual(first.addresses, (ADDRESSES['b'],))

        in_domain(case)


def listed_host(name: str) -> RowPut:
    """Return the row that a host writes about itself."""
    return RowPut(tables.HOSTS, name, ADDRESSES[name].encode())


def start_list(domain: Domain, name: str) -> PeerList:
    """Start a host's list of peers; it ends with the test's event loop."""
    peers = PeerList(
        store=domain.rows.client(name),
        clock=domain.clock,
        host=name,
        address=ADDRESSES[name],
    )
    domain.background.append(asyncio.ensure_future(peers.run()))
    return peers


class HostsTest(unittest.TestCase):
    """Real hosts, of which one has lost the store."""

    def test_a_host_without_the_store_accepts_and_stays_ready(self) -> None:
        """Its callers notice nothing; the job runs."""

        async def case(testbed: Testbed) -> None:
            hosts = await start_two(testbed, first_leads=False)
            await self.lose_store_and_submit(hosts, testbed)

        on_testbed(case)

    def test_a_leader_without_the_store_leads_on(self) -> None:
        """Nobody takes over, and what it orders is stored."""

        async def case(testbed: Testbed) -> None:
            hosts = await start_two(testbed, first_leads=True)
            await self.lose_store_and_submit(hosts, testbed)
            self.assertEqual(leader_of(testbed), 'front-1')

        on_testbed(case)

    async def lose_store_and_submit(
        self,
        hosts: 'StartedHosts',
        testbed: Testbed,
    ) -> None:
        """Refuse the first host; hand jobs in there for three seconds."""
        hosts.own.refuse_with = 503
        for number in range(6):
            job = f'/quick/{number:016x}'
            answer = await submit(hosts.first.callers_address, job)
            self.assertEqual(answer, 200)
            await asyncio.sleep(0.5)
            self.assertTrue(hosts.first.is_ready)
        await wait_until(lambda: len(testbed.worker.starts) == 18)


class StartedHosts(NamedTuple):
    """Two hosts of one deployment.

    :param own: the store as the first host reaches it.
    """

    first: HostDaemon
    second: HostDaemon
    own: StoreServer


async def start_two(testbed: Testbed, *, first_leads: bool) -> StartedHosts:
    """Start two hosts that know each other, and the worker."""
    content = json.dumps(CONFIGURATION).encode()
    testbed.rows.apply((), (RowPut('op', 'config', content),), ())
    testbed.rows.apply((), (worker_row(testbed.entry),), ())
    own = StoreServer(model=testbed.rows)
    runner, direct = await serve(own.handle)
    testbed.closers.append(runner.cleanup)
    first = make_host(testbed, 'front-1', direct)
    second = make_host(testbed, 'front-2', testbed.store_address)
    order = [first, second] if first_leads else [second, first]
    for host in order:
        await host.app.start()
        testbed.closers.append(host.app.stop)
        await someone_leads(testbed)
    # The second reading of the list, after at most 1.3 times 2 s.
    await asyncio.sleep(3)
    return StartedHosts(first, second, own)


async def someone_leads(testbed: Testbed) -> None:
    """Wait until the leader's row names a host."""
    await wait_until(lambda: bool(leader_of(testbed)))


def make_host(testbed: Testbed, name: str, store_address: str) -> HostDaemon:
    """Return a host that is not started."""
    settings = settings_of(testbed)
    settings['node_name'] = name
    settings['platform'] = {'address': store_address}
    with tempfile.NamedTemporaryFile('w', suffix='.json') as target:
        json.dump(settings, target)
        target.flush()
        decoded = read_platform_settings(Path(target.name))
    return HostDaemon(read_settings=lambda: decoded)


async def submit(address: str, job: str) -> int:
    """Hand a job in; return the answer's status."""
    headers = {'Host': 'jobs.example', 'Authorization': 'Bearer key-of-alpha'}
    async with aiohttp.ClientSession(
        f'http://{address}',
        headers=headers,
    ) as caller:
        return await status(caller.post(job, json=JOB))


class StartTest(unittest.TestCase):
    """A host that starts without the store."""

    def test_a_host_starts_while_no_call_is_sent(self) -> None:
        """Its first calls fail at once, before it knows of any peer."""

        async def case(testbed: Testbed) -> None:
            content = json.dumps(CONFIGURATION).encode()
            testbed.rows.apply((), (RowPut('op', 'config', content),), ())
            host = make_host(testbed, 'front-1', testbed.store_address)
            testbed.closers.append(host.app.stop)
            with patch.object(HttpClient, 'open', side_effect=not_sent):
                await host.app.start()
            await wait_until(lambda: bool(host.is_ready))

        on_testbed(case)


def not_sent(*args: Any, **options: Any) -> None:
    """Fail as a call to a closed port does."""
    raise RequestNotSentError('nobody listens')
