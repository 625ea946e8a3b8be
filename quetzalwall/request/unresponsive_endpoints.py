"""Avoid endpoints that do not respond to any instance."""

from quetzalwall.logs import get_logger, log_event

__all__ = ["is_avoided", "unresponsive_limit_s"]

UNRESPONSIVE_RATIO = 1.5  # of the longest work; no response for longer: avoided
MIN_UNRESPONSIVE_S = 1.0  # reports of other instances come up to half a second late
LOG = get_logger("endpoints")


def unresponsive_limit_s(longest_work_s):
    """Return for how long an endpoint may give no response until it is avoided.

    Parameters
    ----------
    longest_work_s : float
        The longest work of a request to its service.

    Returns
    -------
    float
        Seconds.
    """
    return max(MIN_UNRESPONSIVE_S, UNRESPONSIVE_RATIO * longest_work_s)


def is_avoided(state, limit_s, now):
    """Return whether an endpoint is avoided; avoid it from now on if unresponsive.

    Parameters
    ----------
    state : EndpointState
        The endpoint.
    limit_s : float
        Seconds as of `unresponsive_limit_s`.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
    """
    if state.avoided(now):
        return True
    unresponsive_s = state.unresponsive_s(now)
    if unresponsive_s <= limit_s:
        return False
    state.record_unresponsive(now)
    log_event(
        LOG,
        "avoided",
        "warning",
        endpoint=state.name,
        reason="silent",
        silent_s=unresponsive_s,
        own=state.own_in_flight,
        peers=state.peer_in_flight,
    )
    return True
