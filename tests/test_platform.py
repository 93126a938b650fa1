"""The platform's protocols, spoken over real connections to stand-ins."""

import asyncio
import json
import os
import signal
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from unittest.mock import patch

import aiohttp
import msgspec

from curranthill.clock import SystemClock
from curranthill.dispatch import LeaseOrder, RejectedError, StartOrder
from curranthill.dispatch.leadership import LeaderRow
from curranthill.dispatch.workers import WorkerGoneError
from curranthill.errors import (
    NotSentError,
    ReplyLostError,
    SettingsError,
    StorageError,
    WorkerReplyLostError,
    WorkerUnreachableError,
)
from curranthill.placement import WorkerEntry
from curranthill.platform import HostDaemon, read_platform_settings
from curranthill.platform.configuration import (
    StepFields,
    decode_revision,
    step_from,
)
from curranthill.platform.http_client import HttpClient
from curranthill.platform.store import PAGE_ROWS, PlatformStore
from curranthill.platform.workers import PlatformConnector, RegisteredWorkers
from curranthill.standin.rows import RowModel
from curranthill.standin.tasks import TaskWorkerModel
from curranthill.storage.paths import StorePaths
from curranthill.storage.rows import (
    HistoryLostError,
    RowCheck,
    RowConflictError,
    RowPut,
    StoredRow,
)
from curranthill.tasks import Resources, TaskKey, decode, tables
from curranthill.telemetry.events import events
from tests.domain import ROOM
from tests.platform_standin import StoreServer, WorkerServer, serve, worker_row
from tests.support import run

TASK = TaskKey('5c0e7a21d94b36f8', 0, 1, 17)

CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'jobs.example',
            'path_prefix': '/quick/',
            'type': 'non_idempotent',
            'timeout_ms': 3000,
            'target_completion_ms': 250,
            'priority': 0,
            'service': 'calc',
            'attempts': 2,
            'slack_factor': 1.5,
            'public': False,
        },
    ],
    'services': [{'name': 'calc', 'enforce_limits': False}],
    'limits': {'max_body_bytes': 2000},
    'tenants': [
        {
            'name': 'alpha',
            'api_keys': ['key-of-alpha'],
            'guaranteed': {'gpu': 32},
        },
    ],
}

JOB = {
    'spec': 'text',
    'steps': [
        {'count': 2, 'cpu': 500, 'mem_mb': 256, 'gpu': 1, 'estimate_ms': 300},
        {'count': 1, 'cpu': 500, 'mem_mb': 256, 'gpu': 1, 'after': [0]},
    ],
}


#: What the platform leaves for a planned stop in a test, in seconds.
GRACE_S = 4.0

#: What 2,000 routes take on a link of 5 Mbit/s, in seconds, and by which try
#: they must have come: three, with their pauses, fit into a change's 3 s.
SLOW_FEED_S = 0.8
TRIES_OF_A_FEED = 2


class Testbed:
    """A store and one worker behind real ports, and clients of both."""

    def __init__(self) -> None:
        """Start nothing yet."""
        self.clock = SystemClock()
        self.rows = RowModel(clock=self.clock)
        self.store_server = StoreServer(model=self.rows)
        self.closers: list[Callable[[], Awaitable[Any]]] = []

    async def open(self) -> None:
        """Start the servers."""
        runner, address = await serve(self.store_server.handle)
        self.store_address = address
        self.closers.append(runner.cleanup)
        entry = WorkerEntry('i-1', 'calc', '', 'dc', ROOM, ('a', 'r1'))
        self.worker = TaskWorkerModel(entry=entry, clock=self.clock, run_s=0.2)
        runner, address = await serve(WorkerServer(model=self.worker).handle)
        self.closers.append(runner.cleanup)
        self.entry = entry._replace(address=address)
        self.client = HttpClient()
        self.closers.append(self.client.close)
        self.store = PlatformStore(
            client=self.client,
            paths=StorePaths(direct=self.store_address, peers=tuple),
            clock=self.clock,
        )

    async def close(self) -> None:
        """Stop everything."""
        for close in reversed(self.closers):
            await close()


