"""Malformed records of other writers, and malformed responses."""

import asyncio
import json
import unittest
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, suppress
from typing import Any, Final
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from curranthill.dispatch import AdvisorError, LeaseOrder, StartOrder
from curranthill.dispatch.leadership import leader_row_of
from curranthill.errors import StorageError, WorkerError
from curranthill.placement import WorkerEntry
from curranthill.platform.advisor import PlatformAdvisor
from curranthill.platform.configuration import decode_revision
from curranthill.platform.http_client import HttpResponse
from curranthill.platform.store import PlatformStore
from curranthill.platform.workers import PlatformWorker, RegisteredWorkers
from curranthill.storage.paths import StorePaths
from curranthill.storage.rows import MalformedRecordError, RowPut, StoredRow
from curranthill.tasks import JobProgress, JobSpec, TaskKey, decode, tables
from curranthill.telemetry.events import events
from tests.domain import (
    WORKER_TABLE,
    Domain,
    in_domain,
    make_spec,
)
from tests.platform_standin import worker_row
from tests.support import ManualClock, run
from tests.test_paths import start_two, submit
from tests.test_platform import Testbed, leader_of, on_testbed, wait_until

FIRST = TaskKey('a1', 0, 0, 0)

ENTRY: Final[dict[str, Any]] = {
    'service': 'calc',
    'address': '10.1.0.9:8080',
    'zone': 'dc',
    'version': 'v1',
    'capacity': 8,
    'state': 'ready',
    'sequence': 4,
    'cold_remaining_ms': 0,
    'headroom': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 8},
    'labels': ['a', 'r1-3'],
    'clock_ms': 482113,
    'born': 1700000000123,
}

REQUIRED: Final = (
    'service',
    'address',
    'zone',
    'version',
    'capacity',
    'state',
    'sequence',
    'cold_remaining_ms',
    'headroom',
    'labels',
)

#: Values of types that a field may not accept.
UNEXPECTED: Final[tuple[Any, ...]] = (
    None,
    True,
    [],
    {},
    [1],
    {'x': 1},
    -1,
    0.5,
    '',
    'unexpected',
)

BYTES: Final = (b'', b'\xff\xfe', b'null', b'7', b'"text"', b'[]', b'[[', b'{')

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def row(content: bytes) -> StoredRow:
    """Return a worker's row."""
    return StoredRow('servers', 'i-1', content, 1)


def decode_entry(fields: object) -> WorkerEntry | None:
    """Return the decoded entry, or nothing if it is malformed."""
    try:
        return RegisteredWorkers().decode(row(json.dumps(fields).encode()))
    except MalformedRecordError:
        return None


#: Unexpected values that are nevertheless valid for a field.
VALID_UNEXPECTED: Final[dict[str, tuple[Any, ...]]] = {
    'service': ('unexpected',),
    'zone': ('unexpected',),
    'version': ('', 'unexpected'),
    'labels': ([],),
    'cold_remaining_ms': (0.5,),
}


def malformed_entries() -> Iterator[tuple[str, object]]:
    """Yield entries that lack a field or have one of another type."""
    for name in REQUIRED:
        yield (
            f'without {name}',
            {key: field for key, field in ENTRY.items() if key != name},
        )
        for value in UNEXPECTED:
            if value not in VALID_UNEXPECTED.get(name, ()):
                yield f'{name} {value!r}', {**ENTRY, name: value}
    for name in ENTRY['headroom']:
        capacity = dict(ENTRY['headroom'])
        capacity.pop(name)
        yield f'capacity without {name}', {**ENTRY, 'headroom': capacity}
        for value in UNEXPECTED:
            yield (
                f'capacity with {name} {value!r}',
                {**ENTRY, 'headroom': {**capacity, name: value}},
            )
    for name in ('clock_ms', 'remaining_ms', 'born'):
        for value in (None, True, [], {}, -1, '', 'unexpected'):
            yield f'{name} {value!r}', {**ENTRY, name: value}
    yield 'an unknown state', {**ENTRY, 'state': 'standby'}
    yield 'a number as a label', {**ENTRY, 'labels': ['a', 3]}
    yield 'an address without a port', {**ENTRY, 'address': '10.1.0.9'}


class WorkerEntryTest(unittest.TestCase):
    """Only valid entries of workers are decoded."""

    def test_valid_entries_are_accepted(self) -> None:
        """Entries may also have fields that are unknown here."""
        for entry in (ENTRY, {**ENTRY, 'machine': 'm-1', 'remaining_ms': 20}):
            found = decode_entry(entry)
            assert found is not None
            self.assertEqual(found.incarnation, 1700000000123)
            self.assertEqual(found.capacity.gpus, 8)

    def test_entries_without_optional_fields_are_accepted(self) -> None:
        """The clock and the incarnation are optional."""
        entry = {name: ENTRY[name] for name in REQUIRED}
        found = decode_entry(entry)
        assert found is not None
        self.assertEqual(found.incarnation, 0)

    def test_malformed_entries_are_refused(self) -> None:
        """Fields are missing, of another type, or have an unknown value."""
        for name, entry in malformed_entries():
            with self.subTest(name):
                self.assertIsNone(decode_entry(entry))

    def test_content_that_is_no_json_object_is_refused(self) -> None:
        """The content may not even be text."""
        for content in BYTES:
            with self.subTest(repr(content)):
                with self.assertRaises(MalformedRecordError):
                    RegisteredWorkers().decode(row(content))


