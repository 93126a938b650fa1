"""Tests of large configurations and tables over slow network links.

The bandwidth, the time bound of a change and the growth of the configuration
are those of the deployments: 5 Mbit/s, 3 s and a few thousand routes.
"""

import asyncio
import json
import random
import unittest
from collections.abc import Sequence
from typing import Final

from aiohttp import web

from curranthill.dispatch.election import SILENCE_S
from curranthill.dispatch.leadership import take_over
from curranthill.dispatch.progress_writer import ProgressWriter
from curranthill.entry import ClosedDataCentres, RevisionFollower
from curranthill.errors import ReplyLostError
from curranthill.placement import ActiveJob
from curranthill.platform.configuration import (
    TABLE,
    decode_closure,
    decode_revision,
)
from curranthill.platform.http_client import STALL_TIMEOUT_S
from curranthill.platform.relay import StoreRelay
from curranthill.platform.store import PAGE_ROWS, PlatformStore
from curranthill.storage.follower import TableFollower
from curranthill.storage.http import content_digest, http_platform
from curranthill.storage.outage import OUTAGE_AFTER_S
from curranthill.storage.paths import StorePaths
from curranthill.storage.rows import RowPut, StoredRow
from curranthill.tasks import JobProgress, TaskKey, tables
from curranthill.workers import AttemptId, http_worker_clients
from tests.domain import make_spec
from tests.platform_standin import serve
from tests.slow_link import SlowLink
from tests.test_platform import CONFIGURATION, Testbed, on_testbed, wait_until

#: Bandwidth of the slowest link of a host, in bytes per second.
SLOWEST_LINK_BYTES_PER_S: Final = 5e6 / 8

#: The same while other traffic uses two fifths of it.
SHARED_LINK_BYTES_PER_S: Final = 3e6 / 8

#: Time within which an acknowledged change must be in force, in seconds.
IN_FORCE_S: Final = 3.0

#: Times of a change, in seconds after a read began to wait for it.
CHANGE_AFTER_S: Final = (0.1, 0.5, 0.9)

#: Maximum traffic of a change, as a multiple of its size: one response and some
#: small reads.
MAX_TRAFFIC_FACTOR: Final = 1.25

#: One of many routes; some 290 bytes on the wire with its name.
ROUTE: Final = {
    'host': 'jobs.example',
    'type': 'non_idempotent',
    'service': 'calc',
    'timeout_ms': 3000,
    'target_completion_ms': 250,
    'slack_factor': 1.5,
    'attempts': 2,
    'priority': 0,
}

#: The result of a job.
RESULT: Final = bytes(2_000_000)

#: Version of the configuration before it grows.
FIRST_VERSION: Final = 7


def put_configuration(testbed: Testbed, routes: int, version: int) -> int:
    """Have the operator write a configuration; return its size in bytes."""
    grown = [
        {**ROUTE, 'name': f'r-{number}', 'path_prefix': f'/{number:08}/'}
        for number in range(routes)
    ]
    fields = {**CONFIGURATION, 'version': version, 'routes': grown}
    content = json.dumps(fields).encode()
    testbed.rows.apply((), (RowPut(TABLE, 'config', content),), ())
    return len(content) * 4 // 3


