"""Limit the rate at which one instance sends requests to cold endpoints."""

import math

from quetzalwall.process.limits.share import rate_share, rendezvous_order
from quetzalwall.process.sliding_window import SlidingWindow

__all__ = ["ColdStartLimiter", "cold_endpoint_share", "create_cold_start_limiter"]

WINDOW_SPAN_S = 1.2  # requests sent within this span may arrive within one second
WINDOW_RESOLUTION_S = 0.05
SAFE_FRACTION = 0.9  # of an endpoint's limit that all instances together may use


def cold_endpoint_share(limit, instance, endpoint, instances):
    """Return how many requests per second an instance may send to a cold endpoint.

    If there are at least as many requests as instances, every instance gets the same
    number. Otherwise, the first instances in the endpoint's rendezvous order get one
    request each.

    Parameters
    ----------
    limit : float
        Requests per second that the endpoint tolerates from all instances together.
    instance : str
        Name of the instance.
    endpoint : str
        Identity of the endpoint.
    instances : sequence of str
        Names of all instances, including ``instance``.

    Returns
    -------
    int
        The shares of all instances add up to at most `SAFE_FRACTION` of the limit.
    """
    requests = int(limit * SAFE_FRACTION)
    if requests >= len(instances):
        requests -= requests % len(instances)
        return rate_share(requests, instance, instances)
    return rate_share(requests, instance, rendezvous_order(endpoint, instances))


class ColdStartLimiter:
    """Counts requests to cold endpoints and limits them to this instance's share.

    Parameters
    ----------
    instance : str
        Name of this instance.
    bounds : Bounds
        Its ``cold_overage`` multiplies the rate that an endpoint tolerates, and its
        ``cold_slack`` is added.
    """

    def __init__(self, instance, bounds):
        self._instance = instance
        self._bounds = bounds
        self._windows = {}
        self._shares = {}
        self._instances = None

    def configure(self, bounds):
        """Apply new bounds; requests that were counted stay counted.

        Parameters
        ----------
        bounds : Bounds
            Overage and slack.
        """
        self._bounds = bounds

    def allows(self, endpoint, per_s, instances, now):
        """Return whether this instance may send a request to a cold endpoint.

        Parameters
        ----------
        endpoint : str
            Identity of the endpoint.
        per_s : float
            Requests per second that the endpoint tolerates.
        instances : sequence of str
            Names of all instances that may send to it. The list must not be modified:
            shares are cached for as long as the same list is passed.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        limit = per_s * self._bounds.cold_overage + self._bounds.cold_slack
        if math.isinf(limit):
            return True
        share = self._share(endpoint, limit, instances)
        return share > 0 and self._window(endpoint).total(now) + 1 <= share

    def record_request(self, endpoint, now):
        """Count a request to a cold endpoint.

        Parameters
        ----------
        endpoint : str
            Identity of the endpoint.
        now : float
            Monotonic seconds.
        """
        self._window(endpoint).try_add(1, float("inf"), now)

    def prune(self, is_known):
        """Drop the state of endpoints that are no longer known.

        Parameters
        ----------
        is_known : callable
            Takes the identity of an endpoint; returns whether it is still known.
        """
        self._windows = {
            endpoint: window
            for endpoint, window in self._windows.items()
            if is_known(endpoint)
        }
        self._shares = {
            endpoint: share
            for endpoint, share in self._shares.items()
            if is_known(endpoint)
        }

    def _share(self, endpoint, limit, instances):
        if instances is not self._instances:
            self._instances, self._shares = instances, {}
        cached = self._shares.get(endpoint)
        if cached is None or cached[0] != limit:
            share = cold_endpoint_share(limit, self._instance, endpoint, instances)
            cached = self._shares[endpoint] = limit, share
        return cached[1]

    def _window(self, endpoint):
        window = self._windows.get(endpoint)
        if window is None:
            window = self._windows[endpoint] = SlidingWindow(
                WINDOW_SPAN_S, WINDOW_RESOLUTION_S
            )
        return window


def create_cold_start_limiter(instance, bounds):
    """Return a limiter that has not counted any requests yet.

    Parameters
    ----------
    instance, bounds
        As of `ColdStartLimiter`.

    Returns
    -------
    ColdStartLimiter
    """
    return ColdStartLimiter(instance, bounds)
