"""Choose an endpoint for a request: the one that should answer soonest.

Everything that matters enters one estimate in seconds: the way there, the wait for a
slot, the work at the endpoint's present speed, and whether it holds the object.
"""

import math
from operator import itemgetter
from typing import NamedTuple

from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.cluster.endpoint_table import ENDPOINTS_PER_OBJECT
from quetzalwall.process.limits.share import even_share
from quetzalwall.request.choice import STOPPING, Choice, Rejection
from quetzalwall.request.few import few_of
from quetzalwall.request.latency_model import wait_s

__all__ = ["Chooser", "Choice", "Rejection", "create_chooser"]

SETTLE_S = 0.06  # by which the first of them seems nearer
SLOT_PART = 0.7  # of its work, by which a request delays those behind it
CONNECT_S = 0.015  # by which a new connection makes an endpoint seem farther
CROWDED_FROM = 0.5  # part of a service's slots in use from which others lose by each
CROWDED_SLOT_PART = 1.0  # further part of its work, when all slots are in use
CROWDED_SETTLE_S = 0.6  # further nearness of the first holder then
SILENCE_RATIO = 1.5  # of the longest work, without an answer: out of use
LEAST_SILENCE_S = 1.0  # reports of other instances come up to half a second late
UNTRIED_S = 0.3  # by which an idle endpoint that holds nothing yet seems nearer
YIELDING_WAIT = 0.5  # of the targets of more urgent routes, that others may queue
LONGEST_WAIT = 1.2  # of its target, that a most urgent request may queue
FAR_S = 0.05  # by which bytes between regions make an endpoint seem farther
FREE_PART = 0.8
COLD_RATIO = 2.0
FULL_RATIO = 4.0  # requests there per slot from which on an endpoint refuses
SPREAD_S = 0.01  # choices closer than this are as good as equal
LEAST_RETRY_S = 0.2
MOST_RETRY_S = 2.0
LOG = get_logger("endpoints")


class _Costs(NamedTuple):
    """What one request costs at any endpoint, before its state is looked at."""

    work_s: tuple  # where the object is not held, and where it is
    hold_s: float
    kept: float
    way_s: dict
    slot_part: float
    settle_s: float


class Chooser:
    """Chooses endpoints on one instance.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints.
    latency : LatencyModel
        What work takes.
    cold_pacing : ColdStartLimiter
        Which cold endpoints may get a request.
    fleet : Fleet
        The other instances.
    rng : random.Random
        Breaks ties, so that instances do not all choose the same endpoint.
    """

    def __init__(self, endpoints, latency, cold_pacing, fleet, rng):
        self._endpoints = endpoints
        self._latency = latency
        self._cold_pacing = cold_pacing
        self._fleet = fleet
        self._rng = rng
        self._region = fleet.own_info.region
        self._waits_of = None
        self._waits = {}

    def choose(
        self,
        cfg,
        route,
        service,
        object_key,
        left_s,
        now,
        tried=(),
        region=None,
        stop_s=math.inf,
    ):
        """Return the endpoint for a request, or why there is none.

        Parameters
        ----------
        cfg : Configuration
            The configuration in force.
        route : Route
            The request's route.
        service : str
            Service that takes it.
        object_key : int or None
            Code of the object that it concerns.
        left_s : float
            Seconds until the deadline.
        now : float
            Monotonic seconds.
        tried : sequence of str, default=()
            Endpoints that it was already sent to.
        region : str, default=None
            Region to which a shift moves it; any if None.
        stop_s : float, default=inf
            Seconds until this instance stops.

        Returns
        -------
        Choice or Rejection
        """
        order = {}
        if object_key is not None:
            order = self._endpoints.preferred_ranks(service, object_key)
        states = self._endpoints.routable_endpoints(service)
        few = self._few_of(states, order, region, object_key)
        candidates = self._candidates(cfg, route, service, now, tried, few, region)
        if not candidates and few is not states:
            candidates = self._candidates(
                cfg, route, service, now, tried, states, region
            )
        if not candidates:
            return Rejection("no endpoint", LEAST_RETRY_S * 2)
        costs = self._costs(route, service, candidates)
        best, least_key, ranks = None, math.inf, order.get
        for state in candidates:
            rank = ranks(state.name, ENDPOINTS_PER_OBJECT)
            found = self._expect(costs, state, rank, object_key, now)
            if found[0] < least_key:
                best, least_key = (state, rank, *found[1:]), found[0]
        choice = Choice(*best, len(candidates))
        if not self._limit_allows(choice.state, now):
            choice = self._within_limits(costs, candidates, ranks, object_key, now)
            if isinstance(choice, Rejection):
                return choice
        if not self.fits(route, choice, left_s, stop_s):
            return STOPPING
        refusal = self._refuse(cfg, route, service, choice, left_s)
        if refusal is not None:
            return refusal
        if choice.state.cold(now):
            self._cold_pacing.record_request(choice.state.name, now)
        if choice.state.advertised_limit is not None:
            choice.state.advertised_limit.record_demand(now)
            choice.state.advertised_limit.record_sent(now)
        return choice

    def _limit_allows(self, state, now):
        """Return whether the limit that an endpoint names leaves room here."""
        if state.advertised_limit is None:
            return True
        own, names = self._fleet.own_info.name, self._fleet.names()
        return state.advertised_limit.allows(state.name, own, names, now)

    def _within_limits(self, costs, candidates, ranks, object_key, now):
        """Return the nearest endpoint whose limit leaves room, or a refusal."""
        ranked = []
        for state in candidates:
            rank = ranks(state.name, ENDPOINTS_PER_OBJECT)
            found = self._expect(costs, state, rank, object_key, now)
            ranked.append((found[0], state, rank, found[1:]))
        ranked.sort(key=itemgetter(0))
        wait_s = math.inf
        for passed, (_, state, rank, figures) in enumerate(ranked):
            if self._limit_allows(state, now):
                return Choice(state, rank, *figures, len(candidates), passed)
            # What is sent elsewhere counts as wanted: parts go by it.
            state.advertised_limit.record_demand(now)
            wait_s = min(wait_s, state.advertised_limit.wait_s(now))
        return Rejection("limited", _retry_after_s(wait_s))

    def fits(self, route, choice, left_s, stop_s):
        """Return whether a request is sure enough to end before this instance does.

        Parameters
        ----------
        route : Route
            The request's route.
        choice : Choice
            The endpoint chosen for it.
        left_s : float
            Seconds until the deadline, which ends the request in any case.
        stop_s : float
            Seconds until this instance stops.

        Returns
        -------
        bool
        """
        if left_s <= stop_s:
            return True
        doubt_s = self._latency.most_work_s(route)
        doubt_s -= self._latency.work_s(route, choice.cached)
        return choice.expected_s + choice.slowness * max(0.0, doubt_s) <= stop_s

    def _costs(self, route, service, candidates):
        latency, crowding = self._latency, _crowding(candidates)
        regions = {state.region for state in candidates}
        return _Costs(
            (latency.work_s(route, False), latency.work_s(route, True)),
            latency.hold_s(service),
            latency.kept(service),
            {region: latency.round_trip_s(region) for region in regions},
            SLOT_PART + CROWDED_SLOT_PART * crowding,
            SETTLE_S + CROWDED_SETTLE_S * crowding,
        )

    def _expect(self, costs, state, rank, object_key, now):
        """Return how far one endpoint seems, and the fields of its `Choice`.

        It runs for each endpoint and request, so that it takes what is the same for
        all endpoints from `costs`.
        """
        depth = state.reuse_distance(object_key)
        held = depth is not None and depth < costs.kept
        slowness = state.slowness(now)
        if now < state.cold_until:
            slowness *= COLD_RATIO
        ahead, slots = state.own_in_flight + state.peer_in_flight, state.entry.slots
        queue_s = 0.0
        if ahead + 1 > FREE_PART * slots:
            queue_s = slowness * wait_s(slots, ahead, costs.hold_s, FREE_PART)
        work_s = costs.work_s[held] * slowness
        way_s = costs.way_s[state.region]
        connected = len(state.client.idle) > 0
        if not connected:
            way_s *= 2  # a new connection takes a round trip of its own
        expected_s = way_s + queue_s + work_s
        far_s = expected_s + costs.slot_part * work_s + self._rng.random() * SPREAD_S
        if rank < ENDPOINTS_PER_OBJECT:
            far_s -= (
                costs.settle_s * (ENDPOINTS_PER_OBJECT - rank) / ENDPOINTS_PER_OBJECT
            )
        if state.region != self._region:
            far_s += FAR_S
        if not ahead and state.served_no_objects():
            far_s -= UNTRIED_S
        if not connected:
            far_s += CONNECT_S
        return far_s, held, depth, expected_s, queue_s, slowness

    def _refuse(self, cfg, route, service, best, left_s):
        """Return why even the best endpoint is not to be used, or None."""
        doubt_s = self._latency.work_s(route, best.cached)
        doubt_s -= self._latency.least_work_s(route, best.cached)
        retry_after_s = _retry_after_s(best.queueing_delay_s)
        if best.expected_s - best.slowness * doubt_s > left_s:
            return Rejection("too late", retry_after_s)
        if best.queueing_delay_s > self._longest_wait_s(cfg, route, service):
            return Rejection("overload", retry_after_s)
        if best.state.in_flight() >= FULL_RATIO * best.state.entry.slots:
            return Rejection("full", retry_after_s)
        return None

    def _longest_wait_s(self, cfg, route, service):
        if self._waits_of is not cfg:
            self._waits_of, self._waits = cfg, {}
        key = (route.name, service)
        if key not in self._waits:
            self._waits[key] = _longest_wait_s(cfg, route, service)
        return self._waits[key]

    def _few_of(self, states, order, region, object_key):
        first = [state for state in map(self._endpoints.get, order) if state.usable()]
        home = region or self._region
        return few_of(states, first, home, object_key, self._rng)

    def _candidates(self, cfg, route, service, now, tried, states, region):
        full = self._full_regions(cfg.services.get(service))
        usable = [
            state
            for state in states
            if (not route.regions or state.region in route.regions)
            and state.region not in full
            and state.name not in tried
            and (now >= state.cold_until or self._bearable(cfg, state, now))
        ]
        limit_s = self._silence_limit_s(service)
        sound = [state for state in usable if not _out_of_use(state, limit_s, now)]
        found = sound or usable
        if region is None:
            return found
        return [state for state in found if state.region == region]

    def is_unresponsive(self, state, now):
        """Return whether an endpoint that was chosen answers nobody any more.

        Parameters
        ----------
        state : EndpointState
            The endpoint.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        if state.avoided_as_unresponsive(now):
            return True
        if state.avoided(now):
            return False
        return _out_of_use(state, self._silence_limit_s(state.entry.service), now)

    def _silence_limit_s(self, service):
        longest_s = self._latency.longest_s(service)
        return max(LEAST_SILENCE_S, SILENCE_RATIO * longest_s)

    def _full_regions(self, service):
        """Return the regions in which this instance has its part of a limit open."""
        if service is None or not service.region_limits:
            return ()
        names = self._fleet.names()
        full = set()
        for region, limit in service.region_limits:
            key = f"{service.name}/{region}"
            part = even_share(limit, key, self._fleet.own_info.name, names)
            if self._endpoints.own_in_flight(service.name, region) >= part:
                full.add(region)
        return full

    def _bearable(self, cfg, state, now):
        """Return whether a cold endpoint may get a request of this instance."""
        service = cfg.services.get(state.entry.service)
        if service is None:
            return True
        names = self._fleet.names()
        return self._cold_pacing.allows(state.name, service.cold_per_s, names, now)


def _longest_wait_s(cfg, route, service):
    """Return how long a request may queue without taking the room of others.

    An endpoint serves in order of arrival, so what is less urgent has to be refused
    before the queue makes what is more urgent late.
    """
    urgent = [
        other.target_s
        for routes in cfg.hosts.values()
        for other in routes
        if other.rank < route.rank and any(name == service for name, _ in other.split)
    ]
    if urgent:
        return YIELDING_WAIT * min(urgent)
    return LONGEST_WAIT * route.target_s


def _out_of_use(state, limit_s, now):
    """Return whether an endpoint is avoided, or from now on, since it is silent."""
    if state.avoided(now):
        return True
    silent_s = state.unresponsive_s(now)
    if silent_s <= limit_s:
        return False
    state.record_unresponsive(now)
    log_event(
        LOG,
        "avoided",
        "warning",
        endpoint=state.name,
        reason="silent",
        silent_s=silent_s,
        own=state.own_in_flight,
        peers=state.peer_in_flight,
    )
    return True


def _crowding(candidates):
    """Return how far a service's slots are in use; 0 up to half of them."""
    slots = sum(state.entry.slots for state in candidates)
    used = sum(state.in_flight() for state in candidates)
    return max(0.0, used / slots - CROWDED_FROM)


def _retry_after_s(queue_s):
    return min(MOST_RETRY_S, max(LEAST_RETRY_S, queue_s))


def create_chooser(endpoints, latency, cold_pacing, fleet, rng):
    """Return a chooser.

    Parameters
    ----------
    endpoints, latency, cold_pacing, fleet, rng
        As of `Chooser`.

    Returns
    -------
    Chooser
    """
    return Chooser(endpoints, latency, cold_pacing, fleet, rng)
