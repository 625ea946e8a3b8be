"""JSON schema of a team's subtree of the settings."""

__all__ = ["SUBTREE_SCHEMA"]

NAME_PATTERN = "^[a-z0-9][a-z0-9-]{0,62}$"
IP_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}$"


def _object(properties, required=()):
    return {
        "type": "object",
        "properties": properties,
        "required": list(required),
        "additionalProperties": False,
    }


def _mapping(values):
    return {
        "type": "object",
        "propertyNames": {"pattern": NAME_PATTERN},
        "additionalProperties": values,
    }


def _integer(minimum, maximum):
    return {"type": "integer", "minimum": minimum, "maximum": maximum}


def _number(minimum, maximum):
    return {"type": "number", "minimum": minimum, "maximum": maximum}


_NAME = {"type": "string", "pattern": NAME_PATTERN}
_IP = {"type": "string", "pattern": IP_PATTERN}
_PORT = _integer(1, 65535)
_LOCATION = {"address": _IP, "port": _PORT, "region": _NAME, "domain": _NAME}

_REGION = _object(
    {"domains": {"type": "array", "items": _NAME, "minItems": 1}},
    ["domains"],
)
_CLASS = _object(
    {
        "rank": _integer(0, 100),
        "target_s": _number(0.01, 3600),
        "max_duration_s": _number(0.05, 3600),
    },
    ["rank", "max_duration_s"],
)
_ROUTE = _object(
    {
        "prefix": {"type": "string", "pattern": "^/"},
        "class": _NAME,
        "idempotent": {"type": "boolean"},
        "methods": {"type": "array", "items": {"type": "string"}},
    },
    ["prefix", "class", "idempotent"],
)
_ENDPOINT = _object(
    _LOCATION | {"slots": _integer(1, 100_000)},
    ["address", "port", "region", "domain", "slots"],
)
_SERVICE = _object(
    {
        "endpoints": _mapping(_ENDPOINT),
        "routes": {"type": "array", "items": _ROUTE, "minItems": 1},
        "region_limits": _mapping(_integer(0, 10_000_000)),
        "max_body_bytes": _integer(0, 10**12),
    },
    ["endpoints", "routes"],
)
_SHIFT = _object(
    {
        "service": _NAME,
        "from": _NAME,
        "to": _NAME,
        "fraction": _number(0.0, 1.0),
        "cap_requests": _integer(1, 10_000_000),
        "interval_s": _number(0.1, 3600),
        "state": {"enum": ["running", "stopped"]},
    },
    ["service", "from", "to", "fraction", "cap_requests", "interval_s"],
)
_NAMES = {"type": "array", "items": _NAME, "uniqueItems": True}

SUBTREE_SCHEMA = _object(
    {
        "regions": _mapping(_REGION),
        "classes": _mapping(_CLASS),
        "services": _mapping(_SERVICE),
        "shifts": _mapping(_SHIFT),
        "leaving": _object({"endpoints": _NAMES}),
        "lookup": _object({"ttl_s": _number(0.1, 3600), "answers": _integer(1, 16)}),
        "credentials": _mapping({"type": "string", "pattern": "^[0-9a-f]{64}$"}),
    }
)
