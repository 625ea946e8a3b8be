"""What the subcommands share: calls to instances, and output."""

import json
import os

from quetzalwall.connection.json_client import create_json_client
from quetzalwall.exceptions import PeerError

__all__ = [
    "CONFLICT",
    "FAILURE",
    "UNKNOWN",
    "WRONG_INPUT",
    "CommandError",
    "add_common_options",
    "call",
    "call_instance",
    "each_instance",
    "print_table",
    "read_credential",
]

FAILURE = 1
WRONG_INPUT = 2
CONFLICT = 3
UNKNOWN = 4
TIMEOUT_S = 10.0
DEFAULT_INSTANCE = "127.0.0.1:7100"
INSTANCE_VARIABLE = "QUETZALWALL_INSTANCE"
CREDENTIAL_VARIABLE = "QUETZALWALL_CREDENTIAL"


class CommandError(Exception):
    """A subcommand can't go on.

    Parameters
    ----------
    message : str
        Printed to standard error.
    status : int, default=1
        Exit status of the process.
    """

    def __init__(self, message, status=FAILURE):
        super().__init__(message)
        self.status = status


def add_common_options(parser):
    """Add the options that most subcommands have.

    Parameters
    ----------
    parser : argparse.ArgumentParser
        Parser of the subcommand.
    """
    parser.add_argument(
        "--instance",
        default=os.environ.get(INSTANCE_VARIABLE, DEFAULT_INSTANCE),
        metavar="IP:PORT",
        help="look-up address of any instance; several may be given, separated by "
        f"commas, and the first that answers is used (default: ${INSTANCE_VARIABLE})",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def call(args, method, target, body=None, headers=None):
    """Call the first instance that answers.

    Parameters
    ----------
    args : argparse.Namespace
        With ``instance``.
    method, target : str
        HTTP method, and path with query.
    body : object, default=None
        Sent as JSON.
    headers : dict, default=None
        Further headers.

    Returns
    -------
    JsonResponse

    Raises
    ------
    CommandError
        No instance answered.

    Notes
    -----
    Only a reading call goes on to the next instance: another one may have taken
    effect when its answer was lost.
    """
    problems = []
    for place in args.instance.split(","):
        try:
            return call_instance(place, method, target, body, headers)
        except PeerError as exc:
            problems.append(f"{place}: {exc.message}")
            if method != "GET":
                raise CommandError("; ".join(problems), UNKNOWN) from exc
    raise CommandError(f"no instance answered: {'; '.join(problems)}")


def call_instance(place, method, target, body=None, headers=None):
    """Call one instance.

    Parameters
    ----------
    place : str
        IP number and port.
    method, target : str
        HTTP method, and path with query.
    body : object, default=None
        Sent as JSON.
    headers : dict, default=None
        Further headers.

    Returns
    -------
    JsonResponse

    Raises
    ------
    PeerError
        No answer arrived.
    CommandError
        ``place`` is malformed.
    """
    host, _, port = place.partition(":")
    if not port.isdigit():
        raise CommandError(f"--instance: {place!r} is not IP:PORT", WRONG_INPUT)
    client = create_json_client(host, int(port), place, timeout_s=TIMEOUT_S)
    try:
        return client.call(method, target, body, headers=headers)
    finally:
        client.close()


def each_instance(args):
    """Return the status of every instance that may run.

    Parameters
    ----------
    args : argparse.Namespace
        With ``instance``.

    Returns
    -------
    dict of str to dict or None
        Instance to its status; None if it did not answer.
    """
    found = {}
    for name, place in call(args, "GET", "/status").body["instances"].items():
        try:
            found[name] = call_instance(place, "GET", "/status").body
        except PeerError:
            found[name] = None
    return dict(sorted(found.items()))


def read_credential(args):
    """Return a team's credential.

    Parameters
    ----------
    args : argparse.Namespace
        With ``credential_file``.

    Returns
    -------
    str

    Raises
    ------
    CommandError
        There is none, or the file can't be read.
    """
    if args.credential_file:
        try:
            with open(args.credential_file, encoding="utf-8") as file:
                return file.read().strip()
        except OSError as exc:
            message = f"{args.credential_file}: {exc.strerror}"
            raise CommandError(message, WRONG_INPUT) from exc
    credential = os.environ.get(CREDENTIAL_VARIABLE, "")
    if not credential:
        raise CommandError(
            f"give --credential-file or set {CREDENTIAL_VARIABLE}", WRONG_INPUT
        )
    return credential


def print_table(args, rows, columns):
    """Print rows as a table, or as JSON if asked for.

    Parameters
    ----------
    args : argparse.Namespace
        With ``json``.
    rows : list of dict
        The rows.
    columns : sequence of str
        Keys, in order; also the headings.
    """
    if args.json:
        print(json.dumps(rows, indent=2, sort_keys=True))
        return
    cells = [list(columns)]
    cells += [[str(row.get(name, "")) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        print("  ".join(c.ljust(w) for c, w in zip(line, widths, strict=True)).rstrip())
