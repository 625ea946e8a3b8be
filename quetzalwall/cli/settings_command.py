"""``quetzalwall settings``: check, show and change the settings tree of the teams."""

import argparse
import getpass
import json
import os
import sys
import time

from quetzalwall.cli.client import (
    EXIT_CONFLICT,
    EXIT_FAILURE,
    EXIT_INVALID_INPUT,
    EXIT_UNKNOWN,
    CommandError,
    add_common_options,
    call_any,
    fetch_statuses,
    print_table,
    read_credential,
)
from quetzalwall.exceptions import SettingsError
from quetzalwall.platform.deploy import check_deploy
from quetzalwall.platform.settings import read_settings
from quetzalwall.version.check import check_tree, load_json
from quetzalwall.version.tree import diff_trees

__all__ = ["add_parser", "put_and_wait"]

EXAMPLES = """examples:
  quetzalwall settings check examples/whetstone/tree.json
  quetzalwall settings show --team desk > desk.json
  quetzalwall settings put --team desk --base 3 --wait desk.json
"""
POLL_INTERVAL_S = 0.2
DEFAULT_WAIT_S = 12.0
CHECKS_BY_KIND = {
    "tree": lambda file: check_tree(load_json(file), file),
    "instance": lambda file: [] if read_settings(file) else [],
    "deploy": check_deploy,
}
EXIT_BY_HTTP_STATUS = {409: EXIT_CONFLICT, 503: EXIT_UNKNOWN, 422: EXIT_INVALID_INPUT}


def add_parser(subparsers):
    """Add the subcommand.

    Parameters
    ----------
    subparsers : argparse action
        Return value of ``ArgumentParser.add_subparsers``.
    """
    parser = subparsers.add_parser(
        "settings",
        help="check, show and change the settings tree",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    actions = parser.add_subparsers(dest="action", required=True)
    check = actions.add_parser(
        "check", help="check a file that holds a complete tree or other settings"
    )
    check.add_argument("file")
    check.add_argument(
        "--kind",
        choices=sorted(CHECKS_BY_KIND),
        default="tree",
        help="kind of settings in the file (default: tree)",
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
        "--base",
        type=int,
        required=True,
        help="version that the file is based on, see show",
    )
    put.add_argument("file")
    put.set_defaults(run=_put)
    history = actions.add_parser("history", help="print the latest changes")
    add_common_options(history)
    history.set_defaults(run=_history)


def default_author():
    """Return the name of the user who runs the command, or "user UID" without one.

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
    parser.add_argument(
        "--author", help="author in the history (default: your user name)"
    )
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until the change is active on all instances",
    )
    parser.add_argument("--wait-s", type=float, default=DEFAULT_WAIT_S)


def put_and_wait(args, team, subtree, base):
    """Replace a team's subtree and, with ``--wait``, wait until the change is active.

    Parameters
    ----------
    args : argparse.Namespace
        With the options of `add_put_options`.
    team : str
        Name of the team.
    subtree : dict
        Its new subtree.
    base : int
        Version of the team's subtree that the new one is based on.

    Returns
    -------
    int
        Exit status.

    Raises
    ------
    CommandError
        There is no credential, or no valid response arrived, so that the outcome may
        be unknown.
    """
    author = args.author or default_author()
    body = {"team": team, "subtree": subtree, "base": base, "author": author}
    headers = {"Authorization": f"Bearer {read_credential(args)}"}
    response = call_any(args, "PUT", "/settings", body, headers)
    if response.status != 200:
        _print_rejection(response.body, subtree)
        return EXIT_BY_HTTP_STATUS.get(response.status, EXIT_FAILURE)
    version = response.body["version"]
    print(f"accepted as version {version}", file=sys.stderr)
    return _wait_until_active(args, version) if args.wait else 0


def _check(args):
    try:
        faults = CHECKS_BY_KIND[args.kind](args.file)
    except SettingsError as exc:
        faults = exc.faults
    for fault in faults:
        print(fault, file=sys.stderr)
    if not faults:
        print(f"{args.file}: ok")
    return EXIT_INVALID_INPUT if faults else 0


def _show(args):
    settings = call_any(args, "GET", "/settings").body
    if args.team is None:
        print(json.dumps(settings, indent=2, sort_keys=True))
        return 0
    subtree = settings["tree"].get(args.team)
    if subtree is None:
        raise CommandError(f"no such team: {args.team}")
    print(f"version {settings['teams'][args.team]}", file=sys.stderr)
    print(json.dumps(subtree, indent=2, sort_keys=True))
    return 0


def _diff(args):
    settings = call_any(args, "GET", "/settings").body
    lines = diff_trees(
        settings["tree"].get(args.team, {}), _load_subtree(args.file), f"/{args.team}"
    )
    print("\n".join(lines))
    return EXIT_FAILURE if lines else 0


def _put(args):
    return put_and_wait(args, args.team, _load_subtree(args.file), args.base)


def _history(args):
    response = call_any(args, "GET", "/settings/history")
    if response.status != 200:
        raise CommandError(response.body["message"], EXIT_UNKNOWN)
    rows = response.body["changes"]
    for row in rows:
        row["time"] = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(row["at"]))
        row["changes"] = len(row["diff"])
    print_table(args, rows, ("version", "team", "author", "time", "changes"))
    return 0


def _load_subtree(file):
    try:
        return load_json(file)
    except SettingsError as exc:
        raise CommandError(exc.message, EXIT_INVALID_INPUT) from exc


def _print_rejection(body, subtree):
    print(f"rejected: {body.get('message')}", file=sys.stderr)
    if "current" in body:
        print(f"based on version {body['base']}, now {body['current']}; differences:")
        print("\n".join(diff_trees(body["subtree"], subtree)))


def _wait_until_active(args, version):
    """Wait for a version, print where it is active, and return the exit status."""
    deadline = time.monotonic() + args.wait_s
    while True:
        statuses = fetch_statuses(args)
        pending = [name for name, s in statuses.items() if not _is_active(s, version)]
        if not pending or time.monotonic() > deadline:
            break
        time.sleep(POLL_INTERVAL_S)
    rows = [_activation_row(name, status, version) for name, status in statuses.items()]
    print_table(args, rows, ("instance", "in_force", "state"))
    return EXIT_UNKNOWN if pending else 0


def _is_active(status, version):
    return status is not None and status["version_in_force"] >= version


def _activation_row(name, status, version):
    if status is None:
        return {"instance": name, "in_force": "-", "state": "no answer"}
    state = "in force" if _is_active(status, version) else "accepted, not in force"
    return {
        "instance": name,
        "in_force": status["version_in_force"],
        "state": state,
    }