def on_testbed(case: Callable[[Testbed], Awaitable[None]]) -> None:
    """Run a test with servers of its own."""

    async def main() -> None:
        testbed = Testbed()
        await testbed.open()
        try:
            await case(testbed)
        finally:
            await testbed.close()

    run(main())


class StoreTest(unittest.TestCase):
    """Rows over HTTP."""

    def test_commits_are_conditional_and_name_the_winner(self) -> None:
        """A second insertion meets the first row."""

        async def case(testbed: Testbed) -> None:
            put = RowPut('t', 'k', b'one')
            check = RowCheck('t', 'k', 0)
            version = await testbed.store.commit(checks=(check,), puts=(put,))
            with self.assertRaises(RowConflictError) as caught:
                await testbed.store.commit(checks=(check,), puts=(put,))
            row = caught.exception.rows[0]
            self.assertEqual((row.content, row.version), (b'one', version))
            self.assertEqual(await testbed.store.read('t', 'k'), row)
            self.assertIsNone(await testbed.store.read('t', 'j'))

        on_testbed(case)

    def test_a_table_is_read_page_by_page(self) -> None:
        """More rows than one page holds."""

        async def case(testbed: Testbed) -> None:
            for number in range(250):
                testbed.rows.apply((), (RowPut('t', f'{number:03}', b''),), ())
            listed = await testbed.store.scan('t')
            self.assertEqual(len(listed.rows), 250)

        on_testbed(case)

    def test_partitions_read_side_by_side_share_one_page(self) -> None:
        """A host with a slow link takes one page in time, not sixteen."""

        async def case(testbed: Testbed) -> None:
            for number in range(250):
                put = RowPut(tables.INTAKE, f'{number:016x}', b'')
                testbed.rows.apply((), (put,), ())
            listed = await testbed.store.scan(tables.INTAKE)
            keys = {row.key for row in listed.rows}
            self.assertEqual((len(keys), len(listed.rows)), (250, 250))
            together = len(tables.INTAKE_PARTITIONS)
            in_flight = max(testbed.store_server.limits) * together
            self.assertLessEqual(in_flight, PAGE_ROWS)

        on_testbed(case)

    def test_feeds_bring_changes_and_tell_of_lost_history(self) -> None:
        """A change comes at once; an old version is refused."""

        async def case(testbed: Testbed) -> None:
            follow = asyncio.ensure_future(testbed.store.changes('t', 0, 2.0))
            await asyncio.sleep(0.05)
            testbed.rows.apply((), (RowPut('t', 'k', b'v'),), ())
            changes = await follow
            self.assertEqual([row.key for row in changes.rows], ['k'])
            testbed.rows.forget_history()
            with self.assertRaises(HistoryLostError):
                await testbed.store.changes('t', 0, 0.1)

        on_testbed(case)

    def test_a_large_change_reaches_a_host_with_a_slow_link(self) -> None:
        """Its answer takes longer than is usual, each time it is asked for."""

        async def case(testbed: Testbed) -> None:
            testbed.rows.apply((), (RowPut('op', 'config', b'v'),), ())
            testbed.store_server.feed_s = SLOW_FEED_S
            for _ in range(TRIES_OF_A_FEED - 1):
                with self.assertRaises(StorageError):
                    await testbed.store.changes('op', 0, 0.0)
            changes = await testbed.store.changes('op', 0, 0.0)
            self.assertEqual([row.key for row in changes.rows], ['config'])

        on_testbed(case)

    def test_refusals_and_closed_ports_did_nothing(self) -> None:
        """503, 429 and no listener."""

        async def case(testbed: Testbed) -> None:
            for status in (429, 503):
                testbed.store_server.refuse_with = status
                with self.assertRaises(NotSentError):
                    await testbed.store.commit(puts=(RowPut('t', 'k', b''),))
            nobody = PlatformStore(
                client=testbed.client,
                paths=StorePaths(direct='127.0.0.1:1', peers=tuple),
                clock=testbed.clock,
            )
            with self.assertRaises(NotSentError):
                await nobody.commit(puts=(RowPut('t', 'k', b''),))

        on_testbed(case)


class SilentConnectionTest(unittest.TestCase):
    """Kept connections that fall silent while new ones work."""

    def test_one_lost_reply_is_enough_to_leave_all_silent_ones(self) -> None:
        """Three kept connections cost one timeout, not three."""

        async def case(testbed: Testbed) -> None:
            await read_together(testbed, 3)
            testbed.store_server.connections.silence()
            with self.assertRaises(ReplyLostError):
                await testbed.store.read('t', 'k')
            for _ in range(3):
                self.assertIsNone(await testbed.store.read('t', 'k'))

        on_testbed(case)

    def test_a_call_under_way_outlives_the_loss_of_another(self) -> None:
        """A feed that waits is not broken off by another call's timeout."""

        async def case(testbed: Testbed) -> None:
            follow = asyncio.ensure_future(testbed.store.changes('t', 0, 2.0))
            await asyncio.sleep(0.05)
            await read_together(testbed, 2)
            testbed.store_server.connections.silence()
            with self.assertRaises(ReplyLostError):
                await testbed.store.read('t', 'k')
            testbed.rows.apply((), (RowPut('t', 'k', b'v'),), ())
            changes = await follow
            self.assertEqual([row.key for row in changes.rows], ['k'])

        on_testbed(case)


async def read_together(testbed: Testbed, count: int) -> None:
    """Make so many readings at once, so that as many connections are kept."""
    await asyncio.gather(*(testbed.store.read('t', 'k') for _ in range(count)))


class WorkerTest(unittest.TestCase):
    """Orders over HTTP."""

    def test_a_task_is_started_held_and_its_end_acknowledged(self) -> None:
        """The names of the wire are decoded both ways."""

        async def case(testbed: Testbed) -> None:
            worker = PlatformConnector(client=testbed.client).connect(
                testbed.entry
            )
            until_s = round(testbed.clock.monotonic_s() + 6, 3)
            order = StartOrder(TASK, 2, 'text', until_s, token=7)
            await worker.start(order)
            self.assertEqual(testbed.worker.starts, [order])
            held = await worker.renew(LeaseOrder(7, 0, until_s, 0.0))
            self.assertEqual([one.task for one in held.runs], [TASK])
            held = await worker.renew(LeaseOrder(7, 0, until_s, 1.0))
            self.assertEqual([one.kind for one in held.ends], ['done'])
            held = await worker.renew(LeaseOrder(7, 1, 0.0, 0.0))
            self.assertEqual(held.ends, ())

        on_testbed(case)

    def test_rejections_carry_the_workers_reason(self) -> None:
        """A lower token."""

        async def case(testbed: Testbed) -> None:
            worker = PlatformConnector(client=testbed.client).connect(
                testbed.entry
            )
            until_s = testbed.clock.monotonic_s() + 6
            await worker.renew(LeaseOrder(9, 0, until_s, 0.0))
            with self.assertRaises(RejectedError) as caught:
                await worker.stop(TASK, 1, 8)
            self.assertEqual(caught.exception.reason, 'fence')

        on_testbed(case)

    def test_another_life_a_closed_port_and_silence_are_told_apart(
        self,
    ) -> None:
        """Three ways not to be answered."""

        async def case(testbed: Testbed) -> None:
            connector = PlatformConnector(client=testbed.client)
            other = connector.connect(testbed.entry._replace(worker_id='i-0'))
            with self.assertRaises(WorkerGoneError):
                await other.stop(TASK, 1, 8)
            closed = connector.connect(
                testbed.entry._replace(address='127.0.0.1:1'),
            )
            with self.assertRaises(WorkerUnreachableError):
                await closed.stop(TASK, 1, 8)
            testbed.worker.cut = True
            silent = connector.connect(testbed.entry)
            with self.assertRaises(WorkerReplyLostError):
                await silent.stop(TASK, 1, 8)

        on_testbed(case)


class DecodingTest(unittest.TestCase):
    """Names of the wire become names of ours."""

    def test_a_worker_entry(self) -> None:
        """As a worker writes it."""
        entry = WorkerEntry(
            worker_id='i-1',
            service='calc',
            address='10.0.0.1:80',
            data_centre='dc',
            room=Resources(16000, 32768, 8),
            labels=('a', 'r1-3'),
            leaving=True,
            clock_s=482.113,
        )
        put = worker_row(entry)
        row = StoredRow(put.table, put.key, put.content, 1)
        self.assertEqual(RegisteredWorkers().decode(row), entry)
        self.assertEqual(entry.rack, 'r1-3')

    def test_a_configuration(self) -> None:
        """As the operator writes it; other rows are passed over."""
        content = json.dumps(CONFIGURATION).encode()
        revision = decode_revision(StoredRow('op', 'config', content, 1))
        assert revision is not None
        queue = revision.queue_for('jobs.example', '/quick/5c0e')
        assert queue is not None
        self.assertEqual((queue.target_s, queue.attempts), (0.25, 2))
        self.assertIsNone(revision.queue_for('jobs.example', '/other/'))
        self.assertIsNone(revision.workspace_of('unknown'))
        self.assertEqual(revision.guaranteed_gpus('alpha'), 32)
        other = StoredRow('op', 'wave/1', b'{}', 1)
        self.assertIsNone(decode_revision(other))

    def test_a_step(self) -> None:
        """Each field that may stand in a job."""
        step = step_from(
            msgspec.convert(
                {
                    'count': 3,
                    'cpu': 500,
                    'mem_mb': 64,
                    'gpu': 2,
                    'estimate_ms': 900,
                    'after': [0],
                    'gang': True,
                    'same_rack': True,
                    'data_rack': 'r1',
                    'required_label': 'b',
                    'max_per_server': 2,
                    'checkpointable': True,
                    'perpetual': True,
                    'fill_count': True,
                },
                StepFields,
            ),
        )
        self.assertEqual(step.needs, Resources(500, 64, 2))
        self.assertEqual((step.width, step.estimate_s), (3, 0.9))
        self.assertEqual((step.near_rack, step.label), ('r1', 'b'))
        self.assertEqual((step.max_per_worker, step.after), (2, (0,)))
        self.assertTrue(step.gang and step.same_rack and step.fills)

    def test_settings_that_cannot_be_used_are_named(self) -> None:
        """A missing file, and a file that lacks what is needed."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'local.json'
            with self.assertRaisesRegex(SettingsError, 'local.json'):
                read_platform_settings(path)
            path.write_text('{"node_name": "h"}', 'utf-8')
            with self.assertRaisesRegex(SettingsError, 'bind_addrs'):
                read_platform_settings(path)

    def test_services_over_tls_are_refused_plainly(self) -> None:
        """A host loads no certificates, so it must not start to try."""
        address = '127.0.0.1:1'
        settings = {
            'node_name': 'front-1',
            'ip': '127.0.0.1',
            'zone': 'dc',
            'bind_addrs': {'front': address, 'ready': address},
            'port_range': [0, 0],
            'platform': {'address': address},
            'placement_advisor': address,
        }
        over_tls = f'https://{address}'
        self.assertIn(address, reading_of(settings))
        for wrong in (
            {'platform': {'address': over_tls}},
            {'placement_advisor': over_tls},
        ):
            with self.subTest(wrong=wrong):
                self.assertIn('plain HTTP', reading_of(settings | wrong))


def reading_of(settings: dict[str, Any]) -> str:
    """Return what becomes of settings: the store's address, or the error."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'local.json'
        path.write_text(json.dumps(settings), 'utf-8')
        try:
            return read_platform_settings(path).store_address
        except SettingsError as error:
            return error.message


