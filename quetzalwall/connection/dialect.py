"""Interface between the headers on the wire and the rest of the system.

The product's own protocol and the platform's differ in the names of headers and in how
a response states its outcome. Each is a `Dialect`; all other code is common to both.
"""

from collections.abc import Callable
from typing import NamedTuple

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "ResponseMetadata",
    "RequestMetadata",
    "Dialect",
    "combine_headers",
    "forwarded_headers",
]

# Headers that apply to one connection only and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    ]
)


class RequestMetadata(NamedTuple):
    """Metadata of a caller's request.

    Attributes
    ----------
    request_id : str
        Identifier of this attempt; empty if it has none.
    timeout_s : float or None
        Seconds that the caller will wait; None if it does not say.
    object_key : str
        Object that the request is about; empty if none is named.
    headers : dict of str to str
        Headers to forward.
    idempotency_key : str, default=""
        Requests with the same key may run once in total, whoever sends them; empty if
        there is none.
    credential : str, default=""
        Key of the client account; empty if there is none. Never logged or forwarded.
    account : str, default=""
        Name of the client account, as the instance determined it; empty if there is
        none.
    """

    request_id: str
    timeout_s: float | None
    object_key: str
    headers: dict
    idempotency_key: str = ""
    credential: str = ""
    account: str = ""


class ResponseMetadata(NamedTuple):
    """Metadata of an endpoint's response.

    Attributes
    ----------
    request_id : str or None
        Identifier of the request that it names; None if it names none.
    not_run : bool
        Whether the endpoint states that the request has not run.
    misdirected : bool
        Whether the address belongs to an endpoint other than the expected one.
    load : tuple or None
        Requests running, requests waiting, slots, and slowness (1.0 is usual).
    cold_s : float or None
        Seconds for which the endpoint will still be cold.
    keep_alive_s : float or None
        Seconds for which the endpoint keeps an idle connection open.
    headers : list of (str, str)
        Headers to forward.
    authentic : bool, default=True
        Whether it has the headers that a response of the endpoint itself must have.
    implies_not_run : bool, default=False
        Whether callers would conclude "not run" from the status, although the endpoint
        does not state it.
    limit_per_s : float or None, default=None
        Advertised limit: requests a second that the endpoint accepts from all instances
        together; None if there is none.
    malformed_limit : str, default=""
        Value of an advertised limit that cannot be parsed.
    draining : bool, default=False
        Whether the endpoint states that it is draining.
    pause_s : float or None, default=None
        Seconds for which the endpoint asks this instance for no requests; None if it
        does not.
    odd_pause : str, default=""
        Value of such a request that was bounded or cannot be parsed.
    """

    request_id: str | None
    not_run: bool
    misdirected: bool
    load: tuple | None
    cold_s: float | None
    keep_alive_s: float | None
    headers: list
    authentic: bool = True
    implies_not_run: bool = False
    limit_per_s: float | None = None
    malformed_limit: str = ""
    draining: bool = False
    pause_s: float | None = None
    odd_pause: str = ""


class Dialect(NamedTuple):
    """Protocol variant spoken with callers and endpoints.

    Attributes
    ----------
    host_and_path : callable
        From a WSGI environment to the host, and the path with query.
    parse_request : callable
        From a WSGI environment to `RequestMetadata`.
    endpoint_headers : callable
        From `RequestMetadata`, the name of an endpoint and the remaining seconds to the
        headers of the request to that endpoint.
    parse_response : callable
        From the status and headers of an endpoint's response to `ResponseMetadata`.
    response_headers : callable
        From the forwarded headers of an endpoint's response to those for the caller.
    reject : callable
        From the seconds until a retry, step, reason, peer and status (503 if there is
        none) to the response "not run".
    fail : callable
        From a status and an `EndpointError` to the response "outcome unknown".
    bad_request : callable
        From a `BadRequest` to the response.
    """

    host_and_path: Callable
    parse_request: Callable
    endpoint_headers: Callable
    parse_response: Callable
    response_headers: Callable
    reject: Callable
    fail: Callable
    bad_request: Callable


def combine_headers(items):
    """Return headers by lower-case name.

    Values of repeated headers are joined. A response whose head is a mixture of two
    thus names none of their requests, rather than the last one.

    Parameters
    ----------
    items : sequence of (str, str)
        The headers.

    Returns
    -------
    dict of str to str
    """
    combined = {}
    for name, value in items:
        lower_name = name.lower()
        combined[lower_name] = (
            f"{combined[lower_name]}, {value}" if lower_name in combined else value
        )
    return combined


def forwarded_headers(environ, excluded=frozenset()):
    """Return the headers of a caller's request to forward to an endpoint.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    excluded : frozenset of str
        Further names to leave out, in lower case.

    Returns
    -------
    dict of str to str
    """
    headers = {}
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            header_name = name[5:].replace("_", "-")
            if (
                header_name.lower() not in HOP_BY_HOP_HEADERS
                and header_name.lower() not in excluded
            ):
                headers[header_name.title()] = value
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers
