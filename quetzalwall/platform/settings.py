"""Settings of an instance that runs on the platform.

The platform fills in ``deploy/settings.json.template`` and puts the result where an
environment variable says. The names in it are the project's own, but for those of the
bounds, which the platform passes as a table.
"""

import os
from typing import NamedTuple

import jsonschema

from quetzalwall.exceptions import SettingsError
from quetzalwall.platform.rows import RowError, parse_duration_s
from quetzalwall.version.check import Fault, load_json

__all__ = [
    "FROM_TREE",
    "Bounds",
    "InstanceSettings",
    "Listen",
    "format_places",
    "parse_place",
    "read_settings",
    "settings_path",
]

PATH_VARIABLE = "QUETZALWALL_NODE_FILE"
PLACE = {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"}
NAME = {"type": "string", "minLength": 1}
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
        "address": {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}$"},
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
            "items": {"type": "integer", "minimum": 1, "maximum": 65535},
            "minItems": 2,
            "maxItems": 2,
        },
        "seeds": {"type": "array", "items": PLACE},
        "store": PLACE,
        "configuration": {"enum": [FROM_OPERATORS, FROM_TREE]},
        "link_mbps": {"type": "number", "exclusiveMinimum": 0},
        "memory_mb": {"type": "number", "exclusiveMinimum": 0},
        "connections": {"type": "integer", "minimum": 1},
        "bounds": {"type": "object"},
    },
}
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
    connections : int
        Descriptors that the process may have open.
    configuration : str
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
    connections: int
    configuration: str
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


def read_settings(file):
    """Return the checked settings of a file.

    Parameters
    ----------
    file : str
        Path of the file.

    Returns
    -------
    InstanceSettings

    Raises
    ------
    SettingsError
        Names every fault, each with file, path and value.
    """
    body = _given(load_json(file))
    validator = jsonschema.Draft202012Validator(SCHEMA)
    faults = [_fault(file, error) for error in validator.iter_errors(body)]
    bounds = {}
    if not faults:
        for name, value in body.get("bounds", {}).items():
            fault = _read_bound(file, name, value, bounds)
            faults += [fault] if fault else []
    if faults:
        raise SettingsError("\n".join(str(fault) for fault in faults), faults)
    return InstanceSettings(
        instance=body["instance"],
        address=body["address"],
        region=body["region"],
        domain=body["domain"],
        domains=body["domains"],
        listen=Listen(
            **{name: parse_place(body["listen"][name]) for name in LISTENERS}
        ),
        peer_port=body["peer_ports"][0],
        seeds=[parse_place(text) for text in body.get("seeds", ())],
        store=parse_place(body["store"]),
        link_mbps=float(body.get("link_mbps", DEFAULT_LINK_MBPS)),
        memory_mb=float(body.get("memory_mb", DEFAULT_MEMORY_MB)),
        connections=int(body.get("connections", DEFAULT_CONNECTIONS)),
        configuration=body.get("configuration", FROM_OPERATORS),
        bounds=Bounds(**bounds),
    )


def _given(body):
    """Return a body without the fields for which the platform has no value."""
    if not isinstance(body, dict):
        return body
    return {name: value for name, value in body.items() if value is not None}


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


def format_places(listen):
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


def _read_bound(file, name, value, bounds):
    """Add one bound; return a fault if its value can't be read."""
    try:
        if name in SECONDS:
            bounds[SECONDS[name]] = parse_duration_s(value)
        elif name in NUMBERS:
            bounds[NUMBERS[name]] = float(value)
    except (RowError, TypeError, ValueError) as exc:
        return Fault(file, f"/bounds/{name}", str(value), str(exc))
    return None
