"""Which requests of client accounts go first where a service can't serve them all.

More urgent ranks come first; within a rank the capacity is divided by max-min
fairness: an account that asks for less than its share is served fully, the others get
equal parts. Requests beyond their account's share are rejected as soon as queues grow,
before any others. Endpoints serve in order of arrival, so that the oldest request of
an account comes first.
"""

import math

from quetzalwall.request.queueing_limits import create_queueing_limits

__all__ = ["Fairness", "create_fairness", "fair_shares"]

SPAN_S = 5.0  # time constant of the measured demand and capacity
REFRESH_S = 0.5  # between two computations of the shares
# Queueing that a request accepts, as a ratio to the shortest target of the service's
# routes: all ranks queue at the same endpoints. The first is for the most urgent rank
# that has requests. Requests beyond their account's share still queue a little, since
# endpoints need some queueing to be fully used.
MOST_URGENT_QUEUEING_RATIO = 1.2
LESS_URGENT_QUEUEING_RATIO = 0.75
OVER_SHARE_QUEUEING_RATIO = 0.3
# On the queueing of requests within the share of an account that asks for more. Shares
# follow an estimate of the capacity: while that is too high, such accounts alone would
# fill the queue up to the limit, and requests of accounts that ask for less than their
# share would be rejected as well.
LIMITED_ACCOUNT_FACTOR = 0.8
FORGET_SERVICE_S = 60.0  # after its last request
# Of what was served lately; divided into shares. With all, nothing would shorten a
# queue that requests within the shares have filled, and they would be rejected as well.
CAPACITY_FRACTION = 0.97
# Of the fraction of all requests that is served; kept for each account, so that urgent
# ones don't starve it. The requirement is a quarter.
MIN_SERVED_RATIO = 0.3
FORGET_PER_S = 0.01  # accounts with less demand are forgotten


class _Use:
    """Decaying averages of one account's requests of a rank, in requests a second."""

    __slots__ = ("asked_per_s", "credit", "fraction")

    def __init__(self, credit):
        self.asked_per_s = 0.0
        self.fraction = 1.0  # of its requests that are within its share
        self.credit = credit


class _ServiceUse:
    def __init__(self, now):
        self.uses = {}
        self.served_per_s = 0.0
        self.most_urgent_rank = math.inf
        self.settled_at = self.refreshed_at = now


