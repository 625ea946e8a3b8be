"""Learned processing times, round trips, cache sizes and response sizes of endpoints.

Work is the time for which an endpoint of usual speed processes a request, without the
round trip and without queueing.
"""

import math

__all__ = ["LatencyModel", "create_latency_model"]

EWMA_WEIGHT = 0.03  # of a new sample in the mean, once there are enough samples
INITIAL_REMOTE_RTT_S = 0.07  # to another region, until a round trip was measured
INITIAL_LOCAL_RTT_S = 0.002  # within the region, likewise
MAX_SAMPLE_RATIO = 3.0  # of the mean; samples are clipped, since a few are far longer
INITIAL_CACHE_SIZE = 24.0  # objects at an endpoint, until more is known
MIN_CACHE_SIZE = 4.0
CACHE_SIZE_WEIGHT = 0.2  # of one response in the cache size
CACHE_HIT_FRACTION = 0.6  # of the uncached work; cached work is about a third
MIN_WORK_FRACTION = 0.4  # of the mean work; few requests take less
MIN_SAMPLES = 20  # responses of a route before its maximum work counts as known
MIN_SAMPLES_NOT_IDEMPOTENT = 100  # the same for requests that must not be repeated
MAX_WORK_RATIO = 1.25  # of the longest work seen, where work must end in time
UNKNOWN_WORK_RATIO = 2.0  # of the target response time, while there are few samples
MAX_DECAY = 0.005  # fraction by which a response moves a maximum toward its own figure
INITIAL_CACHED_FRACTION = 0.5  # of the initial estimate, if the object is cached