class FixedResponse:
    """An HTTP client whose requests all get the same response."""

    def __init__(self, body: bytes, status: int = 200) -> None:
        """Initialize with the response."""
        self.status = status
        self._response = HttpResponse(status, body, 0.0)

    async def call(self, method: str, url: str, **options: Any) -> HttpResponse:
        """Return the response."""
        return self._response

    @asynccontextmanager
    async def open(
        self,
        method: str,
        url: str,
        **options: Any,
    ) -> AsyncIterator['FixedResponse']:
        """Enter with the streaming response, which this object is too."""
        yield self

    async def read(self) -> HttpResponse:
        """Return the complete response."""
        return self._response


ORDER: Final = StartOrder(FIRST, 1, 'text', 5.0, 1)
RENEWAL: Final = LeaseOrder(1, 0, 5.0, 0.0)


class AnyBytesTest(unittest.TestCase):
    """For arbitrary input, decoders raise only their own error."""

    @settings(max_examples=300)
    @given(JSON, st.sampled_from(('', *ENTRY)), JSON)
    def test_entries(self, whole: object, name: str, field: object) -> None:
        """Any JSON value, and an entry with any field replaced."""
        decode_entry(whole)
        decode_entry({**ENTRY, name: field})

    @settings(max_examples=200)
    @given(
        st.binary(max_size=40) | JSON.map(lambda one: json.dumps(one).encode())
    )
    def test_stored_records(self, content: bytes) -> None:
        """The configuration, jobs, job progress and the leader's row."""
        for kind in (JobSpec, JobProgress):
            with suppress(MalformedRecordError):
                decode(content, kind)
        try:
            decode_revision(StoredRow('op', 'config', content, 1))
        except MalformedRecordError as error:
            self.assertEqual(error.step, 'configuration')
        try:
            leader_row_of(StoredRow(tables.LEADER, 'leader', content, 1))
        except StorageError as error:
            self.assertEqual(error.step, 'leader')

    @settings(max_examples=200)
    @given(
        st.binary(max_size=40) | JSON.map(lambda one: json.dumps(one).encode()),
        st.sampled_from((200, 409)),
    )
    def test_responses(self, body: bytes, status: int) -> None:
        """Responses of workers, of the store and of the advisor."""

        async def case() -> None:
            client: Any = FixedResponse(body, status)
            worker = PlatformWorker(
                client=client,
                address='10.0.0.1:80',
                worker_id='i-1',
            )
            store = PlatformStore(
                client=client,
                paths=StorePaths(direct='10.0.0.2:80', peers=tuple),
                clock=ManualClock(),
            )
            advisor = PlatformAdvisor(client=client, address='10.0.0.3:80')
            calls = (
                (worker.start(ORDER), WorkerError),
                (worker.stop(FIRST, 1, 1), WorkerError),
                (worker.renew(RENEWAL), WorkerError),
                (store.commit(), StorageError),
                (store.scan('servers'), StorageError),
                (advisor.ask('a1.0.0', ('i-1',)), AdvisorError),
            )
            for call, error in calls:
                with suppress(error):
                    await call

        asyncio.run(case())


class RowValueTest(unittest.TestCase):
    """A row whose value is not valid base64."""

    def test_the_other_rows_of_its_page_are_returned(self) -> None:
        """Its own content is empty, which no decoder accepts."""
        rows = [
            {
                'table': 'servers',
                'key': 'i-1',
                'value': 'e30=',
                'schema_ver': 4,
            },
            {'table': 'servers', 'key': 'i-2', 'value': 'e3', 'schema_ver': 5},
            {'table': 'servers', 'key': 'i-3', 'value': '!!', 'schema_ver': 6},
        ]
        body = json.dumps({'rows': rows, 'schema_ver': 6}).encode()

        async def case() -> None:
            client: Any = FixedResponse(body)
            store = PlatformStore(
                client=client,
                paths=StorePaths(direct='10.0.0.2:80', peers=tuple),
                clock=ManualClock(),
            )
            listed = await store.scan('servers')
            contents = [stored.content for stored in listed.rows]
            self.assertEqual(contents, [b'{}', b'', b''])

        run(case())


def write(domain: Domain, key: str, content: bytes) -> None:
    """Write a worker's row with arbitrary content."""
    domain.rows.apply((), (RowPut(WORKER_TABLE, key, content),), ())