class Fairness:
    """Demand and capacity of services as this instance sees them, and the shares.

    Callers spread over the instances at random, so that shares of the requests at one
    instance are close to those at all.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, rng):
        self._rng = rng
        self._services = {}
        self._targets = create_queueing_limits()

    def max_queueing_s(self, req, now):
        """Count a request and return how long it may queue at an endpoint.

        Parameters
        ----------
        req : Request
            The request.
        now : float
            Monotonic seconds.

        Returns
        -------
        (float, bool) or (None, bool)
            Seconds, and whether the request is beyond its account's share. None if the
            configuration has no accounts: the limits of the routes apply.
        """
        if req.cfg.accounts is None:
            return None, False
        service = self._services.get(req.service)
        if service is None:
            self._forget_unused(now)
            service = self._services[req.service] = _ServiceUse(now)
        _settle(service, now)
        key = (req.route.rank, _account_name(req))
        use = service.uses.get(key)
        if use is None:
            use = service.uses[key] = _Use(self._rng.random())
        use.asked_per_s += 1 / SPAN_S
        if now >= service.refreshed_at + REFRESH_S:
            _refresh(service, now)
        target_s = self._targets.shortest_target_s(req.cfg, req.service)
        use.credit += use.fraction
        if use.credit < 1:
            return OVER_SHARE_QUEUEING_RATIO * target_s, True
        use.credit -= 1
        urgent = req.route.rank <= service.most_urgent_rank
        ratio = MOST_URGENT_QUEUEING_RATIO if urgent else LESS_URGENT_QUEUEING_RATIO
        if use.fraction < 1:
            ratio *= LIMITED_ACCOUNT_FACTOR
        return ratio * target_s, False

    def record_accepted(self, req, now):
        """Count a request for which an endpoint was chosen.

        Parameters
        ----------
        req : Request
            The request, which `max_queueing_s` has counted.
        now : float
            Monotonic seconds.
        """
        service = self._services.get(req.service)
        if req.cfg.accounts is not None and service is not None:
            _settle(service, now)
            service.served_per_s += 1 / SPAN_S

    def _forget_unused(self, now):
        self._services = {
            name: service
            for name, service in self._services.items()
            if now - service.settled_at < FORGET_SERVICE_S
        }


def fair_shares(demands, capacity):
    """Divide a capacity among accounts.

    Parameters
    ----------
    demands : dict of (int, str) to float
        Demand by rank and name of the account.
    capacity : float
        What can be served, in the unit of the demand.

    Returns
    -------
    dict of (int, str) to float
        What each gets: at most its demand, and at least `MIN_SERVED_RATIO` of what it
        would get if all were served in proportion to their demand.

    Examples
    --------
    >>> fair_shares({(0, "a"): 2.0, (0, "b"): 10.0, (0, "c"): 4.0}, 10.0)
    {(0, 'a'): 2.0, (0, 'c'): 4.0, (0, 'b'): 4.0}
    """
    total = sum(demands.values())
    if total <= capacity:
        return dict(demands)
    minimum = MIN_SERVED_RATIO * capacity / total
    shares, remaining = {}, capacity
    reserved = minimum * total
    for rank in sorted({rank for rank, _ in demands}):
        keys = sorted((k for k in demands if k[0] == rank), key=demands.get)
        reserved -= minimum * sum(demands[key] for key in keys)
        available = remaining - reserved
        for key in _above_minimum(keys, demands, minimum, available):
            shares[key] = minimum * demands[key]
            available -= shares[key]
            remaining -= shares[key]
        rest = [key for key in keys if key not in shares]
        for position, key in enumerate(rest):
            shares[key] = min(demands[key], available / (len(rest) - position))
            available -= shares[key]
            remaining -= shares[key]
    return shares


def _above_minimum(keys, demands, minimum, available):
    """Return the accounts for which an equal share is less than their minimum."""
    found, rest = [], list(keys)
    while rest and minimum * demands[rest[-1]] > _level(rest, demands, available):
        found.append(rest.pop())
        available -= minimum * demands[found[-1]]
    return found


def _level(keys, demands, available):
    """Return the largest share if the available capacity is divided max-min fairly."""
    for position, key in enumerate(keys):
        equal = available / (len(keys) - position)
        if demands[key] >= equal:
            return equal
        available -= demands[key]
    return math.inf


def _account_name(req):
    # Public routes have no account; each counts as one of its own.
    return f"/{req.route.name}" if req.account is None else req.account.name


def _settle(service, now):
    elapsed_s = now - service.settled_at
    if elapsed_s <= 0:
        return
    service.settled_at = now
    decay = math.exp(-elapsed_s / SPAN_S)
    service.served_per_s *= decay
    for use in service.uses.values():
        use.asked_per_s *= decay


def _refresh(service, now):
    service.refreshed_at = now
    service.uses = {
        key: use for key, use in service.uses.items() if use.asked_per_s >= FORGET_PER_S
    }
    service.most_urgent_rank = min((rank for rank, _ in service.uses), default=math.inf)
    demands = {key: use.asked_per_s for key, use in service.uses.items()}
    # The request that is decided now has been asked for and not yet served.
    capacity = service.served_per_s + 1 / SPAN_S
    if capacity < sum(demands.values()):
        capacity *= CAPACITY_FRACTION
    shares = fair_shares(demands, capacity)
    for key, use in service.uses.items():
        use.fraction = shares[key] / demands[key]


def create_fairness(rng):
    """Return the fairness of an instance that has served no requests.

    Parameters
    ----------
    rng : random.Random
        As of `Fairness`.

    Returns
    -------
    Fairness
    """
    return Fairness(rng)
