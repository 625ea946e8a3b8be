"""Warnings about entries without effect and limits that contradict each other."""

from types import MappingProxyType
from typing import NamedTuple

from quetzalwall.version.accounts import route_for_account
from quetzalwall.version.check import Fault, shorten_value
from quetzalwall.version.key_digests import KeyHider
from quetzalwall.version.model import MAX_TIMEOUT_S, Route

__all__ = [
    "ConfigurationReview",
    "LocatedRoute",
    "review_accounts",
    "review_limits",
    "review_routes",
    "review_services",
    "shorten_values",
]


class ConfigurationReview(NamedTuple):
    """What is known of a configuration before it is sent.

    Attributes
    ----------
    file : str
        File that holds it.
    form : str
        ``"rows"``, ``"tree"``, or ``"unknown"`` if the file can't be read.
    version : int or None
        Its version; None if it states none or has errors.
    errors : sequence of Fault
        What an instance would reject.
    warnings : sequence of Fault
        What an instance would accept, but probably is not meant.
    sections : dict of str to dict of str to Entry
        Entries by section and name; empty if it has errors.
    keys : frozenset of str
        Keys that must not be shown.
    """

    file: str
    form: str
    version: int | None = None
    errors: tuple = ()
    warnings: tuple = ()
    sections: dict = MappingProxyType({})
    keys: frozenset = frozenset()


class LocatedRoute(NamedTuple):
    """A route and where it stands.

    Attributes
    ----------
    path : str
        Path of the route in the file.
    route : Route
        The route.
    fields : dict of str to str
        Attribute of the route to the name of its field in the file.
    has_attempts : bool
        Whether the file sets the number of attempts. The default is no contradiction.
    """

    path: str
    route: Route
    fields: dict
    has_attempts: bool = False

    def warning(self, file, attribute, message):
        """Return a warning about one attribute."""
        value = getattr(self.route, attribute)
        path = f"{self.path}/{self.fields.get(attribute, attribute)}"
        return Fault(file, path, value, message)


def shorten_values(warnings, keys=()):
    """Return warnings with their values as short texts.

    Parameters
    ----------
    warnings : list of Fault
        What the functions of this module return, with complete values.
    keys : iterable of str, default=()
        Keys that must not be shown. They are replaced before a value is truncated,
        since a part of a key could not be recognised.

    Returns
    -------
    list of Fault
    """
    hider = KeyHider(keys)
    return [
        warning._replace(value=shorten_value(hider.hide(warning.value)))
        for warning in warnings
    ]


def review_routes(file, located):
    """Return warnings about routes.

    Parameters
    ----------
    file : str
        File named in warnings.
    located : list of LocatedRoute
        All routes, in the order of the file.

    Returns
    -------
    list of Fault
    """
    warnings = _unmatched_warnings(file, located)
    for item in located:
        warnings += _limit_warnings(file, item)
    return warnings


def _unmatched_warnings(file, located):
    """Return warnings about routes that no request matches.

    A longer prefix never takes all paths of a shorter one: the shorter prefix itself is
    a path that only the shorter one matches, unless it can't be a path.
    """
    warnings = []
    earlier = {}
    for item in located:
        route = item.route
        if any(char == "?" or char <= " " or char == "\x7f" for char in route.prefix):
            message = "no path contains a query, a blank or a control character"
            warnings.append(item.warning(file, "prefix", f"never matches: {message}"))
        if ":" in route.host:
            message = "never matches: the port is removed from a requested host"
            warnings.append(item.warning(file, "host", message))
        same = earlier.setdefault((route.host, route.prefix), [])
        warnings += _overlap_warnings(file, item, same)
        same.append(item)
    return warnings


def _overlap_warnings(file, item, same):
    """Return a warning if earlier routes of the same prefix take some requests."""
    methods = set(item.route.methods)
    for other in same:
        if not other.route.methods:
            message = f"never matches: {other.path} has the same host and prefix"
            return [item.warning(file, "prefix", message)]
    taken = methods & {name for other in same for name in other.route.methods}
    if not taken:
        return []
    scope = "" if taken == methods else f" for {', '.join(sorted(taken))}"
    paths = ", ".join(o.path for o in same if taken & set(o.route.methods))
    message = f"never matches{scope}: {paths} has the same host, prefix and methods"
    return [item.warning(file, "methods", message)]


def _limit_warnings(file, item):
    route, warnings = item.route, []
    if not any(weight > 0 for _, weight in route.split):
        message = "weights are all zero: the services get equal parts"
        warnings.append(item.warning(file, "split", message))
    if route.timeout_s is not None and route.timeout_s > MAX_TIMEOUT_S:
        message = f"longer than an instance waits at most, {MAX_TIMEOUT_S:g} s"
        warnings.append(item.warning(file, "timeout_s", message))
    if route.timeout_s is not None and route.target_s > route.timeout_s:
        message = f"target of response time above the timeout, {route.timeout_s:g} s"
        warnings.append(item.warning(file, "target_s", message))
    if item.has_attempts and route.attempts > 1 and not route.idempotent:
        message = "several attempts, but the requests may not be repeated"
        warnings.append(item.warning(file, "attempts", message))
    return warnings


def review_services(file, paths, located):
    """Return warnings about services that no route names.

    Parameters
    ----------
    file : str
        File named in warnings.
    paths : dict of str to str
        Service to its path in the file.
    located : list of LocatedRoute
        All routes.

    Returns
    -------
    list of Fault
    """
    used = {name for item in located for name, _ in item.route.split}
    return [
        Fault(file, path, name, "service without a route")
        for name, path in paths.items()
        if name not in used
    ]


def review_accounts(file, accounts, located, fields):
    """Return warnings about client accounts.

    Parameters
    ----------
    file : str
        File named in warnings.
    accounts : list of (str, ClientAccount)
        Path and account.
    located : list of LocatedRoute
        All routes.
    fields : dict of str to str
        As of `LocatedRoute`, for accounts.

    Returns
    -------
    list of Fault
    """
    warnings = []
    # Thousands of routes have few different lists of regions.
    by_regions = {}
    for item in located:
        if not item.route.public:
            by_regions.setdefault(item.route.regions, []).append(item)
    for path, account in accounts:
        if account.per_s > 0 and account.burst < 1:
            message = f"burst below 1 at a rate of {account.per_s:g} a second"
            warnings.append(
                Fault(file, f"{path}/{fields['burst']}", account.burst, message)
            )
        closed = [
            item.path
            for items in by_regions.values()
            if route_for_account(items[0].route, account) is None
            for item in items
        ]
        if closed:
            others = f" and {len(closed) - 1} others" if len(closed) > 1 else ""
            message = f"no region in common with the route {closed[0]}{others}"
            warnings.append(
                Fault(file, f"{path}/{fields['regions']}", account.regions, message)
            )
    return warnings


def review_limits(file, limits):
    """Return warnings about the limits on callers.

    Parameters
    ----------
    file : str
        File named in warnings.
    limits : Limits
        The limits.

    Returns
    -------
    list of Fault
    """
    if limits.header_timeout_s <= limits.idle_timeout_s:
        return []
    message = f"above the idle timeout, {limits.idle_timeout_s:g} s"
    return [Fault(file, "/limits/headerTimeout", limits.header_timeout_s, message)]
