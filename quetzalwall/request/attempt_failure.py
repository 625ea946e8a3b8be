"""Record an attempt without a response on its endpoint."""

from quetzalwall.exceptions import NotConnected, NotSent
from quetzalwall.logs import get_logger, log_event

__all__ = ["record_attempt_failure"]

LOG = get_logger("request")


def record_attempt_failure(state, exc, now):
    """Record on an endpoint that an attempt got no response from it.

    Parameters
    ----------
    state : EndpointState
        The endpoint.
    exc : EndpointError
        Why the attempt failed.
    now : float
        Monotonic seconds.
    """
    unconnected = isinstance(exc, NotConnected)
    if isinstance(exc, NotSent) and not unconnected:
        return  # the failure says nothing about the endpoint
    if state.record_failure(now, certain=unconnected):
        log_event(LOG, "avoided", "warning", endpoint=state.name)
