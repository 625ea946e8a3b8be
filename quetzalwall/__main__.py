"""Run the command line with ``python -m quetzalwall``."""

import sys

from quetzalwall.cli.main import main

if __name__ == "__main__":
    sys.exit(main())
