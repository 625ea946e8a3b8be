"""Choose an endpoint for a request: the one that should answer soonest.

Everything that matters enters one estimate in seconds: the way there, the wait for a
slot, the work at the endpoint's present speed, and whether it holds the object.
"""

from typing import NamedTuple

from quetzalwall.request.estimate import wait_s

__all__ = ["Chooser", "Choice", "Refusal", "create_chooser"]

HOLDERS = 3  # endpoints at which an object that none holds should settle
SETTLE_S = 0.06  # by which the first of them seems nearer
SLOT_PART = 0.7  # of its work, by which a request delays those behind it
CONNECT_S = 0.015  # by which a new connection makes an endpoint seem farther
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


class Choice(NamedTuple):
    """An endpoint chosen for a request.

    Attributes
    ----------
    state : EndpointState
        The endpoint.
    rank : int
        Its rank for the object.
    held : bool
        Whether it should still hold the object.
    depth : int or None
        Objects that it has served since it last served this one.
    expected_s : float
        Seconds until the answer.
    wait_s : float
        Part of it spent waiting for a slot.
    slowness : float
        How long work takes there, 1.0 being usual.
    of : int
        Endpoints chosen from.
    """

    state: object
    rank: int
    held: bool
    depth: int | None
    expected_s: float
    wait_s: float
    slowness: float
    of: int


class Refusal(NamedTuple):
    """Why no endpoint was chosen.

    Attributes
    ----------
    reason : str
        For the log.
    retry_after_s : float
        Seconds after which another attempt is worth while.
    """

    reason: str
    retry_after_s: float


class Chooser:
    """Chooses endpoints on one instance.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints.
    durations : Durations
        What work takes.
    cold_pacing : ColdPacing
        Which cold endpoints may get a request.
    fleet : Fleet
        The other instances.
    rng : random.Random
        Breaks ties, so that instances do not all choose the same endpoint.
    """

    def __init__(self, endpoints, durations, cold_pacing, fleet, rng):
        self._endpoints = endpoints
        self._durations = durations
        self._cold_pacing = cold_pacing
        self._fleet = fleet
        self._rng = rng
        self._region = fleet.card.region

    def choose(self, cfg, route, service, object_key, left_s, now, tried=()):
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

        Returns
        -------
        Choice or Refusal
        """
        candidates = self._candidates(cfg, route, service, now, tried)
        if not candidates:
            return Refusal("no endpoint", LEAST_RETRY_S * 2)
        order = {}
        if object_key is not None:
            order = self._endpoints.order(service, object_key)
        hold_s = self._durations.hold_s(service)
        work = {held: self._durations.work_s(route, held) for held in (True, False)}
        best, best_key = None, None
        for state in candidates:
            rank = order.get(state.name, HOLDERS)
            depth = state.depth(object_key)
            held = self._durations.holds(service, depth)
            slowness = state.slowness(now)
            if state.cold(now):
                slowness *= COLD_RATIO
            queue_s = slowness * wait_s(
                state.entry.slots, state.open(), hold_s, FREE_PART
            )
            expected_s = (
                self._durations.round_trip_s(state.region)
                + queue_s
                + work[held] * slowness
            )
            key = expected_s + self._rng.random() * SPREAD_S
            key += SLOT_PART * work[held] * slowness
            key -= SETTLE_S * max(0, HOLDERS - rank) / HOLDERS
            if state.region != self._region:
                key += FAR_S
            if state.untried() and not state.open():
                key -= UNTRIED_S
            if not state.client.idle_count():
                key += CONNECT_S
            if best_key is None or key < best_key:
                best_key = key
                best = Choice(
                    state,
                    rank,
                    held,
                    depth,
                    expected_s,
                    queue_s,
                    slowness,
                    len(candidates),
                )
        least_s = best.expected_s - best.slowness * (
            work[best.held] - self._durations.least_work_s(route, best.held)
        )
        if least_s > left_s:
            return Refusal("too late", _retry_after_s(best.wait_s))
        if best.wait_s > self._longest_wait_s(cfg, route, service):
            return Refusal("overload", _retry_after_s(best.wait_s))
        if best.state.open() >= FULL_RATIO * best.state.entry.slots:
            return Refusal("full", _retry_after_s(best.wait_s))
        if best.state.cold(now):
            self._cold_pacing.note(best.state.name, now)
        return best

    def _longest_wait_s(self, cfg, route, service):
        """Return how long a request may queue without taking the room of others.

        An endpoint serves in order of arrival, so what is less urgent has to be
        refused before the queue makes what is more urgent late.
        """
        urgent = [
            other.target_s
            for routes in cfg.hosts.values()
            for other in routes
            if other.rank < route.rank and any(s == service for s, _ in other.split)
        ]
        if urgent:
            return YIELDING_WAIT * min(urgent)
        return LONGEST_WAIT * route.target_s

    def _candidates(self, cfg, route, service, now, tried):
        usable = [
            state
            for state in self._endpoints.of_service(service)
            if (not route.regions or state.region in route.regions)
            and state.name not in tried
            and self._bearable(cfg, state, now)
        ]
        sound = [state for state in usable if not state.avoided(now)]
        return sound or usable

    def _bearable(self, cfg, state, now):
        if not state.cold(now):
            return True
        service = cfg.services.get(state.entry.service)
        if service is None:
            return True
        names = self._fleet.names()
        return self._cold_pacing.allows(state.name, service.cold_per_s, names, now)


def _retry_after_s(queue_s):
    return min(MOST_RETRY_S, max(LEAST_RETRY_S, queue_s))


def create_chooser(endpoints, durations, cold_pacing, fleet, rng):
    """Return a chooser.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints.
    durations : Durations
        What work takes.
    cold_pacing : ColdPacing
        Which cold endpoints may get a request.
    fleet : Fleet
        The other instances.
    rng : random.Random
        Breaks ties.

    Returns
    -------
    Chooser
    """
    return Chooser(endpoints, durations, cold_pacing, fleet, rng)
