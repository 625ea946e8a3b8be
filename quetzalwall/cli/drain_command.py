"""``quetzalwall drain``: give an endpoint or an instance no new work."""

import argparse

from quetzalwall.cli.client import CommandError, call
from quetzalwall.cli.settings_command import add_put_options, put_and_wait

__all__ = ["add_parser"]

EXAMPLE = """examples:
  quetzalwall drain od-01 --team desk --wait
  quetzalwall drain od-01 --team desk --undo
"""


def add_parser(commands):
    """Add the subcommand.

    Parameters
    ----------
    commands : argparse action
        Collects subcommands.
    """
    parser = commands.add_parser(
        "drain",
        help="give an endpoint or an instance no new work",
        epilog=EXAMPLE,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_put_options(parser)
    parser.add_argument("name", help="an endpoint or an instance")
    parser.add_argument("--team", required=True)
    parser.add_argument("--undo", action="store_true", help="give it work again")
    parser.set_defaults(run=_run)


def _run(args):
    shown = call(args, "GET", "/settings").body
    subtree = shown["tree"].get(args.team)
    if subtree is None:
        raise CommandError(f"no such team: {args.team}")
    kind = _kind(shown["tree"], args.name)
    leaving = {kind: [], **subtree.get("leaving", {})}
    names = set(leaving[kind]) - {args.name}
    if not args.undo:
        names.add(args.name)
    leaving[kind] = sorted(names)
    changed = {**subtree, "leaving": leaving}
    return put_and_wait(args, args.team, changed, shown["teams"][args.team])


def _kind(tree, name):
    for subtree in tree.values():
        if name in subtree.get("instances", {}):
            return "instances"
        for service in subtree.get("services", {}).values():
            if name in service["endpoints"]:
                return "endpoints"
    raise CommandError(f"no such endpoint or instance: {name}")
