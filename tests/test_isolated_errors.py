"""Errors that one entry, worker, response or job causes stay with it."""

import asyncio
import json
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any, Final
from unittest.mock import patch

import msgspec

from curranthill.dispatch import (
    LeaseOrder,
    LeaseReport,
    RunReport,
    StartOrder,
)
from curranthill.dispatch.run_list import MAX_STRAYS
from curranthill.dispatch.term_state import TermState
from curranthill.placement import ActiveJob
from curranthill.platform.http_client import (
    BodyBudget,
    HttpClient,
    ResponseLostError,
    ResponseTooLargeError,
)
from curranthill.platform.workers import RegisteredWorkers
from curranthill.storage.rows import (
    MalformedRecordError,
    RowPut,
    StoredRow,
)
from curranthill.tasks import JobSpec, TaskKey, tables
from curranthill.tasks.validation import job_id_error
from tests.domain import Domain, in_domain, make_spec
from tests.support import run
from tests.test_foreign_records import ENTRY

SHARED_LIMIT: Final = 'curranthill.platform.http_client.SHARED_BODY_BYTES'

#: Keys that no request can name: the HTTP library raises an error for some, and
#: receivers change others.
UNUSABLE_KEYS: Final = (
    '',
    'batch-7\n',
    'batch\r7',
    'batch\x007',
    'batch-7\x7f',
    'batch\x857',
    ' batch-7',
    'batch-7 ',
    'batch\u20287',
)

USABLE_KEYS: Final = ('i-1', 'i 1', 'ä', '数', 'i/1', 'i%0a', '"')

UNUSABLE_ADDRESSES: Final = (
    '10.1.0.9:8080\n',
    '١٠.1.0.9:8080',
    '10.1.0.9:99999',
    '10.1.0.9:0',
    '10.1.0.999:80',
)


def decode_key(key: str, **fields: Any) -> bool:
    """Return whether an entry under a key is accepted."""
    content = json.dumps({**ENTRY, **fields}).encode()
    try:
        RegisteredWorkers().decode(StoredRow('servers', key, content, 1))
    except MalformedRecordError:
        return False
    return True


class EntryTest(unittest.TestCase):
    """An entry whose key or address no request can have names no worker."""

    def test_unusable_keys_are_refused(self) -> None:
        """A key is sent as a header."""
        for key in UNUSABLE_KEYS:
            with self.subTest(repr(key)):
                self.assertFalse(decode_key(key))
        for key in USABLE_KEYS:
            with self.subTest(repr(key)):
                self.assertTrue(decode_key(key))

    def test_unusable_addresses_are_refused(self) -> None:
        """Also one that ends with a line break, or has other digits."""
        for address in UNUSABLE_ADDRESSES:
            with self.subTest(repr(address)):
                self.assertFalse(decode_key('i-1', address=address))

    def test_numbers_beyond_their_range_are_refused(self) -> None:
        """They would overflow where they are added or converted."""
        self.assertFalse(decode_key('i-1', born=1 << 63))
        headroom = {'cpu': 10**400, 'mem_mb': 1, 'gpu': 1}
        self.assertFalse(decode_key('i-1', headroom=headroom))
        self.assertFalse(decode_key('i-1', clock_ms=1e300))


class WorkerErrorTest(unittest.TestCase):
    """A client of one worker raises errors that nothing foresees."""

    def test_other_workers_are_used_and_the_term_goes_on(self) -> None:
        """The worker is called again later, and used once it responds."""

        async def case(domain: Domain) -> None:
            failing = domain.workers['w0']
            with patch.object(failing, 'renew', side_effect=ValueError('x')):
                leader = await start_leader(domain)
                host = domain.hosts['h1']
                await host.accept(make_spec('a1'))
                self.assertEqual(await domain.ended('a1'), 'completed')
                self.assertIsNotNone(domain.session('w0').unused_reason)
                await domain.clock.advance(20)
            self.assertIs(domain.leading()[0], leader)
            await domain.clock.until(
                lambda: domain.session('w0').accepts_work, within_s=5
            )

        in_domain(case, workers=2)

    def test_an_error_after_a_start_leaves_its_run_unknown(self) -> None:
        """The task is not started elsewhere while the run may exist."""

        async def case(domain: Domain) -> None:
            await start_leader(domain)
            worker = domain.workers['w0']
            start = worker.start

            async def start_and_fail(order: StartOrder) -> float:
                await start(order)
                raise LookupError('unforeseen')

            with patch.object(worker, 'start', start_and_fail):
                await domain.hosts['h1'].accept(make_spec('a1'))
                self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(domain.starts(TaskKey('a1', 0, 0, 0)), [1])

        in_domain(case, workers=1)

    def test_a_worker_that_fails_while_it_runs_tasks_loses_them(self) -> None:
        """Its tasks start elsewhere once their leases have expired."""

        async def case(domain: Domain) -> None:
            await start_leader(domain)
            await domain.hosts['h1'].accept(make_spec('a1'))
            key = TaskKey('a1', 0, 0, 0)
            await domain.clock.until(lambda: bool(domain.starts(key)))
            holder = next(one for one in domain.workers.values() if one.starts)
            with patch.object(holder, 'renew', side_effect=TypeError('x')):
                await domain.clock.advance(25)
                self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(domain.starts(key), [1, 2])

        in_domain(case, workers=2, run_s=15.0)


