"""Imports between packages follow the layers in docs/architecture.md."""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

SOURCE = Path(__file__).parent.parent / 'src' / 'curranthill'

#: The layers, lowest first; a package may import from its own and lower ones.
LAYERS = (
    {'errors', 'clock', 'registry', 'application', 'connections'},
    {'settings', 'protocol', 'ingress', 'telemetry'},
    {'jobs', 'configuration', 'workers', 'storage', 'tasks'},
    {'routing', 'membership', 'placement', 'admission'},
    {'gateway', 'scheduler', 'dispatch', 'entry'},
    {'standin', 'load', 'platform'},
    {'commands'},
)


#: Names in the wire formats of the users' platform.
WIRE_NAMES = (
    'acked_through',
    'api_keys',
    'bind_addrs',
    'curranthill/advise',
    'curranthill/blob-',
    'curranthill/hold',
    'curranthill/machine',
    'curranthill/pace',
    'curranthill/rows-',
    'curranthill/run-st',
    'Duty-Holder',
    'data_rack',
    'expected_rev',
    'fencing_token',
    'max_per_server',
    'required_label',
    'schema_ver',
    'target_completion_ms',
    'Target-Instance',
)


def layer_of(package: str) -> int:
    """Return the index of a package's layer."""
    return next(
        number for number, layer in enumerate(LAYERS) if package in layer
    )


def imports_of(path: Path) -> Iterator[str]:
    """Yield the packages of this project that a module imports."""
    for node in ast.walk(ast.parse(path.read_text('utf-8'))):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split('.')
            if parts[0] == 'curranthill' and len(parts) > 1:
                yield parts[1]


class LayeringTest(unittest.TestCase):
    """No package imports from a layer above its own."""

    def test_no_module_imports_from_a_higher_layer(self) -> None:
        """All imports of all modules are checked."""
        violations = [
            f'{path.relative_to(SOURCE)} imports {package}'
            for path in sorted(SOURCE.rglob('*.py'))
            if not path.stem.startswith('inner_') and path.parent != SOURCE
            for package in imports_of(path)
            if layer_of(package) > layer_of(path.relative_to(SOURCE).parts[0])
        ]
        self.assertEqual(violations, [])

    def test_gateway_and_scheduler_do_not_import_each_other(self) -> None:
        """They communicate only through the protocol and the table."""
        for one, other in (('gateway', 'scheduler'), ('scheduler', 'gateway')):
            for path in (SOURCE / one).glob('*.py'):
                self.assertNotIn(other, set(imports_of(path)))

    def test_only_the_entry_point_imports_the_platform_folder(self) -> None:
        """The adapter of the platform stays replaceable."""
        importers = {
            str(path.relative_to(SOURCE))
            for path in SOURCE.rglob('*.py')
            if 'platform' in set(imports_of(path))
            and path.relative_to(SOURCE).parts[0] != 'platform'
        }
        self.assertEqual(importers, {'commands/host.py'})

    def test_wire_names_occur_only_in_the_platform_folder(self) -> None:
        """It decodes them into types with the names of this project."""
        found = [
            f'{path.relative_to(SOURCE)} contains {name}'
            for path in sorted(SOURCE.rglob('*.py'))
            if path.relative_to(SOURCE).parts[0] != 'platform'
            for name in WIRE_NAMES
            if name in path.read_text('utf-8')
        ]
        self.assertEqual(found, [])
