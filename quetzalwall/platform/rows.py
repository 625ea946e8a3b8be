"""Decode rows of the platform's store into the project's types."""

import ipaddress
import math
import re

import msgspec

from quetzalwall.exceptions import QuetzalwallError
from quetzalwall.version.accounts import ClientAccount, create_accounts
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
IDEMPOTENT_BY_KIND = {
    "safe": True,
    "download": True,
    "unsafe": False,
    "upload": False,
}
DRAINING_BY_STATE = {"ready": False, "draining": True}
DURATION_PATTERN = re.compile(r"(-?[0-9]+(?:\.[0-9]+)?)(ms|s)")
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535
MAX_SLOTS = 1_000_000
MAX_REQUESTS_PER_S = 1e9
# A name is sent as a header, so it must contain no control characters.
ACCOUNT_PATTERN = re.compile(r"[!-~]([ -~]*[!-~])?")
MAX_COLD_S = 86_400.0
MAX_MESSAGE_CHARACTERS = 400
# What decoding raises for a value of an unexpected type or range.
DECODE_ERRORS = (
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
    """A row can't be decoded or holds a value that the platform does not define."""


def parse_duration_s(text):
    """Return the seconds of a duration such as ``"1500ms"`` or ``"2.5s"``.

    Parameters
    ----------
    text : str
        Number with the unit ``ms`` or ``s``.

    Returns
    -------
    float

    Raises
    ------
    RowError
        The text is not a duration, or the duration is not finite.

    Examples
    --------
    >>> parse_duration_s("1500ms")
    1.5
    """
    match = DURATION_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise RowError(f"not a duration: {str(text)[:40]!r}", step="decode row")
    seconds = float(match[1]) * (0.001 if match[2] == "ms" else 1.0)
    if not math.isfinite(seconds):
        raise RowError(f"duration too long: {text[:40]!r}", step="decode row")
    return seconds


def decode_configuration(raw):
    """Return the configuration in a row.

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
        The row is malformed; the message names the path and the value.
    """
    body = _decode_object(raw)
    services = {}
    for path, record in _records(body, "services"):
        service = _decode_at(path, _decode_service, record)
        services[service.name] = service
    hosts = {}
    for path, record in _records(body, "routes"):
        route = _decode_at(path, _decode_route, record)
        unknown = [name for name, _ in route.split if name not in services]
        if unknown:
            raise RowError(f"{path}: unknown service {unknown[0]!r}", "decode row")
        hosts.setdefault(route.host, []).append(route)
    hosts = {host: HostRoutes(routes) for host, routes in hosts.items()}
    limits = _decode_at("/limits", _decode_limits, body.get("limits") or {})
    version = _decode_at("/version", _decode_version, body.get("version"))
    accounts = _decode_accounts(body)
    return Configuration(version, hosts, services, limits, accounts=accounts)


def decode_endpoint(name, raw):
    """Return the entry of an endpoint in a row.

    Parameters
    ----------
    name : str
        Key of the row, which is the endpoint's name.
    raw : bytes
        Content of the row.

    Returns
    -------
    EndpointEntry

    Raises
    ------
    RowError
        The row is malformed.
    """
    return _decode_at(f"/{name}", _decode_endpoint, _decode_object(raw), name)


def _decode_object(raw):
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as exc:
        raise RowError(f"not JSON: {exc}", step="decode row") from exc
    if not isinstance(body, dict):
        # The value is left out, since it may contain the keys of accounts.
        raise RowError(f"not an object: a {type(body).__name__}", step="decode row")
    return body


def _decode_at(path, decode, *args):
    """Return what ``decode`` returns; its errors become a `RowError` with the path."""
    try:
        return decode(*args)
    except RowError as exc:
        raise RowError(f"{path}: {exc.message}", step="decode row") from exc
    except DECODE_ERRORS as exc:
        raise RowError(
            f"{path}: {exc!r}"[:MAX_MESSAGE_CHARACTERS], step="decode row"
        ) from exc


def _records(body, key):
    """Yield path and record of each row in a table of columns and rows."""
    table = body.get(key)
    if not isinstance(table, dict) or not isinstance(table.get("rows"), list):
        raise RowError(f"/{key}: columns or rows missing", step="decode row")
    columns = table.get("columns")
    if not isinstance(columns, list) or not all(isinstance(c, str) for c in columns):
        raise RowError(f"/{key}: columns or rows missing", step="decode row")
    for index, values in enumerate(table["rows"]):
        if not isinstance(values, list) or len(values) != len(columns):
            raise RowError(f"/{key}/{index}: not one value a column", step="decode row")
        pairs = zip(columns, values, strict=True)
        record = {name: value for name, value in pairs if value is not None}
        yield f"/{key}/{index}", record


def _decode_service(record):
    return Service(
        name=_require_text(record["name"]),
        health_path=record.get("healthPath", "/health"),
        max_connections=int(record.get("maxConns", 0)),
        cold_s=parse_duration_s(record.get("coldStart", "0s")),
        cold_per_s=float(record.get("coldPerS", math.inf)),
    )


def _decode_route(record):
    split = record.get("trafficSplit") or ()
    if split:
        targets = tuple(
            (_require_text(target["service"]), float(target["weight"]))
            for target in split
        )
    else:
        targets = ((_require_text(record["service"]), 1.0),)
    timeout = record.get("timeout")
    prefix = _require_text(record["prefix"])
    if not prefix.startswith("/"):
        raise RowError(f"no leading slash in prefix {prefix!r}", step="decode row")
    return Route(
        name=_require_text(record["name"]),
        host=_require_text(record["hostname"]).lower(),
        prefix=prefix,
        idempotent=IDEMPOTENT_BY_KIND[record["kind"]],
        timeout_s=None if timeout is None else parse_duration_s(timeout),
        target_s=_duration_or_default(record.get("slo"), DEFAULT_TARGET_S),
        rank=int(record.get("priority", DEFAULT_RANK)),
        attempts=max(1, int(record.get("maxAttempts", DEFAULT_ATTEMPTS))),
        sticky=bool(record.get("sticky", False)),
        regions=_decode_regions(record),
        split=targets,
        public=_decode_public(record),
    )


def _decode_public(record):
    # A text such as "false" must not open a route to requests without a key.
    public = record.get("public", False)
    if not isinstance(public, bool):
        raise RowError(f"public: not true or false: {public!r}", step="decode row")
    return public


def _decode_accounts(body):
    """Return the client accounts, or None if the configuration has none."""
    if body.get("tenants") is None:
        return None
    accounts = [
        _decode_at(path, _decode_account, record)
        for path, record in _records(body, "tenants")
    ]
    return _decode_at("/tenants", create_accounts, accounts)


def _decode_account(record):
    """Return a client account and its keys.

    Messages name the type of a value that is no number, since a key may be in the wrong
    column.
    """
    name = record.get("name")
    if not isinstance(name, str) or not ACCOUNT_PATTERN.fullmatch(name):
        raise RowError("name: not a printable text", step="decode row")
    keys = record.get("apiKeys", [])
    if not isinstance(keys, list):
        raise RowError("apiKeys: not a list", step="decode row")
    if not all(isinstance(key, str) and key for key in keys):
        raise RowError("apiKeys: not a list of non-empty strings", step="decode row")
    rank = record.get("priority")
    if rank is not None and (isinstance(rank, bool) or not isinstance(rank, int)):
        raise RowError(f"priority: {_describe(rank)}", step="decode row")
    regions = record.get("allowedRegions") or []
    if not isinstance(regions, list):
        raise RowError(f"allowedRegions: {_describe(regions)}", step="decode row")
    if not all(isinstance(region, str) and region for region in regions):
        raise RowError("allowedRegions: not a list of names", step="decode row")
    account = ClientAccount(
        name=name,
        rank=rank,
        per_s=_decode_rate(record, "ratePerS"),
        burst=_decode_rate(record, "burst"),
        regions=tuple(regions),
    )
    return account, keys


def _decode_rate(record, field):
    value = record.get(field, 0)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= MAX_REQUESTS_PER_S:
        raise RowError(f"{field} out of range: {_describe(value)}", step="decode row")
    return float(value)


def _describe(value):
    """Return a number as text, or the type of any other value, which may be a key."""
    if isinstance(value, int | float):
        return str(value)[:40]
    return f"a {type(value).__name__}"


def _decode_regions(record):
    regions = record.get("allowedRegions") or []
    if not isinstance(regions, list):
        raise RowError("allowedRegions: not a list", step="decode row")
    return tuple(_require_text(region) for region in regions)


def _duration_or_default(text, default):
    return default if text is None else parse_duration_s(text)


def _decode_limits(record):
    return Limits(
        max_body_bytes=int(record.get("maxBodyBytes", Limits().max_body_bytes)),
        idle_timeout_s=_duration_or_default(
            record.get("idleTimeout"), Limits().idle_timeout_s
        ),
        max_header_bytes=int(record.get("maxHeaderBytes", Limits().max_header_bytes)),
        header_timeout_s=_duration_or_default(
            record.get("headerTimeout"), Limits().header_timeout_s
        ),
    )


def _decode_version(text):
    # The platform writes a version as "r" and a number.
    if not isinstance(text, str) or not re.fullmatch(r"r\d+", text):
        raise RowError(f"not a version: {text!r}", step="decode row")
    return int(text[1:])


def _decode_endpoint(record, name):
    address = _require_text(record["address"])
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not PORT_PATTERN.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        raise RowError(f"invalid port in {address[:40]!r}", step="decode row")
    slots = _require_integer(record, "slots")
    if not 1 <= slots <= MAX_SLOTS:
        raise RowError("slots out of range", step="decode row")
    cold_s = max(0.0, parse_duration_s(record["coldLeft"]))
    if cold_s > MAX_COLD_S:
        raise RowError(f"coldLeft {cold_s:.4g} s is too long", step="decode row")
    incarnation = _require_integer(record, "born") if "born" in record else 0
    # Not used, but an entry without them is not one of an endpoint.
    _require_integer(record, "seq")
    version = record["version"]
    if not isinstance(version, str):
        raise RowError(f"version not a text: {str(version)[:40]}", step="decode row")
    return EndpointEntry(
        name=name,
        service=_require_text(record["service"]),
        host=host,
        port=int(port),
        domain=_require_text(record["zone"]),
        slots=slots,
        draining=DRAINING_BY_STATE[record["state"]],
        cold_s=cold_s,
        incarnation=incarnation,
    )


def _require_integer(record, field):
    value = record[field]
    if isinstance(value, bool) or not isinstance(value, int):
        raise RowError(f"{field} not an integer: {str(value)[:40]}", step="decode row")
    return value


def _require_text(value):
    if not isinstance(value, str) or not value:
        raise RowError(f"not a non-empty string: {value!r}", step="decode row")
    return value
