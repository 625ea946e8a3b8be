"""Run the command line with ``python -m quetzalwall``."""

import signal
import sys

DAEMON = "front"
LIBRARY_MISSING = 1  # exit status


def _run():
    if sys.argv[1:2] == [DAEMON]:
        # Would end the process until its handler is there, which takes a while.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        from quetzalwall.cli.main import main
    except ImportError as exc:
        print(
            f"quetzalwall: a library is missing or does not work: {exc}; "
            "run the build of the deploy file, or pip install",
            file=sys.stderr,
        )
        return LIBRARY_MISSING
    return main()


if __name__ == "__main__":
    sys.exit(_run())
