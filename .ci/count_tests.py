"""Count what a test run's log says, passing over just the known red tests.

Called as ``count_tests.py LOG KNOWN-RED EXIT-CODE PACKAGE``: prints each known
red test of the package with what is said of it, each one that passes now or was
not run, and last two numbers, passed and failed. A test that is listed as
unsteady may pass or fail.
"""

import re
import sys
from pathlib import Path
from typing import NamedTuple

_RAN = re.compile(r'^Ran (\d+) tests? in', re.MULTILINE)
_BAD = re.compile(r'^(?:FAIL|ERROR): \S+ \(([\w.]+)\)', re.MULTILINE)
_SUMMARY = re.compile(r'^FAILED \((.*)\)$', re.MULTILINE)
_UNSTEADY = 'unsteady'
_COUNT = re.compile(r'(?:failures|errors)=(\d+)')


class Verdict(NamedTuple):
    """What a run's log says.

    :param mended: known red tests that did not fail in this run.
    """

    passed: int
    failed: int
    mended: tuple[str, ...]


def known_tests(listing: str, package: str = '') -> dict[str, str]:
    """Return the listed tests of a package, each with what is said of it.

    A line reads ``test | cause | issue``; one that begins with ``#`` is a
    comment. The cause of an unsteady test begins with that word.
    """
    lines = (line.strip() for line in listing.splitlines())
    fields = (line.split('|', 1) for line in lines if line[:1] not in '#')
    return {
        one[0].strip(): one[-1].strip()
        for one in fields
        if one[0].startswith(package)
    }


def judge(log: str, known: dict[str, str], exit_code: int) -> Verdict:
    """Return how many tests passed and failed; known red ones are neither."""
    ran = sum(int(count) for count in _RAN.findall(log)[-1:])
    bad_tests = _BAD.findall(log)
    summary = _SUMMARY.findall(log)[-1:]
    bad = sum(int(count) for one in summary for count in _COUNT.findall(one))
    if exit_code and not bad or not ran:
        # The run broke off, or nothing was found to run.
        bad += 1
        ran += 1
    passed_over = sum(1 for test in bad_tests if test in known)
    mended = tuple(
        test
        for test, remark in known.items()
        if test not in bad_tests and not remark.startswith(_UNSTEADY)
    )
    failed = bad - min(passed_over, bad) + len(mended)
    return Verdict(ran - bad, failed, mended)


def main() -> None:
    """Print the verdict for a log and a list of known red tests."""
    log, listing, exit_code, package = sys.argv[1:]
    known = {}
    if Path(listing).is_file():
        known = known_tests(Path(listing).read_text(), f'{package}.')
    for test, remark in known.items():
        print(f'known red: {test} | {remark}')
    verdict = judge(Path(log).read_text(), known, int(exit_code))
    for test in verdict.mended:
        print(f'listed as red, and passes now or was not run: {test}')
    print(verdict.passed, verdict.failed)


if __name__ == '__main__':
    main()
