"""Endpoints that get no requests, or no hedges, for a while."""

from quetzalwall.logs import get_logger, log_event

__all__ = ["has_free_slot", "is_avoided"]

LOG = get_logger("endpoints")


def is_avoided(state, limit_s, now):
    """Return whether an endpoint is avoided; avoid it from now on if unresponsive.

    Parameters
    ----------
    state : EndpointState
        The endpoint.
    limit_s : float
        Seconds without any response after which it is unresponsive.
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


def has_free_slot(state, now, fraction):
    """Return whether an endpoint can start a hedge at once.

    Parameters
    ----------
    state : EndpointState
        The endpoint.
    now : float
        Monotonic seconds.
    fraction : float
        Fraction of the slots up to which one is free.

    Returns
    -------
    bool
        False also if it is cold or avoided.
    """
    if state.cold(now) or state.avoided(now):
        return False
    return state.in_flight() + 1 <= fraction * state.entry.slots
