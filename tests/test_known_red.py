"""The CI script that evaluates a test run with known failing tests."""

import unittest
from importlib import util
from pathlib import Path
from types import ModuleType

#: The script is not part of the package, so it is loaded by its path.
SCRIPT = Path(__file__).parent.parent / '.ci' / 'count_tests.py'

LOG = """\
======================================================================
FAIL: test_one (tests.test_a.ATest.test_one)
What it is for.
======================================================================
ERROR: test_two (tests.test_a.ATest.test_two)
----------------------------------------------------------------------
Ran 10 tests in 1.000s

FAILED (failures=1, errors=1)
"""


def load() -> ModuleType:
    """Return the script as a module."""
    spec = util.spec_from_file_location('count_tests', SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    module = util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class KnownRedTest(unittest.TestCase):
    """Only failures of listed tests are ignored."""

    def setUp(self) -> None:
        """Load the script."""
        self.script = load()

    def judge(self, listing: str, log: str = LOG, code: int = 1) -> object:
        """Return the numbers passed and failed, and the listed tests mended."""
        known = self.script.known_tests(listing)
        return tuple(self.script.judge(log, known, code))

    def test_without_a_list_every_failure_counts(self) -> None:
        """Both failures count."""
        self.assertEqual(self.judge(''), (8, 2, ()))

    def test_a_listed_failure_is_ignored(self) -> None:
        """The other failure still counts."""
        listing = 'tests.test_a.ATest.test_one | cause | issue 1\n'
        self.assertEqual(self.judge(listing), (8, 1, ()))

    def test_a_listed_test_that_passes_fails_the_run(self) -> None:
        """The commit that fixes a test must also remove its line."""
        name = 'tests.test_a.ATest.test_three'
        self.assertEqual(self.judge(f'{name} | cause'), (8, 3, (name,)))

    def test_a_listed_test_fails_a_run_without_failures(self) -> None:
        """Listed tests are also checked if the whole run passes."""
        log = 'Ran 3 tests in 0.1s\n\nOK\n'
        name = 'tests.test_a.ATest.test_one'
        self.assertEqual(self.judge(name, log, 0), (3, 1, (name,)))

    def test_an_unsteady_test_may_pass_or_fail(self) -> None:
        """It is neither mended nor counted as failed."""
        passing = 'tests.test_a.ATest.test_three | unsteady: seen twice'
        failing = 'tests.test_a.ATest.test_one | unsteady: seen twice'
        self.assertEqual(self.judge(passing), (8, 2, ()))
        self.assertEqual(self.judge(failing), (8, 1, ()))

    def test_only_the_tests_of_the_package_are_known(self) -> None:
        """Each package is run and judged by itself."""
        listing = 'tests.test_a.ATest.test_one | a\ncrowds.test_b.B.c | b\n'
        known = self.script.known_tests(listing, 'crowds.')
        self.assertEqual(known, {'crowds.test_b.B.c': 'b'})

    def test_a_run_without_a_summary_fails(self) -> None:
        """Of a run that was killed no test counts as passed."""
        self.assertEqual(self.judge('', 'killed\n', 2), (0, 1, ()))

    def test_comments_and_empty_lines_are_ignored(self) -> None:
        """They name no tests."""
        self.assertEqual(self.script.known_tests('# text\n\n'), {})


if __name__ == '__main__':
    unittest.main()
