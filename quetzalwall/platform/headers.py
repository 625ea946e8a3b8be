"""The platform's protocol with callers and endpoints, and its look-up interface."""

import re
from urllib.parse import parse_qs

from quetzalwall.connection.deadlines import parse_deadline_s
from quetzalwall.connection.dialect import (
    HOP_BY_HOP_HEADERS,
    Dialect,
    RequestMetadata,
    ResponseMetadata,
    combine_headers,
    forwarded_headers,
)
from quetzalwall.connection.digits import is_decimal
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

REQUEST_ID_HEADER = "X-Quetzalwall-Request-Id"
DEADLINE_HEADER = "X-Quetzalwall-Deadline-Ms"
EXPECT_HEADER = "X-Quetzalwall-Expect-Instance"
LOAD_HEADER = "X-Quetzalwall-Server-Load"
NOT_RUN_HEADER = "X-Quetzalwall-Request-Not-Run"
COLD_HEADER = "X-Quetzalwall-Cold-Ms"
# Headers that advertise a limit, in lower case.
LIMIT_HEADERS = frozenset(("server-limit", "x-quetzalwall-server-limit"))
# Headers that state that the endpoint is draining, in lower case.
LEAVING_HEADERS = frozenset(("server-leaving", "x-quetzalwall-server-leaving"))
LIMIT_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
RETRY_AFTER_HEADER = "retry-after"
RETRY_AFTER_PATTERN = re.compile(r"(-?)([0-9]+(?:\.[0-9]*)?|\.[0-9]+)")
MAX_PAUSE_S = 60.0  # a longer one would be a fault of the endpoint
PAUSE_STATUS = 503
MAX_LOGGED_CHARACTERS = 60  # characters of a malformed value that are logged
OBJECT_COOKIE = "X-Quetzalwall-Affinity-Key"
CREDENTIAL_HEADER = "X-Quetzalwall-Credential"
ACCOUNT_HEADER = "X-Quetzalwall-Tenant"
# Headers of callers that are not forwarded: the instance sends its own values.
CONSUMED_HEADERS = frozenset(
    name.lower()
    for name in (DEADLINE_HEADER, EXPECT_HEADER, CREDENTIAL_HEADER, ACCOUNT_HEADER)
)
READY_PATH = "/ready"
MAX_LOOKUP_ADDRESSES = 64  # in one look-up response
# A success response of the endpoint itself has this header exactly once.
STAMP_HEADER = "X-Quetzalwall-Server-Stamp"
MISDIRECTED_STATUS = 421
SUCCESS_STATUSES = range(200, 300)
# Statuses from which callers conclude that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def parse_request(environ):
    """Return the metadata of a caller's request.

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
    timeout_s = None if text is None else parse_deadline_s(text)
    if text is not None and timeout_s is None:
        raise BadRequest(400, f"{DEADLINE_HEADER} is not a number: {text[:40]}")
    return RequestMetadata(
        request_id=environ.get("HTTP_X_QUETZALWALL_REQUEST_ID", ""),
        timeout_s=timeout_s,
        object_key=_object_key(environ.get("HTTP_COOKIE", "")),
        headers=forwarded_headers(environ, CONSUMED_HEADERS),
        credential=environ.get("HTTP_X_QUETZALWALL_CREDENTIAL", ""),
    )


def endpoint_headers(metadata, endpoint, remaining_s):
    """Return the headers of a request to an endpoint.

    Parameters
    ----------
    metadata : RequestMetadata
        Metadata of the caller's request.
    endpoint : str
        Name of the endpoint; an endpoint of another name rejects the request.
    remaining_s : float
        Seconds until the deadline.

    Returns
    -------
    dict of str to str
    """
    added = {
        DEADLINE_HEADER: str(max(1, int(remaining_s * 1000))),
        EXPECT_HEADER: endpoint,
    }
    if metadata.account:
        added[ACCOUNT_HEADER] = metadata.account
    return metadata.headers | added


def parse_response(status, items):
    """Return the metadata of an endpoint's response.

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
    headers_by_name = combine_headers(items)
    excluded = (
        HOP_BY_HOP_HEADERS
        | LIMIT_HEADERS
        | LEAVING_HEADERS
        | {LOAD_HEADER.lower(), REQUEST_ID_HEADER.lower(), "date"}
    )
    forwarded = [(name, value) for name, value in items if name.lower() not in excluded]
    not_run = NOT_RUN_HEADER.lower() in headers_by_name or status == MISDIRECTED_STATUS
    stamps = sum(name.lower() == STAMP_HEADER.lower() for name, _ in items)
    limit_values = [value for name, value in items if name.lower() in LIMIT_HEADERS]
    limit_per_s, malformed_limit = _parse_limit(limit_values)
    pause_s, odd_pause = None, ""
    if status == PAUSE_STATUS and not_run:
        pause_s, odd_pause = _parse_pause(headers_by_name.get(RETRY_AFTER_HEADER))
    if REQUEST_ID_HEADER.lower() in headers_by_name:
        forwarded.append(
            (REQUEST_ID_HEADER, headers_by_name[REQUEST_ID_HEADER.lower()])
        )
    return ResponseMetadata(
        request_id=headers_by_name.get(REQUEST_ID_HEADER.lower()),
        not_run=not_run,
        misdirected=status == MISDIRECTED_STATUS,
        load=_parse_load(headers_by_name.get(LOAD_HEADER.lower())),
        cold_s=_seconds_from_ms(headers_by_name.get(COLD_HEADER.lower())),
        keep_alive_s=_parse_keep_alive_s(headers_by_name.get("keep-alive", "")),
        headers=forwarded,
        authentic=status not in SUCCESS_STATUSES or stamps == 1,
        implies_not_run=status in NOT_RUN_STATUSES and not not_run,
        limit_per_s=limit_per_s,
        malformed_limit=malformed_limit,
        draining=any(
            name.lower() in LEAVING_HEADERS and value.strip() == "1"
            for name, value in items
        ),
        pause_s=pause_s,
        odd_pause=odd_pause,
    )