class OddReportTest(unittest.TestCase):
    """A worker responds at once, or lists many runs that nobody started."""

    def test_few_stray_runs_are_tracked(self) -> None:
        """Each would have a stop queued."""

        async def case(domain: Domain) -> None:
            reports = Reports(strays=300)
            await start_leader(domain)
            with patch.object(domain.workers['w0'], 'renew', reports.renew):
                domain.session('w0').wake()
                await domain.clock.advance(10)
                self.assertLessEqual(len(domain.session('w0').runs), MAX_STRAYS)
                await domain.hosts['h1'].accept(make_spec('a1'))
                self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertLess(reports.count, 40)

        in_domain(case, workers=2)

    def test_renewals_that_are_not_held_have_a_pause(self) -> None:
        """Other workers hold them until a run ends, or for the whole wait."""

        async def case(domain: Domain) -> None:
            reports = Reports(strays=1)
            await start_leader(domain)
            with patch.object(domain.workers['w0'], 'renew', reports.renew):
                domain.session('w0').wake()
                await domain.clock.advance(10)
            self.assertLess(reports.count, 80)

        in_domain(case, workers=1)


class Reports:
    """Reports of some runs, without any wait.

    :param count: how many renewals there were.
    """

    def __init__(self, *, strays: int) -> None:
        """Initialize with the number of runs."""
        self.count = 0
        self._runs = tuple(
            RunReport(TaskKey('zz', 0, 0, rank), 1, '', 5.0)
            for rank in range(strays)
        )

    async def renew(self, order: LeaseOrder) -> LeaseReport:
        """Respond at once."""
        self.count += 1
        return LeaseReport(clock_s=float(self.count), runs=self._runs, ends=())


class JobErrorTest(unittest.TestCase):
    """The work on one job raises errors that nothing foresees."""

    def test_an_error_in_placement_stops_no_other_job(self) -> None:
        """The job itself is tried again."""

        async def case(domain: Domain) -> None:
            leader = await start_leader(domain)
            host = domain.hosts['h1']
            ready_steps = ActiveJob.ready_steps

            def fail_for_first(job: ActiveJob, now_s: float) -> Any:
                if job.spec.job_id == 'a1':
                    raise ArithmeticError('unforeseen')
                return ready_steps(job, now_s)

            with patch.object(ActiveJob, 'ready_steps', fail_for_first):
                await host.accept(make_spec('a1'))
                await host.accept(make_spec('a2'))
                self.assertEqual(await domain.ended('a2'), 'completed')
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertIs(domain.leading()[0], leader)

        in_domain(case)

    def test_a_job_whose_end_can_not_be_recorded_is_set_aside(self) -> None:
        """Its end stays unacknowledged; the next leader records it."""

        async def case(domain: Domain) -> None:
            leader = await start_leader(domain)
            host = domain.hosts['h1']
            with patch.object(
                TermState, 'finish_task', side_effect=KeyError('x')
            ):
                await host.accept(make_spec('a1'))
                await domain.clock.advance(8)
                self.assertIs(domain.leading()[0], leader)
                self.assertEqual(domain.starts(TaskKey('a1', 0, 0, 0)), [1])
            await host.accept(make_spec('a2'))
            self.assertEqual(await domain.ended('a2'), 'completed')
            self.assertNotEqual(domain.state('a1'), 'completed')
            domain.start_host('h2')
            await host.kill()
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(domain.starts(TaskKey('a1', 0, 0, 0)), [1])

        in_domain(case)