class SlowLinkHost:
    """A host with a slow link that follows the configuration.

    :param target: the address behind its link; the store by default.
    """

    def __init__(
        self,
        testbed: Testbed,
        rate_bytes_per_s: float,
        *,
        target: str = '',
    ) -> None:
        """Initialize without starting."""
        self._testbed = testbed
        self.link = SlowLink(
            target=target or testbed.store_address,
            rate_bytes_per_s=rate_bytes_per_s,
        )

    async def start(self) -> None:
        """Read the configuration and follow it."""
        await self.link.open()
        self._testbed.closers.append(self.link.close)
        clock = self._testbed.clock
        self.store = PlatformStore(
            client=self._testbed.client,
            paths=StorePaths(direct=self.link.address, peers=tuple),
            clock=clock,
        )
        self.revisions = RevisionFollower(
            store=self.store,
            clock=clock,
            table=TABLE,
            decode=decode_revision,
            closed_data_centres=ClosedDataCentres(
                clock=clock,
                decode=decode_closure,
                cease_s=0,
            ),
        )
        following = asyncio.ensure_future(self.revisions.run())

        async def stop() -> None:
            following.cancel()

        self._testbed.closers.append(stop)

    @property
    def version(self) -> int:
        """Return the version of the configuration in force."""
        current = self.revisions.current
        return current.number if current else 0

    async def seconds_until(self, version: int) -> float:
        """Return in how many seconds a version is in force."""
        began_s = self._testbed.clock.monotonic_s()
        await wait_until(lambda: self.version == version)
        return self._testbed.clock.monotonic_s() - began_s


async def slow_link_hosts(
    testbed: Testbed,
    rate_bytes_per_s: float,
    ages_s: Sequence[float] = CHANGE_AFTER_S,
) -> list[SlowLinkHost]:
    """Return hosts that began to wait for changes that many seconds ago."""
    put_configuration(testbed, 1, FIRST_VERSION)
    hosts = [SlowLinkHost(testbed, rate_bytes_per_s) for _ in ages_s]
    waited_s = max(ages_s)
    for host, age_s in zip(hosts, sorted(ages_s, reverse=True)):
        await asyncio.sleep(waited_s - age_s)
        waited_s = age_s
        await host.start()
    await asyncio.sleep(waited_s)
    return hosts


class ChangeTest(unittest.TestCase):
    """A configuration that grows by thousands of routes."""

    def grow(self, *, routes: int, rate_bytes_per_s: float) -> None:
        """Check a change at several times of a wait."""

        async def case(testbed: Testbed) -> None:
            hosts = await slow_link_hosts(testbed, rate_bytes_per_s)
            size = put_configuration(testbed, routes, FIRST_VERSION + 1)
            took_s = await asyncio.gather(
                *(host.seconds_until(FIRST_VERSION + 1) for host in hosts),
            )
            self.assertLess(max(took_s), IN_FORCE_S)
            for host in hosts:
                self.assertLess(host.link.sent_bytes, size * MAX_TRAFFIC_FACTOR)

        on_testbed(case)

    def test_a_large_change_is_in_force_within_its_bound(self) -> None:
        """Its transfer alone takes two thirds of the bound."""
        self.grow(routes=4200, rate_bytes_per_s=SLOWEST_LINK_BYTES_PER_S)

    def test_a_large_change_arrives_in_time_beside_other_traffic(self) -> None:
        """The link carries more than the configuration."""
        self.grow(routes=2800, rate_bytes_per_s=SHARED_LINK_BYTES_PER_S)

    def test_a_host_that_starts_reads_a_large_configuration(self) -> None:
        """The first read takes longer than any small one."""

        async def case(testbed: Testbed) -> None:
            size = put_configuration(testbed, 4200, FIRST_VERSION)
            host = SlowLinkHost(testbed, SLOWEST_LINK_BYTES_PER_S)
            await host.start()
            took_s = await host.seconds_until(FIRST_VERSION)
            self.assertLess(took_s, IN_FORCE_S)
            self.assertLess(host.link.sent_bytes, size * MAX_TRAFFIC_FACTOR)

        on_testbed(case)

    def test_the_end_of_an_outage_aborts_no_response_in_transfer(self) -> None:
        """Other calls fail meanwhile, until one succeeds again."""

        async def case(testbed: Testbed) -> None:
            age_s = CHANGE_AFTER_S[0]
            hosts = await slow_link_hosts(
                testbed,
                SLOWEST_LINK_BYTES_PER_S,
                (age_s,),
            )
            host = hosts[0]
            size = put_configuration(testbed, 4200, FIRST_VERSION + 1)
            arriving = asyncio.ensure_future(
                host.seconds_until(FIRST_VERSION + 1),
            )
            await asyncio.sleep(OUTAGE_AFTER_S)
            host.store.outage.record_failure()
            await asyncio.sleep(OUTAGE_AFTER_S)
            host.store.outage.record_reply()
            self.assertLess(await arriving, IN_FORCE_S)
            self.assertLess(host.link.sent_bytes, size * MAX_TRAFFIC_FACTOR)

        on_testbed(case)

    def test_a_large_change_arrives_in_time_through_a_peer(self) -> None:
        """The link of the relaying peer is as slow and comes first."""

        async def case(testbed: Testbed) -> None:
            put_configuration(testbed, 1, FIRST_VERSION)
            link, address = await start_peer(testbed)
            host = SlowLinkHost(
                testbed,
                SLOWEST_LINK_BYTES_PER_S,
                target=address,
            )
            await host.start()
            await asyncio.sleep(CHANGE_AFTER_S[-1])
            size = put_configuration(testbed, 4200, FIRST_VERSION + 1)
            took_s = await host.seconds_until(FIRST_VERSION + 1)
            self.assertLess(took_s, IN_FORCE_S)
            self.assertLess(link.sent_bytes, size * MAX_TRAFFIC_FACTOR)

        on_testbed(case)


