"""One request of a caller, and its result."""

from collections.abc import Callable
from typing import NamedTuple

import xxhash

from quetzalwall.exceptions import NotRun
from quetzalwall.request.response import Response

__all__ = [
    "NOT_RUN_OUTCOMES",
    "Request",
    "RequestResult",
    "more_severe",
    "object_hash",
]

NOT_RUN_OUTCOMES = ("refused", "not-run")  # of requests that no endpoint has run


class Request(NamedTuple):
    """A request that has been read.

    Attributes
    ----------
    metadata : RequestMetadata
        What the caller's headers say.
    cfg : Configuration
        The configuration that was active when the request arrived.
    route : Route
        Its route.
    service : str
        Service that the request is sent to.
    method, target : str
        HTTP method, and path with query.
    body : bytes
        The complete body.
    object_key : int or None
        Hash of the key of the object that the request concerns; None if there is none.
    arrived, deadline : float
        Monotonic seconds.
    sock : gevent.socket.socket or None
        The caller's connection.
    reservation : Reservation
        Memory reserved for its body and responses.
    account : ClientAccount or None, default=None
        Client account whose key it has; None if its route needs none. The route has the
        account's rank and regions.
    bytes_ahead : callable or None, default=None
        Returns the bytes of earlier responses on the caller's connection that have not
        been sent; None if the response waits for no others.
    """

    metadata: object
    cfg: object
    route: object
    service: str
    method: str
    target: str
    body: bytes
    object_key: int | None
    arrived: float
    deadline: float
    sock: object
    reservation: object
    account: object = None
    bytes_ahead: Callable | None = None


class RequestResult(NamedTuple):
    """The result of a request.

    Attributes
    ----------
    response : Response
        The response to the caller.
    outcome : str
        ``"answered"``, ``"refused"``, ``"not-run"``, ``"unknown"`` or
        ``"caller-left"``.
    endpoint : str, default=""
        Name of the endpoint that responded; empty if none did.
    """

    response: Response
    outcome: str
    endpoint: str = ""


def more_severe(failure, exc):
    """Return the failure of two attempts that determines the result.

    A request that may have run in an earlier attempt must not be reported as not run.

    Parameters
    ----------
    failure : EndpointError or None
        Failure of the earlier attempts.
    exc : EndpointError
        Failure of the last one.

    Returns
    -------
    EndpointError
    """
    if failure is None or isinstance(failure, NotRun):
        return exc
    return failure


def object_hash(route, metadata):
    """Return the hash of the key of the object that a request concerns.

    Parameters
    ----------
    route : Route
        Its route.
    metadata : RequestMetadata
        What the caller's headers say.

    Returns
    -------
    int or None
        None if the route is not sticky, or the request names no object.
    """
    # What an endpoint caches of an object is of use to one route only.
    if not route.sticky or not metadata.object_key:
        return None
    return xxhash.xxh32_intdigest(f"{route.name}/{metadata.object_key}".encode())
