"""Shared code of the subcommands: options, requests to instances, and output."""

import json
import os

from quetzalwall.connection.digits import is_decimal
from quetzalwall.connection.json_client import create_json_client
from quetzalwall.exceptions import PeerError

__all__ = [
    "EXIT_CONFLICT",
    "EXIT_FAILURE",
    "EXIT_INVALID_INPUT",
    "EXIT_UNKNOWN",
    "CommandError",
    "add_common_options",
    "call_any",
    "call_instance",
    "fetch_statuses",
    "print_table",
    "read_credential",
]

EXIT_FAILURE = 1
EXIT_INVALID_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
CALL_TIMEOUT_S = 10.0
DEFAULT_INSTANCE = "127.0.0.1:7100"
INSTANCE_VARIABLE = "QUETZALWALL_INSTANCE"
CREDENTIAL_VARIABLE = "QUETZALWALL_CREDENTIAL"


class CommandError(Exception):
    """A subcommand failed.

    Parameters
    ----------
    message : str
        Printed to standard error.
    status : int, default=1
        Exit status of the process.
    """

    def __init__(self, message, status=EXIT_FAILURE):
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
        help="look-up address of any instance, or several separated by commas: "
        f"the first one that responds is used (default: ${INSTANCE_VARIABLE})",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def call_any(args, method, target, body=None, headers=None):
    """Send a request to the first instance that responds.

    Parameters
    ----------
    args : argparse.Namespace
        With ``instance``, addresses separated by commas.
    method, target : str
        HTTP method, and path with query.
    body : object, default=None
        Sent as JSON.
    headers : dict, default=None
        Additional headers.

    Returns
    -------
    JsonResponse

    Raises
    ------
    CommandError
        No instance responded, or an address is malformed.

    Notes
    -----
    Only a GET request is sent to the next instance after a failure. Any other request
    may have taken effect although its response was lost.
    """
    failures = []
    for address in args.instance.split(","):
        try:
            return call_instance(address, method, target, body, headers)
        except PeerError as exc:
            failures.append(f"{address}: {exc.message}")
            if method != "GET":
                raise CommandError("; ".join(failures), EXIT_UNKNOWN) from exc
    raise CommandError(f"no instance responded: {'; '.join(failures)}")


def call_instance(address, method, target, body=None, headers=None):
    """Send a request to one instance.

    Parameters
    ----------
    address : str
        IP address and port.
    method, target : str
        HTTP method, and path with query.
    body : object, default=None
        Sent as JSON.
    headers : dict, default=None
        Additional headers.

    Returns
    -------
    JsonResponse

    Raises
    ------
    PeerError
        No valid response arrived in time.
    CommandError
        ``address`` is malformed.
    """
    host, _, port = address.partition(":")
    if not is_decimal(port):
        raise CommandError(
            f"--instance: {address!r} is not IP:PORT", EXIT_INVALID_INPUT
        )
    client = create_json_client(host, int(port), address, timeout_s=CALL_TIMEOUT_S)
    try:
        return client.call(method, target, body, headers=headers)
    finally:
        client.close()


def fetch_statuses(args):
    """Return the status of every instance that the first responding one knows.

    Parameters
    ----------
    args : argparse.Namespace
        With ``instance``.

    Returns
    -------
    dict of str to dict or None
        Name of the instance to its status, or None if it did not respond. Sorted
        by name.

    Raises
    ------
    CommandError
        No instance responded, or an address is malformed.
    """
    statuses = {}
    for name, address in call_any(args, "GET", "/status").body["instances"].items():
        try:
            statuses[name] = call_instance(address, "GET", "/status").body
        except PeerError:
            statuses[name] = None
    return dict(sorted(statuses.items()))


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
        No credential is given, or the file can't be read.
    """
    if args.credential_file:
        try:
            with open(args.credential_file, encoding="utf-8") as file:
                return file.read().strip()
        except OSError as exc:
            message = f"{args.credential_file}: {exc.strerror}"
            raise CommandError(message, EXIT_INVALID_INPUT) from exc
    credential = os.environ.get(CREDENTIAL_VARIABLE, "")
    if not credential:
        raise CommandError(
            f"give --credential-file or set {CREDENTIAL_VARIABLE}", EXIT_INVALID_INPUT
        )
    return credential


def print_table(args, rows, columns):
    """Print rows as a table, or as JSON with ``--json``.

    Parameters
    ----------
    args : argparse.Namespace
        With ``json``.
    rows : list of dict
        The rows.
    columns : sequence of str
        Keys of the columns in their order, also used as headings. JSON has all keys.
    """
    if args.json:
        print(json.dumps(rows, indent=2, sort_keys=True))
        return
    cells = [list(columns)]
    cells += [[str(row.get(name, "")) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for line in cells:
        print("  ".join(c.ljust(w) for c, w in zip(line, widths, strict=True)).rstrip())
