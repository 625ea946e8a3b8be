"""Slowness of an endpoint, as its latest response reported it."""

import math

__all__ = ["ReportedSlowness"]

SLOWNESS_DECAY_S = 0.6  # about as long as a noisy neighbour stays


class ReportedSlowness:
    """The latest slowness of one endpoint, which counts less as it ages."""

    def __init__(self):
        self._slowness = 1.0
        self._at = -math.inf
        self._own = False

    def estimate(self, now):
        """Return the present slowness.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Factor by which work takes longer than usual; 1.0 is usual.
        """
        age_s = now - self._at
        if age_s > 4 * SLOWNESS_DECAY_S:
            return 1.0
        return 1.0 + (self._slowness - 1.0) * math.exp(-age_s / SLOWNESS_DECAY_S)

    def record(self, slowness, at, own):
        """Record the slowness in a response.

        Parameters
        ----------
        slowness : float
            1.0 is usual.
        at : float
            Monotonic seconds of the response; an older one changes nothing.
        own : bool
            Whether this instance got the response, and so reports it to the others.
        """
        if at > self._at:
            self._slowness, self._at, self._own = slowness, at, own

    def own_since(self, since):
        """Return the slowness in a response to this instance after a given time.

        Parameters
        ----------
        since : float
            Monotonic seconds.

        Returns
        -------
        (float, float) or None
            Slowness, and monotonic seconds of the response.
        """
        if not self._own or self._at <= since:
            return None
        return self._slowness, self._at