class LatencyModel:
    """Learns work by route, round trips by region, and cache sizes by service.

    Parameters
    ----------
    region : str
        Region of this instance.
    """

    def __init__(self, region):
        self._region = region
        self._work = {}
        self._sample_counts = {}
        self._cache_sizes = {}
        self._slot_times = {}
        self._rtts = {}
        self._uncached_work = {}
        self._max_work = {}
        self._response_counts = {}
        self._max_sizes = {}

    def longest_work_s(self, service):
        """Return the mean work of the slowest route of a service, as learned.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float
            Seconds, for objects that are not cached; 1 while nothing is known.
        """
        return max(self._uncached_work.get(service, {}).values(), default=1.0)

    def work_s(self, route, cached):
        """Return the mean work of a route's requests.

        Parameters
        ----------
        route : Route
            The route.
        cached : bool
            Whether the endpoint has the object cached.

        Returns
        -------
        float
            Seconds.
        """
        learned = self._work.get((route.name, cached))
        if learned is not None:
            return learned
        return route.target_s * (INITIAL_CACHED_FRACTION if cached else 1.0)

    def min_work_s(self, route, cached):
        """Return a lower bound of the work of a route's requests.

        Parameters
        ----------
        route : Route
            The route.
        cached : bool
            Whether the endpoint has the object cached.

        Returns
        -------
        float
            Seconds; 0 while nothing is known of the route.
        """
        return MIN_WORK_FRACTION * self._work.get((route.name, cached), 0.0)

    def max_work_s(self, route):
        """Return an upper bound of the work of a route's requests, with a margin.

        Parameters
        ----------
        route : Route
            The route.

        Returns
        -------
        float
            Seconds at usual speed; infinity while too little is known of requests
            that must not be repeated.
        """
        max_s = MAX_WORK_RATIO * self._max_work.get(route.name, 0.0)
        needed = MIN_SAMPLES if route.idempotent else MIN_SAMPLES_NOT_IDEMPOTENT
        if self._response_counts.get(route.name, 0) >= needed:
            return max_s
        if not route.idempotent:
            return math.inf
        return max(max_s, UNKNOWN_WORK_RATIO * route.target_s)

    def record_unfinished(self, route, seconds):
        """Record that a request had no response after some time.

        Parameters
        ----------
        route : Route
            The route.
        seconds : float
            Time without a response.
        """
        self._max_work[route.name] = max(seconds, self._max_work.get(route.name, 0.0))

    def max_response_bytes(self, route):
        """Return the size of the largest recent response of a route.

        Parameters
        ----------
        route : Route
            The route.

        Returns
        -------
        float
            Bytes; 0 while nothing is known.
        """
        return self._max_sizes.get(route.name, 0.0)

    def record_response_size(self, route, size):
        """Record the size of a response.

        Parameters
        ----------
        route : Route
            The route.
        size : int
            Bytes of its body.
        """
        max_size = self._max_sizes.get(route.name, size)
        self._max_sizes[route.name] = max(
            size, max_size + MAX_DECAY * (size - max_size)
        )

    def is_cached(self, service, reuse_distance):
        """Return whether an endpoint should still have an object cached.

        Parameters
        ----------
        service : str
            Name of the service.
        reuse_distance : int or None
            Objects that the endpoint has served since this one; None if it has not
            served this one.

        Returns
        -------
        bool
        """
        return reuse_distance is not None and reuse_distance < self.cache_size(service)

    def cache_size(self, service):
        """Return how many objects an endpoint of a service caches, as learned.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float
        """
        return self._cache_sizes.get(service, INITIAL_CACHE_SIZE)

    def learn_cache_size(self, route, service, reuse_distance, seconds):
        """Learn from a response how many objects an endpoint caches.

        Parameters
        ----------
        route : Route
            The route.
        service : str
            Service that processed the request.
        reuse_distance : int or None
            Objects that the endpoint had served since it last served this one; None if
            it had not served this one.
        seconds : float
            Work of the request.
        """
        uncached_s = self._work.get((route.name, False))
        if reuse_distance is None or uncached_s is None:
            return
        size = self.cache_size(service)
        hit = seconds < CACHE_HIT_FRACTION * uncached_s
        if hit and reuse_distance >= size:
            size += CACHE_SIZE_WEIGHT * (reuse_distance + 1 - size)
        elif not hit and size / 2 < reuse_distance < size:
            size += CACHE_SIZE_WEIGHT * (reuse_distance - size)
        self._cache_sizes[service] = max(MIN_CACHE_SIZE, size)

    def slot_time_s(self, service):
        """Return the mean time for which a request of a service occupies a slot.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float
            Seconds.
        """
        return self._slot_times.get(service, 0.5)

    def rtt_s(self, region):
        """Return the round-trip time to a region.

        Parameters
        ----------
        region : str
            Region of an endpoint.

        Returns
        -------
        float
            Seconds.
        """
        rtt_s = INITIAL_LOCAL_RTT_S if region == self._region else INITIAL_REMOTE_RTT_S
        return self._rtts.get(region, rtt_s)

    def record_rtt(self, region, seconds):
        """Record how long it took to open a connection.

        Parameters
        ----------
        region : str
            Region of the endpoint.
        seconds : float
            One round trip, and any delay at the endpoint.
        """
        old = self.rtt_s(region)
        # A queue of new connections adds to the round trip, so shorter samples count
        # at once and longer ones little.
        self._rtts[region] = min(seconds, old + 0.05 * (seconds - old))

    def record_work(self, route, service, cached, seconds):
        """Record the work of a request that was answered.

        Parameters
        ----------
        route : Route
            The route.
        service : str
            Service that processed it.
        cached : bool
            Whether the endpoint had the object cached.
        seconds : float
            Work, without the round trip and the queueing delay.
        """
        max_s = self._max_work.get(route.name, seconds)
        self._max_work[route.name] = max(seconds, max_s - MAX_DECAY * (max_s - seconds))
        self._response_counts[route.name] = self._response_counts.get(route.name, 0) + 1
        key = (route.name, cached)
        old = self.work_s(route, cached)
        count = self._sample_counts[key] = self._sample_counts.get(key, 0) + 1
        seconds = min(seconds, MAX_SAMPLE_RATIO * old)
        self._work[key] = old + max(EWMA_WEIGHT, 1 / (count + 1)) * (seconds - old)
        if not cached:
            self._uncached_work.setdefault(service, {})[route.name] = self._work[key]
        slot_time_s = self.slot_time_s(service)
        self._slot_times[service] = slot_time_s + EWMA_WEIGHT * (seconds - slot_time_s)


def queueing_delay_s(slots, requests_ahead, slot_time_s, free_fraction):
    """Return the expected wait for a slot.

    Parameters
    ----------
    slots : int
        Requests that the endpoint processes at once.
    requests_ahead : int
        Requests that are running or queued there.
    slot_time_s : float
        Seconds for which a request occupies a slot.
    free_fraction : float
        Fraction of the slots that may be in use before a wait is expected; below 1
        since the count of requests ahead is slightly out of date.

    Returns
    -------
    float
        Seconds.

    Examples
    --------
    >>> queueing_delay_s(6, 2, 0.5, 0.8)
    0.0
    >>> queueing_delay_s(6, 11, 0.6, 1.0)
    0.6
    """
    return round(
        max(0.0, requests_ahead + 1 - free_fraction * slots) / slots * slot_time_s, 9
    )


def create_latency_model(region):
    """Return a latency model that has learned nothing yet.

    Parameters
    ----------
    region : str
        Region of this instance.

    Returns
    -------
    LatencyModel
    """
    return LatencyModel(region)


def min_of_known(value, other):
    """Return the smaller of two numbers, either of which may be None.

    Parameters
    ----------
    value, other : float or None
        The numbers.

    Returns
    -------
    float
        Infinity if both are None.
    """
    known = [number for number in (value, other) if number is not None]
    return min(known, default=math.inf)
