"""Endpoints that have asked this instance for no requests for a while."""

__all__ = ["paused_s"]


def paused_s(endpoints, route, service, now):
    """Return the time for which all endpoints ask this instance for no requests.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints.
    route : Route
        Route whose regions the endpoints have to be in.
    service : str
        Name of the service.
    now : float
        Monotonic seconds.

    Returns
    -------
    float
        Seconds; 0 if there are none, or one of them does not ask so.
    """
    waits_s = [
        state.paused_until - now
        for state in endpoints.routable_endpoints(service)
        if not route.regions or state.region in route.regions
    ]
    return max(0.0, min(waits_s, default=0.0))
