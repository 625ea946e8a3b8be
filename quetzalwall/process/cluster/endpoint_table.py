"""All registered endpoints, indexed by identity, service and address."""

from quetzalwall.connection.connection_limiter import ConnectionLimiter
from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.cluster.draining_signals import DrainingSignals
from quetzalwall.process.cluster.endpoint_addresses import EndpointAddresses
from quetzalwall.process.cluster.endpoint_code import endpoint_code
from quetzalwall.process.cluster.endpoint_factory import create_endpoint_state
from quetzalwall.process.cluster.endpoint_log import log_endpoint_change
from quetzalwall.process.cluster.service_index import ServiceIndex

__all__ = ["EndpointTable", "create_endpoint_table"]

EXPIRY_GRACE_S = 2.0  # the platform says that expired entries are back by then
LOG = get_logger("endpoints")


class EndpointTable:
    """The registered endpoints and their states.

    Parameters
    ----------
    domains : dict of str to str
        Region of each failure domain.
    parse_response : callable
        Takes status and headers of a response; returns its `ResponseMetadata`.
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    addresses : EndpointAddresses
        The endpoints by address.
    evacuated : set of str
        Failure domains whose endpoints get no requests.
    connection_limiter : ConnectionLimiter
        Limits the connections to all endpoints together.
    traffic : TrafficMeter or None
        Counts the bytes exchanged with endpoints; None counts none.
    removal_count : int
        Increases with each endpoint that is removed.
    draining_signals : DrainingSignals
        What endpoints have stated in responses.
    """

    def __init__(self, domains, parse_response, monotonic):
        self.domains = domains
        self.evacuated = set()
        self.connection_limiter = ConnectionLimiter()
        self.traffic = None
        self._parse_response = parse_response
        self._monotonic = monotonic
        self._states = {}
        self._by_service = ServiceIndex(self.is_routable)
        self.addresses = EndpointAddresses(
            lambda state: self._by_service.invalidate(state.entry.service)
        )
        self._by_code = {}
        self._expired = set()
        self.draining_signals = DrainingSignals(
            self, self._by_service.invalidate, monotonic
        )
        self.removal_count = 0

    def __len__(self):
        return len(self._states)

    def __iter__(self):
        return iter(list(self._states.values()))

    def get(self, name):
        """Return an endpoint by its identity, or None.

        Parameters
        ----------
        name : str
            Identity of the endpoint.

        Returns
        -------
        EndpointState or None
        """
        return self._states.get(name)

    def by_code(self, code):
        """Return an endpoint by its short code, or None.

        Parameters
        ----------
        code : int
            As `endpoint_code` returns it.

        Returns
        -------
        EndpointState or None
        """
        return self._by_code.get(code)

    def codes(self):
        """Return the endpoints with their short codes.

        Returns
        -------
        iterable of (int, EndpointState)
        """
        return self._by_code.items()

    def routable_endpoints(self, service):
        """Return the endpoints of a service that may get new requests.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list of EndpointState
        """
        return self._by_service.routable(service).copy()

    def is_routable(self, state):
        """Return whether an endpoint may get new requests: usable and not evacuated.

        Parameters
        ----------
        state : EndpointState
            The endpoint.

        Returns
        -------
        bool
        """
        return state.usable() and state.entry.domain not in self.evacuated

    def own_in_flight(self, service, region):
        """Return the requests of this instance in flight to a region.

        Parameters
        ----------
        service, region : str
            Service and region of the endpoints, draining ones included.

        Returns
        -------
        int
        """
        return sum(
            state.own_in_flight
            for state in self._by_service.states(service)
            if state.region == region
        )

    def preferred_ranks(self, service, object_key, region=None, domain=None):
        """Return the ranks of the endpoints that should cache an object.

        Parameters
        ----------
        service : str
            Name of the service.
        object_key : int
            Hash of the object's key.
        region, domain : str, default=None
            Region and failure domain of this instance, whose endpoints have ranks of
            their own.

        Returns
        -------
        dict of str to int
            Rank by identity, from 0 to at most `ENDPOINTS_PER_OBJECT` - 1.
        """
        return self._by_service.preferred_ranks(service, object_key, region, domain)

    def put(self, entry, log=True):
        """Add or update an endpoint by its registry entry.

        Parameters
        ----------
        entry : EndpointEntry
            The entry.
        log : bool, default=True
            Whether to log an endpoint that was not known.
        """
        state = self._states.get(entry.name)
        moved = state is not None and (
            state.entry.host != entry.host or state.entry.port != entry.port
        )
        if state is None or moved or state.entry.incarnation != entry.incarnation:
            self._register(entry, state)
            if log or state is not None:
                log_endpoint_change(
                    "registered" if state is None else "restarted", entry
                )
            return
        old, state.entry = state.entry, entry
        returned, state.registered = not state.registered, True
        state.grace_until = None
        if returned or old.service != entry.service:
            self.addresses.refresh(state)
        state.record_cold(entry.cold_s, self._monotonic())
        if old.service != entry.service:
            self._by_service.discard(old.service, entry.name)
            self._by_service.add(state)
        if returned or old.draining != entry.draining or old.domain != entry.domain:
            self._by_service.invalidate(entry.service)
        if old.draining != entry.draining or old.service != entry.service:
            log_endpoint_change("leaving" if entry.draining else "changed", entry)

    def remove(self, name, after_outage, grace_s=None):
        """Remove an endpoint that is no longer registered, or begin its grace period.

        Parameters
        ----------
        name : str
            Identity of the endpoint.
        after_outage : bool
            Whether a store outage preceded, so that the entry may have expired.
        grace_s : float, default=None
            Seconds in which an expired entry may return; `EXPIRY_GRACE_S` if None.
        """
        state = self._states.get(name)
        if state is None:
            return
        if after_outage and state.registered and not state.entry.draining:
            if grace_s is None:
                grace_s = EXPIRY_GRACE_S
            state.grace_until = self._monotonic() + grace_s
            self._expired.add(name)
            log_endpoint_change("lapsed", state.entry)
            return
        self._forget(state)

    def invalidate(self, name):
        """Stop using an endpoint whose entry is malformed, until a valid entry comes.

        Parameters
        ----------
        name : str
            Identity of the endpoint.
        """
        state = self._states.get(name)
        if state is not None and state.registered:
            state.registered, state.grace_until = False, None
            self._by_service.invalidate(state.entry.service)
            self.addresses.refresh(state)
            log_endpoint_change("spoiled", state.entry)

    def remaining_grace_s(self, name):
        """Return the remaining grace period in which an expired entry may return.

        Parameters
        ----------
        name : str
            Identity of the endpoint.

        Returns
        -------
        float
            Seconds; 0 without an expired entry of that identity.
        """
        state = self._states.get(name)
        if state is None or state.grace_until is None:
            return 0.0
        return max(0.0, state.grace_until - self._monotonic())

    def drop_lapsed(self):
        """Remove endpoints whose expired entries did not return in the grace period."""
        if not self._expired:
            return
        now = self._monotonic()
        for name in list(self._expired):
            state = self._states.get(name)
            if state is None or state.grace_until is None:
                self._expired.discard(name)
            elif now >= state.grace_until:
                self._forget(state)

    def set_evacuated(self, domains, cold_s):
        """Replace the set of evacuated failure domains.

        Parameters
        ----------
        domains : set of str
            Failure domains.
        cold_s : callable
            Takes a service's name; returns the cold period of its endpoints in seconds.
        """
        if domains == self.evacuated:
            return
        returned = self.evacuated - domains
        log_event(
            LOG,
            "evacuated",
            domains=",".join(sorted(domains)) or "none",
            back=",".join(sorted(returned)) or "none",
        )
        self.evacuated = set(domains)
        now = self._monotonic()
        for state in self._states.values():
            if state.entry.domain in returned:
                # Without requests they have lost their warm caches.
                state.record_cold(cold_s(state.entry.service), now)
        self._by_service.invalidate_all()

    def close(self):
        """Close the connections to all endpoints."""
        for state in self._states.values():
            state.client.close()

    def _register(self, entry, old):
        region = self.domains.get(entry.domain, "")
        state = create_endpoint_state(
            entry,
            region,
            self._parse_response,
            self._monotonic,
            self.connection_limiter,
            self.traffic,
        )
        if old is not None:
            old.registered = False
            old.client.close()
            self._unindex(old)
        self.addresses.add(state)
        # A restarted endpoint keeps its position in the order of `_states`.
        self._states[entry.name] = state
        self._by_code[endpoint_code(entry.name)] = state
        self._by_service.add(state)
        self.draining_signals.attach(state)

    def _forget(self, state):
        state.registered = False
        state.client.close()
        self.draining_signals.end_removed(state.entry)
        self.removal_count += 1
        self._states.pop(state.name, None)
        self._by_code.pop(endpoint_code(state.name), None)
        self._unindex(state)
        log_endpoint_change("gone", state.entry)

    def _unindex(self, state):
        """Remove a state from the indexes by address and by service."""
        self.addresses.remove(state)
        self._by_service.discard(state.entry.service, state.name)


def create_endpoint_table(domains, parse_response, monotonic):
    """Return an empty table of endpoints.

    Parameters
    ----------
    domains, parse_response, monotonic
        As of `EndpointTable`.

    Returns
    -------
    EndpointTable
    """
    return EndpointTable(domains, parse_response, monotonic)
