"""Decode the platform's rows into the project's types."""

import ipaddress
import math
import re

import msgspec

from quetzalwall.exceptions import QuetzalwallError
from quetzalwall.version.model import (
    Configuration,
    EndpointEntry,
    HostRoutes,
    Limits,
    Route,
    Service,
)

__all__ = [
    "CONFIG_KEY",
    "ENDPOINTS_TABLE",
    "EVACUATION_PREFIX",
    "INSTANCES_TABLE",
    "OPERATOR_TABLE",
    "RowError",
    "decode_configuration",
    "decode_endpoint",
    "parse_duration_s",
]

OPERATOR_TABLE = "op"
ENDPOINTS_TABLE = "servers"
INSTANCES_TABLE = "instances"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
KINDS = {"safe": True, "unsafe": False, "upload": False}  # whether it may run twice
STATES = {"ready": False, "draining": True}  # whether the endpoint is leaving
DURATION = re.compile(r"(-?[0-9]+(?:\.[0-9]+)?)(ms|s)")
PORT = re.compile(r"[0-9]{1,5}")
HIGHEST_PORT = 65535
MOST_SLOTS = 1_000_000
MOST_COLD_S = 86_400.0
MOST_MESSAGE = 400  # characters
UNREADABLE = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
DEFAULT_ATTEMPTS = 2
DEFAULT_TARGET_S = 1.0
DEFAULT_RANK = 5


class RowError(QuetzalwallError):
    """A row can't be read or holds what the platform does not define."""


def parse_duration_s(text):
    """Return the seconds of a duration such as ``"1500ms"`` or ``"2.5s"``.

    Parameters
    ----------
    text : str
        Number and unit.

    Returns
    -------
    float

    Raises
    ------
    RowError
        The text is no duration.

    Examples
    --------
    >>> parse_duration_s("1500ms")
    1.5
    """
    match = DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise RowError(f"not a duration: {str(text)[:40]!r}", step="decode row")
    seconds = float(match[1]) * (0.001 if match[2] == "ms" else 1.0)
    if not math.isfinite(seconds):
        raise RowError(f"duration too long: {text[:40]!r}", step="decode row")
    return seconds


def decode_configuration(raw):
    """Return the configuration that a row holds.

    Parameters
    ----------
    raw : bytes
        Content of the row.

    Returns
    -------
    Configuration

    Raises
    ------
    RowError
        The row can't be used; the message names path and value.
    """
    body = _decode_object(raw)
    services = {}
    for path, record in _records(body, "services"):
        service = _guard(path, _service, record)
        services[service.name] = service
    hosts = {}
    for path, record in _records(body, "routes"):
        route = _guard(path, _route, record)
        unknown = [name for name, _ in route.split if name not in services]
        if unknown:
            raise RowError(f"{path}: unknown service {unknown[0]!r}", "decode row")
        hosts.setdefault(route.host, []).append(route)
    hosts = {host: HostRoutes(routes) for host, routes in hosts.items()}
    limits = _guard("/limits", _limits, body.get("limits") or {})
    version = _guard("/version", _version, body.get("version"))
    return Configuration(version, hosts, services, limits)


def decode_endpoint(name, raw):
    """Return the entry of an endpoint.

    Parameters
    ----------
    name : str
        Key of the row: the endpoint's identity.
    raw : bytes
        Content of the row.

    Returns
    -------
    EndpointEntry

    Raises
    ------
    RowError
        The row names no endpoint to use.
    """
    return _guard(f"/{name}", _endpoint, _decode_object(raw), name)


def _decode_object(raw):
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as exc:
        raise RowError(f"not JSON: {exc}", step="decode row") from exc
    if not isinstance(body, dict):
        raise RowError(f"not an object: {str(body)[:80]}", step="decode row")
    return body


def _guard(path, decode, *args):
    try:
        return decode(*args)
    except RowError as exc:
        raise RowError(f"{path}: {exc.message}", step="decode row") from exc
    except UNREADABLE as exc:
        raise RowError(f"{path}: {exc!r}"[:MOST_MESSAGE], step="decode row") from exc


