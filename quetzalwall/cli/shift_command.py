"""``quetzalwall shift``: move traffic between regions under a cap."""

import argparse

from quetzalwall.cli.client import (
    CommandError,
    add_common_options,
    call_any,
    fetch_statuses,
    print_table,
)
from quetzalwall.cli.settings_command import add_put_options, put_and_wait

__all__ = ["add_parser"]

EXAMPLES = """examples:
  quetzalwall shift start to-south --team desk --service order-desk \\
      --from north --to south --fraction 0.5 --cap 20 --interval 1
  quetzalwall shift status
  quetzalwall shift stop to-south --team desk
"""


def add_parser(subparsers):
    """Add the subcommand.

    Parameters
    ----------
    subparsers : argparse action
        Return value of ``ArgumentParser.add_subparsers``.
    """
    parser = subparsers.add_parser(
        "shift",
        help="move traffic between regions",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    actions = parser.add_subparsers(dest="action", required=True)
    start = actions.add_parser("start", help="start or change a shift")
    add_put_options(start)
    start.add_argument("name")
    start.add_argument("--team", required=True)
    start.add_argument("--service", required=True)
    start.add_argument("--from", required=True, dest="source", metavar="REGION")
    start.add_argument("--to", required=True, metavar="REGION")
    start.add_argument("--fraction", type=float, required=True)
    start.add_argument(
        "--cap",
        type=int,
        required=True,
        help="maximum number of requests moved per interval",
    )
    start.add_argument(
        "--interval", type=float, default=1.0, help="seconds (default: 1)"
    )
    start.set_defaults(run=_start)
    stop = actions.add_parser("stop", help="stop a shift")
    add_put_options(stop)
    stop.add_argument("name")
    stop.add_argument("--team", required=True)
    stop.set_defaults(run=_stop)
    status = actions.add_parser("status", help="print the progress of all shifts")
    add_common_options(status)
    status.set_defaults(run=_status)


def _start(args):
    shift = {
        "service": args.service,
        "from": args.source,
        "to": args.to,
        "fraction": args.fraction,
        "cap_requests": args.cap,
        "interval_s": args.interval,
        "state": "running",
    }
    return _put_shift(args, shift)


def _stop(args):
    return _put_shift(args, None)


def _put_shift(args, shift):
    """Put a shift under its name, or mark it as stopped if ``shift`` is None."""
    settings = call_any(args, "GET", "/settings").body
    subtree = settings["tree"].get(args.team)
    if subtree is None:
        raise CommandError(f"no such team: {args.team}")
    shifts = dict(subtree.get("shifts", {}))
    if shift is None:
        if args.name not in shifts:
            raise CommandError(f"team {args.team} has no shift {args.name}")
        shift = {**shifts[args.name], "state": "stopped"}
    shifts[args.name] = shift
    new_subtree = {**subtree, "shifts": shifts}
    return put_and_wait(args, args.team, new_subtree, settings["teams"][args.team])


def _status(args):
    rows = []
    for instance, status in fetch_statuses(args).items():
        for name, shift in (status or {}).get("shifts", {}).items():
            rows.append({"instance": instance, "shift": name, **shift})
    columns = ("instance", "shift", "fraction", "target", "moved", "limit", "reason")
    print_table(args, rows, columns)
    return 0
