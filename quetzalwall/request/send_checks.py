"""Check whether a request that has waited may still be sent."""

from quetzalwall.connection.caller_connection import CallerLeft, is_closed
from quetzalwall.exceptions import NotSent
from quetzalwall.request.choice import STOPPING
from quetzalwall.request.request_log import log_abandoned

__all__ = ["check_caller_connected", "check_may_send"]


def check_caller_connected(req):
    """Raise if the caller of a request has disconnected.

    Parameters
    ----------
    req : Request
        The request.

    Raises
    ------
    CallerLeft
        The caller closed its connection.
    """
    if req.sock is not None and is_closed(req.sock):
        log_abandoned(req)
        raise CallerLeft


def check_may_send(req, choice, endpoints, chooser, grace, now):
    """Raise if a request that waited for a connection must not be sent any more.

    Parameters
    ----------
    req : Request
        The request.
    choice : Choice
        The endpoint chosen for it.
    endpoints : EndpointTable
        Tells which endpoints may get requests.
    chooser : Chooser
        Tells whether the request will end before the instance stops.
    grace : GracePeriod
        Limits the requests of an instance that is stopping.
    now : float
        Monotonic seconds.

    Raises
    ------
    CallerLeft
        The caller closed its connection.
    NotSent
        The endpoint may not get new requests any more or asks for none, or the request
        would not end before this instance stops.
    """
    check_caller_connected(req)
    name = choice.state.name
    if not endpoints.is_routable(choice.state):
        raise NotSent("the endpoint leaves", "admission", name)
    if now < choice.state.paused_until:
        raise NotSent("the endpoint asks for no requests", "admission", name)
    stop = grace.time_to_stop(req)
    if not chooser.fits(req.route, choice, req.deadline - now, stop):
        raise NotSent(STOPPING.reason, "admission", name)
