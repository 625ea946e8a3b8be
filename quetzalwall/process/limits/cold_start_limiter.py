"""Part of one instance of the rate at which cold endpoints get requests."""

from quetzalwall.process.limits.share import rate_share, rendezvous_order
from quetzalwall.process.sliding_window import SlidingWindow

__all__ = ["ColdStartLimiter", "create_cold_start_limiter", "cold_share"]

SPAN_S = 1.2  # requests sent within it may arrive within one second
GRAIN_S = 0.05
SAFE_PART = 0.9


def cold_share(limit, instance, endpoint, instances):
    """Return how many requests one instance may send to a cold endpoint in a second.

    Parameters
    ----------
    limit : float
        Requests a second that the endpoint bears from all instances together.
    instance : str
        Name of the instance.
    endpoint : str
        Identity of the endpoint.
    instances : sequence of str
        Names of all instances, this one included.

    Returns
    -------
    int
        Where there are more instances than requests, those first in rendezvous order
        of the endpoint send one each.
    """
    whole = int(limit * SAFE_PART)
    if whole >= len(instances):
        whole -= whole % len(instances)
        return rate_share(whole, instance, instances)
    return rate_share(whole, instance, rendezvous_order(endpoint, instances))


class ColdStartLimiter:
    """Requests to cold endpoints in the last second.

    Parameters
    ----------
    instance : str
        Name of this instance.
    bounds : Bounds
        Overage and slack beyond the tolerated rate.
    """

    def __init__(self, instance, bounds):
        self._instance = instance
        self._bounds = bounds
        self._windows = {}
        self._shares = {}
        self._instances = None

    def configure(self, bounds):
        """Take over other bounds.

        Parameters
        ----------
        bounds : Bounds
            Overage and slack.
        """
        self._bounds = bounds

    def allows(self, endpoint, per_s, instances, now):
        """Return whether a cold endpoint may get a request of this instance.

        Parameters
        ----------
        endpoint : str
            Identity of the endpoint.
        per_s : float
            Requests a second that it tolerates.
        instances : sequence of str
            Names of all instances that may send to it; a list that is never changed,
            so that what follows from it is worked out once.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        limit = per_s * self._bounds.cold_overage + self._bounds.cold_slack
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

    def prune(self, known):
        """Drop the counts of endpoints that are gone.

        Parameters
        ----------
        known : callable
            From an identity to whether the endpoint is still known.
        """
        self._windows = {
            name: window for name, window in self._windows.items() if known(name)
        }
        self._shares = {
            name: share for name, share in self._shares.items() if known(name)
        }

    def _share(self, endpoint, limit, instances):
        if instances is not self._instances:
            self._instances, self._shares = instances, {}
        kept = self._shares.get(endpoint)
        if kept is None or kept[0] != limit:
            share = cold_share(limit, self._instance, endpoint, instances)
            kept = self._shares[endpoint] = limit, share
        return kept[1]

    def _window(self, endpoint):
        window = self._windows.get(endpoint)
        if window is None:
            window = self._windows[endpoint] = SlidingWindow(SPAN_S, GRAIN_S)
        return window


def create_cold_start_limiter(instance, bounds):
    """Return unused counts.

    Parameters
    ----------
    instance : str
        Name of this instance.
    bounds : Bounds
        Overage and slack beyond the tolerated rate.

    Returns
    -------
    ColdStartLimiter
    """
    return ColdStartLimiter(instance, bounds)