class StalledConnectionTest(unittest.TestCase):
    """Connections that stall during a large response."""

    def test_a_stalled_response_times_out(self) -> None:
        """This holds however much of it has arrived."""

        async def case(testbed: Testbed) -> None:
            hosts = await slow_link_hosts(
                testbed,
                SLOWEST_LINK_BYTES_PER_S,
                (0.1,),
            )
            await self.lose_half(testbed, hosts[0].store, hosts[0].link)

        on_testbed(case)

    def test_a_partial_response_through_a_peer_counts_as_lost(self) -> None:
        """The peer cannot withdraw the part that it has relayed."""

        async def case(testbed: Testbed) -> None:
            link, address = await start_peer(testbed)
            store = PlatformStore(
                client=testbed.client,
                paths=StorePaths(direct=address, peers=tuple),
                clock=testbed.clock,
            )
            await self.lose_half(testbed, store, link)

        on_testbed(case)

    async def lose_half(
        self,
        testbed: Testbed,
        store: PlatformStore,
        link: SlowLink,
    ) -> None:
        """Stall a link halfway through a response."""
        put_configuration(testbed, 2800, FIRST_VERSION + 1)
        version = testbed.rows.rows[TABLE, 'config'].version
        reading = asyncio.ensure_future(store.changes(TABLE, version - 1, 0.0))
        await asyncio.sleep(0.5)
        link.silent = True
        began_s = testbed.clock.monotonic_s()
        with self.assertRaises(ReplyLostError):
            await asyncio.wait_for(reading, 4 * STALL_TIMEOUT_S)
        took_s = testbed.clock.monotonic_s() - began_s
        self.assertLess(took_s, 2 * STALL_TIMEOUT_S)


async def start_peer(testbed: Testbed) -> tuple[SlowLink, str]:
    """Start a relaying host; return its link and its address."""
    link = SlowLink(
        target=testbed.store_address,
        rate_bytes_per_s=SLOWEST_LINK_BYTES_PER_S,
    )
    await link.open()
    testbed.closers.append(link.close)
    paths = StorePaths(direct=link.address, peers=tuple)
    relay = StoreRelay(client=testbed.client, paths=paths)
    runner, address = await serve(relay.handle)
    testbed.closers.append(runner.cleanup)
    return link, address


