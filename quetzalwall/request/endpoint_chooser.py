"""Choose the endpoint for a request: the one that is expected to respond first.

Each candidate gets a cost in seconds: the expected time until its response, from round
trip, queueing delay, and work at its present speed with or without the object cached,
plus penalties and minus bonuses. The candidate of the lowest cost is chosen.
"""

import math
from operator import itemgetter
from typing import NamedTuple

from quetzalwall.process.cluster.object_ranks import ENDPOINTS_PER_OBJECT
from quetzalwall.process.limits.share import even_share
from quetzalwall.request import reported_load
from quetzalwall.request.candidate_sample import sample_candidates
from quetzalwall.request.choice import OVERLOAD, STOPPING, Choice, Rejection
from quetzalwall.request.grace_period import NOT_STOPPING
from quetzalwall.request.latency_model import queueing_delay_s
from quetzalwall.request.paused_endpoints import paused_s
from quetzalwall.request.queueing_limits import create_queueing_limits
from quetzalwall.request.unresponsive_endpoints import is_avoided, unresponsive_limit_s

__all__ = ["Chooser", "Choice", "Rejection", "create_chooser"]

# Off the cost of an object's first preferred endpoint of a region; more than the
# penalty of another domain, so that the instances of a region cache an object once.
PREFERRED_BONUS_S = 0.25
SLOT_WEIGHT = 0.7  # fraction of the work added to the cost: it delays later requests
CONNECT_PENALTY_S = 0.015  # if a new connection is needed
CROWDED_SLOT_WEIGHT = 1.0  # further fraction of the work, times the crowding
CROWDED_PREFERRED_BONUS_S = 0.6  # further bonus, times the crowding
UNTRIED_BONUS_S = 0.3  # off the cost of an idle endpoint that has served no objects yet
REMOTE_PENALTY_S = 0.1  # for traffic between regions
# For traffic between failure domains of a region; more than the bonus of a preferred
# endpoint, so that objects are cached where they are requested most.
OTHER_DOMAIN_PENALTY_S = 0.08
FREE_FRACTION = 0.8  # of the slots; with fewer in use no queueing is expected
COLD_SLOWNESS = 2.0  # factor on the work of a cold endpoint
JITTER_S = 0.01  # random part of a cost: smaller differences do not matter
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0


class _RequestCosts(NamedTuple):
    """Figures for the cost of one request that are the same for all endpoints."""

    work_s: tuple  # if the object is not cached, and if it is
    slot_time_s: float
    cache_size: float  # objects
    rtt_s: dict  # by region
    slot_weight: float
    bonus_s: float  # of the first preferred endpoint
    report_weights: dict  # of an endpoint's reported load against the mean, by region
    mean_loads: dict  # peers' requests in flight for each slot, by region