def parse_lookup_query(environ):
    """Return the host, region and failure domain of a look-up query.

    Parameters
    ----------
    environ : dict
        WSGI environment.

    Returns
    -------
    (str, str, str)
        Empty strings for those that the query does not name.
    """
    query = parse_qs(environ["QUERY_STRING"])
    name, region, domain = (
        query.get(key, [""])[0] for key in ("name", "region", "zone")
    )
    return name.lower(), region, domain


def lookup_body(instances, ttl_s):
    """Return the body of a look-up response.

    Parameters
    ----------
    instances : sequence of (str, int)
        IP address and port of each instance to use.
    ttl_s : float
        Seconds for which the caller may cache the response.

    Returns
    -------
    dict
    """
    addresses = [f"{host}:{port}" for host, port in instances]
    return {"addresses": addresses, "ttl": f"{int(ttl_s * 1000)}ms"}


def _object_key(cookies):
    for cookie in cookies.split(";"):
        name, _, value = cookie.strip().partition("=")
        if name == OBJECT_COOKIE:
            return value
    return ""


def _parse_load(text):
    """Return requests running and waiting, slots and slowness; None if malformed.

    The header gives the slowness as an optional fourth number, in percent.
    """
    parts = (text or "").split(",")
    if len(parts) not in (3, 4):
        return None
    try:
        numbers = [int(part) for part in parts[:4]]
    except ValueError:
        return None
    slowness = numbers[3] / 100 if len(numbers) > 3 and numbers[3] > 0 else 1.0
    return numbers[0], numbers[1], numbers[2], slowness


def _parse_limit(values):
    """Return the limit, None if there is none, and the malformed value, if any."""
    if not values:
        return None, ""
    text = values[0].strip()
    if len(values) == 1 and LIMIT_PATTERN.fullmatch(text):
        return float(text), ""
    return None, ", ".join(values)[:MAX_LOGGED_CHARACTERS] or "empty"


def _parse_pause(text):
    """Return the seconds, None if there are none, and the odd value, if any."""
    if text is None:
        return None, ""
    odd = text[:MAX_LOGGED_CHARACTERS] or "empty"
    match = RETRY_AFTER_PATTERN.fullmatch(text.strip())
    if match is None or match[1]:
        return None, odd
    seconds = float(match[2])
    return (seconds, "") if seconds <= MAX_PAUSE_S else (MAX_PAUSE_S, odd)


def _seconds_from_ms(text):
    try:
        return None if text is None else max(0, int(text)) / 1000
    except ValueError:
        return None


def _parse_keep_alive_s(text):
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and is_decimal(value):
            return float(value)
    return None


def _host_and_path(environ):
    host = environ.get("HTTP_HOST", "").partition(":")[0].lower()
    return host, environ["quetzalwall.target"]


def _reject(retry_after_s, step, reason, peer="", status=503):
    return rejection_response(retry_after_s, reason, status)


def _fail(status, exc):
    body = f"{exc.step}: {exc.message}\n".encode()
    return Response(status, [("Content-Type", "text/plain")], body)


def _bad_request(exc):
    body = f"{exc.message}\n".encode()
    return Response(exc.status, [("Content-Type", "text/plain")], body)


PLATFORM_DIALECT = Dialect(
    host_and_path=_host_and_path,
    parse_request=parse_request,
    endpoint_headers=endpoint_headers,
    parse_response=parse_response,
    response_headers=lambda headers: headers,
    reject=_reject,
    fail=_fail,
    bad_request=_bad_request,
)
