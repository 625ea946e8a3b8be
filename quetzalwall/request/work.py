"""Types that describe one request and what became of it."""

from typing import NamedTuple

import xxhash

from quetzalwall.exceptions import NotRun
from quetzalwall.request.response import Response

__all__ = ["Ended", "Request", "graver", "object_code"]


class Request(NamedTuple):
    """A request that has been read.

    Attributes
    ----------
    facts : RequestMetadata
        What the caller said.
    cfg : Configuration
        The configuration that decides about it.
    route : Route
        Its route.
    service : str
        Service that takes it.
    method, target : str
        HTTP method, and path with query.
    body : bytes
        The whole body.
    object_key : int or None
        Code of the object that it concerns.
    arrived, deadline : float
        Monotonic seconds.
    sock : gevent.socket.socket or None
        The caller's connection.
    hold : Reservation
        Counts the bytes of its body and answers.
    """

    facts: object
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
    hold: object


class Ended(NamedTuple):
    """What became of a request.

    Attributes
    ----------
    answer : Response
        The caller's answer.
    outcome : str
        ``"answered"``, ``"refused"``, ``"not-run"`` or ``"unknown"``.
    endpoint : str, default=""
        Name of the endpoint that answered.
    """

    answer: Response
    outcome: str
    endpoint: str = ""


def graver(failure, exc):
    """Return the failure that leaves more open; what may have run is not "not run".

    Parameters
    ----------
    failure : EndpointError or None
        Failure of an earlier attempt.
    exc : EndpointError
        Failure of the last one.

    Returns
    -------
    EndpointError
    """
    if failure is None or isinstance(failure, NotRun):
        return exc
    return failure


def object_code(route, facts):
    """Return the code of the object that a request concerns.

    Parameters
    ----------
    route : Route
        Its route.
    facts : RequestMetadata
        What the caller said.

    Returns
    -------
    int or None
        None if the route has no use for objects, or none is named.
    """
    # What an endpoint keeps of an object serves the requests of one route only.
    if not route.sticky or not facts.object_key:
        return None
    return xxhash.xxh32_intdigest(f"{route.name}/{facts.object_key}".encode())
