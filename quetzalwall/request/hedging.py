"""Decide when a slow request is hedged: sent to a second endpoint as well.

An attempt is late when it takes longer than most requests of its route do, at the
speed and queue of its endpoint. A hedge is sent if an endpoint with a free slot should
respond clearly sooner than the first one is still expected to.
"""

from collections import deque
from operator import attrgetter

from quetzalwall.request.endpoint_chooser import FREE_FRACTION

__all__ = ["CHECK_RATIO", "Hedging", "create_hedging"]

LATE_QUANTILE = 0.95  # of the work of a route; attempts beyond it are late
MAX_SAMPLES = 400  # 20 of them are beyond the quantile
MIN_SAMPLES = 60  # with fewer, no attempt counts as late
UPDATE_SAMPLES = 20  # responses between two computations of the quantile
# Between the times at which a late attempt is looked at again: the longer it takes, the
# longer it should still take.
CHECK_RATIO = 1.15
SOONER_FRACTION = 0.75  # of the time that the first attempt should still take


class _WorkTail:
    """The slowest requests of a route, with or without their objects cached."""

    def __init__(self):
        self.quantile_s = None
        self._late = []
        self._samples = deque(maxlen=MAX_SAMPLES)
        self._next_update = MIN_SAMPLES

    def record(self, seconds, complete):
        self._samples.append((seconds, complete))
        self._next_update -= 1
        if self._next_update <= 0:
            self._next_update = UPDATE_SAMPLES
            self._update()

    def _update(self):
        ordered = sorted(self._samples)
        late = ordered[int(LATE_QUANTILE * len(ordered)) :]
        self.quantile_s, self._late = late[0][0], late

    def remaining_s(self, work_s):
        """Return the mean work that follows, of requests with at least some work."""
        longer = [sample for sample in self._late if sample[0] > work_s] or self._late
        # A cancelled attempt would have taken longer by an unknown time. Dividing by
        # the number of complete ones gives the maximum-likelihood mean of excesses that
        # are distributed exponentially.
        excess_s = sum(seconds - min(work_s, seconds) for seconds, _ in longer)
        return excess_s / max(1, sum(complete for _, complete in longer))


class Hedging:
    """Learns how long requests take, and decides which are hedged.

    Parameters
    ----------
    chooser : Chooser
        Chooses the endpoints of hedges.
    endpoints : EndpointTable
        The endpoints.
    latency : LatencyModel
        Tells the mean work of a route.
    retry_budget : RetryBudget
        Limits hedges over all instances.
    """

    def __init__(self, chooser, endpoints, latency, retry_budget):
        self._chooser = chooser
        self._endpoints = endpoints
        self._latency = latency
        self._budget = retry_budget
        self._tails = {}

    def record_work(self, route, cached, seconds, complete=True):
        """Record the work of a request, also of a cancelled attempt.

        Without the cancelled attempts, the quantile would fall with each hedge that
        won, and more and more requests would be late.

        Parameters
        ----------
        route : Route
            The route.
        cached : bool
            Whether the endpoint had the object cached.
        seconds : float
            Work at usual speed, without the round trip and the queueing delay.
        complete : bool, default=True
            Whether there was a response; otherwise the work would have taken longer.
        """
        if self._budget.hedging and route.idempotent:
            self._tails.setdefault((route.name, cached), _WorkTail()).record(
                seconds, complete
            )

    def late_after_s(self, route, choice, now):
        """Return the time after which an attempt without a response is late.

        Parameters
        ----------
        route : Route
            The request's route.
        choice : Choice
            The endpoint of the attempt.
        now : float
            Monotonic seconds, of which the endpoint's slowness is taken.

        Returns
        -------
        float or None
            Seconds since the attempt began; None if it must not be hedged or too little
            is known of its route.
        """
        if not (self._budget.hedging and route.idempotent):
            return None
        tail = self._tails.get((route.name, choice.cached))
        if tail is None or tail.quantile_s is None:
            return None
        slowness = max(choice.slowness, choice.state.slowness(now))
        return self._delays_s(route, choice) + slowness * tail.quantile_s

    def record_attempt(self, route, choice, elapsed_s, now, complete=True):
        """Record the work of an attempt that began without queueing.

        Parameters
        ----------
        route : Route
            The request's route.
        choice : Choice
            The endpoint of the attempt.
        elapsed_s : float
            Seconds since the attempt began.
        now : float
            Monotonic seconds.
        complete : bool, default=True
            Whether it got a response; otherwise it was cancelled as its hedge got one.
        """
        if choice.queueing_delay_s == 0 and not choice.state.cold(now):
            # The endpoint's own statement of its slowness comes with the response.
            slowness = max(choice.slowness, choice.state.slowness(now))
            work_s = (elapsed_s - self._delays_s(route, choice)) / slowness
            self.record_work(route, choice.cached, max(0.001, work_s), complete)

    def decide(self, req, first, tried, elapsed_s, now, instances):
        """Return the endpoint for the hedge of a late attempt, or why there is none.

        Parameters
        ----------
        req : Request
            The request.
        first : Choice
            The endpoint of the late attempt.
        tried : sequence of str
            Endpoints of all attempts so far.
        elapsed_s : float
            Seconds since the attempt began.
        now : float
            Monotonic seconds.
        instances : int
            Number of instances that divide the retry budget.

        Returns
        -------
        Choice or str
            A hedge that is counted, or a reason.
        """
        if len(tried) >= req.route.attempts:
            return "attempts"
        obstacle = self._budget.hedge_obstacle(req.service, now, instances)
        if obstacle is not None:
            return obstacle
        if self._is_busy(req.service):
            return "busy"
        choices = self._chooser.hedge_choices(req, now, tried)
        free = [choice for choice in choices if choice.queueing_delay_s == 0]
        choice = min(free, key=attrgetter("expected_s"), default=None)
        if choice is None:
            return "no endpoint"
        tail = self._tails[req.route.name, first.cached]
        slowness = max(first.slowness, first.state.slowness(now))
        work_s = (elapsed_s - self._delays_s(req.route, first)) / slowness
        remaining_s = slowness * tail.remaining_s(work_s)
        limit_s = min(SOONER_FRACTION * remaining_s, req.deadline - now)
        if choice.expected_s > limit_s:
            return "not sooner"
        self._budget.record_hedge(req.service, now)
        self._chooser.record_limited(choice, now)
        return choice

    def _delays_s(self, route, choice):
        """Return the round trip and the queueing delay that a choice expects."""
        work_s = self._latency.work_s(route, choice.cached)
        return max(0.0, choice.expected_s - choice.slowness * work_s)

    def _is_busy(self, service):
        states = self._endpoints.routable_endpoints(service)
        slots = sum(state.entry.slots for state in states)
        return sum(state.in_flight() for state in states) > FREE_FRACTION * slots


def create_hedging(chooser, endpoints, latency, retry_budget):
    """Return hedging that has learned nothing yet.

    Parameters
    ----------
    chooser, endpoints, latency, retry_budget
        As of `Hedging`.

    Returns
    -------
    Hedging
    """
    return Hedging(chooser, endpoints, latency, retry_budget)
