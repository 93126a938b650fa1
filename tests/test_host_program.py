"""The imports of the host program, and its error for missing settings."""

import os
import subprocess  # noqa: S404
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
PROGRAM = ROOT / 'deploy' / 'host.py'

#: Libraries that only the command line needs.
COMMAND_LINE = {'typer', 'rich', 'pydantic', 'click', 'shellingham'}

#: Runs the program until it refuses the missing settings, then prints its exit
#: code and the loaded modules.
PROBE = """
import runpy, sys
sys.argv = [{program!r}, *{options!r}]
try:
    runpy.run_path(sys.argv[0])
except SystemExit as end:
    print(end.code, *sys.modules)
"""


def start(*options: str) -> subprocess.CompletedProcess[str]:
    """Run the program as deployed, without a settings file."""
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
    """The program that the deploy file starts."""

    def test_no_library_of_the_command_line_is_loaded(self) -> None:
        """It would stay in the memory of each host."""
        loaded = {name.split('.')[0] for name in start().stdout.split()}
        self.assertIn('aiohttp', loaded)
        self.assertEqual(loaded & COMMAND_LINE, set())

    def test_missing_settings_are_reported_with_and_without_options(
        self,
    ) -> None:
        """A message on standard error and the exit code of a usage error."""
        for options in ((), ('--without', 'doubt')):
            with self.subTest(options=options):
                completed = start(*options)
                self.assertEqual(completed.stdout.split()[0], '2')
                self.assertRegex(
                    completed.stderr, r'absent\.json cannot be used'
                )
