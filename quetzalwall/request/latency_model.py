"""What work takes: learned durations and distances."""

import math

__all__ = ["LatencyModel", "create_latency_model"]

WEIGHT = 0.03  # of a new duration in the mean, once enough are known
FAR_S = 0.07  # round trip to another region until one has been measured
NEAR_S = 0.002
MOST_RATIO = 3.0  # a longer answer counts as this much; few take many times as long
FIRST_KEPT = 24.0  # objects that an endpoint holds, until more is known
LEAST_KEPT = 4.0
KEPT_WEIGHT = 0.2  # of one answer in the number of objects held
QUICK_PART = 0.6  # of the work on an unheld object; held ones take a third
LEAST_PART = 0.4  # of the mean duration; few requests take less
KNOWN_AFTER = 20  # answers from which on it is known how long a route's work may take
ONCE_KNOWN_AFTER = 100  # the same for requests that may not be repeated
DOUBT_RATIO = 1.25  # of the longest work seen, for work that must end in time
UNKNOWN_RATIO = 2.0  # of the target, while too little is known
FADE = 0.005  # by which each answer brings the longest work nearer to its own
HELD_PART = 0.5  # of a first guess, that an endpoint with the object takes


class LatencyModel:
    """Durations of work by route, and round trips by region.

    Parameters
    ----------
    region : str
        Region of this instance.
    """

    def __init__(self, region):
        self._region = region
        self._work = {}
        self._counts = {}
        self._kept = {}
        self._hold = {}
        self._distance = {}
        self._longest = {}
        self._most = {}
        self._answers = {}

    def longest_s(self, service):
        """Return the work of the longest kind of request of a service, as learned.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float
            Seconds; 1 while nothing is known.
        """
        return max(self._longest.get(service, {}).values(), default=1.0)

    def work_s(self, route, held):
        """Return how long an endpoint of usual speed works on a request.

        Parameters
        ----------
        route : Route
            The route.
        held : bool
            Whether the endpoint has served the object lately.

        Returns
        -------
        float
            Seconds.
        """
        learned = self._work.get((route.name, held))
        if learned is not None:
            return learned
        return route.target_s * (HELD_PART if held else 1.0)

    def least_work_s(self, route, held):
        """Return the least time that work is sure to take.

        Parameters
        ----------
        route : Route
            The route.
        held : bool
            Whether the endpoint has served the object lately.

        Returns
        -------
        float
            Seconds; 0 while nothing is known of the route.
        """
        return LEAST_PART * self._work.get((route.name, held), 0.0)

    def most_work_s(self, route):
        """Return the time in which work ends, with the doubt counted against it.

        Parameters
        ----------
        route : Route
            The route.

        Returns
        -------
        float
            Seconds at usual speed; infinity while too little is known of requests
            that may not be repeated.
        """
        most_s = DOUBT_RATIO * self._most.get(route.name, 0.0)
        needed = KNOWN_AFTER if route.idempotent else ONCE_KNOWN_AFTER
        if self._answers.get(route.name, 0) >= needed:
            return most_s
        if not route.idempotent:
            return math.inf
        return max(most_s, UNKNOWN_RATIO * route.target_s)

    def note_unfinished(self, route, seconds):
        """Record that work had not ended after some time.

        Parameters
        ----------
        route : Route
            The route.
        seconds : float
            Without an answer.
        """
        self._most[route.name] = max(seconds, self._most.get(route.name, 0.0))

    def holds(self, service, depth):
        """Return whether an endpoint should still hold an object.

        Parameters
        ----------
        service : str
            Name of the service.
        depth : int or None
            Objects that it has served since; None if it has not served this one.

        Returns
        -------
        bool
        """
        return depth is not None and depth < self.kept(service)

    def kept(self, service):
        """Return how many objects an endpoint of a service holds, as learned.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float
        """
        return self._kept.get(service, FIRST_KEPT)

    def learn_cache_size(self, route, service, depth, seconds):
        """Learn from an answer how many objects an endpoint holds.

        Parameters
        ----------
        route : Route
            The route.
        service : str
            Service that ran the request.
        depth : int or None
            Objects that the endpoint had served since it last served this one.
        seconds : float
            Work, at usual speed.
        """
        unheld_s = self._work.get((route.name, False))
        if depth is None or unheld_s is None:
            return
        kept = self.kept(service)
        quick = seconds < QUICK_PART * unheld_s
        if quick and depth >= kept:
            kept += KEPT_WEIGHT * (depth + 1 - kept)
        elif not quick and kept / 2 < depth < kept:
            kept += KEPT_WEIGHT * (depth - kept)
        self._kept[service] = max(LEAST_KEPT, kept)

    def hold_s(self, service):
        """Return how long a request of a service holds a slot.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float
            Seconds.
        """
        return self._hold.get(service, 0.5)

    def round_trip_s(self, region):
        """Return the seconds to a region and back.

        Parameters
        ----------
        region : str
            Region of an endpoint.

        Returns
        -------
        float
        """
        default = NEAR_S if region == self._region else FAR_S
        return self._distance.get(region, default)

    def note_distance(self, region, seconds):
        """Record how long it took to open a connection.

        Parameters
        ----------
        region : str
            Region of the endpoint.
        seconds : float
            One round trip, and what the endpoint took besides.
        """
        old = self.round_trip_s(region)
        # A queue of new connections makes it longer; the least is the distance.
        self._distance[region] = min(seconds, old + 0.05 * (seconds - old))

    def record_work(self, route, service, held, seconds):
        """Record how long an endpoint worked on a request, at usual speed.

        Parameters
        ----------
        route : Route
            The route.
        service : str
            Service that ran it.
        held : bool
            Whether the endpoint has served the object lately.
        seconds : float
            Without the way and the wait.
        """
        most_s = self._most.get(route.name, seconds)
        self._most[route.name] = max(seconds, most_s - FADE * (most_s - seconds))
        self._answers[route.name] = self._answers.get(route.name, 0) + 1
        key = (route.name, held)
        old = self.work_s(route, held)
        count = self._counts[key] = self._counts.get(key, 0) + 1
        seconds = min(seconds, MOST_RATIO * old)
        self._work[key] = old + max(WEIGHT, 1 / (count + 1)) * (seconds - old)
        if not held:
            self._longest.setdefault(service, {})[route.name] = self._work[key]
        hold = self.hold_s(service)
        self._hold[service] = hold + WEIGHT * (seconds - hold)


def wait_s(slots, ahead, hold_s, free_part):
    """Return the expected wait for a slot.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    ahead : int
        Requests that run or wait there.
    hold_s : float
        Seconds for which a request holds a slot.
    free_part : float
        Part of the slots in use from which on a wait is expected: what is known of
        the requests ahead is a little old.

    Returns
    -------
    float

    Examples
    --------
    >>> wait_s(6, 2, 0.5, 0.8)
    0.0
    >>> wait_s(6, 11, 0.6, 1.0)
    0.6
    """
    return round(max(0.0, ahead + 1 - free_part * slots) / slots * hold_s, 9)


def create_latency_model(region):
    """Return durations of which nothing is learned yet.

    Parameters
    ----------
    region : str
        Region of this instance.

    Returns
    -------
    LatencyModel
    """
    return LatencyModel(region)


def least(value, other):
    """Return the smaller of two numbers, of which one may be None.

    Parameters
    ----------
    value, other : float or None
        The numbers.

    Returns
    -------
    float
        Infinity if both are None.
    """
    found = [number for number in (value, other) if number is not None]
    return min(found, default=math.inf)
