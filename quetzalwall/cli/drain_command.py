"""``quetzalwall drain``: stop sending new requests to an endpoint."""

import argparse

from quetzalwall.cli.client import CommandError, call_any
from quetzalwall.cli.settings_command import add_put_options, put_and_wait

__all__ = ["add_parser"]

EXAMPLES = """examples:
  quetzalwall drain od-01 --team desk --wait
  quetzalwall drain od-01 --team desk --undo
"""


def add_parser(subparsers):
    """Add the subcommand.

    Parameters
    ----------
    subparsers : argparse action
        Return value of ``ArgumentParser.add_subparsers``.
    """
    parser = subparsers.add_parser(
        "drain",
        help="stop sending new requests to an endpoint",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_put_options(parser)
    parser.add_argument("name", help="name of the endpoint")
    parser.add_argument("--team", required=True)
    parser.add_argument(
        "--undo", action="store_true", help="send new requests to it again"
    )
    parser.set_defaults(run=_run)


def _run(args):
    settings = call_any(args, "GET", "/settings").body
    subtree = settings["tree"].get(args.team)
    if subtree is None:
        raise CommandError(f"no such team: {args.team}")
    if not _has_endpoint(settings["tree"], args.name):
        raise CommandError(f"no such endpoint: {args.name}")
    draining = subtree.get("leaving", {}).get("endpoints", [])
    names = set(draining) - {args.name}
    if not args.undo:
        names.add(args.name)
    new_subtree = {**subtree, "leaving": {"endpoints": sorted(names)}}
    return put_and_wait(args, args.team, new_subtree, settings["teams"][args.team])


def _has_endpoint(tree, name):
    return any(
        name in service["endpoints"]
        for subtree in tree.values()
        for service in subtree.get("services", {}).values()
    )
