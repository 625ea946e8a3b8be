"""Types of one version of the configuration, and of entries in the registry."""

from typing import NamedTuple

from quetzalwall.version.accounts import Accounts

__all__ = [
    "Configuration",
    "EndpointEntry",
    "HostRoutes",
    "Limits",
    "MAX_TIMEOUT_S",
    "Route",
    "Service",
    "Shift",
    "find_route",
]

MAX_TIMEOUT_S = 30.0  # of a request, also if neither caller nor route sets one


class Limits(NamedTuple):
    """Limits on callers.

    Attributes
    ----------
    max_body_bytes : int
        Maximum size of a request body in bytes.
    idle_timeout_s : float
        Seconds for which a caller may leave a connection idle.
    max_header_bytes : int
        Maximum size of a request head in bytes.
    header_timeout_s : float
        Seconds that a request head may take.
    """

    max_body_bytes: int = 64 * 1024 * 1024
    idle_timeout_s: float = 15.0
    max_header_bytes: int = 16 * 1024
    header_timeout_s: float = 3.0


class Service(NamedTuple):
    """A group of endpoints that serve the same requests.

    Attributes
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that each endpoint accepts from all instances together.
    cold_s : float
        Seconds for which an endpoint is cold after its start.
    cold_per_s : float
        Requests a second that a cold endpoint tolerates, from all instances together.
    region_limits : tuple of (str, int)
        Maximum number of open requests in a region, from all instances together.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_per_s: float
    region_limits: tuple = ()


class Route(NamedTuple):
    """Rules for the requests to one host whose paths begin with one prefix.

    Attributes
    ----------
    name, host, prefix : str
        Name of the route, host and prefix of the path.
    idempotent : bool
        Whether a request may run more than once.
    timeout_s : float or None
        Maximum time that a caller waits, in seconds; None if the route sets none.
    target_s : float
        Target response time in seconds.
    rank : int
        Priority; 0 is the most urgent.
    attempts : int
        Maximum number of endpoints to which one request is sent.
    sticky : bool
        Whether an endpoint that has cached the object responds sooner.
    regions : tuple of str
        Regions that may serve the requests; empty for all.
    split : tuple of (str, float)
        Services with their weights.
    methods : tuple of str
        HTTP methods that it matches; empty for all.
    public : bool
        Whether requests need no key of a client account.
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
    public: bool = False


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
        """Return the route with the longest prefix of a path, or None.

        The cost depends on the number of different prefix lengths, not on the number of
        routes, of which there may be thousands.

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
        Regions. The requests moved are those that arrive at instances of the source.
    fraction : float
        Target fraction of those requests.
    cap : int
        Maximum number of requests moved in any interval, over all instances.
    interval_s : float
        Length of the interval in seconds.
    running : bool
        Whether it may move requests; False once an operator has stopped it.
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
        Increases with each change.
    hosts : dict of str to HostRoutes
        Routes of each host.
    services : dict of str to Service
        Services by name.
    limits : Limits
        Limits on callers.
    shifts : tuple of Shift
        Planned moves between regions.
    accounts : Accounts or None
        Client accounts; None if requests need no key.
    """

    version: int
    hosts: dict
    services: dict
    limits: Limits
    shifts: tuple = ()
    accounts: Accounts | None = None


class EndpointEntry(NamedTuple):
    """Registry entry of one endpoint.

    Attributes
    ----------
    name : str
        Name that identifies the endpoint.
    service : str
        Service that it serves.
    host : str
        IP address.
    port : int
        TCP port.
    domain : str
        Failure domain.
    slots : int
        Number of requests that it runs concurrently.
    draining : bool
        Whether it is about to stop.
    cold_s : float
        Seconds for which it will still be cold.
    incarnation : int
        Time of its start in milliseconds since the epoch; 0 if unknown.
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
        The active configuration.
    host : str
        Requested host.
    path : str
        Requested path.
    method : str, default=""
        HTTP method.

    Returns
    -------
    Route or None
    """
    routes = cfg.hosts.get(host)
    return routes.find(path, method) if routes else None
