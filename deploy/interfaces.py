"""Find the binary interfaces of Python for which libraries are installed."""

from __future__ import annotations

import os
import subprocess
import sys
from importlib.machinery import EXTENSION_SUFFIXES
from typing import NamedTuple

__all__ = ["OLDEST", "OWN_TAG", "Interface", "find_interfaces"]

OLDEST, NEWEST = (3, 11), (3, 14)  # releases of Python for which there are libraries
OWN_TAG = EXTENSION_SUFFIXES[0].split(".")[1]
ASK_LIMIT_S = 10.0
USUAL_PLACES = ("/usr/local/bin", "/usr/bin")
ASK = (
    "import sys; from importlib.machinery import EXTENSION_SUFFIXES as s; "
    "print(sys.version_info[0], sys.version_info[1], s[0])"
)


class Interface(NamedTuple):
    """A binary interface of Python for which libraries are installed.

    Attributes
    ----------
    tag : str
        Name of its folder.
    release : tuple of int
        Major and minor number of Python.
    python : str or None
        An interpreter that has it; None if none was found.
    """

    tag: str
    release: tuple
    python: str | None


def find_interfaces(places=None):
    """Return the binary interfaces that may run an instance, that of this Python first.

    Parameters
    ----------
    places : iterable of str, default=None
        Folders with interpreters; those of the path and the usual ones if None.

    Returns
    -------
    list of Interface
    """
    if places is None:
        places = [*os.environ.get("PATH", "").split(os.pathsep), *USUAL_PLACES]
    releases = [(OLDEST[0], minor) for minor in range(OLDEST[1], NEWEST[1] + 1)]
    names = ["python3", *(f"python{major}.{minor}" for major, minor in releases)]
    found = {OWN_TAG: Interface(OWN_TAG, sys.version_info[:2], sys.executable)}
    for path in dict.fromkeys(os.path.join(p, n) for p in places for n in names if p):
        interface = _ask(path) if os.access(path, os.X_OK) else None
        if interface is not None and interface.release >= OLDEST:
            found.setdefault(interface.tag, interface)
    own = "cpython-{}{}-".format(*sys.version_info[:2])
    for release in releases if OWN_TAG.startswith(own) else ():
        other = OWN_TAG.replace(own, "cpython-{}{}-".format(*release))
        found.setdefault(other, Interface(other, release, None))
    return list(found.values())


def _ask(path):
    """Return the interface of an interpreter, or None if it doesn't run."""
    try:
        done = subprocess.run(
            [path, "-c", ASK],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            timeout=ASK_LIMIT_S,
        )
        major, minor, suffix = done.stdout.split()
        return Interface(suffix.split(".")[1], (int(major), int(minor)), path)
    except (OSError, ValueError, IndexError, subprocess.TimeoutExpired):
        return None
