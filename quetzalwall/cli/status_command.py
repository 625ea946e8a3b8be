"""``quetzalwall status``: regions, headroom, endpoints, instances and versions."""

from quetzalwall.cli.client import (
    UNKNOWN,
    add_common_options,
    each_instance,
    print_table,
)

__all__ = ["add_parser"]


def add_parser(commands):
    """Add the subcommand.

    Parameters
    ----------
    commands : argparse action
        Collects subcommands.
    """
    parser = commands.add_parser(
        "status",
        help="print the state of all instances and services",
        epilog="example: quetzalwall status --instance 127.0.0.11:7100",
    )
    add_common_options(parser)
    parser.set_defaults(run=_run)


def _run(args):
    states = each_instance(args)
    if args.json:
        print_table(args, [{"instance": n, "state": s} for n, s in states.items()], ())
    else:
        print_table(args, _instance_rows(states), _INSTANCE_COLUMNS)
        print()
        print_table(args, _service_rows(states), _SERVICE_COLUMNS)
    return UNKNOWN if None in states.values() else 0


_INSTANCE_COLUMNS = (
    "instance",
    "region",
    "in_force",
    "lease_s",
    "requests",
    "lent",
    "borrowed",
    "live",
)
_SERVICE_COLUMNS = ("service", "region", "used", "entitled", "headroom", "slow")


def _instance_rows(states):
    rows = []
    for name, state in states.items():
        if state is None:
            rows.append({"instance": name, "region": "no answer"})
            continue
        live = sum(1 for member in state["members"].values() if member == "live")
        rows.append(
            {
                "instance": name,
                "region": state["region"],
                "in_force": state["version_in_force"],
                "lease_s": state["lease_s"],
                "requests": state["requests"],
                "lent": state["loans"]["lent"],
                "borrowed": state["loans"]["borrowed"],
                "live": live,
            }
        )
    return rows


def _service_rows(states):
    totals = {}
    for state in states.values():
        for service, entry in (state or {}).get("services", {}).items():
            for region, slots in entry["regions"].items():
                row = totals.setdefault(
                    (service, region),
                    {"service": service, "region": region, "used": 0, "entitled": 0},
                )
                row["used"] += slots["used"]
                row["entitled"] += slots["entitled"]
                row["slow"] = ",".join(entry["slow"])
    for row in totals.values():
        free = row["entitled"] - row["used"]
        row["headroom"] = f"{free / row['entitled']:.0%}" if row["entitled"] else "-"
    return [row for _, row in sorted(totals.items())]
