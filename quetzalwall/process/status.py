"""What operators see of an instance."""

from quetzalwall.version.shares import LONG, SHORT

__all__ = ["instance_status", "set_gauges"]


def instance_status(node, stopping, requests):
    """Return the state of an instance as a document.

    Parameters
    ----------
    node : Node
        State of the instance.
    stopping : bool
        Whether a planned stop has begun.
    requests : int
        Requests in flight.

    Returns
    -------
    dict
    """
    now = node.clock.monotonic()
    return {
        "instance": node.name,
        "region": node.settings["region"],
        "stopping": stopping,
        "requests": requests,
        "version_held": node.keeper.held_version(),
        "version_in_force": node.keeper.in_force_version(),
        "lease_s": max(0.0, round(node.holders.lease_until - now, 3)),
        "unsettled": node.shares.unsettled(),
        "shares_held": node.holders.held_shares(),
        "members": {n: m.state for n, m in sorted(node.membership.members.items())},
        "services": {
            name: _service_status(node, service, now)
            for name, service in sorted(node.steering.services.items())
        },
        "shifts": {
            name: _shift_status(node, progress, now)
            for name, progress in sorted(node.steering.shifts.items())
        },
        "loans": {
            "lent": sum(sum(x.units.values()) for x in node.ledger.lent.values()),
            "borrowed": sum(
                sum(x.units.values()) for x in node.ledger.borrowed.values()
            ),
        },
    }


def set_gauges(node):
    """Bring the gauges of an instance up to date.

    Parameters
    ----------
    node : Node
        State of the instance.
    """
    status = instance_status(node, False, 0)
    metrics = node.metrics
    for service, state in status["services"].items():
        for region, slots in state["regions"].items():
            metrics.used.labels(service, region).set(slots["used"])
            metrics.entitled.labels(service, region).set(slots["entitled"])
    for shift, state in status["shifts"].items():
        metrics.moved.labels(shift).set(state["moved"])
        metrics.shift_limit.labels(shift).set(state["limit"])
    metrics.lent.set(status["loans"]["lent"])
    metrics.borrowed.set(status["loans"]["borrowed"])
    metrics.members.set(len(node.membership.usable()))


def _service_status(node, service, now):
    regions = {}
    for region in node.steering.regions:
        keys = service.keys(SHORT, region) + service.keys(LONG, region)
        if keys:
            used = sum(node.ledger.used.get(key, 0) for key in keys)
            entitled = sum(node.ledger.entitled(key, now) for key in keys)
            regions[region] = {"used": used, "entitled": entitled}
    return {
        "regions": regions,
        "waiting": {kind: len(line) for kind, line in service.lines.items()},
        "slow": sorted(service.slow),
        "leaving": sorted(set(service.endpoints) & node.steering.leaving),
        "typical_s": round(service.typical, 5),
    }


def _shift_status(node, progress, now):
    interval_s = progress.spec["interval_s"]
    return {
        "fraction": round(progress.fraction, 4),
        "target": progress.spec["fraction"],
        "reason": progress.reason,
        "moved": progress.window.total(now),
        "limit": node.ledger.entitled(progress.key, now, interval_s),
    }
