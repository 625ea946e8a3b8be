"""``quetzalwall entry``: the daemon of an entry instance."""

import argparse
import sys

from quetzalwall.cli.client import WRONG_INPUT
from quetzalwall.exceptions import SettingsError
from quetzalwall.logs import setup_logs
from quetzalwall.process.entry import run_entry
from quetzalwall.version.check import read_instance_settings

__all__ = ["add_parser"]

EXAMPLE = """example:
  quetzalwall entry --settings examples/whetstone/north-1.json --check
"""


def add_parser(commands):
    """Add the subcommand.

    Parameters
    ----------
    commands : argparse action
        Collects subcommands.
    """
    parser = commands.add_parser(
        "entry",
        help="run the daemon of an entry instance",
        epilog=EXAMPLE,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.set_defaults(run=_run)


def _run(args):
    try:
        settings = read_instance_settings(args.settings)
    except SettingsError as exc:
        print(exc.message, file=sys.stderr)
        return WRONG_INPUT
    if args.check:
        print(f"{args.settings}: ok")
        return 0
    setup_logs(settings.get("log_level", "INFO"))
    return run_entry(settings)