class Chooser:
    """Chooses endpoints on one instance.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints.
    latency : LatencyModel
        Learned processing times, round trips and cache sizes.
    cold_start_limiter : ColdStartLimiter
        Tells which cold endpoints may get a request.
    fleet : Fleet
        The other instances.
    rng : random.Random
        Breaks ties, so that not all instances choose the same endpoint.
    """

    def __init__(self, endpoints, latency, cold_start_limiter, fleet, rng):
        self._endpoints = endpoints
        self._latency = latency
        self._cold_limiter = cold_start_limiter
        self._fleet = fleet
        self._rng = rng
        self._region = fleet.own_info.region
        self._domain = fleet.own_info.domain
        self._queueing_limits = create_queueing_limits()

    def choose(
        self,
        cfg,
        route,
        service,
        object_key,
        remaining_s,
        now,
        tried=(),
        region=None,
        stop=NOT_STOPPING,
        max_queueing_s=None,
    ):
        """Return the endpoint for a request, or why the request is rejected.

        Parameters
        ----------
        cfg : Configuration
            The active configuration.
        route : Route
            The request's route.
        service : str
            Service that the request is sent to.
        object_key : int or None
            Hash of the key of the object that it concerns.
        remaining_s : float
            Seconds until the deadline.
        now : float
            Monotonic seconds.
        tried : sequence of str, default=()
            Endpoints of earlier attempts.
        region : str, default=None
            Region to which a shift moves the request; any if None.
        stop : TimeToStop, default=NOT_STOPPING
            The time until this instance stops.
        max_queueing_s : float, default=None
            Seconds that the request may queue; if None, what its route allows.

        Returns
        -------
        Choice or Rejection
        """
        preferred = {}
        if object_key is not None:
            preferred = self._endpoints.preferred_ranks(
                service, object_key, self._region, self._domain
            )
        states = self._endpoints.routable_endpoints(service)
        sample = self._sample(states, preferred, region, object_key)
        candidates = self._eligible(cfg, route, service, now, tried, sample, region)
        if not candidates and sample is not states:
            candidates = self._eligible(cfg, route, service, now, tried, states, region)
        if not candidates:
            if wait_s := paused_s(self._endpoints, route, service, now):
                return Rejection("paused", max(MIN_RETRY_AFTER_S, wait_s))
            return Rejection("no endpoint", MIN_RETRY_AFTER_S * 2)
        costs = self._request_costs(route, service, candidates)
        best, min_cost_s, get_rank = None, math.inf, preferred.get
        for state in candidates:
            rank = get_rank(state.name, ENDPOINTS_PER_OBJECT)
            estimate = self._estimate(costs, state, rank, object_key, now)
            if estimate[0] < min_cost_s:
                best, min_cost_s = (state, rank, *estimate[1:]), estimate[0]
        choice = Choice(*best, len(candidates))
        if not self._limit_allows(choice.state, now):
            choice = self._choose_allowed(costs, candidates, get_rank, object_key, now)
            if isinstance(choice, Rejection):
                return choice
        if not self.fits(route, choice, remaining_s, stop):
            return STOPPING
        if max_queueing_s is None:
            max_queueing_s = self._queueing_limits.max_s(cfg, route, service)
        rejection = self._rejection(route, choice, remaining_s, max_queueing_s)
        if rejection is not None:
            return rejection
        if choice.state.cold(now):
            self._cold_limiter.record_request(choice.state.name, now)
        self.record_limited(choice, now)
        return choice

    def hedge_choices(self, req, now, tried):
        """Return a `Choice` for each endpoint that may get a hedge and has a free slot.

        They are in this region, since caps on moves between regions count no hedges.
        """
        cfg, route, service = req.cfg, req.route, req.service
        states = self._endpoints.routable_endpoints(service)
        eligible = self._eligible(cfg, route, service, now, tried, states, self._region)
        free = [
            s for s in eligible if reported_load.has_free_slot(s, now, FREE_FRACTION)
        ]
        free = [state for state in free if self._limit_allows(state, now)]
        if not free:
            return []
        costs, rank = self._request_costs(route, service, free), ENDPOINTS_PER_OBJECT
        key = req.object_key
        estimates = [(s, self._estimate(costs, s, rank, key, now)) for s in free]
        return [Choice(state, rank, *e[1:], len(free)) for state, e in estimates]

    def record_limited(self, choice, now):
        """Count a request that is sent to an endpoint with an advertised limit."""
        if choice.state.advertised_limit is not None:
            choice.state.advertised_limit.record_demand(now)
            choice.state.advertised_limit.record_sent(now)

    def _limit_allows(self, state, now):
        """Return whether an endpoint's advertised limit allows a request from here."""
        if state.advertised_limit is None:
            return True
        own, names = self._fleet.own_info.name, self._fleet.names()
        return state.advertised_limit.allows(state.name, own, names, now)

    def _choose_allowed(self, costs, candidates, get_rank, object_key, now):
        """Return the choice of lowest cost whose limit allows it, or a rejection."""
        by_cost = []
        for state in candidates:
            rank = get_rank(state.name, ENDPOINTS_PER_OBJECT)
            estimate = self._estimate(costs, state, rank, object_key, now)
            by_cost.append((estimate[0], state, rank, estimate[1:]))
        by_cost.sort(key=itemgetter(0))
        wait_s = math.inf
        for skipped, (_, state, rank, fields) in enumerate(by_cost):
            if self._limit_allows(state, now):
                return Choice(state, rank, *fields, len(candidates), skipped)
            # Diverted requests count as demand, which decides the instances' shares.
            state.advertised_limit.record_demand(now)
            wait_s = min(wait_s, state.advertised_limit.wait_s(now))
        return Rejection("limited", _retry_after_s(wait_s))

    def fits(self, route, choice, remaining_s, stop):
        """Return whether a request can be relied on to end before this instance stops.

        It ends when its caller has read the complete response.

        Parameters
        ----------
        route : Route
            The request's route.
        choice : Choice
            The endpoint chosen for it.
        remaining_s : float
            Seconds until the deadline, which ends the request in any case.
        stop : TimeToStop
            The time until this instance stops.

        Returns
        -------
        bool
        """
        if remaining_s <= stop.remaining_s:
            return True
        excess_s = self._latency.max_work_s(route)
        excess_s -= self._latency.work_s(route, choice.cached)
        work_s = choice.expected_s + choice.slowness * max(0.0, excess_s)
        return work_s + stop.delivery_s <= stop.remaining_s

    def _request_costs(self, route, service, candidates):
        latency, crowding = self._latency, reported_load.crowding_of(candidates)
        slot_time_s = latency.slot_time_s(service)
        mean_loads = reported_load.mean_reported_loads(candidates)
        report_age_s, weight = self._fleet.report_age_s, reported_load.report_weight
        return _RequestCosts(
            (latency.work_s(route, False), latency.work_s(route, True)),
            slot_time_s,
            latency.cache_size(service),
            {region: latency.rtt_s(region) for region in mean_loads},
            SLOT_WEIGHT + CROWDED_SLOT_WEIGHT * crowding,
            PREFERRED_BONUS_S + CROWDED_PREFERRED_BONUS_S * crowding,
            {r: weight(report_age_s(r), slot_time_s) for r in mean_loads},
            mean_loads,
        )

    def _estimate(self, costs, state, rank, object_key, now):
        """Return the cost of one endpoint, and the fields of its `Choice`.

        This runs for each candidate of each request, so what is the same for all of
        them is computed once, in `costs`.
        """
        cached, reuse_distance = False, None
        if object_key in state.recent_objects:
            reuse_distance = state.reuse_distance(object_key)
            cached = reuse_distance < costs.cache_size
        slowness = state.reported_slowness.estimate(now)
        if now < state.cold_until:
            slowness *= COLD_SLOWNESS
        slots, region = state.entry.slots, state.region
        load, weight = costs.mean_loads[region], costs.report_weights[region]
        ahead = reported_load.estimate_in_flight(state, load, weight)
        queueing_s = 0.0
        if ahead + 1 > FREE_FRACTION * slots:
            queueing_s = slowness * queueing_delay_s(
                slots, ahead, costs.slot_time_s, FREE_FRACTION
            )
        work_s = costs.work_s[cached] * slowness
        connected = len(state.client.idle) > 0
        # Opening a connection takes one more round trip.
        rtt_s = costs.rtt_s[region] * (1 if connected else 2)
        expected_s = rtt_s + queueing_s + work_s
        cost_s = expected_s + costs.slot_weight * work_s + self._rng.random() * JITTER_S
        if rank < ENDPOINTS_PER_OBJECT:
            bonus_s = costs.bonus_s * (ENDPOINTS_PER_OBJECT - rank)
            cost_s -= bonus_s / ENDPOINTS_PER_OBJECT
        if state.region != self._region:
            cost_s += REMOTE_PENALTY_S
        elif state.entry.domain != self._domain:
            cost_s += OTHER_DOMAIN_PENALTY_S
        if not (state.own_in_flight or state.peer_in_flight or state.recent_objects):
            cost_s -= UNTRIED_BONUS_S
        if not connected:
            cost_s += CONNECT_PENALTY_S
        return cost_s, cached, reuse_distance, expected_s, queueing_s, slowness

    def _rejection(self, route, best, remaining_s, max_queueing_s):
        """Return the rejection if even the best endpoint can't be used, else None."""
        saving_s = self._latency.work_s(route, best.cached)
        saving_s -= self._latency.min_work_s(route, best.cached)
        retry_after_s = _retry_after_s(best.queueing_delay_s)
        # Even a request with the least work would miss its deadline.
        if best.expected_s - best.slowness * saving_s > remaining_s:
            return Rejection("too late", retry_after_s)
        if best.queueing_delay_s > max_queueing_s:
            return Rejection(OVERLOAD, retry_after_s)
        if reported_load.is_full(best.state):
            return Rejection("full", retry_after_s)
        return None

    def _sample(self, states, preferred, region, object_key):
        usable = [s for s in map(self._endpoints.get, preferred) if s.usable()]
        near_region = region or self._region
        return sample_candidates(states, usable, near_region, object_key, self._rng)

    def _eligible(self, cfg, route, service, now, tried, states, region):
        full = self._full_regions(cfg.services.get(service))
        usable = [
            state
            for state in states
            if (not route.regions or state.region in route.regions)
            and state.region not in full
            and state.name not in tried
            and now >= state.paused_until
            and (now >= state.cold_until or self._cold_start_allows(cfg, state, now))
        ]
        limit_s = self._unresponsive_limit_s(service)
        healthy = [state for state in usable if not is_avoided(state, limit_s, now)]
        eligible = healthy or usable
        if region is None:
            return eligible
        return [state for state in eligible if state.region == region]

    def is_unresponsive(self, state, now):
        """Return whether a chosen endpoint does not respond to any instance any more.

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
        return is_avoided(state, self._unresponsive_limit_s(state.entry.service), now)

    def _unresponsive_limit_s(self, service):
        return unresponsive_limit_s(self._latency.longest_work_s(service))

    def _full_regions(self, service):
        """Return the regions in which this instance uses its whole share of a limit."""
        if service is None or not service.region_limits:
            return ()
        names = self._fleet.names()
        full = set()
        for region, limit in service.region_limits:
            key = f"{service.name}/{region}"
            share = even_share(limit, key, self._fleet.own_info.name, names)
            if self._endpoints.own_in_flight(service.name, region) >= share:
                full.add(region)
        return full

    def _cold_start_allows(self, cfg, state, now):
        """Return whether this instance may send a request to a cold endpoint."""
        service = cfg.services.get(state.entry.service)
        if service is None:
            return True
        names = self._fleet.names()
        return self._cold_limiter.allows(state.name, service.cold_per_s, names, now)


def _retry_after_s(wait_s):
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def create_chooser(endpoints, latency, cold_start_limiter, fleet, rng):
    """Return a chooser.

    Parameters
    ----------
    endpoints, latency, cold_start_limiter, fleet, rng
        As of `Chooser`.

    Returns
    -------
    Chooser
    """
    return Chooser(endpoints, latency, cold_start_limiter, fleet, rng)
