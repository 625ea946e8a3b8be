"""Which units to borrow from peers, to lend to them, and to return.

A loan follows demand: an instance asks when requests wait or few slots are free, and
the peer lends what it has not needed lately.
"""

import math
from typing import NamedTuple

from quetzalwall.process.placing.service_state import group_name
from quetzalwall.version.shares import LONG, SHORT

__all__ = [
    "Wish",
    "headroom_units",
    "loans_to_return",
    "may_extend",
    "units_to_lend",
    "wishes",
]

HEADROOM_FRACTION = 0.2  # of the units in use, kept free for the next requests
NEAR_HEADROOM = 1  # free units kept before a loan from the own region is returned
REMOTE_WAIT_S = 0.1
KEEP_FRACTION = 0.2  # of the lender's recent peak, kept beyond it


class Wish(NamedTuple):
    """Units that an instance wants to borrow.

    Attributes
    ----------
    service : str
        Service whose endpoints are wanted.
    kind : {"short", "long"}
        Kind of slot.
    region : str
        Region of the endpoints.
    count : int
        Units at most.
    waiting : int
        Requests that wait at the borrower.
    """

    service: str
    kind: str
    region: str
    count: int
    waiting: int = 0


def wishes(steering, now):
    """Return what this instance wants to borrow now.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of Wish
        In the order of preference: the own region first.
    """
    found = []
    for service in steering.services.values():
        for kind in (SHORT, LONG):
            found += _wishes_of_kind(steering, service, kind, now)
        found += _shift_wishes(steering, service, now)
    return found


def units_to_lend(steering, wish, now):
    """Return the units that this instance would lend.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    wish : Wish
        What the peer wants.
    now : float
        Monotonic seconds.

    Returns
    -------
    dict of str to int
        Key to units; empty if none are spare.
    """
    service = steering.services.get(wish.service)
    if service is None or wish.kind not in service.lines:
        return {}
    ledger = steering.ledger
    keys = service.keys(wish.kind, wish.region)
    spare = {
        key: ledger.owned(key, now) - ledger.lent_units(key) - ledger.used.get(key, 0)
        for key in keys
        if _endpoint(key) not in steering.leaving
    }
    spare = {key: units for key, units in spare.items() if units > 0}
    keep = _units_to_keep(steering, service, wish)
    count = min(wish.count, sum(spare.values()) - keep)
    return _spread(spare, count)


def may_extend(steering, wish, near):
    """Return whether this instance goes on lending what it lent.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    wish : Wish
        What the peer borrowed for.
    near : bool
        Whether the peer is in the same region.

    Returns
    -------
    bool
        False if requests wait here for units lent to another region. There a slot is
        held for the way too, so that such loans, kept on under high load, would make
        the load higher still.
    """
    service = steering.services.get(wish.service)
    if near or service is None or wish.kind not in service.lines:
        return True
    return not len(service.lines[wish.kind])


def loans_to_return(steering, now):
    """Return the borrowed loans that are not needed any more.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of str
        Identifiers of loans.
    """
    found = []
    for service in steering.services.values():
        for kind in (SHORT, LONG):
            if len(service.lines[kind]):
                continue
            # A shift's destination is used a little at a time: keep what serves it.
            kept = _shift_regions(steering, service)
            keys = {k for k in service.keys(kind) if service.region_of(k) not in kept}
            free = _free(steering, service, kind, now)
            headroom = headroom_units(steering, service, kind)
            for loan in sorted(steering.ledger.borrowed.values()):
                if not keys.issuperset(loan.units):
                    continue
                near = steering.region == service.region_of(next(iter(loan.units)))
                # A near slot can be had again within milliseconds, and a borrowed
                # one that is free here helps nobody.
                kept = min(NEAR_HEADROOM, headroom) if near else headroom
                size = sum(loan.units.values())
                if size <= free - kept:
                    free -= size
                    found.append(loan.loan_id)
    return found


def headroom_units(steering, service, kind):
    """Return the free units that an instance wants to have at hand.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    service : ServiceState
        The service.
    kind : {"short", "long"}
        Kind of slot.

    Returns
    -------
    int
    """
    used = _used(steering, service, kind)
    return math.ceil(HEADROOM_FRACTION * used) if used else 0


def _wishes_of_kind(steering, service, kind, now):
    missing = _missing(steering, service, kind, now)
    if missing <= 0:
        return []
    waiting = len(service.lines[kind])
    found = [Wish(service.name, kind, steering.region, missing, waiting)]
    head = service.lines[kind].head()
    if head is not None and now - head.arrived > REMOTE_WAIT_S:
        # A slot in another region is held for the way there and back as well, so it
        # is asked for only when the own region has no more.
        others = [region for region in steering.regions if region != steering.region]
        found += [Wish(service.name, kind, region, waiting) for region in others]
    return found


def _missing(steering, service, kind, now):
    waiting = len(service.lines[kind])
    wanted = waiting + headroom_units(steering, service, kind)
    return wanted - _free(steering, service, kind, now) if wanted else 0


def _shift_wishes(steering, service, now):
    found = []
    for region, fraction in _shift_regions(steering, service).items():
        used = _used(steering, service, SHORT)
        wanted = math.ceil(fraction * used) + 1
        group = group_name(service.name, region, SHORT)
        free = len(steering.ledger.free_keys(group))
        if free < wanted:
            found.append(Wish(service.name, SHORT, region, wanted - free))
    return found


def _shift_regions(steering, service):
    """Return the regions that shifts move this service's work to, with fractions."""
    return {
        progress.spec["to"]: progress.fraction
        for progress in steering.shifts.values()
        if progress.spec["service"] == service.name
        and progress.spec["from"] == steering.region
        and progress.running()
        and progress.fraction
    }


def _units_to_keep(steering, service, wish):
    """Return the units that the lender keeps free for itself.

    A peer whose requests wait gets what is free now, since no request of this instance
    waits; one that only wants headroom gets what was not needed lately.
    """
    waiting = len(service.lines[wish.kind])
    if wish.waiting > waiting:
        return waiting
    peak = service.peak_used[wish.kind]
    used = _used(steering, service, wish.kind)
    return max(0, math.ceil((1 + KEEP_FRACTION) * peak) - used) + waiting


def _spread(spare, count):
    """Return up to ``count`` units, from the keys with the most to spare."""
    units = {}
    left = dict(spare)
    while count > 0 and left:
        key = max(left, key=lambda name: (left[name], name))
        units[key] = units.get(key, 0) + 1
        left[key] -= 1
        if not left[key]:
            del left[key]
        count -= 1
    return units


def _used(steering, service, kind):
    return sum(steering.ledger.used.get(key, 0) for key in service.keys(kind))


def _free(steering, service, kind, now):
    return sum(
        steering.ledger.free(key, now)
        for key in service.keys(kind)
        if _endpoint(key) not in steering.leaving
    )


def _endpoint(key):
    return key.rsplit("/", 1)[0]
