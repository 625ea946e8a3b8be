"""Run the command line with ``python -m quetzalwall``."""

import sys

LIBRARY_MISSING = 1  # exit status

if __name__ == "__main__":
    try:
        from quetzalwall.cli.main import main
    except ImportError as exc:
        print(
            f"quetzalwall: a library is missing or does not work: {exc}; "
            "run the build of the deploy file, or pip install",
            file=sys.stderr,
        )
        sys.exit(LIBRARY_MISSING)
    sys.exit(main())
