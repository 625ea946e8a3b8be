"""Types of the seeded load driver."""

from collections import deque
from typing import NamedTuple

__all__ = ["FOREVER", "LOCAL_S", "REMOTE_S", "FakeEndpoint", "Result", "Stream"]

FOREVER = 1e12
LOCAL_S = 0.0005  # one way within a region
REMOTE_S = 0.0175  # one way between regions


class Stream(NamedTuple):
    """Requests of one kind.

    Attributes
    ----------
    path : str
        Path, which decides the class.
    per_s : callable
        Takes the time; returns the rate over all instances.
    mean_s : float
        Mean service time.
    body_bytes : int
        Declared length.
    method : str
        HTTP method.
    """

    path: str
    per_s: object
    mean_s: float
    body_bytes: int = 0
    method: str = "GET"


class Result(NamedTuple):
    """What a run gave.

    Attributes
    ----------
    latencies : dict of str to list of (float, float)
        Path to arrival time and seconds until the answer.
    refused : dict of str to list of float
        Path to arrival times of refused requests.
    busy : list of (float, int)
        Time and slots in use over all endpoints, sampled at ticks.
    over_limit : int
        Requests that found all slots of their endpoint in use.
    sent : int
        Requests sent to endpoints, hedges and probes included.
    moved : list of float
        Times at which a shift moved a request.
    shares : list of (float, int, str)
        Time, slots in use and region, sampled at ticks.
    """

    latencies: dict
    refused: dict
    busy: list
    over_limit: int
    sent: int
    moved: list
    shares: list


class FakeEndpoint:
    """Endpoint with slots and, for those that overrun them, a queue.

    Parameters
    ----------
    spec : dict
        The endpoint's settings.
    """

    def __init__(self, spec):
        self.slots = spec["slots"]
        self.region = spec["region"]
        self.busy = 0
        self.queue = deque()
        self.slow = []
        self.down_at = FOREVER

    def factor(self, now):
        """Return how many times slower than usual the endpoint is.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float
        """
        for begin, end, factor in self.slow:
            if begin <= now < end:
                return factor
        return 1.0
