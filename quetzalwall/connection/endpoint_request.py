"""A request as an endpoint's client sends it."""

from collections.abc import Callable
from typing import NamedTuple

from quetzalwall.connection.memory_budget import Reservation

__all__ = ["EndpointRequest"]


class EndpointRequest(NamedTuple):
    """A request to an endpoint, and how to send it.

    Attributes
    ----------
    method, target : str
        HTTP method, and path with query.
    headers : dict of str to str
        All headers except Content-Length.
    body : bytes
        The complete body.
    request_id : str
        Identifier that the response has to name; a request without one (empty) gets a
        connection of its own.
    idempotent : bool
        Whether it may run twice; if so, any idle connection may carry it.
    should_abandon : callable or None
        Whether to stop waiting at an unresponsive endpoint; None waits in any case.
    reservation : Reservation or None
        Memory reserved for the response; None reserves nothing.
    before_send : callable or None
        Raises if nobody waits for the response any more, so that nothing is sent.
    """

    method: str
    target: str
    headers: dict
    body: bytes
    request_id: str
    idempotent: bool
    should_abandon: Callable | None = None
    reservation: Reservation | None = None
    before_send: Callable | None = None