class ForeignJobTest(unittest.TestCase):
    """Another writer has put rows into the table of accepted jobs."""

    def test_they_neither_run_nor_stop_other_jobs(self) -> None:
        """Each is logged as malformed."""

        async def case(domain: Domain) -> None:
            spec = make_spec('bad')
            step = spec.steps[0]
            invalid: tuple[dict[str, Any], ...] = (
                {'steps': (step._replace(after=(7,)),)},
                {'steps': ()},
                {'steps': (step._replace(width=10**6),)},
                {'job_id': 'another'},
                {'times': 10**30, 'interval_s': 1.0},
                {'times': 5, 'interval_s': 1e308},
                {'accepted_at_s': 1e308, 'start_at_s': 1e308, 'times': 1},
            )
            for number, fields in enumerate(invalid):
                foreign = spec._replace(**{'job_id': f'bad{number}', **fields})
                store_job(domain, f'bad{number}', foreign)
            leader = await start_leader(domain)
            host = domain.hosts['h1']
            await host.accept(make_spec('a1'))
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertIs(domain.leading()[0], leader)
            count = await host.during(
                host.handler.pending(spec.queue, recount=True)
            )
            self.assertEqual(count, 0)

        in_domain(case)

    def test_progress_of_unknown_tasks_is_malformed(self) -> None:
        """The job does not start, since what runs of it is unknown."""

        async def case(domain: Domain) -> None:
            for name in ('x', '0.0.7', '0.9.0', '5.0.0', '0.0.-1'):
                job_id = f'job{name}'
                store_job(domain, job_id, make_spec(job_id))
                content = json.dumps(['q', 'running', {name: [1]}]).encode()
                put = RowPut(tables.PROGRESS, job_id, content)
                domain.rows.apply((), (put,), ())
            leader = await start_leader(domain)
            await domain.clock.advance(5)
            self.assertIs(domain.leading()[0], leader)
            self.assertFalse(domain.any_run())

        in_domain(case)

    def test_ids_that_would_be_other_keys_are_refused(self) -> None:
        """The key of a cancellation is the id of its job with a suffix."""
        self.assertTrue(job_id_error('a1/cancel'))
        self.assertTrue(job_id_error('a1\n'))
        self.assertFalse(job_id_error('5c0e7a21d94b36f8'))


class ResponseSizeTest(unittest.TestCase):
    """What a peer sends is bounded in size and time."""

    def test_an_endless_response_is_given_up(self) -> None:
        """No more than its limit is kept in memory."""

        async def case() -> None:
            async with peer(endless_body(b'x' * 65_536, 0.0)) as url:
                client = HttpClient()
                with self.assertRaises(ResponseTooLargeError):
                    await client.call('GET', url, timeout_s=1.0)
                await client.close()

        run(case())

    def test_large_responses_share_a_limit(self) -> None:
        """Small ones are received meanwhile."""

        async def case() -> None:
            endless = endless_body(b'x' * 65_536, 0.05)
            async with peer(endless) as url, peer(ended_body) as small_url:
                client = HttpClient()
                with patch(SHARED_LIMIT, 1 << 20):
                    budget = BodyBudget()
                options: Any = {
                    'timeout_s': 1.0,
                    'max_bytes': 1 << 30,
                    'budget': budget,
                }
                calls = [client.call('GET', url, **options) for _ in range(8)]
                large = [asyncio.ensure_future(call) for call in calls]
                response = await client.call(
                    'GET', small_url, timeout_s=1.0, budget=budget
                )
                self.assertEqual(response.body, b'{}')
                ends = await asyncio.gather(*large, return_exceptions=True)
                self.assertEqual(
                    {type(end) for end in ends}, {ResponseTooLargeError}
                )
                await client.close()

        run(case())

    def test_a_trickling_response_is_given_up(self) -> None:
        """Each of its bytes arrives in time, but not the whole body."""

        async def case() -> None:
            async with peer(endless_body(b'x', 0.05)) as url:
                client = HttpClient()
                with self.assertRaises(ResponseLostError):
                    await client.call(
                        'GET', url, timeout_s=1.0, body_timeout_s=0.4
                    )
                await client.close()

        run(case())

    def test_a_redirection_is_not_followed(self) -> None:
        """An order is meant for its worker alone."""

        async def case() -> None:
            async with peer(redirection) as url:
                client = HttpClient()
                response = await client.call('POST', url, timeout_s=1.0)
                self.assertEqual(response.status, 307)
                await client.close()

        run(case())


def store_job(domain: Domain, key: str, spec: JobSpec) -> None:
    """Write a row of accepted jobs as another writer may."""
    content = msgspec.json.encode(spec)
    domain.rows.apply((), (RowPut(tables.INTAKE, key, content),), ())


async def start_leader(domain: Domain) -> object:
    """Start a host and return it once it leads."""
    domain.start_host('h1')
    return await domain.leader()


Body = Any


def endless_body(chunk: bytes, pause_s: float) -> Body:
    """Return a handler that sends a body without an end."""

    async def handle(writer: asyncio.StreamWriter) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
        size = f'{len(chunk):x}'.encode()
        while True:
            writer.write(size + b'\r\n' + chunk + b'\r\n')
            await writer.drain()
            await asyncio.sleep(pause_s)

    return handle


async def ended_body(writer: asyncio.StreamWriter) -> None:
    """Send a small body."""
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')


async def redirection(writer: asyncio.StreamWriter) -> None:
    """Redirect to a port at which nothing listens."""
    writer.write(
        b'HTTP/1.1 307 Other\r\nLocation: http://127.0.0.1:1/\r\n'
        b'Content-Length: 0\r\n\r\n'
    )


@asynccontextmanager
async def peer(send: Body) -> AsyncIterator[str]:
    """Serve a response on the loopback interface; provide its URL."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        with suppress(ConnectionError, asyncio.CancelledError):
            await send(writer)
            await reader.read()
        writer.close()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    try:
        port = server.sockets[0].getsockname()[1]
        yield f'http://127.0.0.1:{port}/'
    finally:
        server.close()
