"""What one version of the configuration says, in the project's own terms."""

from typing import NamedTuple

__all__ = [
    "Configuration",
    "EndpointEntry",
    "HostRoutes",
    "Limits",
    "Route",
    "Service",
    "Shift",
    "find_route",
]


class Limits(NamedTuple):
    """Limits on what callers may send.

    Attributes
    ----------
    max_body_bytes : int
        Longest body.
    idle_s : float
        Seconds for which a caller may leave a connection idle.
    """

    max_body_bytes: int = 64 * 1024 * 1024
    idle_s: float = 15.0


class Service(NamedTuple):
    """A group of endpoints that serve the same requests.

    Attributes
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    connections : int
        Connections that each endpoint accepts from all instances together.
    cold_s : float
        Seconds for which an endpoint is cold after its start.
    cold_per_s : float
        Requests a second that a cold endpoint tolerates, from all instances together.
    region_limits : tuple of (str, int)
        Requests that may be open in a region, from all instances together.
    """

    name: str
    health_path: str
    connections: int
    cold_s: float
    cold_per_s: float
    region_limits: tuple = ()


class Route(NamedTuple):
    """Requests of one host below one path.

    Attributes
    ----------
    name, host, prefix : str
        Name of the route, host and beginning of the path.
    idempotent : bool
        Whether a request may run more than once.
    timeout_s : float or None
        Longest time that a caller is kept waiting.
    target_s : float
        Response time aimed at.
    rank : int
        0 is the most urgent.
    attempts : int
        Endpoints to which one request may be sent.
    sticky : bool
        Whether an endpoint that knows the object answers sooner.
    regions : tuple of str
        Regions that may serve it; empty for all.
    split : tuple of (str, float)
        Services with their weights.
    methods : tuple of str
        HTTP methods that it takes; empty for all.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float | None
    target_s: float
    rank: int
    attempts: int
    sticky: bool
    regions: tuple
    split: tuple
    methods: tuple = ()


class HostRoutes(list):
    """The routes of one host, longest prefix first.

    Parameters
    ----------
    routes : iterable of Route
        The routes, in any order.
    """

    def __init__(self, routes):
        super().__init__(sorted(routes, key=lambda r: len(r.prefix), reverse=True))
        self._by_prefix = {}
        for route in self:
            self._by_prefix.setdefault(route.prefix, []).append(route)
        self._lengths = sorted({len(p) for p in self._by_prefix}, reverse=True)

    def find(self, path, method):
        """Return the route with the longest prefix that begins a path, or None.

        Prefixes of one length are looked up at once: there may be thousands.

        Parameters
        ----------
        path, method : str
            As of `find_route`.

        Returns
        -------
        Route or None
        """
        for length in self._lengths:
            for route in self._by_prefix.get(path[:length], ()):
                if not route.methods or method in route.methods:
                    return route
        return None


class Shift(NamedTuple):
    """A planned move of a service's traffic from one region to another.

    Attributes
    ----------
    name, service : str
        Name of the shift, and the service whose requests it moves.
    source, destination : str
        Regions; requests that arrive at instances of the first are moved.
    fraction : float
        Part of those requests that it moves in the end.
    cap : int
        Requests that it may move in any interval, over all instances.
    interval_s : float
        Length of the interval.
    running : bool
        Whether the operator lets it move traffic.
    """

    name: str
    service: str
    source: str
    destination: str
    fraction: float
    cap: int
    interval_s: float
    running: bool


class Configuration(NamedTuple):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Grows with each change.
    hosts : dict of str to HostRoutes
        Routes of each host.
    services : dict of str to Service
        Services by name.
    limits : Limits
        Limits on callers.
    shifts : tuple of Shift
        Planned moves between regions.
    """

    version: int
    hosts: dict
    services: dict
    limits: Limits
    shifts: tuple = ()


class EndpointEntry(NamedTuple):
    """What the registry says of one endpoint.

    Attributes
    ----------
    name : str
        Identity of this endpoint.
    service : str
        Service that it serves.
    host : str
        IP number.
    port : int
        TCP port.
    domain : str
        Failure domain.
    slots : int
        Requests that it runs at once.
    draining : bool
        Whether it is about to stop.
    cold_s : float
        Seconds for which it remains cold.
    incarnation : int
        Milliseconds since the epoch at its start; 0 if not said.
    """

    name: str
    service: str
    host: str
    port: int
    domain: str
    slots: int
    draining: bool
    cold_s: float
    incarnation: int


def find_route(cfg, host, path, method=""):
    """Return the route of a request.

    Parameters
    ----------
    cfg : Configuration
        The configuration in force.
    host : str
        Host asked for.
    path : str
        Path asked for.
    method : str, default=""
        HTTP method.

    Returns
    -------
    Route or None
    """
    routes = cfg.hosts.get(host)
    return routes.find(path, method) if routes else None
