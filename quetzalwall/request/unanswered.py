"""What an attempt without an answer says of its endpoint."""

from quetzalwall.exceptions import NotConnected, NotSent
from quetzalwall.logs import get_logger, log_event

__all__ = ["note_unanswered"]

LOG = get_logger("request")


def note_unanswered(state, exc, now):
    """Record on an endpoint that an attempt there got no answer.

    Parameters
    ----------
    state : EndpointState
        The endpoint.
    exc : EndpointError
        What became of the attempt.
    now : float
        Monotonic seconds.
    """
    unconnected = isinstance(exc, NotConnected)
    if isinstance(exc, NotSent) and not unconnected:
        return  # the endpoint has no part in it
    if state.record_failure(now, certain=unconnected):
        log_event(LOG, "avoided", "warning", endpoint=state.name)