class HostTest(unittest.TestCase):
    """One whole host between callers, store and worker."""

    def test_callers_are_served_from_one_end_to_the_other(self) -> None:
        """Accept, state, queue length, keys, routes, limits, cancel."""

        async def case(testbed: Testbed) -> None:
            content = json.dumps(CONFIGURATION).encode()
            testbed.rows.apply((), (RowPut('op', 'config', content),), ())
            testbed.rows.apply((), (worker_row(testbed.entry),), ())
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / 'local.json'
                path.write_text(json.dumps(settings_of(testbed)), 'utf-8')
                host = HostDaemon(
                    read_settings=lambda: read_platform_settings(path),
                )
                with patch.object(events, 'log') as log:
                    await self.run_host(host, testbed)
            told = str(log.call_args_list)
            self.assertIn("'accepted'", told)
            self.assertNotIn('key-of-alpha', told)

        on_testbed(case)

    async def run_host(self, host: HostDaemon, testbed: Testbed) -> None:
        """Run a host for as long as it is asked."""
        await host.app.start()
        try:
            await self.ask(host, testbed)
        finally:
            await host.app.stop()

    async def ask(self, host: HostDaemon, testbed: Testbed) -> None:
        """Ask for everything a caller may ask for."""
        await wait_until(lambda: bool(host.is_ready))
        async with aiohttp.ClientSession(
            f'http://{host.callers_address}',
            headers={
                'Host': 'jobs.example',
                'Authorization': 'Bearer key-of-alpha',
            },
        ) as caller:
            await self.ask_for_jobs(caller, testbed)
            await self.ask_wrongly(caller)

    async def ask_for_jobs(
        self,
        caller: aiohttp.ClientSession,
        testbed: Testbed,
    ) -> None:
        """A job runs once, however often it is handed in."""
        job = f'/quick/{TASK.job_id}'
        self.assertEqual(await status(caller.post(job, json=JOB)), 200)
        self.assertEqual(await status(caller.post(job, json=JOB)), 200)
        state = ''
        for _ in range(200):
            async with caller.get(job) as response:
                state = (await response.json())['state']
            if state == 'completed':
                break
            await asyncio.sleep(0.02)
        self.assertEqual(state, 'completed')
        self.assertEqual(len(testbed.worker.starts), 3)
        async with caller.get('/quick/') as response:
            self.assertEqual(await response.json(), {'pending': 0})
        self.assertEqual(await status(caller.delete(job)), 200)
        nobody = '/quick/0000000000000000'
        self.assertEqual(await status(caller.get(nobody)), 410)
        self.assertEqual(await status(caller.delete(nobody)), 410)

    async def ask_wrongly(self, caller: aiohttp.ClientSession) -> None:
        """Each fault has its status, and nothing is stored."""
        job = '/quick/1111111111111111'
        loop = {'spec': '', 'steps': [{'count': 1, 'after': [0]}]}
        wrong = {
            400: caller.post(job, json=loop),
            401: caller.post(job, json=JOB, headers={'Authorization': 'x'}),
            404: caller.post('/other/1', json=JOB),
            405: caller.put(job, json=JOB),
            413: caller.post(job, data=b' ' * 3000),
        }
        for wanted, call in wrong.items():
            self.assertEqual(await status(call), wanted)
        self.assertEqual(await status(caller.post(job, data=b'{')), 400)
        self.assertEqual(await status(caller.get(job)), 410)


class ReloadTest(unittest.TestCase):
    """SIGHUP has the settings read again; the host serves on."""

    def test_good_settings_are_taken_and_bad_ones_refused(self) -> None:
        """The file is broken, then mended; the old settings hold between."""

        async def case(testbed: Testbed) -> None:
            content = json.dumps(CONFIGURATION).encode()
            testbed.rows.apply((), (RowPut('op', 'config', content),), ())
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / 'local.json'
                settings = json.dumps(settings_of(testbed))
                path.write_text(settings, 'utf-8')
                host = HostDaemon(
                    read_settings=lambda: read_platform_settings(path),
                )
                await host.app.start()
                await wait_until(lambda: bool(host.is_ready))
                try:
                    await reload(path, '{', 'reload_refused')
                    await reload(path, settings, 'reloaded')
                    self.assertTrue(host.is_ready)
                finally:
                    await host.app.stop()

        on_testbed(case)


