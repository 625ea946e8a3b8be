"""Run the command line with ``python -m quetzalwall``."""

import sys

from quetzalwall.cli.main import main

sys.exit(main())
