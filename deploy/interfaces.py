"""Find the binary interfaces (ABIs) of Python for which to install libraries."""

from __future__ import annotations

import os
import subprocess
import sys
from importlib.machinery import EXTENSION_SUFFIXES
from typing import NamedTuple

__all__ = ["OLDEST_RELEASE", "OWN_TAG", "Interface", "find_interfaces"]

OLDEST_RELEASE, NEWEST_RELEASE = (3, 11), (3, 14)  # supported releases of Python
OWN_TAG = EXTENSION_SUFFIXES[0].split(".")[1]  # of the Python that runs this code
PROBE_TIMEOUT_S = 10.0
DEFAULT_FOLDERS = ("/usr/local/bin", "/usr/bin")
PROBE_PROGRAM = (
    "import sys; from importlib.machinery import EXTENSION_SUFFIXES as s; "
    "print(sys.version_info[0], sys.version_info[1], s[0])"
)


class Interface(NamedTuple):
    """A binary interface of Python for which libraries are installed.

    Attributes
    ----------
    tag : str
        Tag in the file names of its extension modules, such as
        ``cpython-311-x86_64-linux-gnu``; also the name of its library folder.
    release : tuple of int
        Major and minor version of Python.
    python : str or None
        Path of an interpreter with this interface; None if none was found.
    """

    tag: str
    release: tuple
    python: str | None


def find_interfaces(folders=None):
    """Return the binary interfaces that may run an instance, that of this Python first.

    Parameters
    ----------
    folders : iterable of str, default=None
        Folders to search for interpreters; those of ``PATH`` and the default ones if
        None.

    Returns
    -------
    list of Interface
        Those of the interpreters found, and of supported releases without one.
    """
    if folders is None:
        folders = [*os.environ.get("PATH", "").split(os.pathsep), *DEFAULT_FOLDERS]
    releases = [
        (OLDEST_RELEASE[0], minor)
        for minor in range(OLDEST_RELEASE[1], NEWEST_RELEASE[1] + 1)
    ]
    names = ["python3", *(f"python{major}.{minor}" for major, minor in releases)]
    found = {OWN_TAG: Interface(OWN_TAG, sys.version_info[:2], sys.executable)}
    for path in dict.fromkeys(os.path.join(f, n) for f in folders for n in names if f):
        interface = _probe(path) if os.access(path, os.X_OK) else None
        if interface is not None and interface.release >= OLDEST_RELEASE:
            found.setdefault(interface.tag, interface)
    own_prefix = "cpython-{}{}-".format(*sys.version_info[:2])
    for release in releases if OWN_TAG.startswith(own_prefix) else ():
        tag = OWN_TAG.replace(own_prefix, "cpython-{}{}-".format(*release))
        found.setdefault(tag, Interface(tag, release, None))
    return list(found.values())


def _probe(path):
    """Return the interface of an interpreter, or None if it can't be determined."""
    try:
        process = subprocess.run(
            [path, "-c", PROBE_PROGRAM],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            timeout=PROBE_TIMEOUT_S,
        )
        major, minor, suffix = process.stdout.split()
        return Interface(suffix.split(".")[1], (int(major), int(minor)), path)
    except (OSError, ValueError, IndexError, subprocess.TimeoutExpired):
        return None
