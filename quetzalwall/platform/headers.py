"""Names of headers and query parameters, and what callers' headers say."""

import re
from urllib.parse import parse_qs

from quetzalwall.connection.dialect import (
    HOP_BY_HOP_HEADERS,
    Dialect,
    RequestMetadata,
    ResponseMetadata,
    combine_headers,
    forwarded_headers,
)
from quetzalwall.connection.http_server import BadRequest
from quetzalwall.request.response import Response, rejection_response

__all__ = [
    "MAX_LOOKUP_ADDRESSES",
    "PLATFORM_DIALECT",
    "READY_PATH",
    "parse_response",
    "parse_request",
    "endpoint_headers",
    "lookup_body",
    "parse_lookup_query",
]

REQUEST_ID = "X-Quetzalwall-Request-Id"
DEADLINE = "X-Quetzalwall-Deadline-Ms"
EXPECT = "X-Quetzalwall-Expect-Instance"
LOAD = "X-Quetzalwall-Server-Load"
NOT_RUN = "X-Quetzalwall-Request-Not-Run"
COLD = "X-Quetzalwall-Cold-Ms"
LIMIT_NAMES = frozenset(("server-limit", "x-quetzalwall-server-limit"))
DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
MOST_ODD = 60  # characters of a value that are logged
OBJECT_COOKIE = "X-Quetzalwall-Affinity-Key"
OWN = frozenset((DEADLINE.lower(), EXPECT.lower()))
READY_PATH = "/ready"
MAX_LOOKUP_ADDRESSES = 64  # in the answer of a look-up
STAMP = "X-Quetzalwall-Server-Stamp"
MISDIRECTED = 421
SUCCESS = range(200, 300)
PROMISES = (408, 421, 429, 503)


def parse_request(environ):
    """Return what a caller's headers say.

    Parameters
    ----------
    environ : dict
        WSGI environment.

    Returns
    -------
    RequestMetadata

    Raises
    ------
    BadRequest
        The deadline is not a number.
    """
    text = environ.get("HTTP_X_QUETZALWALL_DEADLINE_MS")
    if text is not None and not (text.isdigit() and len(text) <= 12):
        raise BadRequest(400, f"{DEADLINE} is not a number: {text[:40]}")
    return RequestMetadata(
        request_id=environ.get("HTTP_X_QUETZALWALL_REQUEST_ID", ""),
        timeout_s=None if text is None else int(text) / 1000,
        object_key=_object_key(environ.get("HTTP_COOKIE", "")),
        headers=forwarded_headers(environ, OWN),
    )


def endpoint_headers(facts, endpoint, left_s):
    """Return the headers of a request to an endpoint.

    Parameters
    ----------
    facts : RequestMetadata
        What the caller said.
    endpoint : str
        Identity of the endpoint; any other refuses the request.
    left_s : float
        Seconds left until the deadline.

    Returns
    -------
    dict of str to str
    """
    own = {DEADLINE: str(max(1, int(left_s * 1000))), EXPECT: endpoint}
    return facts.headers | own


def parse_response(status, items):
    """Return what an endpoint's headers say.

    Parameters
    ----------
    status : int
        HTTP status.
    items : sequence of (str, str)
        The headers.

    Returns
    -------
    ResponseMetadata
    """
    found = combine_headers(items)
    skipped = (
        HOP_BY_HOP_HEADERS | LIMIT_NAMES | {LOAD.lower(), REQUEST_ID.lower(), "date"}
    )
    passed = [(name, value) for name, value in items if name.lower() not in skipped]
    not_run = NOT_RUN.lower() in found or status == MISDIRECTED
    stamps = sum(name.lower() == STAMP.lower() for name, _ in items)
    limits = [value for name, value in items if name.lower() in LIMIT_NAMES]
    limit_per_s, malformed_limit = _limit(limits)
    if REQUEST_ID.lower() in found:
        passed.append((REQUEST_ID, found[REQUEST_ID.lower()]))
    return ResponseMetadata(
        request_id=found.get(REQUEST_ID.lower()),
        not_run=not_run,
        misdirected=status == MISDIRECTED,
        load=_load(found.get(LOAD.lower())),
        cold_s=_milliseconds(found.get(COLD.lower())),
        keep_alive_s=_keep_alive_s(found.get("keep-alive", "")),
        headers=passed,
        authentic=status not in SUCCESS or stamps == 1,
        implies_not_run=status in PROMISES and not not_run,
        limit_per_s=limit_per_s,
        malformed_limit=malformed_limit,
    )


def parse_lookup_query(environ):
    """Return the host, region and failure domain that a look-up names.

    Parameters
    ----------
    environ : dict
        WSGI environment.

    Returns
    -------
    (str, str, str)
        Empty texts where the query names none.
    """
    query = parse_qs(environ["QUERY_STRING"])
    name, region, domain = (
        query.get(key, [""])[0] for key in ("name", "region", "zone")
    )
    return name.lower(), region, domain


def lookup_body(places, ttl_s):
    """Return the body of a look-up's answer.

    Parameters
    ----------
    places : sequence of (str, int)
        IP number and port of each instance to use.
    ttl_s : float
        Seconds for which the caller may keep the answer.

    Returns
    -------
    dict
    """
    addresses = [f"{host}:{port}" for host, port in places]
    return {"addresses": addresses, "ttl": f"{int(ttl_s * 1000)}ms"}


def _object_key(cookies):
    for cookie in cookies.split(";"):
        name, _, value = cookie.strip().partition("=")
        if name == OBJECT_COOKIE:
            return value
    return ""


def _load(text):
    parts = (text or "").split(",")
    if len(parts) not in (3, 4):
        return None
    try:
        figures = [int(part) for part in parts[:4]]
    except ValueError:
        return None
    slowness = figures[3] / 100 if len(figures) > 3 and figures[3] > 0 else 1.0
    return figures[0], figures[1], figures[2], slowness


def _limit(values):
    """Return the limit that an answer names, and what it names instead of one."""
    if not values:
        return None, ""
    text = values[0].strip()
    if len(values) == 1 and DECIMAL.fullmatch(text):
        return float(text), ""
    return None, ", ".join(values)[:MOST_ODD] or "empty"


def _milliseconds(text):
    try:
        return None if text is None else max(0, int(text)) / 1000
    except ValueError:
        return None


def _keep_alive_s(text):
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None


def _place(environ):
    host = environ.get("HTTP_HOST", "").partition(":")[0].lower()
    return host, environ["quetzalwall.target"]


def _refuse(retry_after_s, step, reason, peer=""):
    return rejection_response(retry_after_s, reason)


def _fail(status, exc):
    body = f"{exc.step}: {exc.message}\n".encode()
    return Response(status, [("Content-Type", "text/plain")], body)


def _malformed(exc):
    body = f"{exc.message}\n".encode()
    return Response(exc.status, [("Content-Type", "text/plain")], body)


PLATFORM_DIALECT = Dialect(
    host_and_path=_place,
    parse_request=parse_request,
    endpoint_headers=endpoint_headers,
    parse_response=parse_response,
    response_headers=lambda headers: headers,
    reject=_refuse,
    fail=_fail,
    bad_request=_malformed,
)
