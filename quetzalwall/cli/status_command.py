"""``quetzalwall status``: instances with their versions, services with headroom."""

from quetzalwall.cli.client import (
    EXIT_UNKNOWN,
    add_common_options,
    fetch_statuses,
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
        "status",
        help="print the status of all instances and services",
        epilog="example: quetzalwall status --instance 127.0.0.11:7100",
    )
    add_common_options(parser)
    parser.set_defaults(run=_run)


def _run(args):
    statuses = fetch_statuses(args)
    if args.json:
        print_table(
            args, [{"instance": n, "state": s} for n, s in statuses.items()], ()
        )
    else:
        print_table(args, _instance_rows(statuses), _INSTANCE_COLUMNS)
        print()
        print_table(args, _service_rows(statuses), _SERVICE_COLUMNS)
    return EXIT_UNKNOWN if None in statuses.values() else 0


_INSTANCE_COLUMNS = ("instance", "region", "in_force", "requests", "live")
_SERVICE_COLUMNS = ("service", "region", "open", "slots", "headroom", "avoided")


def _instance_rows(statuses):
    rows = []
    for name, status in statuses.items():
        if status is None:
            rows.append({"instance": name, "region": "no answer"})
            continue
        rows.append(
            {
                "instance": name,
                "region": status["region"],
                "in_force": status["version_in_force"],
                "requests": status["requests"],
                "live": len(status["live"]),
            }
        )
    return rows


def _service_rows(statuses):
    """Return a row per service and region, as the first responding instance has it."""
    status = next((s for s in statuses.values() if s is not None), None)
    rows = []
    for service, regions in sorted((status or {}).get("services", {}).items()):
        for region, load in sorted(regions.items()):
            slots, in_flight = load["slots"], load["open"]
            headroom = f"{max(0, slots - in_flight) / slots:.0%}" if slots else "-"
            rows.append(
                {
                    "service": service,
                    "region": region,
                    "open": in_flight,
                    "slots": slots,
                    "headroom": headroom,
                    "avoided": ",".join(load["avoided"]),
                }
            )
    return rows
