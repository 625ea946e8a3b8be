"""Time limits for requests on an instance that is stopping."""

import math

__all__ = ["GracePeriod", "create_grace_period"]

ACCEPT_FRACTION = 0.4  # of the grace period, while requests that fit are accepted
RESPONSE_FRACTION = 0.9  # of the grace period, at which attempts time out


class GracePeriod:
    """The time between the signal to stop an instance and its end.

    Parameters
    ----------
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    stopping : bool
        Whether the signal has arrived, so that requests in progress must end.
    end : float
        Monotonic seconds by which attempts that begin now must have a response;
        infinity while the instance is not stopping.
    """

    def __init__(self, monotonic):
        self.stopping = False
        self.end = math.inf
        self._accept_until = math.inf
        self._monotonic = monotonic

    def begin(self, seconds):
        """Start the grace period.

        Parameters
        ----------
        seconds : float
            Length of the grace period.
        """
        now = self._monotonic()
        self._accept_until = now + ACCEPT_FRACTION * seconds
        self.end = now + RESPONSE_FRACTION * seconds
        self.stopping = True

    def accept_limit_s(self):
        """Return the time in which a request that is accepted now must end.

        Returns
        -------
        float
            Seconds; infinity while the instance is not stopping, 0 if it does not
            accept requests any more.
        """
        now = self._monotonic()
        return 0.0 if now > self._accept_until else self.end - now


def create_grace_period(monotonic):
    """Return the grace period of an instance that is not stopping.

    Parameters
    ----------
    monotonic
        As of `GracePeriod`.

    Returns
    -------
    GracePeriod
    """
    return GracePeriod(monotonic)