def _records(body, key):
    """Yield each record of a list that is encoded by columns, with its path."""
    listed = body.get(key)
    if not isinstance(listed, dict) or not isinstance(listed.get("rows"), list):
        raise RowError(f"/{key}: no columns and rows", step="decode row")
    columns = listed["columns"]
    for index, values in enumerate(listed["rows"]):
        if not isinstance(values, list) or len(values) != len(columns):
            raise RowError(f"/{key}/{index}: wrong length", step="decode row")
        pairs = zip(columns, values, strict=True)
        record = {name: value for name, value in pairs if value is not None}
        yield f"/{key}/{index}", record


def _service(record):
    return Service(
        name=_text(record["name"]),
        health_path=record.get("healthPath", "/health"),
        connections=int(record.get("maxConns", 0)),
        cold_s=parse_duration_s(record.get("coldStart", "0s")),
        cold_per_s=float(record.get("coldPerS", math.inf)),
    )


def _route(record):
    split = record.get("trafficSplit") or ()
    if split:
        parts = tuple((_text(part["service"]), float(part["weight"])) for part in split)
    else:
        parts = ((_text(record["service"]), 1.0),)
    timeout = record.get("timeout")
    prefix = _text(record["prefix"])
    if not prefix.startswith("/"):
        raise RowError(f"prefix {prefix!r}", step="decode row")
    return Route(
        name=_text(record["name"]),
        host=_text(record["hostname"]).lower(),
        prefix=prefix,
        idempotent=KINDS[record["kind"]],
        timeout_s=None if timeout is None else parse_duration_s(timeout),
        target_s=_or_default(record.get("slo"), DEFAULT_TARGET_S),
        rank=int(record.get("priority", DEFAULT_RANK)),
        attempts=max(1, int(record.get("maxAttempts", DEFAULT_ATTEMPTS))),
        sticky=bool(record.get("sticky", False)),
        regions=tuple(record.get("allowedRegions") or ()),
        split=parts,
    )


def _or_default(text, default):
    return default if text is None else parse_duration_s(text)


def _limits(record):
    return Limits(
        max_body_bytes=int(record.get("maxBodyBytes", Limits().max_body_bytes)),
        idle_s=_or_default(record.get("idleTimeout"), Limits().idle_s),
    )


def _version(text):
    # A version is written as a tag: "r" and a number.
    if not isinstance(text, str) or not re.fullmatch(r"r\d+", text):
        raise RowError(f"not a version: {text!r}", step="decode row")
    return int(text[1:])


def _endpoint(record, name):
    address = _text(record["address"])
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not PORT.fullmatch(port) or not 1 <= int(port) <= HIGHEST_PORT:
        raise RowError(f"address {address[:40]!r}", step="decode row")
    slots = record["slots"]
    if isinstance(slots, bool) or not isinstance(slots, int):
        raise RowError(f"slots {str(slots)[:40]}", step="decode row")
    if not 1 <= slots <= MOST_SLOTS:
        raise RowError("slots out of range", step="decode row")
    cold_s = max(0.0, _or_default(record.get("coldLeft"), 0.0))
    if cold_s > MOST_COLD_S:
        raise RowError(f"coldLeft {cold_s:.4g} s", step="decode row")
    born = record.get("born", 0)
    if isinstance(born, bool) or not isinstance(born, int):
        raise RowError(f"born {str(born)[:40]}", step="decode row")
    return EndpointEntry(
        name=name,
        service=_text(record["service"]),
        host=host,
        port=int(port),
        domain=_text(record["zone"]),
        slots=slots,
        draining=STATES[record["state"]],
        cold_s=cold_s,
        incarnation=born,
    )


def _text(value):
    if not isinstance(value, str) or not value:
        raise RowError(f"not a name: {value!r}", step="decode row")
    return value
