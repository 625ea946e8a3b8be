"""``quetzalwall front``: run the daemon of an instance."""

import argparse
import sys

from quetzalwall.cli.client import EXIT_INVALID_INPUT
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

EXAMPLES = """example:
  quetzalwall front --settings settings.json --check
"""


def add_parser(subparsers):
    """Add the subcommand.

    Parameters
    ----------
    subparsers : argparse action
        Return value of ``ArgumentParser.add_subparsers``.
    """
    parser = subparsers.add_parser(
        "front",
        help="run the daemon of an instance",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--settings",
        metavar="FILE",
        default=settings_path(),
        help="settings file (default: the one that the platform provides)",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and exit"
    )
    parser.set_defaults(run=_run)


def _run(args):
    if not args.settings:
        print("quetzalwall: no settings file given, see --settings", file=sys.stderr)
        return EXIT_INVALID_INPUT
    ignored = []
    try:
        settings = read_settings(args.settings, ignored)
    except SettingsError as exc:
        print(exc.message, file=sys.stderr)
        return EXIT_INVALID_INPUT
    if args.check:
        for fault in ignored:
            print(fault, file=sys.stderr)
        if ignored:
            return EXIT_INVALID_INPUT
        print(f"{args.settings}: ok")
        return 0
    setup_bounded_logs()
    log_ignored(ignored)
    descriptors = usable_descriptors(settings.descriptors)
    settings = settings._replace(descriptors=descriptors)
    return run_front(settings, args.settings)
