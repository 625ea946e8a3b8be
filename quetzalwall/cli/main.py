"""Entry point of the ``quetzalwall`` program."""

import argparse
import sys
from importlib import import_module

from quetzalwall.cli.client import CommandError

__all__ = ["create_parser", "main"]

COMMANDS = ("front", "settings", "shift", "drain", "status", "lookup")


def create_parser(names=COMMANDS):
    """Return the parser of subcommands.

    Parameters
    ----------
    names : sequence of str, default=COMMANDS
        The subcommands; only what they need is imported.

    Returns
    -------
    argparse.ArgumentParser
    """
    parser = argparse.ArgumentParser(
        prog="quetzalwall", description="Global traffic steering."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name in names:
        import_module(f"quetzalwall.cli.{name}_command").add_parser(commands)
    return parser


def main(argv=None):
    """Run one subcommand.

    Parameters
    ----------
    argv : sequence of str, default=None
        Arguments; those of the process if None.

    Returns
    -------
    int
        Exit status: 0 for success, 1 for failure, 2 for wrong arguments or settings,
        3 for a conflict, 4 if the outcome is not known or not everywhere yet.
    """
    given = sys.argv[1:] if argv is None else argv
    # A daemon's start costs less processor time without the other subcommands.
    named = [name for name in COMMANDS if given[:1] == [name]]
    args = create_parser(named or COMMANDS).parse_args(argv)
    try:
        return args.run(args)
    except CommandError as exc:
        print(f"quetzalwall: {exc}", file=sys.stderr)
        return exc.status
    except BrokenPipeError:
        return 1


if __name__ == "__main__":
    sys.exit(main())