async def reload(path: Path, settings: str, outcome: str) -> None:
    """Change the settings, send SIGHUP, and wait until its outcome is told."""
    path.write_text(settings, 'utf-8')
    with patch.object(events, 'log') as log:
        os.kill(os.getpid(), signal.SIGHUP)
        await wait_until(
            lambda: any(call.args[0] == outcome for call in log.call_args_list),
        )


class PlannedStopTest(unittest.TestCase):
    """A leading host that is told to stop."""

    def test_leadership_is_handed_over_after_a_short_outage(self) -> None:
        """The store is away when the stop is asked for, and comes back."""

        async def case(testbed: Testbed) -> None:
            content = json.dumps(CONFIGURATION).encode()
            testbed.rows.apply((), (RowPut('op', 'config', content),), ())
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / 'local.json'
                settings = settings_of(testbed)
                settings['bounds']['grace_s'] = 4
                path.write_text(json.dumps(settings), 'utf-8')
                host = HostDaemon(
                    read_settings=lambda: read_platform_settings(path),
                )
                await host.app.start()
                await wait_until(lambda: bool(leader_of(testbed)))
                testbed.store_server.refuse_with = 503
                stopping = asyncio.ensure_future(host.app.stop())
                await asyncio.sleep(1.5)
                testbed.store_server.refuse_with = 0
                await stopping
            self.assertEqual(leader_of(testbed), '')

        on_testbed(case)

    def test_open_requests_do_not_outlast_the_grace(self) -> None:
        """The store is silent, a caller and a peer send half of a request."""

        async def case(testbed: Testbed) -> None:
            content = json.dumps(CONFIGURATION).encode()
            testbed.rows.apply((), (RowPut('op', 'config', content),), ())
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / 'local.json'
                settings = settings_of(testbed)
                settings['bounds']['grace_s'] = GRACE_S
                path.write_text(json.dumps(settings), 'utf-8')
                host = HostDaemon(
                    read_settings=lambda: read_platform_settings(path),
                )
                await host.app.start()
                await wait_until(lambda: bool(leader_of(testbed)))
                testbed.store_server.connections.paused = True
                testbed.store_server.connections.silence()
                halves = [
                    await send_half(address)
                    for address in (host.callers_address, host.relay_address)
                ]
                began_s = testbed.clock.monotonic_s()
                await host.app.stop()
                took_s = testbed.clock.monotonic_s() - began_s
                for writer in halves:
                    writer.close()
            self.assertLess(took_s, GRACE_S)

        on_testbed(case)


async def send_half(address: str) -> asyncio.StreamWriter:
    """Send a request whose body never comes."""
    ip, port = address.split(':')
    _, writer = await asyncio.open_connection(ip, int(port))
    writer.write(
        b'POST /quick/2222222222222222 HTTP/1.1\r\n'
        b'Host: jobs.example\r\n'
        b'Authorization: Bearer key-of-alpha\r\n'
        b'Content-Length: 100\r\n\r\n{',
    )
    await writer.drain()
    return writer


def leader_of(testbed: Testbed) -> str:
    """Return who leads as the store says; empty for nobody."""
    row = testbed.rows.rows.get((tables.LEADER, tables.LEADER_KEY))
    return decode(row.content, LeaderRow).holder if row else ''


async def status(call: Any) -> int:
    """Return the status of a call's answer."""
    async with call as response:
        found: int = response.status
        return found


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until something holds, five seconds at most."""
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError('not within 5 s')


def settings_of(testbed: Testbed) -> dict[str, Any]:
    """Return a host's settings as the platform writes them."""
    return {
        'node_name': 'front-1',
        'ip': '127.0.0.1',
        'zone': 'dc',
        'bind_addrs': {'front': '127.0.0.1:0', 'ready': '127.0.0.1:0'},
        'port_range': [0, 0],
        'platform': {'address': testbed.store_address},
        'bounds': {'max_hold_ms': 6000, 'grace_s': 0.2},
    }
