"""Read callers' requests, each with the route that it matches."""

from quetzalwall.connection.caller_connection import NoMemory, read_body
from quetzalwall.connection.http_server import BadRequest
from quetzalwall.request.account_access import STALE_CONFIGURATION
from quetzalwall.request.choice import Rejection
from quetzalwall.request.latency_model import min_of_known
from quetzalwall.request.request import Request, object_hash
from quetzalwall.request.request_log import log_no_route, log_unknown_key
from quetzalwall.version.accounts import route_for_account
from quetzalwall.version.model import MAX_TIMEOUT_S, find_route

__all__ = ["Refused", "RequestReader", "UnknownKey", "create_request_reader"]

# Of the WSGI environment: the active configuration and the route; None without one.
MATCH_KEY = "quetzalwall.match"
NO_CONFIG = Rejection("no configuration", 0.5)  # until one was read
NO_REGION = Rejection("no region", 1.0)  # that both the route and the account allow
NO_ROOM_IN_MEMORY = Rejection("no memory", 1.0)  # while the memory budget is used up


class Refused(Exception):
    """A request is rejected before its body was read; it was not run.

    Parameters
    ----------
    metadata : RequestMetadata
        What the caller's headers say.
    route : str
        Name of its route; empty if it is not known.
    rejection : Rejection
        Why, and when to try again.
    """

    def __init__(self, metadata, route, rejection):
        super().__init__(rejection.reason)
        self.metadata = metadata
        self.route = route
        self.rejection = rejection


class UnknownKey(BadRequest):
    """A request has no key, or one that no client account holds; it was not run.

    Parameters
    ----------
    route : str
        Name of its route.
    """

    def __init__(self, route):
        super().__init__(401, "unknown key", "unknown key")
        self.route = route


class RequestReader:
    """Reads the requests of callers.

    Parameters
    ----------
    dialect : Dialect
        Protocol variant of callers.
    cluster_state : ClusterState
        Tells the active configuration.
    split : WeightedSplit
        Chooses among the services of a route.
    """

    def __init__(self, dialect, cluster_state, split):
        self._dialect = dialect
        self._cluster_state = cluster_state
        self._freshness = cluster_state.fleet.table_updates.freshness
        self._replaced = cluster_state.replaced
        self._split = split

    def is_idempotent(self, environ):
        """Return whether a request may be repeated, and so run beside others.

        A request that gets no endpoint, as it matches no route, counts as idempotent.
        The configuration that decides this is also the one that the request is served
        by, if it is read before this is asked again.

        Parameters
        ----------
        environ : dict
            WSGI environment.

        Returns
        -------
        bool
        """
        cfg = self._cluster_state.configuration()
        route = None if cfg is None else self._find_route(cfg, environ)
        environ[MATCH_KEY] = cfg, route
        return route is None or route.idempotent

    def _find_route(self, cfg, environ):
        try:
            host, target = self._dialect.host_and_path(environ)
        except BadRequest:
            return None
        path = target.partition("?")[0]
        return find_route(cfg, host, path, environ["REQUEST_METHOD"])

    def read(self, environ):
        """Return the request of a caller, with its complete body.

        Parameters
        ----------
        environ : dict
            WSGI environment, with the exchange, the connection, the unchanged target
            and the memory reservation of the request, which `is_idempotent` has
            matched to a route.

        Returns
        -------
        Request

        Raises
        ------
        BadRequest
            The request is malformed, matches no route, or its key is unknown.
        CallerLeft
            The caller closed its connection.
        Refused
            There is no configuration yet, the key may have been revoked or added since,
            no region is allowed by both route and account, or there is no memory for
            the body.
        """
        exchange = environ["quetzalwall.exchange"]
        arrived = exchange.arrived
        metadata = self._dialect.parse_request(environ)
        environ["quetzalwall.request_id"] = metadata.request_id
        host, target = self._dialect.host_and_path(environ)
        cfg, route = environ[MATCH_KEY]
        if cfg is None:
            raise Refused(metadata, "", NO_CONFIG)
        if route is None:
            path = target.partition("?")[0]
            self._check_current(cfg, metadata, "", self._replaced.had_route(host, path))
            log_no_route(metadata, host, path, cfg.version)
            raise BadRequest(404, f"no route for {host}{path[:80]}", "no route")
        account = self._find_account(cfg, route, metadata)
        if account is not None:
            metadata = metadata._replace(account=account.name)
            name, route = route.name, route_for_account(route, account)
            if route is None:
                raise Refused(metadata, name, NO_REGION)
        reservation = environ["quetzalwall.hold"]
        try:
            body = read_body(environ, cfg.limits.max_body_bytes, reservation)
        except NoMemory:
            raise Refused(metadata, route.name, NO_ROOM_IN_MEMORY) from None
        except BadRequest:
            allowed = self._replaced.max_body_bytes() > cfg.limits.max_body_bytes
            self._check_current(cfg, metadata, route.name, allowed)
            raise
        limit_s = min_of_known(metadata.timeout_s, route.timeout_s)
        return Request(
            metadata=metadata,
            cfg=cfg,
            route=route,
            service=self._split.next_service(route),
            method=environ["REQUEST_METHOD"],
            target=target,
            body=body,
            object_key=object_hash(route, metadata),
            arrived=arrived,
            deadline=arrived + min(limit_s, MAX_TIMEOUT_S),
            sock=environ.get("quetzalwall.socket"),
            reservation=reservation,
            account=account,
            bytes_ahead=exchange.bytes_ahead,
        )

    def _check_current(self, cfg, metadata, route, was_allowed=False):
        """Raise if a configuration may allow what the one of the request does not.

        A later one may be active here since the request was read, or elsewhere; the one
        before may still be active elsewhere.
        """
        latest = self._cluster_state.configuration()
        if was_allowed or cfg is not latest or not self._freshness.is_current():
            raise Refused(metadata, route, STALE_CONFIGURATION)

    def _find_account(self, cfg, route, metadata):
        """Return the account of a request; None if its route needs none."""
        if cfg.accounts is None or route.public:
            return None
        account = cfg.accounts.find(metadata.credential)
        # A key that is unknown here may have been added since.
        if metadata.credential and self._freshness.is_stale():
            name = "" if account is None else account.name
            metadata = metadata._replace(account=name)
            raise Refused(metadata, route.name, STALE_CONFIGURATION)
        if account is None:
            self._check_current(cfg, metadata, route.name)
            log_unknown_key(metadata, route, cfg.version)
            raise UnknownKey(route.name)
        return account


def create_request_reader(dialect, cluster_state, split):
    """Return a reader of requests.

    Parameters
    ----------
    dialect, cluster_state, split
        As of `RequestReader`.

    Returns
    -------
    RequestReader
    """
    return RequestReader(dialect, cluster_state, split)
