"""Settings of an instance that runs on the platform.

The platform fills in ``deploy/settings.json.template`` and puts the result where an
environment variable says. It holds all fields that the platform has, which are
translated here; a file of one's own holds the project's names, but for the bounds.
"""

import math
import os
import socket
from typing import NamedTuple

import jsonschema

from quetzalwall.exceptions import SettingsError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.fields import read_bound_table, settings_from_fields
from quetzalwall.platform.rows import RowError, parse_duration_s
from quetzalwall.version.check import Fault, load_json

__all__ = [
    "FROM_TREE",
    "Bounds",
    "InstanceSettings",
    "Listen",
    "format_addresses",
    "log_ignored",
    "parse_place",
    "read_settings",
    "settings_path",
]

PATH_VARIABLE = "QUETZALWALL_NODE_FILE"
PLACE = {"type": "string", "format": "place"}
NAME = {"type": "string", "minLength": 1}
AMOUNT = {"type": "number", "exclusiveMinimum": 0, "maximum": 1e9}
MOST_PORT = 65535
FROM_OPERATORS, FROM_TREE = "operators", "tree"  # where the configuration comes from
DEFAULT_LINK_MBPS = 1000.0
DEFAULT_MEMORY_MB = 300.0
DEFAULT_CONNECTIONS = 4096
LISTENERS = ("callers", "health", "peers", "lookup", "metrics")
SCHEMA = {
    "type": "object",
    "required": ["instance", "address", "region", "domain", "domains", "listen"]
    + ["peer_ports", "store"],
    "properties": {
        "instance": NAME,
        "address": {"type": "string", "format": "address"},
        "region": NAME,
        "domain": NAME,
        "domains": {"type": "object", "additionalProperties": NAME},
        "listen": {
            "type": "object",
            "required": list(LISTENERS),
            "properties": dict.fromkeys(LISTENERS, PLACE),
        },
        "peer_ports": {
            "type": "array",
            "items": {"type": "integer", "minimum": 1, "maximum": MOST_PORT},
            "minItems": 2,
            "maxItems": 2,
        },
        "seeds": {"type": "array", "items": PLACE},
        "store": PLACE,
        "configuration": {"enum": [FROM_OPERATORS, FROM_TREE]},
        "link_mbps": AMOUNT,
        "memory_mb": AMOUNT,
        "connections": {"type": "integer", "minimum": 1},
        "bounds": {"type": "object"},
    },
}
# What an instance can do without, by a default.
OPTIONAL = frozenset(("seeds", "link_mbps", "memory_mb", "connections", "bounds"))
DEFAULT_METRICS_PORT = 9464
# The platform's name of a bound, to the field of `Bounds`.
SECONDS = {
    "stable": "stable_s",
    "drain": "drain_s",
    "grace": "grace_s",
    "config": "config_s",
    "budgetWindow": "retry_window_s",
    "ttl_max": "lookup_ttl_s",
    "reuseAfter": "reuse_after_s",
}
NUMBERS = {
    "retryBudgetRatio": "retry_ratio",
    "budgetSlack": "retry_slack",
    "coldOverage": "cold_overage",
    "coldSlack": "cold_slack",
    "maxShift": "shift_cap",
}


LOG = get_logger("settings")
FORMATS = jsonschema.FormatChecker(formats=())


@FORMATS.checks("address", raises=OSError)
def _check_address(text):
    return not isinstance(text, str) or bool(socket.inet_pton(socket.AF_INET, text))


@FORMATS.checks("place", raises=(OSError, ValueError))
def _check_place(text):
    if not isinstance(text, str):
        return True
    host, port = parse_place(text)
    return _check_address(host) and 0 < port <= MOST_PORT


VALIDATOR = jsonschema.Draft202012Validator(SCHEMA, format_checker=FORMATS)


