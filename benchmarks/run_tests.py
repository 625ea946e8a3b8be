"""Run all tests; the run fails for failures that KNOWN-RED.txt does not list.

A listed test that fails is printed and does not fail the run. Any other failed test
does, and so does a listed test that no longer exists. Entries that name a day of
the separate program ``fleetbench`` are only printed: it is not run here.
"""

import re
import sys
import time
from pathlib import Path
from xml.etree import ElementTree

import nose2

__all__ = ["main", "parse_known_red", "read_outcomes"]

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
REPORT_FILE = ROOT / "build" / "junit.xml"
TEST_ENTRY = re.compile(r"^test: (\S+)$", re.MULTILINE)
DAY_ENTRY = re.compile(r"^day: (.+)$", re.MULTILINE)


def parse_known_red(text):
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
    >>> parse_known_red("none")
    set()
    """
    return set(TEST_ENTRY.findall(text))


def main():
    """Run all tests.

    Returns
    -------
    int
        Exit status: 0 if tests ran, each failed test is listed and each listed test
        exists; else 1.
    """
    started_at = time.monotonic()
    known_red_text = KNOWN_RED_FILE.read_text()
    known_red = parse_known_red(known_red_text)
    REPORT_FILE.parent.mkdir(exist_ok=True)
    REPORT_FILE.unlink(missing_ok=True)
    nose2.discover(
        argv=["nose2", "--config", str(ROOT / "nose2.cfg"), "-s", str(ROOT)], exit=False
    )
    outcomes = read_outcomes(REPORT_FILE)
    failed = {name for name, outcome in outcomes.items() if outcome == "failed"}
    for name in sorted(failed & known_red):
        print(f"known red: {name}")
    for day in DAY_ENTRY.findall(known_red_text):
        print(f"known red, not run here: {day}")
    unexpected = sorted(failed - known_red) + sorted(known_red - set(outcomes))
    for name in unexpected:
        print(f"FAILED: {name}")
    passed = sum(1 for outcome in outcomes.values() if outcome == "passed")
    print(f"took {time.monotonic() - started_at:.1f} s")
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or not outcomes else 0


def read_outcomes(report):
    """Return the outcome of each test.

    Parameters
    ----------
    report : pathlib.Path
        Report in the JUnit XML format.

    Returns
    -------
    dict of str to str
        Name of a test to ``"passed"``, ``"failed"`` or ``"skipped"``.
    """
    outcomes = {}
    for case in ElementTree.parse(report).getroot().iter("testcase"):
        name = f"{case.get('classname')}.{case.get('name')}"
        if case.find("failure") is not None or case.find("error") is not None:
            outcomes[name] = "failed"
        elif case.find("skipped") is not None:
            outcomes[name] = "skipped"
        else:
            outcomes[name] = "passed"
    return outcomes


if __name__ == "__main__":
    sys.exit(main())
