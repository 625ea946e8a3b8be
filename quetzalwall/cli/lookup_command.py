"""``quetzalwall lookup``: ask which instances a caller should use."""

from urllib.parse import urlencode

from quetzalwall.cli.client import (
    CommandError,
    add_common_options,
    call_any,
    print_table,
)

__all__ = ["add_parser"]


def add_parser(subparsers):
    """Add the subcommand.

    Parameters
    ----------
    subparsers : argparse action
        Return value of ``ArgumentParser.add_subparsers``.
    """
    parser = subparsers.add_parser(
        "lookup",
        help="ask which instances a caller should use",
        epilog="example: quetzalwall lookup order-desk --caller 192.0.2.7",
    )
    add_common_options(parser)
    parser.add_argument("service")
    parser.add_argument("--caller", help="IP address of the caller")
    parser.set_defaults(run=_run)


def _run(args):
    query = {"service": args.service}
    if args.caller:
        query["caller"] = args.caller
    response = call_any(args, "GET", f"/lookup?{urlencode(query)}")
    if response.status != 200:
        raise CommandError(response.body["message"])
    print_table(args, response.body["instances"], ("name", "address", "port"))
    if not args.json:
        print(f"may be cached for {response.body['ttl_s']} s")
    return 0
