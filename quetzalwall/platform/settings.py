"""Settings of one instance, read from its settings file.

The platform renders ``deploy/settings.json.template`` and names the resulting file in
an environment variable. That file holds all fields of the platform, which are
translated here. A file written by hand uses the project's names, except for the
bounds, which have the platform's names in both.
"""

import os
import socket
from typing import NamedTuple

import jsonschema

from quetzalwall.exceptions import SettingsError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.bounds import Bounds, read_bounds
from quetzalwall.platform.fields import parse_bounds, settings_from_fields
from quetzalwall.version.check import Fault, load_json

__all__ = [
    "FROM_TREE",
    "InstanceSettings",
    "Listen",
    "format_addresses",
    "log_ignored",
    "parse_address",
    "read_settings",
    "settings_path",
]

PATH_VARIABLE = "QUETZALWALL_NODE_FILE"
ADDRESS_SCHEMA = {"type": "string", "format": "IPv4:port"}
NAME_SCHEMA = {"type": "string", "minLength": 1}
POSITIVE_NUMBER_SCHEMA = {"type": "number", "exclusiveMinimum": 0, "maximum": 1e9}
MAX_PORT = 65535
FROM_OPERATORS, FROM_TREE = "operators", "tree"  # sources of the configuration
DEFAULT_LINK_MBPS = 1000.0
DEFAULT_MEMORY_MB = 300.0
DEFAULT_DESCRIPTORS = 4096
MAX_HEDGING = 0.2  # more would load the endpoints as retries may
LISTENER_NAMES = ("callers", "health", "peers", "lookup", "metrics")
SCHEMA = {
    "type": "object",
    "required": ["instance", "address", "region", "domain", "domains", "listen"]
    + ["peer_ports", "store"],
    "properties": {
        "instance": NAME_SCHEMA,
        "address": {"type": "string", "format": "IPv4 address"},
        "region": NAME_SCHEMA,
        "domain": NAME_SCHEMA,
        "domains": {"type": "object", "additionalProperties": NAME_SCHEMA},
        "listen": {
            "type": "object",
            "required": list(LISTENER_NAMES),
            "properties": dict.fromkeys(LISTENER_NAMES, ADDRESS_SCHEMA),
        },
        "peer_ports": {
            "type": "array",
            "items": {"type": "integer", "minimum": 1, "maximum": MAX_PORT},
            "minItems": 2,
            "maxItems": 2,
        },
        "seeds": {"type": "array", "items": ADDRESS_SCHEMA},
        "store": ADDRESS_SCHEMA,
        "configuration": {"enum": [FROM_OPERATORS, FROM_TREE]},
        "link_mbps": POSITIVE_NUMBER_SCHEMA,
        "memory_mb": POSITIVE_NUMBER_SCHEMA,
        "connections": {"type": "integer", "minimum": 1},
        "bounds": {"type": "object"},
        "hedging": {"type": "number", "minimum": 0, "maximum": MAX_HEDGING},
    },
}
# Fields with a default. A malformed value of one of them does not prevent the start.
OPTIONAL_FIELDS = frozenset(
    ("seeds", "link_mbps", "memory_mb", "connections", "bounds", "hedging")
)
DEFAULT_METRICS_PORT = 9464

LOG = get_logger("settings")
FORMAT_CHECKER = jsonschema.FormatChecker(formats=())


@FORMAT_CHECKER.checks("IPv4 address", raises=OSError)
def _check_ipv4(text):
    return not isinstance(text, str) or bool(socket.inet_pton(socket.AF_INET, text))


@FORMAT_CHECKER.checks("IPv4:port", raises=(OSError, ValueError))
def _check_ipv4_and_port(text):
    if not isinstance(text, str):
        return True
    host, port = parse_address(text)
    return _check_ipv4(host) and 0 < port <= MAX_PORT


VALIDATOR = jsonschema.Draft202012Validator(SCHEMA, format_checker=FORMAT_CHECKER)


class Listen(NamedTuple):
    """Addresses that the process listens on, each as (IP address, port)."""

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
        Name, IP address, region and failure domain.
    domains : dict of str to str
        Region of each failure domain.
    listen : Listen
        Addresses that the process listens on.
    peer_port : int
        Port of the datagrams between instances.
    seeds : list of (str, int)
        Instances to ask while the store is down; they may be down too.
    store : (str, int)
        Address of the metadata store.
    link_mbps : float
        Bandwidth of the machine's link in Mbit/s.
    memory_mb : float
        Memory that the process may use, in MB.
    descriptors : int
        Maximum number of file descriptors of the process.
    config_source : str
        ``"operators"`` for the configuration of the platform's operators,
        ``"tree"`` for the product's settings tree.
    bounds : Bounds
        The operators' bounds.
    hedging : float, default=0.0
        Maximum share of a service's requests that are hedged; 0 hedges none.
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
    hedging: float = 0.0


