"""The operators' folder: reading, merging, checking, revisions."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from curranthill.configuration import (
    ActiveConfiguration,
    RevisionStore,
    canonical_json,
    merge,
    read_folder,
    validate_document,
)
from curranthill.configuration.folder import MAX_FILE_BYTES
from curranthill.errors import ConfigurationError
from curranthill.settings import HostSettings, read_settings
from curranthill.settings.records import GatewaySettings
from curranthill.storage import Platform
from tests.support import EmbeddedObjects, EmbeddedTable, ManualClock, run

EXAMPLES = Path(__file__).parent.parent / 'examples'

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=3),
    lambda inner: st.dictionaries(st.sampled_from('abc'), inner, max_size=3),
    max_leaves=8,
)


class FolderTest(unittest.TestCase):
    """Wrong input is named by file and line, and nothing is applied."""

    def setUp(self) -> None:
        """Make an empty folder."""
        self._temporary = tempfile.TemporaryDirectory()
        self.addCleanup(self._temporary.cleanup)
        self.folder = Path(self._temporary.name) / 'folder'
        self.folder.mkdir()

    def write(self, name: str, content: bytes) -> None:
        """Write one file of the folder."""
        (self.folder / name).write_bytes(content)

    def fault(self) -> str:
        """Return the message of a folder that is refused."""
        with self.assertRaises(ConfigurationError) as caught:
            merge(read_folder(self.folder).contents)
        return caught.exception.message

    def test_files_merge_in_the_byte_order_of_their_names(self) -> None:
        """A later name wins; null removes."""
        self.write('b.json', b'{"x": {"b": 2, "a": null}}')
        self.write('a.json', b'// first\n{"x": {"a": 1, "b": 1}, "y": [1]}')
        self.write('\u00e4.json', b'{"z": 3}')
        merged = merge(read_folder(self.folder).contents)
        self.assertEqual(merged, {'x': {'b': 2}, 'y': [1], 'z': 3})

    def test_other_entries_are_ignored_with_a_line(self) -> None:
        """Sub-folders, hidden files and backups do not count."""
        (self.folder / 'sub').mkdir()
        for name in ('.hidden.json', 'a.json~', 'a.json.bak', 'notes.txt'):
            self.write(name, b'not json')
        read = read_folder(self.folder)
        self.assertEqual(read.contents, {})
        self.assertEqual(len(read.ignored), 5)
        self.assertIn('sub: ignored, a sub-folder.', read.ignored)

    def test_duplicate_key_names_file_and_line(self) -> None:
        """A key that stands twice is refused."""
        self.write('a.json', b'{\n"kinds": {},\n"kinds": {}\n}')
        self.assertIn('a.json:3', self.fault())

    def test_invalid_utf8_names_file_and_line(self) -> None:
        """Bytes that are no UTF-8 are refused."""
        self.write('a.json', b'{\n"a": "\xff"\n}')
        self.assertIn('a.json:2', self.fault())

    def test_broken_json_names_file_and_line(self) -> None:
        """A syntax fault is refused."""
        self.write('a.json', b'{\n"a": 1,\n"b": }')
        self.assertIn('a.json:3', self.fault())

    def test_link_out_of_the_folder_is_refused(self) -> None:
        """A symlink may not bring in a file from elsewhere."""
        outside = Path(self._temporary.name) / 'outside.json'
        outside.write_text('{}')
        (self.folder / 'a.json').symlink_to(outside)
        self.assertIn('a.json: the link leads out', self.fault())

    def test_large_file_is_refused(self) -> None:
        """A file above its bound is refused."""
        self.write('a.json', b' ' * (MAX_FILE_BYTES + 1))
        self.assertIn(f'at most {MAX_FILE_BYTES}', self.fault())

    def test_all_faults_are_listed_at_once(self) -> None:
        """Two broken files give two lines."""
        self.write('a.json', b'{')
        self.write('b.json', b'[]')
        fault = self.fault()
        self.assertIn('a.json', fault)
        self.assertIn('b.json', fault)

    @given(_JSON, _JSON)
    def test_merge_is_a_json_merge_patch(
        self, first: object, second: object
    ) -> None:
        """Merging twice changes nothing more, and null never stays."""
        files = {
            'a.json': canonical_json({'v': first}),
            'b.json': canonical_json({'v': second}),
        }
        once = merge(files)
        twice = merge(files | {'c.json': files['b.json']})
        self.assertEqual(once, twice)
        self.assertNotIn('null', canonical_json(once).decode())
        if not isinstance(second, dict) and second is not None:
            self.assertEqual(once, {'v': second})


class CrossCheckTest(unittest.TestCase):
    """Names that refer to nothing and promises that do not fit."""

    def test_both_examples_are_in_order(self) -> None:
        """The deployments of the brief check clean."""
        for name in ('tenggara', 'kalvola'):
            folder = read_folder(EXAMPLES / name / 'configuration')
            document = validate_document(merge(folder.contents))
            self.assertEqual(len(document.workspaces), 4)

    def test_every_fault_is_reported(self) -> None:
        """Dangling names and a promise beyond the data centre."""
        with self.assertRaises(ConfigurationError) as caught:
            validate_document(
                {
                    'shapes': {'big': {'accelerators': 64}},
                    'kinds': {
                        'x': {'service': 'no', 'lane': 'long', 'shape': 'no'},
                    },
                    'data_centres': {
                        'dc': {
                            'region': 'r',
                            'racks': {'r1': {'workers': 8, 'slots': 8}},
                        },
                    },
                    'workspaces': {
                        'w': {
                            'token_digests': [],
                            'guarantees': [
                                {
                                    'shape': 'big',
                                    'count': 2,
                                    'data_centre': 'dc',
                                },
                                {
                                    'shape': 'big',
                                    'count': 1,
                                    'data_centre': 'nowhere',
                                },
                            ],
                        },
                    },
                },
            )
        message = caught.exception.message
        self.assertIn("no service is named 'no'", message)
        self.assertIn("no shape is named 'no'", message)
        self.assertIn("no data centre is named 'nowhere'", message)
        self.assertIn('does not fit dc beside the other', message)

    def test_unknown_and_wrong_fields_are_all_named(self) -> None:
        """Each wrong field is named with its path."""
        with self.assertRaises(ConfigurationError) as caught:
            validate_document(
                {
                    'shapes': {'s': {'accelerators': 'many', 'adjacent': 'x'}},
                    'spare': {},
                },
            )
        message = caught.exception.message
        for path in ('shapes.s.accelerators', 'shapes.s.adjacent', 'spare'):
            self.assertIn(path, message)


class SettingsTest(unittest.TestCase):
    """A process's settings file."""

    def test_all_wrong_fields_are_named_at_once(self) -> None:
        """Unknown, missing and mistyped fields stand in one message."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'gateway.json'
            path.write_text(
                '{"host": {"name": "e1", "region": "r"},'
                ' "platform": {"url": 1}, "spare": 1}',
            )
            with self.assertRaises(Exception) as caught:
                read_settings(GatewaySettings, path)
        message = str(caught.exception)
        for part in ('host.data_centre', 'platform.url', 'spare'):
            self.assertIn(f'gateway.json: {part}', message)

    def test_comments_are_allowed(self) -> None:
        """A file with comments gives its record."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'gateway.json'
            path.write_text(
                '// where\n{"host": {"name": "e1", "region": "r",'
                ' "data_centre": "dc"}, "platform": {"url": "u"}}',
            )
            record = read_settings(GatewaySettings, path)
        self.assertEqual(
            record.host,
            HostSettings(name='e1', data_centre='dc', region='r'),
        )


class RevisionTest(unittest.TestCase):
    """Operators who race each other, and a table that loses replies."""

    def setUp(self) -> None:
        """Make a store of revisions over embedded stand-ins."""
        self.clock = ManualClock()
        self.table = EmbeddedTable(clock=self.clock)
        self.objects = EmbeddedObjects(clock=self.clock)
        self.store = self.new_store()

    def new_store(self) -> RevisionStore:
        """Return another operator's client of the same platform."""

        async def close() -> None:
            """Nothing is open."""

        platform = Platform(
            table=self.table,
            objects=self.objects,
            host_list=None,  # type: ignore[arg-type]
            close=close,
        )
        return RevisionStore(platform=platform, clock=self.clock)

    def test_changes_of_different_files_both_land(self) -> None:
        """Two operators at the same moment: both files are in force."""

        async def race() -> None:
            await asyncio.gather(
                self.store.apply({'a.json': b'{"shapes": {}}'}, 'ann'),
                self.new_store().apply({'b.json': b'{"kinds": {}}'}, 'bo'),
            )

        run(race())
        manifest = run(self.store.read_manifest())
        self.assertEqual(sorted(manifest.files), ['a.json', 'b.json'])
        self.assertEqual(manifest.revision, 2)

    def test_later_change_of_the_same_file_is_refused(self) -> None:
        """The second operator is told what it lost to."""
        two = b'{"shapes": {"s": {"accelerators": 2}}}'

        async def race() -> list[object]:
            return list(
                await asyncio.gather(
                    self.store.apply({'a.json': b'{"shapes": {}}'}, 'ann'),
                    self.new_store().apply({'a.json': two}, 'bo'),
                    return_exceptions=True,
                ),
            )

        outcomes = run(race())
        refused = [one for one in outcomes if isinstance(one, Exception)]
        self.assertEqual(len(refused), 1)
        self.assertIn('changed this file first', str(refused[0]))
        self.assertEqual(run(self.store.read_manifest()).revision, 1)

    def test_lost_reply_is_resolved_not_repeated(self) -> None:
        """A change whose reply was lost counts once."""

        async def change() -> None:
            faults = self.table.faults
            faults.settings = faults.settings._replace(lose_replies=1.0)
            work = asyncio.create_task(
                self.store.apply({'a.json': b'{"shapes": {}}'}, 'ann'),
            )
            await self.clock.until(work.done)
            manifest = work.result()
            self.assertEqual(manifest.revision, 1)

        run(change())
        self.assertEqual(run(self.store.read_manifest()).revision, 1)
        self.assertEqual(len(run(self.store.read_history())), 1)

    def test_faulty_change_is_never_accepted(self) -> None:
        """A merge that fails its checks leaves the old in force."""
        with self.assertRaises(ConfigurationError):
            run(
                self.store.apply(
                    {'a.json': b'{"kinds": {"k": {"service": "no"}}}'},
                    'ann',
                ),
            )
        self.assertEqual(run(self.store.read_manifest()).revision, 0)

    @given(st.lists(st.integers(min_value=1, max_value=9), max_size=12))
    def test_holder_only_moves_upwards(self, revisions: list[int]) -> None:
        """Whatever order revisions come in, the highest stays."""
        holder = ActiveConfiguration()
        manifest = run(self.store.apply({'a.json': b'{"shapes": {}}'}, 'ann'))
        merged = run(self.store.read_document(manifest))
        highest = 0
        for revision in revisions:
            holder.activate(manifest._replace(revision=revision), merged)
            highest = max(highest, revision)
            self.assertEqual(holder.revision, highest)

    def test_content_that_is_not_the_manifests_is_refused(self) -> None:
        """A peer's wrong content leaves the old in force."""
        holder = ActiveConfiguration()
        manifest = run(self.store.apply({'a.json': b'{"shapes": {}}'}, 'ann'))
        self.assertFalse(holder.activate(manifest, {'shapes': {'s': {}}}))
        self.assertEqual(holder.revision, 0)
