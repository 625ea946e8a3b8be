"""Limit an instance's retries to its share of the retry budget of all instances."""

from quetzalwall.process.sliding_window import SlidingWindow

__all__ = ["RetryBudget", "create_retry_budget"]

WINDOW_RESOLUTION_S = 0.25
# Fractions of the configured ratio and slack that the instances use. The ratio needs a
# margin because requests of one window may be counted in the window before it.
RATIO_FRACTION = 0.7
SLACK_FRACTION = 0.5
HEDGE_FRACTION = 0.5  # of the limit; no hedge is sent once as many retries are counted
# For the share of hedges; an instance with one request a second would have no hedge at
# all of a share of 0.05 in the window of retries.
HEDGE_WINDOW_S = 60.0


class RetryBudget:
    """Counts requests and retries of each service in sliding windows.

    The retries of a service are limited to a ratio of the requests that this instance
    received for it, plus an equal share of a slack that all instances divide.

    Parameters
    ----------
    bounds : Bounds
        Retry ratio, slack and window, which hold over all instances.
    hedging : float, default=0.0
        Maximum share of a service's requests that are hedged.
    """

    def __init__(self, bounds, hedging=0.0):
        self._bounds = bounds
        self.hedging = hedging
        self._hedges = {}
        self._hedgeable = {}
        self._requests = {}
        self._retries = {}

    def configure(self, bounds, hedging=0.0):
        """Apply new bounds.

        Parameters
        ----------
        bounds : Bounds
            Retry ratio and slack; windows that exist already keep their length.
        hedging : float, default=0.0
            Maximum share of a service's requests that are hedged.
        """
        self._bounds = bounds
        self.hedging = hedging

    def record_request(self, service, now):
        """Count a request from a caller.

        Parameters
        ----------
        service : str
            Service that the request is for.
        now : float
            Monotonic seconds.
        """
        self._window(self._requests, service).try_add(1, float("inf"), now)
        if self.hedging:
            requests = self._window(self._hedgeable, service, HEDGE_WINDOW_S)
            requests.try_add(1, float("inf"), now)

    def try_acquire(self, service, now, instances):
        """Count a retry if the budget allows it.

        Parameters
        ----------
        service : str
            Service that the retry is for.
        now : float
            Monotonic seconds.
        instances : int
            Number of instances that divide the slack.

        Returns
        -------
        bool
            Whether the retry may be sent.
        """
        limit = self._limit(service, now, instances)
        return self._window(self._retries, service).try_add(1, limit, now)

    def allows_retry(self, service, now, instances):
        """Return whether the budget allows a retry, without counting it.

        Parameters
        ----------
        service : str
            Service that the retry is for.
        now : float
            Monotonic seconds.
        instances : int
            Number of instances that divide the slack.

        Returns
        -------
        bool
        """
        retries = self._window(self._retries, service).total(now)
        return retries + 1 <= self._limit(service, now, instances)

    def hedge_obstacle(self, service, now, instances):
        """Return why no hedged request may be sent, without counting one.

        Parameters
        ----------
        service : str
            Service that the request is for.
        now : float
            Monotonic seconds.
        instances : int
            Number of instances that divide the slack.

        Returns
        -------
        str or None
            ``"share"`` if the share of hedged requests is reached, ``"budget"`` if half
            of the retry budget is used, None if one may be sent.
        """
        requests = self._window(self._hedgeable, service, HEDGE_WINDOW_S).total(now)
        hedges = self._window(self._hedges, service, HEDGE_WINDOW_S).total(now)
        if hedges + 1 > self.hedging * requests:
            return "share"
        retries = self._window(self._retries, service).total(now)
        limit = self._limit(service, now, instances)
        if retries + 1 > limit or retries > HEDGE_FRACTION * limit:
            return "budget"
        return None

    def record_hedge(self, service, now):
        """Count a hedged request, both as such and as a retry.

        Parameters
        ----------
        service : str
            Service that the request is for.
        now : float
            Monotonic seconds.
        """
        self._window(self._hedges, service, HEDGE_WINDOW_S).try_add(
            1, float("inf"), now
        )
        self._window(self._retries, service).try_add(1, float("inf"), now)

    def _limit(self, service, now, instances):
        requests = self._window(self._requests, service).total(now)
        limit = RATIO_FRACTION * self._bounds.retry_ratio * requests
        return limit + SLACK_FRACTION * self._bounds.retry_slack / max(1, instances)

    def _window(self, windows, service, span_s=None):
        window = windows.get(service)
        if window is None:
            span_s = span_s or self._bounds.retry_window_s
            window = SlidingWindow(span_s, WINDOW_RESOLUTION_S)
            windows[service] = window
        return window


def create_retry_budget(bounds, hedging=0.0):
    """Return a budget of which nothing has been used.

    Parameters
    ----------
    bounds, hedging
        As of `RetryBudget`.

    Returns
    -------
    RetryBudget
    """
    return RetryBudget(bounds, hedging)
