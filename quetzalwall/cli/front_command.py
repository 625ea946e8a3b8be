"""``quetzalwall front``: the daemon of an instance on the platform."""

import argparse
import sys

from quetzalwall.cli.client import WRONG_INPUT
from quetzalwall.exceptions import SettingsError
from quetzalwall.logs import setup_bounded_logs
from quetzalwall.platform.settings import (
    log_ignored,
    read_settings,
    settings_path,
)
from quetzalwall.process.front import run_front
from quetzalwall.process.resource_budget import usable_descriptors

__all__ = ["add_parser"]

EXAMPLE = """example:
  quetzalwall front --settings settings.json --check
"""


def add_parser(commands):
    """Add the subcommand.

    Parameters
    ----------
    commands : argparse action
        Collects subcommands.
    """
    parser = commands.add_parser(
        "front",
        help="run the daemon of an instance on the platform",
        epilog=EXAMPLE,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--settings",
        metavar="FILE",
        default=settings_path(),
        help="settings file; the platform's if not given",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.set_defaults(run=_run)


def _run(args):
    if not args.settings:
        print("quetzalwall: no settings file is named", file=sys.stderr)
        return WRONG_INPUT
    ignored = []
    try:
        settings = read_settings(args.settings, ignored)
    except SettingsError as exc:
        print(exc.message, file=sys.stderr)
        return WRONG_INPUT
    if args.check:
        for fault in ignored:
            print(fault, file=sys.stderr)
        if ignored:
            return WRONG_INPUT
        print(f"{args.settings}: ok")
        return 0
    setup_bounded_logs()
    log_ignored(ignored)
    descriptors = usable_descriptors(settings.descriptors)
    settings = settings._replace(descriptors=descriptors)
    return run_front(settings, args.settings)
