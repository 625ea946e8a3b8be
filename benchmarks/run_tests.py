"""Run all tests and judge them by KNOWN-RED.txt.

A test listed there may fail: it is printed and passed over. Any other failure, and a
listed test that no longer exists, fails the run.
"""

import re
import sys
import time
import unittest
from pathlib import Path

import nose2

__all__ = ["main", "read_known_red"]

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
ENTRY = re.compile(r"^test: (\S+)$", re.MULTILINE)


def read_known_red(text):
    """Return the names of the tests that may fail.

    Parameters
    ----------
    text : str
        Content of KNOWN-RED.txt: the word ``none``, or entries that each begin with a
        line ``test: NAME``.

    Returns
    -------
    set of str

    Examples
    --------
    >>> read_known_red("none")
    set()
    """
    return set(ENTRY.findall(text))


def main():
    """Run all tests.

    Returns
    -------
    int
        Exit status: 0 if no test failed that is not listed.
    """
    began = time.monotonic()
    known = read_known_red(KNOWN_RED.read_text())
    program = nose2.discover(
        argv=["nose2", "--config", str(ROOT / "nose2.cfg"), "-s", str(ROOT)], exit=False
    )
    result = program.result
    failed = {_name(test): text for test, text in result.failures + result.errors}
    unexpected = sorted(set(failed) - known)
    for name in sorted(set(failed) & known):
        print(f"known red: {name}")
    for name in unexpected:
        print(f"FAILED: {name}")
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f"took {time.monotonic() - began:.1f} s")
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or not result.testsRun else 0


def _name(test):
    if isinstance(test, unittest.TestCase):
        return test.id()
    return str(test)


if __name__ == "__main__":
    sys.exit(main())
