"""Bounds set by the operators, by the platform's names."""

import math
from typing import NamedTuple

from quetzalwall.platform.rows import RowError, parse_duration_s
from quetzalwall.version.check import Fault

__all__ = ["Bounds", "read_bound"]

# The platform's names of bounds, each with the field of `Bounds`.
DURATION_BOUNDS = {
    "stable": "stable_s",
    "drain": "drain_s",
    "grace": "grace_s",
    "config": "config_s",
    "budgetWindow": "retry_window_s",
    "ttl_max": "lookup_ttl_s",
    "reuseAfter": "reuse_after_s",
    "revoke": "revoke_s",
    "quotaWindow": "quota_window_s",
}
NUMBER_BOUNDS = {
    "retryBudgetRatio": "retry_ratio",
    "budgetSlack": "retry_slack",
    "coldOverage": "cold_overage",
    "coldSlack": "cold_slack",
    "maxShift": "shift_cap",
    "quotaOverage": "quota_overage",
    "quotaSlack": "quota_slack",
}
FLAG_BOUNDS = {"failClosed": "fail_closed"}
FLAGS = {True: True, False: False, "true": True, "false": False}


class Bounds(NamedTuple):
    """Bounds set by the operators.

    Attributes
    ----------
    stable_s : float
        Seconds without a failure after which a machine counts as reachable.
    drain_s : float
        Seconds after which a draining endpoint is sent no more requests.
    grace_s : float
        Seconds between the signal to stop and the exit of the process.
    config_s : float
        Seconds within which an accepted configuration becomes active.
    retry_window_s, retry_ratio, retry_slack : float
        Limit on the retries of a service in any window: ratio times its requests, plus
        slack.
    lookup_ttl_s : float
        Maximum time for which callers may cache a look-up response.
    reuse_after_s : float
        Seconds after which an address may be reused by another endpoint.
    cold_overage, cold_slack : float
        Limit on the requests to a cold endpoint in any second: its cold rate times
        overage, plus slack.
    shift_cap : float
        Fraction of a region's requests that may change region in 2 s.
    fail_closed : bool
        Whether requests with a key are rejected while it is not known that the key is
        still valid.
    revoke_s : float
        Seconds after which a withdrawn key must not be accepted any more.
    quota_window_s, quota_overage, quota_slack : float
        Limit on the requests of a client account in any window: its allotment, times 1
        plus overage, plus slack.
    """

    stable_s: float = 4.0
    drain_s: float = 2.5
    grace_s: float = 6.0
    config_s: float = 2.5
    retry_window_s: float = 10.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    lookup_ttl_s: float = 5.0
    reuse_after_s: float = 2.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    shift_cap: float = 0.15
    fail_closed: bool = False
    revoke_s: float = 5.0
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0


def read_bound(file, name, value, bounds, fallback, ignored):
    """Add one bound to ``bounds``; a malformed one gets its value in ``fallback``.

    Parameters
    ----------
    file : str
        Path of the settings file.
    name : str
        The platform's name of the bound; an unknown one is ignored.
    value : object
        Its value in the file.
    bounds : dict
        Receives the value by the name of its field.
    fallback : Bounds
        Values that replace malformed ones.
    ignored : list of Fault
        Receives a malformed value.
    """
    names = DURATION_BOUNDS | NUMBER_BOUNDS | FLAG_BOUNDS
    field = names.get(name)
    if field is None:
        return
    try:
        if name in DURATION_BOUNDS:
            value = parse_duration_s(value)
        number = _parse_flag(value) if name in FLAG_BOUNDS else _parse_number(value)
    except (RowError, TypeError, ValueError) as exc:
        bounds[field] = getattr(fallback, field)
        ignored.append(Fault(file, f"/bounds/{name}", str(value), str(exc)))
    else:
        bounds[field] = number


def _parse_flag(value):
    if not isinstance(value, bool | str) or value not in FLAGS:
        raise ValueError("must be true or false")
    return FLAGS[value]


def _parse_number(value):
    if isinstance(value, bool):
        raise ValueError("must be a number")
    number = float(value)
    if not 0 <= number < math.inf:
        raise ValueError("must be a finite number of at least 0")
    return number