class ObjectTest(unittest.TestCase):
    """Objects and results of a job, read by the scheduler of a data centre."""

    def test_a_large_object_and_a_large_result_are_read_whole(self) -> None:
        """Each takes 3.2 s over the slowest link."""

        async def respond(request: web.BaseRequest) -> web.StreamResponse:
            headers = {'Content-Digest': content_digest(RESULT)}
            return web.Response(body=RESULT, headers=headers)

        async def case(testbed: Testbed) -> None:
            runner, address = await serve(respond)
            testbed.closers.append(runner.cleanup)
            link = SlowLink(
                target=address,
                rate_bytes_per_s=SLOWEST_LINK_BYTES_PER_S,
            )
            await link.open()
            testbed.closers.append(link.close)
            url = f'http://{link.address}'
            platform = http_platform(url)
            testbed.closers.append(platform.close)
            clients = http_worker_clients()
            testbed.closers.append(clients.close)
            self.assertEqual(await platform.objects.get('name'), RESULT)
            worker = clients.at(url)
            fetched = await worker.fetch_result(AttemptId('job', 1))
            self.assertEqual(fetched, RESULT)

        on_testbed(case)


class TableTest(unittest.TestCase):
    """Reads of a table of several pages, as by a new leader."""

    def test_a_lost_page_is_read_again_and_not_those_before_it(self) -> None:
        """The third of four pages is lost once."""

        async def case(testbed: Testbed) -> None:
            count = 3 * PAGE_ROWS + PAGE_ROWS // 2
            for number in range(count):
                testbed.rows.apply((), (RowPut('t', f'{number:03}', b''),), ())
            testbed.store_server.lost_reads = {3}
            taken: list[StoredRow] = []
            follower = TableFollower(
                store=testbed.store,
                clock=testbed.clock,
                table='t',
                on_snapshot=taken.extend,
                on_changes=taken.extend,
            )
            await follower.read()
            self.assertEqual(len({row.key for row in taken}), count)
            self.assertEqual(len(testbed.store_server.limits), 5)

        on_testbed(case)


class LeaderTest(unittest.TestCase):
    """A leader with large writes behind the slowest link."""

    def test_progress_of_large_jobs_does_not_delay_the_heartbeat(
        self,
    ) -> None:
        """Sixty jobs of 120 tasks each change at the same time."""

        async def case(testbed: Testbed) -> None:
            link = SlowLink(
                target=testbed.store_address,
                rate_bytes_per_s=SLOWEST_LINK_BYTES_PER_S,
            )
            await link.open()
            testbed.closers.append(link.close)
            store = PlatformStore(
                client=testbed.client,
                paths=StorePaths(direct=link.address, peers=tuple),
                clock=testbed.clock,
            )
            leadership = await take_over(
                store=store,
                clock=testbed.clock,
                holder='h',
                seen=None,
                seen_for_s=0.0,
            )
            assert leadership is not None
            writer = ProgressWriter(leadership=leadership, clock=testbed.clock)
            writing = asyncio.ensure_future(writer.run())
            for number in range(60):
                writer.record(large_job(f'{number:016x}'))
            saved = asyncio.ensure_future(writer.stored())
            silent_s = await longest_silence_s(testbed, saved)
            writing.cancel()
            self.assertLess(silent_s, SILENCE_S)

        on_testbed(case)


def large_job(job_id: str) -> ActiveJob:
    """Return a job with a checkpoint of each of its many tasks."""
    progress = JobProgress(queue='queue-1')
    drawn = random.Random(job_id)
    for rank in range(120):
        task = progress.task(TaskKey(job_id, 0, 0, rank))
        task.attempt = drawn.randrange(10)
        task.worker = f'{drawn.randrange(16**10):010x}'
        task.checkpoint = f'{drawn.randrange(16**16):016x}'
    return ActiveJob(spec=make_spec(job_id), progress=progress)


async def longest_silence_s(
    testbed: Testbed,
    saved: asyncio.Future[None],
) -> float:
    """Return the longest time without a change of the leader's row."""
    longest_s = 0.0
    version = 0
    changed_s = testbed.clock.monotonic_s()
    while not saved.done():
        await asyncio.sleep(0.01)
        row = testbed.rows.rows[tables.LEADER, tables.LEADER_KEY]
        now_s = testbed.clock.monotonic_s()
        longest_s = max(longest_s, now_s - changed_s)
        if row.version != version:
            version = row.version
            changed_s = now_s
    return longest_s