def settings_path(environ=None):
    """Return the path of the settings file that the platform provides.

    Parameters
    ----------
    environ : mapping, default=None
        Environment variables; those of the process if None.

    Returns
    -------
    str or None
    """
    return (os.environ if environ is None else environ).get(PATH_VARIABLE)


def read_settings(file, ignored=None, previous=None):
    """Return the checked settings in a file.

    Parameters
    ----------
    file : str
        Path of the file.
    ignored : list of Fault, default=None
        Receives the malformed values of optional fields.
    previous : InstanceSettings, default=None
        Settings whose seeds, bounds and hedging replace malformed ones; defaults if
        None.

    Returns
    -------
    InstanceSettings

    Raises
    ------
    SettingsError
        With every fault in the required fields, each with file, path and value.
    """
    ignored = [] if ignored is None else ignored
    body = _normalize(load_json(file))
    if isinstance(body, dict):
        _drop_malformed_optional(file, body, ignored)
    faults = [_fault_from_error(file, error) for error in VALIDATOR.iter_errors(body)]
    if faults:
        raise SettingsError("\n".join(str(fault) for fault in faults), faults)
    settings = InstanceSettings(
        instance=body["instance"],
        address=body["address"],
        region=body["region"],
        domain=body["domain"],
        domains=body["domains"],
        listen=Listen(
            **{name: parse_address(body["listen"][name]) for name in LISTENER_NAMES}
        ),
        peer_port=int(body["peer_ports"][0]),
        seeds=[parse_address(text) for text in body.get("seeds", ())],
        store=parse_address(body["store"]),
        link_mbps=float(body.get("link_mbps", DEFAULT_LINK_MBPS)),
        memory_mb=float(body.get("memory_mb", DEFAULT_MEMORY_MB)),
        descriptors=int(body.get("connections", DEFAULT_DESCRIPTORS)),
        config_source=body.get("configuration", FROM_OPERATORS),
        bounds=Bounds(),
        hedging=float(body.get("hedging", 0.0)),
    )
    ignored_fields = {fault.path.split("/")[1] for fault in ignored}
    if previous is not None and "seeds" in ignored_fields and not settings.seeds:
        settings = settings._replace(seeds=previous.seeds)
    if previous is not None and "hedging" in ignored_fields:
        settings = settings._replace(hedging=previous.hedging)
    if previous is not None and "bounds" in ignored_fields and "bounds" not in body:
        return settings._replace(bounds=previous.bounds)
    fallback = previous.bounds if previous is not None else settings.bounds
    bounds = read_bounds(file, body.get("bounds", {}), fallback, ignored)
    return settings._replace(bounds=bounds)


def _normalize(body):
    """Return a body with the project's names and without fields that are null."""
    if not isinstance(body, dict):
        return body
    fields = body.get("platform")
    if isinstance(fields, dict):
        port = body.get("metrics_port", DEFAULT_METRICS_PORT)
        body = settings_from_fields(fields, port) | body
    if "bounds" in body:
        body = body | {"bounds": parse_bounds(body["bounds"])}
    return {name: value for name, value in body.items() if value is not None}


def _drop_malformed_optional(file, body, ignored):
    """Remove malformed values of optional fields from a body."""
    for error in list(VALIDATOR.iter_errors(body)):
        name, index = [*error.absolute_path, None, None][:2]
        if name not in OPTIONAL_FIELDS:
            continue
        ignored.append(_fault_from_error(file, error))
        if name == "seeds" and index is not None:
            body["seeds"] = [seed for seed in body["seeds"] if seed != error.instance]
        else:
            body.pop(name, None)


def log_ignored(faults):
    """Log the settings that were ignored since their values are malformed.

    Parameters
    ----------
    faults : list of Fault
        One for each ignored value.
    """
    for fault in faults:
        fields = {"path": fault.path, "value": fault.value, "reason": fault.message}
        log_event(LOG, "setting-ignored", "error", file=fault.file, **fields)


def parse_address(text):
    """Return the IP address and port of ``"IP:PORT"``.

    Parameters
    ----------
    text : str
        The address.

    Returns
    -------
    (str, int)

    Examples
    --------
    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


def format_addresses(listen):
    """Return the addresses of a process as text for the log.

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


def _fault_from_error(file, error):
    path = "/" + "/".join(str(part) for part in error.absolute_path)
    return Fault(file, path, str(error.instance)[:80], error.message[:160])
