"""Status of an instance, as operators see it."""

__all__ = ["instance_status"]


def instance_status(front):
    """Return the status of an instance.

    Parameters
    ----------
    front : Front
        The instance.

    Returns
    -------
    dict
    """
    cfg = front.cluster_state.configuration()
    port = front.settings.listen.lookup[1]
    return {
        "instance": front.settings.instance,
        "region": front.settings.region,
        "domain": front.settings.domain,
        "version_in_force": cfg.version if cfg else 0,
        "requests": front.in_flight,
        "stopping": front.stopping,
        "instances": {
            info.name: f"{info.host}:{port}" for info in front.fleet.members()
        },
        "live": sorted(info.name for info in front.fleet.live()),
        "services": _services(front),
        "shifts": front.limits.shifts.status(),
    }


def _services(front):
    """Return requests in flight and slots by service and region."""
    now = front.clock.monotonic()
    services = {}
    for state in front.endpoints:
        regions = services.setdefault(state.entry.service, {})
        region = regions.setdefault(
            state.region, {"open": 0, "slots": 0, "leaving": 0, "avoided": []}
        )
        region["open"] += state.in_flight()
        if not state.usable():
            region["leaving"] += 1
            continue
        region["slots"] += state.entry.slots
        if state.avoided(now):
            region["avoided"].append(state.name)
    return services
