"""Run the command line with ``python -m quetzalwall``."""

import importlib.machinery
import os
import signal
import sys

from quetzalwall.streams import open_standard_streams

DAEMON = "front"
LIBRARY_MISSING = 1  # exit status
OLDEST = (3, 11)


def _run():
    open_standard_streams()
    if sys.argv[1:2] == [DAEMON]:
        # Would end the process until its handler is there, which takes a while.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if sys.version_info < OLDEST:
        return _refuse("Python {}.{} or later is needed".format(*OLDEST))
    _add_libraries()
    try:
        from quetzalwall.cli.main import main
    except ImportError as exc:
        return _refuse(
            f"a library is missing or does not work: {exc}; "
            "run the build of the deploy file, or pip install"
        )
    return main()


def _add_libraries():
    """Let modules be found that the build has installed for this Python, if any."""
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    tag = importlib.machinery.EXTENSION_SUFFIXES[0].split(".")[1]
    folder = os.path.join(root, "target", "libraries", tag)
    if os.path.isdir(folder):
        # A virtual environment has libraries of its own, which go first.
        own = sys.prefix != sys.base_prefix
        sys.path.insert(len(sys.path) if own else 1, folder)


def _refuse(reason):
    python = ".".join(map(str, sys.version_info[:3]))
    place = f"Python {python} at {sys.executable}, user {os.geteuid()}"
    print(f"quetzalwall: {reason} ({place})", file=sys.stderr)
    return LIBRARY_MISSING


if __name__ == "__main__":
    sys.exit(_run())
