"""Estimate the load of endpoints from reports of other instances that are out of date.

Where reports are as old as the work of a request takes, the endpoint with the fewest
reported requests is no longer the one with the fewest: all instances would choose it at
the same time. Its estimate therefore tends to the mean of its region as reports age.
"""

import math

__all__ = [
    "crowding_of",
    "estimate_in_flight",
    "has_free_slot",
    "is_full",
    "mean_reported_loads",
    "report_weight",
]

CROWDING_THRESHOLD = 0.5  # fraction of slots in use; above, each one delays others
MAX_REQUESTS_PER_SLOT = 4.0  # in flight; from this number on an endpoint rejects


def is_full(state):
    """Return whether an endpoint would reject a request, by the reports.

    Parameters
    ----------
    state : EndpointState
        The endpoint.

    Returns
    -------
    bool
    """
    return state.in_flight() >= MAX_REQUESTS_PER_SLOT * state.entry.slots


def estimate_in_flight(state, mean_load, weight):
    """Return the requests that are probably in flight at an endpoint.

    Parameters
    ----------
    state : EndpointState
        The endpoint.
    mean_load : float
        From `mean_reported_loads`, for its region.
    weight : float
        From `report_weight`.

    Returns
    -------
    float
        The reported number if it is full: with the mean, it could be chosen before free
        ones, and the request be rejected.
    """
    # No further calls, since this runs for each candidate of each request.
    own, peers, slots = state.own_in_flight, state.peer_in_flight, state.entry.slots
    if own + peers >= MAX_REQUESTS_PER_SLOT * slots:
        return own + peers
    mean = mean_load * slots
    return own + mean + weight * (peers - mean)


def report_weight(age_s, slot_time_s):
    """Return the weight of an endpoint's reported load against the mean of its region.

    Parameters
    ----------
    age_s : float
        Mean age of the reports in seconds.
    slot_time_s : float
        Seconds for which a request occupies a slot.

    Returns
    -------
    float
        The fraction of the reported requests that are still in flight if they end
        independently of one another; 1 for reports without delay.

    Examples
    --------
    >>> report_weight(0.0, 0.5)
    1.0
    >>> round(report_weight(1.0, 0.5), 2)
    0.14
    """
    return math.exp(-age_s / slot_time_s)


def mean_reported_loads(states):
    """Return the requests of other instances in flight for each slot, by region.

    Parameters
    ----------
    states : iterable of EndpointState
        The endpoints.

    Returns
    -------
    dict of str to float
    """
    slots, loads = {}, {}
    for state in states:
        region = state.region
        slots[region] = slots.get(region, 0) + state.entry.slots
        loads[region] = loads.get(region, 0) + state.peer_in_flight
    return {region: loads[region] / slots[region] for region in slots}


def crowding_of(candidates):
    """Return by how much requests per slot exceed the threshold; 0 up to it.

    Parameters
    ----------
    candidates : sequence of EndpointState
        The endpoints.

    Returns
    -------
    float
    """
    slots = sum(state.entry.slots for state in candidates)
    used = sum(state.in_flight() for state in candidates)
    return max(0.0, used / slots - CROWDING_THRESHOLD)


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
