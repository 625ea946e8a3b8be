"""What callers and endpoints say on the wire, in the project's own terms.

The product's own interface and the platform's differ in names of headers and in how an
answer tells of its outcome. Each is a `Dialect`; everything else is the same.
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

# Headers that concern one connection only.
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
    """What a caller's headers say.

    Attributes
    ----------
    request_id : str
        Identity of this attempt; empty if it has none.
    timeout_s : float or None
        Seconds that the caller will wait.
    object_key : str
        Object that the request concerns; empty if none is named.
    headers : dict of str to str
        Headers to pass on.
    idempotency_key : str, default=""
        Key under which the request may run once, whoever sends it; empty if none.
    """

    request_id: str
    timeout_s: float | None
    object_key: str
    headers: dict
    idempotency_key: str = ""


class ResponseMetadata(NamedTuple):
    """What an endpoint's headers say.

    Attributes
    ----------
    request_id : str or None
        Request that it answers.
    not_run : bool
        Whether the endpoint says that the request has not run.
    misdirected : bool
        Whether another endpoint than the one expected has the address.
    load : tuple or None
        Requests running, requests waiting, slots, and slowness (1.0 is usual).
    cold_s : float or None
        Seconds for which the endpoint remains cold.
    keep_alive_s : float or None
        Seconds for which it keeps an idle connection.
    headers : list of (str, str)
        Headers to pass on.
    authentic : bool, default=True
        Whether it bears what an endpoint's own answer must bear.
    implies_not_run : bool, default=False
        Whether callers take its status for "not run", which the endpoint didn't say.
    limit_per_s : float or None, default=None
        Requests a second that the endpoint takes from all instances together; None if
        it names no limit.
    malformed_limit : str, default=""
        What was named as a limit and is none.
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


class Dialect(NamedTuple):
    """How callers and endpoints speak.

    Attributes
    ----------
    host_and_path : callable
        From a WSGI environment to the host, and the path with query, of a request.
    parse_request : callable
        From a WSGI environment to `RequestMetadata`.
    endpoint_headers : callable
        From `RequestMetadata`, the endpoint's name and the seconds left to the headers
        of a request to it.
    parse_response : callable
        From an answer's status and headers to `ResponseMetadata`.
    response_headers : callable
        From the headers of an endpoint's answer to those that the caller gets.
    reject : callable
        From seconds to wait, step, reason and peer to the answer that says "not run".
    fail : callable
        From a status and an `EndpointError` to the answer that leaves it open.
    bad_request : callable
        From a `BadRequest` to its answer.
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
    """Return headers by their names in small letters.

    What stands in several lines is joined, as it has one meaning only: an answer whose
    head is made up of two names no request, rather than the last one.

    Parameters
    ----------
    items : sequence of (str, str)
        The headers.

    Returns
    -------
    dict of str to str
    """
    found = {}
    for name, value in items:
        small = name.lower()
        found[small] = f"{found[small]}, {value}" if small in found else value
    return found


def forwarded_headers(environ, left_out=frozenset()):
    """Return the headers of a caller's request that concern its endpoint.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    left_out : frozenset of str
        Further names to leave out, in small letters.

    Returns
    -------
    dict of str to str
    """
    headers = {}
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            plain = name[5:].replace("_", "-")
            if (
                plain.lower() not in HOP_BY_HOP_HEADERS
                and plain.lower() not in left_out
            ):
                headers[plain.title()] = value
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers
