"""What callers and endpoints say on the wire, in the project's own terms.

The product's own interface and the platform's differ in names of headers and in how an
answer tells of its outcome. Each is a `Dialect`; everything else is the same.
"""

from collections.abc import Callable
from typing import NamedTuple

__all__ = [
    "HOP_HEADERS",
    "AnswerFacts",
    "CallerFacts",
    "Dialect",
    "by_name",
    "passed_headers",
]

# Headers that concern one connection only.
HOP_HEADERS = frozenset(
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


class CallerFacts(NamedTuple):
    """What a caller's headers say.

    Attributes
    ----------
    request_id : str
        Identity of this attempt; empty if it has none.
    wait_s : float or None
        Seconds that the caller will wait.
    object_key : str
        Object that the request concerns; empty if none is named.
    headers : dict of str to str
        Headers to pass on.
    once_key : str, default=""
        Key under which the request may run once, whoever sends it; empty if none.
    """

    request_id: str
    wait_s: float | None
    object_key: str
    headers: dict
    once_key: str = ""


class AnswerFacts(NamedTuple):
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
    sound : bool, default=True
        Whether it bears what an endpoint's own answer must bear.
    promise : bool, default=False
        Whether callers take its status for "not run", which the endpoint didn't say.
    limit_per_s : float or None, default=None
        Requests a second that the endpoint takes from all instances together; None if
        it names no limit.
    odd_limit : str, default=""
        What was named as a limit and is none.
    """

    request_id: str | None
    not_run: bool
    misdirected: bool
    load: tuple | None
    cold_s: float | None
    keep_alive_s: float | None
    headers: list
    sound: bool = True
    promise: bool = False
    limit_per_s: float | None = None
    odd_limit: str = ""


class Dialect(NamedTuple):
    """How callers and endpoints speak.

    Attributes
    ----------
    place : callable
        From a WSGI environment to the host, and the path with query, of a request.
    caller_facts : callable
        From a WSGI environment to `CallerFacts`.
    endpoint_headers : callable
        From `CallerFacts`, the endpoint's name and the seconds left to the headers of
        a request to it.
    answer_facts : callable
        From an answer's status and headers to `AnswerFacts`.
    answered : callable
        From the headers of an endpoint's answer to those that the caller gets.
    refuse : callable
        From seconds to wait, step, reason and peer to the answer that says "not run".
    fail : callable
        From a status and an `EndpointError` to the answer that leaves it open.
    malformed : callable
        From a `BadRequest` to its answer.
    """

    place: Callable
    caller_facts: Callable
    endpoint_headers: Callable
    answer_facts: Callable
    answered: Callable
    refuse: Callable
    fail: Callable
    malformed: Callable


def by_name(items):
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


def passed_headers(environ, left_out=frozenset()):
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
            if plain.lower() not in HOP_HEADERS and plain.lower() not in left_out:
                headers[plain.title()] = value
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers
