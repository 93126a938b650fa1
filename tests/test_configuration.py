"""The configuration: reading, merging, validating and revising its files."""

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
    """Invalid files are refused, with the file and the line."""

    def setUp(self) -> None:
        """Create an empty folder."""
        self._temporary = tempfile.TemporaryDirectory()
        self.addCleanup(self._temporary.cleanup)
        self.folder = Path(self._temporary.name) / 'folder'
        self.folder.mkdir()

    def write(self, name: str, content: bytes) -> None:
        """Write a file into the folder."""
        (self.folder / name).write_bytes(content)

    def error_message(self) -> str:
        """Return the message of the error; the folder must be refused."""
        with self.assertRaises(ConfigurationError) as caught:
            merge(read_folder(self.folder).contents)
        return caught.exception.message

    def test_files_merge_in_the_byte_order_of_their_names(self) -> None:
        """A later file overrides earlier ones; null removes a key."""
        self.write('b.json', b'{"x": {"b": 2, "a": null}}')
        self.write('a.json', b'// first\n{"x": {"a": 1, "b": 1}, "y": [1]}')
        self.write('\u00e4.json', b'{"z": 3}')
        merged = merge(read_folder(self.folder).contents)
        self.assertEqual(merged, {'x': {'b': 2}, 'y': [1], 'z': 3})

    def test_other_entries_are_ignored_with_a_message(self) -> None:
        """Sub-folders, hidden files, backups and other file types."""
        (self.folder / 'sub').mkdir()
        for name in ('.hidden.json', 'a.json~', 'a.json.bak', 'notes.txt'):
            self.write(name, b'not json')
        read = read_folder(self.folder)
        self.assertEqual(read.contents, {})
        self.assertEqual(len(read.ignored), 5)
        self.assertIn('sub: ignored, a sub-folder.', read.ignored)

    def test_duplicate_key_names_file_and_line(self) -> None:
        """A duplicate key is refused."""
        self.write('a.json', b'{\n"kinds": {},\n"kinds": {}\n}')
        self.assertIn('a.json:3', self.error_message())

    def test_invalid_utf8_names_file_and_line(self) -> None:
        """Bytes that are not UTF-8 are refused."""
        self.write('a.json', b'{\n"a": "\xff"\n}')
        self.assertIn('a.json:2', self.error_message())

    def test_broken_json_names_file_and_line(self) -> None:
        """A syntax error is refused."""
        self.write('a.json', b'{\n"a": 1,\n"b": }')
        self.assertIn('a.json:3', self.error_message())

    def test_link_out_of_the_folder_is_refused(self) -> None:
        """A symbolic link may not include a file outside the folder."""
        outside = Path(self._temporary.name) / 'outside.json'
        outside.write_text('{}')
        (self.folder / 'a.json').symlink_to(outside)
        self.assertIn('a.json: the link leads out', self.error_message())

    def test_large_file_is_refused(self) -> None:
        """A file above the maximum size is refused."""
        self.write('a.json', b' ' * (MAX_FILE_BYTES + 1))
        self.assertIn(f'at most {MAX_FILE_BYTES}', self.error_message())

    def test_all_errors_are_listed_at_once(self) -> None:
        """Two invalid files are both named."""
        self.write('a.json', b'{')
        self.write('b.json', b'[]')
        message = self.error_message()
        self.assertIn('a.json', message)
        self.assertIn('b.json', message)

    @given(_JSON, _JSON)
    def test_merge_is_a_json_merge_patch(
        self, first: object, second: object
    ) -> None:
        """Applying a patch again changes nothing; no null is in the result."""
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


class ValidationTest(unittest.TestCase):
    """References to missing entries, and guarantees that do not fit."""

    def test_both_examples_are_valid(self) -> None:
        """The configurations of both example deployments."""
        for name in ('tenggara', 'kalvola'):
            folder = read_folder(EXAMPLES / name / 'configuration')
            document = validate_document(merge(folder.contents))
            self.assertEqual(len(document.workspaces), 4)

    def test_every_error_is_reported(self) -> None:
        """Dangling references, and more guarantees than the data centre has."""
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

    def test_unknown_and_invalid_fields_are_all_named(self) -> None:
        """Each invalid field is named with its path."""
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
    """The settings file of a process."""

    def test_all_invalid_fields_are_named_at_once(self) -> None:
        """One message lists unknown, missing and mistyped fields."""
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
        """A file with comments is read as a record."""
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
    """Concurrent changes by operators, and a table that loses responses."""

    def setUp(self) -> None:
        """Create a revision store over embedded stand-ins."""
        self.clock = ManualClock()
        self.table = EmbeddedTable(clock=self.clock)
        self.objects = EmbeddedObjects(clock=self.clock)
        self.store = self.new_store()

    def new_store(self) -> RevisionStore:
        """Return another operator's revision store on the same platform."""

        async def close() -> None:
            """Do nothing: there are no connections."""

        platform = Platform(
            table=self.table,
            objects=self.objects,
            host_list=None,  # type: ignore[arg-type]
            close=close,
        )
        return RevisionStore(platform=platform, clock=self.clock)

    def test_concurrent_changes_of_different_files_are_both_applied(
        self,
    ) -> None:
        """Both files are in force."""

        async def change_both() -> None:
            await asyncio.gather(
                self.store.apply_change({'a.json': b'{"shapes": {}}'}, 'ann'),
                self.new_store().apply_change(
                    {'b.json': b'{"kinds": {}}'}, 'bo'
                ),
            )

        run(change_both())
        manifest = run(self.store.read_manifest())
        self.assertEqual(sorted(manifest.files), ['a.json', 'b.json'])
        self.assertEqual(manifest.revision, 2)

    def test_later_change_of_the_same_file_is_refused(self) -> None:
        """The error names the change that was applied first."""
        two = b'{"shapes": {"s": {"accelerators": 2}}}'

        async def change_both() -> list[object]:
            return list(
                await asyncio.gather(
                    self.store.apply_change(
                        {'a.json': b'{"shapes": {}}'}, 'ann'
                    ),
                    self.new_store().apply_change({'a.json': two}, 'bo'),
                    return_exceptions=True,
                ),
            )

        outcomes = run(change_both())
        refused = [one for one in outcomes if isinstance(one, Exception)]
        self.assertEqual(len(refused), 1)
        self.assertIn('changed this file first', str(refused[0]))
        self.assertEqual(run(self.store.read_manifest()).revision, 1)

    def test_lost_reply_is_resolved_not_repeated(self) -> None:
        """A change whose response was lost is applied once."""

        async def change() -> None:
            faults = self.table.faults
            faults.settings = faults.settings._replace(lose_replies=1.0)
            work = asyncio.create_task(
                self.store.apply_change({'a.json': b'{"shapes": {}}'}, 'ann'),
            )
            await self.clock.until(work.done)
            manifest = work.result()
            self.assertEqual(manifest.revision, 1)

        run(change())
        self.assertEqual(run(self.store.read_manifest()).revision, 1)
        self.assertEqual(len(run(self.store.read_history())), 1)

    def test_invalid_change_is_never_accepted(self) -> None:
        """A change that would make the document invalid has no effect."""
        with self.assertRaises(ConfigurationError):
            run(
                self.store.apply_change(
                    {'a.json': b'{"kinds": {"k": {"service": "no"}}}'},
                    'ann',
                ),
            )
        self.assertEqual(run(self.store.read_manifest()).revision, 0)

    @given(st.lists(st.integers(min_value=1, max_value=9), max_size=12))
    def test_only_newer_revisions_are_activated(
        self, revisions: list[int]
    ) -> None:
        """The highest revision is in force, in whatever order they arrive."""
        active = ActiveConfiguration()
        manifest = run(
            self.store.apply_change({'a.json': b'{"shapes": {}}'}, 'ann')
        )
        merged = run(self.store.read_document(manifest))
        highest = 0
        for revision in revisions:
            active.activate(manifest._replace(revision=revision), merged)
            highest = max(highest, revision)
            self.assertEqual(active.revision, highest)

    def test_content_that_does_not_match_its_manifest_is_refused(self) -> None:
        """Other content from a peer leaves the present revision in force."""
        active = ActiveConfiguration()
        manifest = run(
            self.store.apply_change({'a.json': b'{"shapes": {}}'}, 'ann')
        )
        self.assertFalse(active.activate(manifest, {'shapes': {'s': {}}}))
        self.assertEqual(active.revision, 0)
