"""What a host's program loads, and how it says that it cannot start."""

import os
import subprocess  # noqa: S404
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
PROGRAM = ROOT / 'deploy' / 'host.py'

#: Libraries of the command line alone.
COMMAND_LINE = {'typer', 'rich', 'pydantic', 'click', 'shellingham'}

#: Runs the program to its refusal of absent settings; tells what is loaded.
PROBE = """
import runpy, sys
sys.argv = [{program!r}, *{options!r}]
try:
    runpy.run_path(sys.argv[0])
except SystemExit as end:
    print(end.code, *sys.modules)
"""


def start(*options: str) -> subprocess.CompletedProcess[str]:
    """Start the program as deployed, on a machine without settings."""
    probe = PROBE.format(program=str(PROGRAM), options=options)
    with tempfile.TemporaryDirectory() as folder:
        absent = Path(folder) / 'absent.json'
        return subprocess.run(  # noqa: S603
            (sys.executable, '-c', probe),
            capture_output=True,
            check=True,
            text=True,
            env={**os.environ, 'CURRANTHILL_BOOT': str(absent)},
        )


class StartTest(unittest.TestCase):
    """The program as the deploy file starts it."""

    def test_no_library_of_the_command_line_is_loaded(self) -> None:
        """Every host would hold it for good."""
        loaded = {name.split('.')[0] for name in start().stdout.split()}
        self.assertIn('aiohttp', loaded)
        self.assertEqual(loaded & COMMAND_LINE, set())

    def test_absent_settings_are_told_with_and_without_options(self) -> None:
        """One sentence on standard error and the code of wrong use."""
        for options in ((), ('--without', 'doubt')):
            with self.subTest(options=options):
                done = start(*options)
                self.assertEqual(done.stdout.split()[0], '2')
                self.assertRegex(done.stderr, r'absent\.json cannot be used')
