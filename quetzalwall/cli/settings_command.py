"""``quetzalwall settings``: the settings tree, one subtree for each team."""

import argparse
import getpass
import json
import os
import sys
import time

from quetzalwall.cli.client import (
    CONFLICT,
    FAILURE,
    UNKNOWN,
    WRONG_INPUT,
    CommandError,
    add_common_options,
    call,
    each_instance,
    print_table,
    read_credential,
)
from quetzalwall.exceptions import SettingsError
from quetzalwall.platform.deploy import check_deploy
from quetzalwall.platform.settings import read_settings
from quetzalwall.version.check import check_tree, load_json
from quetzalwall.version.tree import diff_trees

__all__ = ["add_parser", "put_and_wait"]

EXAMPLE = """examples:
  quetzalwall settings check examples/whetstone/tree.json
  quetzalwall settings show --team desk > desk.json
  quetzalwall settings put --team desk --base 3 --wait desk.json
"""
POLL_S = 0.2
DEFAULT_WAIT_S = 12.0
CHECKS = {
    "tree": lambda file: check_tree(load_json(file), file),
    "instance": lambda file: [] if read_settings(file) else [],
    "deploy": check_deploy,
}
STATUS_BY_HTTP = {409: CONFLICT, 503: UNKNOWN, 422: WRONG_INPUT}


def add_parser(commands):
    """Add the subcommand.

    Parameters
    ----------
    commands : argparse action
        Collects subcommands.
    """
    parser = commands.add_parser(
        "settings",
        help="check, show and change the settings tree",
        epilog=EXAMPLE,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    actions = parser.add_subparsers(dest="action", required=True)
    check = actions.add_parser("check", help="check a whole tree, or other settings")
    check.add_argument("file")
    check.add_argument(
        "--kind",
        choices=sorted(CHECKS),
        default="tree",
        help="what the file holds (default: tree)",
    )
    check.set_defaults(run=_check)
    show = actions.add_parser("show", help="print the tree or a team's subtree")
    add_common_options(show)
    show.add_argument("--team")
    show.set_defaults(run=_show)
    diff = actions.add_parser("diff", help="compare a file with a team's subtree")
    add_common_options(diff)
    diff.add_argument("--team", required=True)
    diff.add_argument("file")
    diff.set_defaults(run=_diff)
    put = actions.add_parser("put", help="replace a team's subtree")
    add_put_options(put)
    put.add_argument("--team", required=True)
    put.add_argument(
        "--base", type=int, required=True, help="version it was made from, see show"
    )
    put.add_argument("file")
    put.set_defaults(run=_put)
    history = actions.add_parser("history", help="print the latest changes")
    add_common_options(history)
    history.set_defaults(run=_history)


def own_name():
    """Return the name of the user, or a number where there is none.

    Returns
    -------
    str
    """
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"user {os.geteuid()}"


def add_put_options(parser):
    """Add the options of commands that change settings.

    Parameters
    ----------
    parser : argparse.ArgumentParser
        Parser of the command.
    """
    add_common_options(parser)
    parser.add_argument("--credential-file", metavar="FILE")
    parser.add_argument("--author", help="the user if not given")
    parser.add_argument(
        "--wait", action="store_true", help="wait until it is in force everywhere"
    )
    parser.add_argument("--wait-s", type=float, default=DEFAULT_WAIT_S)


def put_and_wait(args, team, subtree, base):
    """Put a team's subtree and, if asked, wait until it is in force.

    Parameters
    ----------
    args : argparse.Namespace
        With the options of `add_put_options`.
    team : str
        The team.
    subtree : dict
        Its new subtree.
    base : int
        Version it was made from.

    Returns
    -------
    int
        Exit status.
    """
    author = args.author or own_name()
    body = {"team": team, "subtree": subtree, "base": base, "author": author}
    headers = {"Authorization": f"Bearer {read_credential(args)}"}
    answer = call(args, "PUT", "/settings", body, headers)
    if answer.status != 200:
        _print_refusal(answer.body, subtree)
        return STATUS_BY_HTTP.get(answer.status, FAILURE)
    version = answer.body["version"]
    print(f"accepted as version {version}", file=sys.stderr)
    return _wait(args, version) if args.wait else 0


def _check(args):
    try:
        faults = CHECKS[args.kind](args.file)
    except SettingsError as exc:
        faults = exc.faults
    for fault in faults:
        print(fault, file=sys.stderr)
    if not faults:
        print(f"{args.file}: ok")
    return WRONG_INPUT if faults else 0


def _show(args):
    shown = call(args, "GET", "/settings").body
    if args.team is None:
        print(json.dumps(shown, indent=2, sort_keys=True))
        return 0
    subtree = shown["tree"].get(args.team)
    if subtree is None:
        raise CommandError(f"no such team: {args.team}")
    print(f"version {shown['teams'][args.team]}", file=sys.stderr)
    print(json.dumps(subtree, indent=2, sort_keys=True))
    return 0


def _diff(args):
    shown = call(args, "GET", "/settings").body
    lines = diff_trees(
        shown["tree"].get(args.team, {}), _load(args.file), f"/{args.team}"
    )
    print("\n".join(lines))
    return FAILURE if lines else 0


def _put(args):
    return put_and_wait(args, args.team, _load(args.file), args.base)


def _history(args):
    answer = call(args, "GET", "/settings/history")
    if answer.status != 200:
        raise CommandError(answer.body["message"], UNKNOWN)
    rows = answer.body["changes"]
    for row in rows:
        row["time"] = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(row["at"]))
        row["changes"] = len(row["diff"])
    print_table(args, rows, ("version", "team", "author", "time", "changes"))
    return 0


def _load(file):
    try:
        return load_json(file)
    except SettingsError as exc:
        raise CommandError(exc.message, WRONG_INPUT) from exc


def _print_refusal(body, subtree):
    print(f"refused: {body.get('message')}", file=sys.stderr)
    if "current" in body:
        print(f"made from version {body['base']}, now {body['current']}; differences:")
        print("\n".join(diff_trees(body["subtree"], subtree)))


def _wait(args, version):
    """Print, instance by instance, where a version is in force."""
    until = time.monotonic() + args.wait_s
    while True:
        states = each_instance(args)
        late = [name for name, s in states.items() if not _in_force(s, version)]
        if not late or time.monotonic() > until:
            break
        time.sleep(POLL_S)
    rows = [_wait_row(name, state, version) for name, state in states.items()]
    print_table(args, rows, ("instance", "in_force", "state"))
    return UNKNOWN if late else 0


def _in_force(state, version):
    return state is not None and state["version_in_force"] >= version


def _wait_row(name, state, version):
    if state is None:
        return {"instance": name, "in_force": "-", "state": "no answer"}
    text = "in force" if _in_force(state, version) else "accepted, not in force"
    return {
        "instance": name,
        "in_force": state["version_in_force"],
        "state": text,
    }
