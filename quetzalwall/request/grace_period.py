"""Time limits for requests on an instance that is stopping."""

import math
from typing import NamedTuple

__all__ = ["NOT_STOPPING", "GracePeriod", "TimeToStop", "create_grace_period"]

# Before the end of the grace period, at which attempts time out: their responses have
# to be sent, and the process has to end.
RESPONSE_MARGIN_S = 0.3
MAX_MARGIN_FRACTION = 0.1  # of the grace period


class TimeToStop(NamedTuple):
    """The time that a request has on an instance that may be stopping.

    Attributes
    ----------
    remaining_s : float
        Seconds until the instance stops; infinity while it is not stopping.
    delivery_s : float
        Part of it in which the caller is expected to read the response.
    """

    remaining_s: float
    delivery_s: float = 0.0


NOT_STOPPING = TimeToStop(math.inf)


class GracePeriod:
    """The time between the signal to stop an instance and its end.

    Parameters
    ----------
    monotonic : callable
        Clock in seconds.
    delivery_s : callable
        From a request to the seconds in which its caller is expected to read the
        response.

    Attributes
    ----------
    stopping : bool
        Whether the signal has arrived, so that requests in progress must end.
    end : float
        Monotonic seconds by which attempts that begin now must have a response;
        infinity while the instance is not stopping.
    """

    def __init__(self, monotonic, delivery_s):
        self.stopping = False
        self.end = math.inf
        self._monotonic = monotonic
        self._delivery_s = delivery_s

    def begin(self, seconds):
        """Start the grace period.

        Parameters
        ----------
        seconds : float
            Length of the grace period.
        """
        margin_s = min(RESPONSE_MARGIN_S, MAX_MARGIN_FRACTION * seconds)
        self.end = self._monotonic() + seconds - margin_s
        self.stopping = True

    def time_to_stop(self, req):
        """Return the time that is left for a request.

        Parameters
        ----------
        req : Request
            The request.

        Returns
        -------
        TimeToStop
        """
        if not self.stopping:
            return NOT_STOPPING
        remaining_s = max(0.0, self.end - self._monotonic())
        return TimeToStop(remaining_s, self._delivery_s(req))


def create_grace_period(monotonic, latency, rates):
    """Return the grace period of an instance that is not stopping.

    Parameters
    ----------
    monotonic
        As of `GracePeriod`.
    latency : LatencyModel
        Knows the sizes of responses.
    rates : ReadingRates
        How fast callers read.

    Returns
    -------
    GracePeriod
    """

    def delivery_s(req):
        size = latency.max_response_bytes(req.route)
        if req.bytes_ahead is not None:
            size += req.bytes_ahead()
        return rates.delivery_s(size)

    return GracePeriod(monotonic, delivery_s)