class RunningHostsTest(unittest.TestCase):
    """Malformed entries while hosts serve callers over real ports."""

    def test_callers_are_served_despite_malformed_entries(self) -> None:
        """First those of other workers, then that of the only good worker."""

        async def case(testbed: Testbed) -> None:
            hosts = await start_two(testbed, first_leads=True)
            address = hosts.second.callers_address
            for number, content in enumerate(BYTES):
                put = RowPut('servers', f'i-bad{number}', content)
                testbed.rows.apply((), (put,), ())
                answer = await submit(address, f'/quick/{number:016x}')
                self.assertEqual(answer, 200)
            await wait_until(
                lambda: len(testbed.worker.starts) == 3 * len(BYTES)
            )
            bad = RowPut('servers', testbed.entry.worker_id, b'[]')
            testbed.rows.apply((), (bad,), ())
            await asyncio.sleep(0.3)
            self.assertEqual(await submit(address, f'/quick/{99:016x}'), 200)
            await asyncio.sleep(0.7)
            self.assertEqual(len(testbed.worker.starts), 3 * len(BYTES))
            testbed.rows.apply((), (worker_row(testbed.entry),), ())
            await wait_until(
                lambda: len(testbed.worker.starts) == 3 + 3 * len(BYTES)
            )
            self.assertEqual(leader_of(testbed), 'front-1')

        on_testbed(case)


class BadEntryTest(unittest.TestCase):
    """A malformed entry among valid ones, read by a leader."""

    def test_valid_entries_of_the_same_change_are_applied(self) -> None:
        """Work goes to the worker that is listed with the malformed entry."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            leader = (await domain.leader()).leader
            write(domain, 'w8', b'\xff')
            domain.add_worker('w9')
            await host.accept(make_spec())
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(len(domain.workers['w9'].starts), 1)
            self.assertIs(host.leader, leader)

        in_domain(case, workers=0)

    def test_a_worker_of_a_service_that_no_queue_names_is_not_used(
        self,
    ) -> None:
        """Its entry is nevertheless valid."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            worker = domain.workers['w0']
            domain.list_worker(worker.entry._replace(service='other'))
            await host.accept(make_spec())
            await domain.clock.advance(5)
            self.assertEqual(worker.starts, [])

        in_domain(case, workers=1)

    def test_a_leader_starts_despite_a_malformed_entry(self) -> None:
        """The entry is stored before the term begins."""

        async def case(domain: Domain) -> None:
            write(domain, 'w8', b'{}')
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec())
            self.assertEqual(await domain.ended('a1'), 'completed')

        in_domain(case, workers=1)

    def test_each_version_of_a_malformed_row_is_logged_once(self) -> None:
        """Reading the whole table again does not log it again."""

        async def case(domain: Domain) -> None:
            domain.start_host('h1')
            await domain.leader()
            with patch.object(events, 'log') as log:
                write(domain, 'w8', b'{}')
                await domain.clock.advance(1)
                domain.rows.truncate_history()
                await domain.clock.advance(3)
                write(domain, 'w8', b'[]')
                await domain.clock.advance(1)
            kinds = [call.args[0] for call in log.call_args_list]
            self.assertIn('feed_history_lost', kinds)
            self.assertEqual(kinds.count('worker_row_bad'), 2)

        in_domain(case, workers=1)

    def test_a_known_worker_gets_no_work_until_its_entry_is_valid(self) -> None:
        """Its current run continues under its lease."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1'))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            worker = domain.workers['w0']
            write(domain, 'w0', b'[]')
            await host.accept(make_spec('b2'))
            await domain.clock.advance(15)
            self.assertEqual(len(worker.runs), 1)
            self.assertEqual(len(worker.starts), 1)
            domain.list_worker(worker.entry)
            self.assertEqual(await domain.ended('a1'), 'completed')
            self.assertEqual(await domain.ended('b2'), 'completed')
            self.assertEqual(domain.starts(FIRST), [1])

        in_domain(case, workers=1, run_s=20)

    def test_the_loss_of_a_worker_with_a_malformed_entry_is_noticed(
        self,
    ) -> None:
        """Its task starts again elsewhere once the lease has expired."""

        async def case(domain: Domain) -> None:
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec('a1'))
            await domain.clock.until(lambda: bool(domain.starts(FIRST)))
            lost = next(
                worker for worker in domain.workers.values() if worker.runs
            )
            write(domain, lost.entry.worker_id, b'7')
            lost.disconnected = True
            await domain.clock.until(
                lambda: len(domain.starts(FIRST)) == 2,
                within_s=20,
            )

        in_domain(case, run_s=30)

    def test_a_malformed_job_does_not_hold_up_others(self) -> None:
        """It is logged, and none of its tasks starts."""

        async def case(domain: Domain) -> None:
            put = RowPut(tables.INTAKE, 'bad', b'\xff')
            domain.rows.apply((), (put,), ())
            host = domain.start_host('h1')
            await domain.leader()
            await host.accept(make_spec())
            self.assertEqual(await domain.ended('a1'), 'completed')

        in_domain(case, workers=1)


if __name__ == '__main__':
    unittest.main()
