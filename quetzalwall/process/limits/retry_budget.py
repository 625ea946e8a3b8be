"""Part of one instance of the retries that all instances may send."""

from quetzalwall.process.sliding_window import SlidingWindow

__all__ = ["RetryBudget", "create_retry_budget"]

GRAIN_S = 0.25
RATIO_PART = 0.7  # requests of a window may be counted in the one before it
SLACK_PART = 0.5


class RetryBudget:
    """Retries of one service in a sliding window.

    Parameters
    ----------
    bounds : Bounds
        Ratio, slack and window that all instances share.
    """

    def __init__(self, bounds):
        self._bounds = bounds
        self._requests = {}
        self._retries = {}

    def configure(self, bounds):
        """Take over other bounds.

        Parameters
        ----------
        bounds : Bounds
            Ratio and slack; the window stays that of the start.
        """
        self._bounds = bounds

    def record_request(self, service, now):
        """Count a caller's request.

        Parameters
        ----------
        service : str
            Service that it is for.
        now : float
            Monotonic seconds.
        """
        self._window(self._requests, service).try_add(1, float("inf"), now)

    def try_acquire(self, service, now, instances):
        """Count a retry if it is allowed.

        Parameters
        ----------
        service : str
            Service that it is for.
        now : float
            Monotonic seconds.
        instances : int
            Instances that share the slack.

        Returns
        -------
        bool
        """
        limit = self._limit(service, now, instances)
        return self._window(self._retries, service).try_add(1, limit, now)

    def allows_retry(self, service, now, instances):
        """Return whether a retry would be allowed, without counting it.

        Parameters
        ----------
        service : str
            Service that it is for.
        now : float
            Monotonic seconds.
        instances : int
            Instances that share the slack.

        Returns
        -------
        bool
        """
        retries = self._window(self._retries, service).total(now)
        return retries + 1 <= self._limit(service, now, instances)

    def _limit(self, service, now, instances):
        requests = self._window(self._requests, service).total(now)
        limit = RATIO_PART * self._bounds.retry_ratio * requests
        return limit + SLACK_PART * self._bounds.retry_slack / max(1, instances)

    def _window(self, windows, service):
        window = windows.get(service)
        if window is None:
            window = SlidingWindow(self._bounds.retry_window_s, GRAIN_S)
            windows[service] = window
        return window


def create_retry_budget(bounds):
    """Return an unused allowance.

    Parameters
    ----------
    bounds : Bounds
        Ratio, slack and window that all instances share.

    Returns
    -------
    RetryBudget
    """
    return RetryBudget(bounds)
