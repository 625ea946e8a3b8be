"""Run the command line with ``python -m quetzalwall``."""

import importlib.machinery
import os
import signal
import sys

from quetzalwall.streams import open_standard_streams

DAEMON_COMMAND = "front"
EXIT_CANNOT_START = 1
MIN_PYTHON = (3, 11)


def _run():
    open_standard_streams()
    if sys.argv[1:2] == [DAEMON_COMMAND]:
        # The handler is installed after the imports; until then SIGHUP would end us.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if sys.version_info < MIN_PYTHON:
        return _fail("Python {}.{} or later is needed".format(*MIN_PYTHON))
    _add_built_libraries()
    try:
        from quetzalwall.cli.main import main
    except ImportError as exc:
        return _fail(
            f"a library is missing or does not work: {exc}; "
            "run the build command of the deploy file, or pip install"
        )
    return main()


def _add_built_libraries():
    """Make libraries importable that the build has installed for this Python."""
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    tag = importlib.machinery.EXTENSION_SUFFIXES[0].split(".")[1]
    folder = os.path.join(root, "target", "libraries", tag)
    if os.path.isdir(folder):
        # The libraries of a virtual environment take precedence.
        in_venv = sys.prefix != sys.base_prefix
        sys.path.insert(len(sys.path) if in_venv else 1, folder)


def _fail(reason):
    python = ".".join(map(str, sys.version_info[:3]))
    runtime = f"Python {python} at {sys.executable}, user {os.geteuid()}"
    print(f"quetzalwall: {reason} ({runtime})", file=sys.stderr)
    return EXIT_CANNOT_START


if __name__ == "__main__":
    sys.exit(_run())
