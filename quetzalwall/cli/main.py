"""Entry point of the ``quetzalwall`` program."""

import argparse
import sys
from importlib import import_module

from quetzalwall.cli.client import CommandError

__all__ = ["create_parser", "main"]

COMMANDS = ("front", "settings", "config", "shift", "drain", "status", "lookup")


def create_parser(names=COMMANDS):
    """Return the parser of the command line.

    Parameters
    ----------
    names : sequence of str, default=COMMANDS
        Subcommands to add; the modules of others are not imported.

    Returns
    -------
    argparse.ArgumentParser
    """
    parser = argparse.ArgumentParser(
        prog="quetzalwall", description="Global traffic steering."
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    for name in names:
        import_module(f"quetzalwall.cli.{name}_command").add_parser(subparsers)
    return parser


def main(argv=None):
    """Run one subcommand.

    Parameters
    ----------
    argv : sequence of str, default=None
        Command-line arguments; those of the process if None.

    Returns
    -------
    int
        Exit status: 0 for success, 1 for failure, 2 for invalid arguments or
        settings, 3 for a conflict with another change, 4 if the outcome is unknown or
        a change is not active on all instances yet.
    """
    arguments = sys.argv[1:] if argv is None else argv
    # Not importing the other subcommands saves CPU time at the start of a daemon.
    selected = [name for name in COMMANDS if arguments[:1] == [name]]
    args = create_parser(selected or COMMANDS).parse_args(argv)
    try:
        return args.run(args)
    except CommandError as exc:
        print(f"quetzalwall: {exc}", file=sys.stderr)
        return exc.status
    except BrokenPipeError:
        return 1


if __name__ == "__main__":
    sys.exit(main())
