"""How long a request may queue at an endpoint without delaying more urgent ones."""

import math

__all__ = ["QueueingLimits", "create_queueing_limits"]

LESS_URGENT_QUEUEING_RATIO = 0.5  # of the shortest target of more urgent routes
MAX_QUEUEING_RATIO = 1.2  # of its own target, for a request of a most urgent route


class QueueingLimits:
    """Limits by route and service, computed once for each configuration."""

    def __init__(self):
        self._cfg = None
        self._limits_s = {}
        self._targets_s = {}

    def max_s(self, cfg, route, service):
        """Return how long a request may queue.

        An endpoint processes requests in order of arrival, so less urgent requests have
        to be rejected before the queue makes more urgent ones late.

        Parameters
        ----------
        cfg : Configuration
            The active configuration.
        route : Route
            The request's route.
        service : str
            Service that the request is sent to.

        Returns
        -------
        float
            Seconds.
        """
        self._follow(cfg)
        key = (route.name, route.rank, service)
        if key not in self._limits_s:
            self._limits_s[key] = _max_queueing_s(cfg, route, service)
        return self._limits_s[key]

    def shortest_target_s(self, cfg, service):
        """Return the shortest target of the routes that use a service.

        Parameters
        ----------
        cfg : Configuration
            The active configuration.
        service : str
            Name of the service.

        Returns
        -------
        float
            Seconds; infinity if no route uses it.
        """
        self._follow(cfg)
        if service not in self._targets_s:
            self._targets_s[service] = min(
                (
                    route.target_s
                    for routes in cfg.hosts.values()
                    for route in routes
                    if any(name == service for name, _ in route.split)
                ),
                default=math.inf,
            )
        return self._targets_s[service]

    def _follow(self, cfg):
        if self._cfg is not cfg:
            self._cfg, self._limits_s, self._targets_s = cfg, {}, {}


def _max_queueing_s(cfg, route, service):
    urgent_targets = [
        other.target_s
        for routes in cfg.hosts.values()
        for other in routes
        if other.rank < route.rank and any(name == service for name, _ in other.split)
    ]
    if urgent_targets:
        return LESS_URGENT_QUEUEING_RATIO * min(urgent_targets)
    return MAX_QUEUEING_RATIO * route.target_s


def create_queueing_limits():
    """Return limits that have not been computed.

    Returns
    -------
    QueueingLimits
    """
    return QueueingLimits()
