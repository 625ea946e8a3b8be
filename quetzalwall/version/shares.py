"""Division of the endpoints' slots between the instances.

The same configuration gives the same division on every instance, so that it needs no
messages. Each slot has exactly one owner; the sum of all shares is the capacity.
"""

import math
from typing import NamedTuple

import xxhash

__all__ = [
    "LINK_UNIT_BYTES_PER_S",
    "LONG",
    "SHORT",
    "Share",
    "divide_amount",
    "divide_slots",
    "link_key",
    "shift_key",
    "slot_key",
    "slot_totals",
]

SHORT = "short"
LONG = "long"
DEFAULT_LONG_FRACTION = 0.34
LINK_UNIT_BYTES_PER_S = 64 * 1024
RESERVE_PERIOD = 4  # each fourth unit of a share never changes its owner


class Share(NamedTuple):
    """What one instance owns.

    Attributes
    ----------
    units : dict of str to int
        Slot key to units owned while the instance holds its lease.
    reserve : dict of str to int
        Slot key to the part of ``units`` that is never taken over by another.
    """

    units: dict
    reserve: dict


def slot_key(endpoint, kind):
    """Return the ledger key of an endpoint's slots of one kind.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    kind : {"short", "long"}
        Long slots also take short work; short slots never take long work.

    Returns
    -------
    str
    """
    return f"{endpoint}/{kind}"


def shift_key(shift):
    """Return the ledger key of a shift's requests in an interval.

    Parameters
    ----------
    shift : str
        Name of the shift.

    Returns
    -------
    str
    """
    return f"shift/{shift}"


def link_key(link):
    """Return the ledger key of a link, in units of `LINK_UNIT_BYTES_PER_S`.

    Parameters
    ----------
    link : str
        Name of the link.

    Returns
    -------
    str
    """
    return f"link/{link}"


def slot_totals(cfg, service):
    """Return the slots of a service that may be used, by key.

    Parameters
    ----------
    cfg : dict
        Merged configuration.
    service : str
        Name of the service.

    Returns
    -------
    dict of str to int
        Slot key to units, after the limits of regions.

    Notes
    -----
    A limit below the sum of a region's slots takes away slots one by one, from each
    endpoint in turn, so the limit holds whenever no slot is used twice.
    """
    spec = cfg["services"][service]
    limits = _region_limits(cfg, service)
    totals = {}
    for region in sorted({ep["region"] for ep in spec["endpoints"].values()}):
        slots = {
            name: ep["slots"]
            for name, ep in sorted(spec["endpoints"].items())
            if ep["region"] == region
        }
        kept = _trim(slots, limits.get(region))
        for name, count in kept.items():
            long = _long_slots(cfg, spec, count)
            totals[slot_key(name, SHORT)] = count - long
            totals[slot_key(name, LONG)] = long
    return {key: units for key, units in totals.items() if units}


def divide_slots(cfg):
    """Return the share of each instance.

    Parameters
    ----------
    cfg : dict
        Merged configuration.

    Returns
    -------
    dict of str to Share
        Instance to share. Slots of a region go to that region's instances, or to
        all instances if the region has none.
    """
    shares = {name: Share({}, {}) for name in cfg["instances"]}
    if not shares:
        return shares
    _divide_shifts(cfg, shares)
    _divide_links(cfg, shares)
    held = {}  # service, region and kind to the units of each instance
    for service in sorted(cfg["services"]):
        endpoints = cfg["services"][service]["endpoints"]
        for key, units in sorted(slot_totals(cfg, service).items()):
            endpoint, kind = key.rsplit("/", 1)
            region = endpoints[endpoint]["region"]
            counts = held.setdefault((service, region, kind), dict.fromkeys(shares, 0))
            owners = _owners(cfg, region)
            start = xxhash.xxh32_intdigest(key.encode()) % len(owners)
            order = owners[start:] + owners[:start]
            for _ in range(units):
                owner = _next_owner(shares, counts, order, key)
                _give(shares[owner], key, counts[owner])
                counts[owner] += 1
    return shares


def divide_amount(total, instances, instance):
    """Return one instance's part of an amount of whole units.

    Parameters
    ----------
    total : int
        The amount.
    instances : iterable of str
        All instances.
    instance : str
        The instance.

    Returns
    -------
    int
        The parts of all instances add up to ``total``.

    Examples
    --------
    >>> [divide_amount(10, ["a", "b", "c"], name) for name in "abc"]
    [4, 3, 3]
    """
    order = sorted(instances)
    if instance not in order:
        return 0
    base, rest = divmod(total, len(order))
    return base + (order.index(instance) < rest)


def _divide_shifts(cfg, shares):
    """Divide each shift's cap between the instances of the region it leaves."""
    for name, shift in cfg["shifts"].items():
        _divide_evenly(
            shares, _owners(cfg, shift["from"]), shift_key(name), shift["cap_requests"]
        )


def _divide_links(cfg, shares):
    """Divide each link between the instances of the two regions it joins."""
    for name, link in cfg["links"].items():
        owners = sorted({o for region in link["between"] for o in _owners(cfg, region)})
        units = link["bytes_per_s"] // LINK_UNIT_BYTES_PER_S
        _divide_evenly(shares, owners, link_key(name), units)


def _divide_evenly(shares, owners, key, total):
    for owner in owners:
        units = divide_amount(total, owners, owner)
        if units:
            shares[owner].units[key] = units
            shares[owner].reserve[key] = units // RESERVE_PERIOD


def _next_owner(shares, counts, order, key):
    """Return the instance with the fewest units of the group, then of the key."""
    return min(order, key=lambda name: (counts[name], shares[name].units.get(key, 0)))


def _give(share, key, count):
    share.units[key] = share.units.get(key, 0) + 1
    if count % RESERVE_PERIOD == 0:
        share.reserve[key] = share.reserve.get(key, 0) + 1


def _owners(cfg, region):
    local = sorted(
        name for name, spec in cfg["instances"].items() if spec["region"] == region
    )
    return local or sorted(cfg["instances"])


def _region_limits(cfg, service):
    """Return region to the service's slots there, from both kinds of limit."""
    limits = dict(cfg["services"][service].get("region_limits", {}))
    for region, spec in cfg["regions"].items():
        if "max_concurrency" not in spec:
            continue
        part = _service_part(cfg, region, service, spec["max_concurrency"])
        limits[region] = min(part, limits.get(region, part))
    return limits


def _service_part(cfg, region, service, limit):
    """Return a service's part of a region's limit, in proportion to its slots."""
    slots = {
        name: sum(
            ep["slots"] for ep in spec["endpoints"].values() if ep["region"] == region
        )
        for name, spec in cfg["services"].items()
    }
    total = sum(slots.values())
    if total <= limit:
        return slots[service]
    return math.floor(limit * slots[service] / total)


def _trim(slots, limit):
    kept = dict(slots)
    if limit is None:
        return kept
    while sum(kept.values()) > limit:
        largest = max(kept, key=lambda name: (kept[name], name))
        kept[largest] -= 1
    return kept


def _long_slots(cfg, spec, slots):
    has_long = any(
        cfg["classes"][route["class"]].get("long", False) for route in spec["routes"]
    )
    if not has_long or slots < 2:
        return slots if has_long and slots and _all_long(cfg, spec) else 0
    fraction = spec.get("long_fraction", DEFAULT_LONG_FRACTION)
    return min(slots - 1, max(1, math.floor(slots * fraction + 1e-9)))


def _all_long(cfg, spec):
    return all(
        cfg["classes"][route["class"]].get("long", False) for route in spec["routes"]
    )
