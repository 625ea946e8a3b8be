"""Look whether a request is still to be sent, when it has waited."""

from quetzalwall.connection.caller_connection import CallerLeft, is_closed
from quetzalwall.exceptions import NotSent
from quetzalwall.request.choice import STOPPING
from quetzalwall.request.request_log import log_abandoned

__all__ = ["check_caller", "check_wanted"]


def check_caller(req):
    """Raise if the caller of a request has left.

    Parameters
    ----------
    req : Request
        The request.

    Raises
    ------
    CallerLeft
        It closed its connection.
    """
    if req.sock is not None and is_closed(req.sock):
        log_abandoned(req)
        raise CallerLeft


def check_wanted(req, choice, endpoints, chooser, grace, now):
    """Raise if a request that waited for a connection is not to be sent any more.

    Parameters
    ----------
    req : Request
        The request.
    choice : Choice
        The endpoint chosen for it.
    endpoints : EndpointTable
        Tells which endpoints may get requests.
    chooser : Chooser
        Tells what fits into the time left.
    grace : GracePeriod
        Bounds what a stopping instance sends.
    now : float
        Monotonic seconds.

    Raises
    ------
    CallerLeft
        The caller closed its connection.
    NotSent
        Its endpoint leaves, or it would not end before this instance stops.
    """
    check_caller(req)
    name = choice.state.name
    if not endpoints.is_routable(choice.state):
        raise NotSent("the endpoint leaves", "admission", name)
    if not chooser.fits(req.route, choice, req.deadline - now, grace.end - now):
        raise NotSent(STOPPING.reason, "admission", name)