class Bounds(NamedTuple):
    """Bounds that the operators have set, in seconds and fractions.

    Attributes
    ----------
    stable_s : float
        Seconds without trouble after which a machine counts as reachable.
    drain_s : float
        Seconds after which a leaving endpoint gets nothing more.
    grace_s : float
        Seconds between the signal to stop and the end of the process.
    config_s : float
        Seconds in which an accepted configuration is in force.
    retry_window_s, retry_ratio, retry_slack : float
        Retries of a service in any window: ratio of its requests, plus slack.
    lookup_ttl_s : float
        Longest time for which callers may keep a look-up's answer.
    reuse_after_s : float
        Seconds after which another endpoint may have an address.
    cold_overage, cold_slack : float
        Requests to a cold endpoint in any second: rate times overage, plus slack.
    shift_cap : float
        Part of a region's requests that may change region in 2 s.
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


class Listen(NamedTuple):
    """Addresses that the process listens on, each as (IP number, port)."""

    callers: tuple
    health: tuple
    peers: tuple
    lookup: tuple
    metrics: tuple


class InstanceSettings(NamedTuple):
    """Checked settings of one instance.

    Attributes
    ----------
    instance, address, region, domain : str
        Name, IP number, region and failure domain.
    domains : dict of str to str
        Region of each failure domain.
    listen : Listen
        Where the process listens.
    peer_port : int
        Port of the datagrams between instances.
    seeds : list of (str, int)
        Instances to ask while the store is down; they may be down themselves.
    store : (str, int)
        Address of the metadata store.
    link_mbps : float
        Rate of the machine's link in Mbit/s.
    memory_mb : float
        Memory that the process may use, in MB.
    descriptors : int
        Descriptors that the process may have open.
    config_source : str
        ``"operators"`` for the platform's own, ``"tree"`` for the product's tree.
    bounds : Bounds
        The operators' bounds.
    """

    instance: str
    address: str
    region: str
    domain: str
    domains: dict
    listen: Listen
    peer_port: int
    seeds: list
    store: tuple
    link_mbps: float
    memory_mb: float
    descriptors: int
    config_source: str
    bounds: Bounds


def settings_path(environ=None):
    """Return the path of the settings file that the platform names.

    Parameters
    ----------
    environ : mapping, default=None
        Environment; that of the process if None.

    Returns
    -------
    str or None
    """
    return (os.environ if environ is None else environ).get(PATH_VARIABLE)


def read_settings(file, ignored=None, former=None):
    """Return the checked settings of a file.

    Parameters
    ----------
    file : str
        Path of the file.
    ignored : list of Fault, default=None
        Gets the values that can't be read and that an instance can do without.
    former : InstanceSettings, default=None
        Settings whose values hold instead of those; defaults if None.

    Returns
    -------
    InstanceSettings

    Raises
    ------
    SettingsError
        Names every fault of what is needed, each with file, path and value.
    """
    ignored = [] if ignored is None else ignored
    body = _given(load_json(file))
    if isinstance(body, dict):
        _drop_faulty(file, body, ignored)
    faults = [_fault(file, error) for error in VALIDATOR.iter_errors(body)]
    if faults:
        raise SettingsError("\n".join(str(fault) for fault in faults), faults)
    settings = InstanceSettings(
        instance=body["instance"],
        address=body["address"],
        region=body["region"],
        domain=body["domain"],
        domains=body["domains"],
        listen=Listen(
            **{name: parse_place(body["listen"][name]) for name in LISTENERS}
        ),
        peer_port=int(body["peer_ports"][0]),
        seeds=[parse_place(text) for text in body.get("seeds", ())],
        store=parse_place(body["store"]),
        link_mbps=float(body.get("link_mbps", DEFAULT_LINK_MBPS)),
        memory_mb=float(body.get("memory_mb", DEFAULT_MEMORY_MB)),
        descriptors=int(body.get("connections", DEFAULT_CONNECTIONS)),
        config_source=body.get("configuration", FROM_OPERATORS),
        bounds=Bounds(),
    )
    unread = {fault.path.split("/")[1] for fault in ignored}
    if former is not None and "seeds" in unread and not settings.seeds:
        settings = settings._replace(seeds=former.seeds)
    if former is not None and "bounds" in unread and "bounds" not in body:
        return settings._replace(bounds=former.bounds)
    known = former.bounds if former is not None else settings.bounds
    bounds = {}
    for name, value in body.get("bounds", {}).items():
        _read_bound(file, name, value, bounds, known, ignored)
    return settings._replace(bounds=Bounds(**bounds))


def _given(body):
    """Return a body in the project's names, without the fields that have no value."""
    if not isinstance(body, dict):
        return body
    fields = body.get("platform")
    if isinstance(fields, dict):
        port = body.get("metrics_port", DEFAULT_METRICS_PORT)
        body = settings_from_fields(fields, port) | body
    if "bounds" in body:
        body = body | {"bounds": read_bound_table(body["bounds"])}
    return {name: value for name, value in body.items() if value is not None}


def _drop_faulty(file, body, ignored):
    """Take out of a body what can't be read and isn't needed."""
    for error in list(VALIDATOR.iter_errors(body)):
        name, index = [*error.absolute_path, None, None][:2]
        if name not in OPTIONAL:
            continue
        ignored.append(_fault(file, error))
        if name == "seeds" and index is not None:
            body["seeds"] = [seed for seed in body["seeds"] if seed != error.instance]
        else:
            body.pop(name, None)


def log_ignored(faults):
    """Name values of the settings that can't be read and that others stand in for.

    Parameters
    ----------
    faults : list of Fault
        The values.
    """
    for fault in faults:
        fields = {"path": fault.path, "value": fault.value, "reason": fault.message}
        log_event(LOG, "setting-ignored", "error", file=fault.file, **fields)


def parse_place(text):
    """Return the IP number and port of ``"IP:PORT"``.

    Parameters
    ----------
    text : str
        The address.

    Returns
    -------
    (str, int)

    Examples
    --------
    >>> parse_place("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


def format_addresses(listen):
    """Return all addresses of a process as text for the log.

    Parameters
    ----------
    listen : Listen
        The addresses.

    Returns
    -------
    str
    """
    pairs = zip(listen._fields, listen, strict=True)
    return ",".join(f"{name}:{host}:{port}" for name, (host, port) in pairs)


def _fault(file, error):
    path = "/" + "/".join(str(part) for part in error.absolute_path)
    return Fault(file, path, str(error.instance)[:80], error.message[:160])


def _read_bound(file, name, value, bounds, known, ignored):
    """Add one bound; one that can't be read stays as it is known."""
    field = SECONDS.get(name) or NUMBERS.get(name)
    if field is None:
        return
    try:
        if name in SECONDS:
            value = parse_duration_s(value)
        number = _parse_number(value)
    except (RowError, TypeError, ValueError) as exc:
        bounds[field] = getattr(known, field)
        ignored.append(Fault(file, f"/bounds/{name}", str(value), str(exc)))
    else:
        bounds[field] = number


def _parse_number(value):
    if isinstance(value, bool):
        raise ValueError("must be a number")
    number = float(value)
    if not 0 <= number < math.inf:
        raise ValueError("must be a number from 0")
    return number
