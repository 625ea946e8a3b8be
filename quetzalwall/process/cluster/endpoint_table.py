"""All endpoints that the registry names, by service."""

from collections import OrderedDict
from heapq import nsmallest

import xxhash

from quetzalwall.connection.connection_limiter import ConnectionLimiter
from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.cluster.endpoint_code import endpoint_code
from quetzalwall.process.cluster.endpoint_state import create_endpoint_state

__all__ = ["ENDPOINTS_PER_OBJECT", "EndpointTable", "create_endpoint_table"]

ENDPOINTS_PER_OBJECT = 3  # endpoints at which an object that none holds should settle
MOST_ORDERS = 4096  # kept; callers name objects as they like
RETURN_GRACE_S = 2.0  # lapsed entries are back by then, says the platform
LOG = get_logger("endpoints")


class EndpointTable:
    """Endpoints by identity and by service.

    Parameters
    ----------
    domains : dict of str to str
        Region of each failure domain.
    parse_response : callable
        From status and headers of an answer to what they say.
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    evacuated : set of str
        Failure domains whose endpoints get nothing.
    connections : ConnectionLimiter
        Counts the connections to all of them.
    forgotten : int
        Grows with each endpoint that is forgotten.
    """

    def __init__(self, domains, parse_response, monotonic):
        self.domains = domains
        self.evacuated = set()
        self.connections = ConnectionLimiter()
        self._parse_response = parse_response
        self._monotonic = monotonic
        self._states = {}
        self._services = {}
        self._places = {}
        self._usable = {}
        self._orders = OrderedDict()
        self._codes = {}
        self._lapsed = set()
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
            Identity.

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
            As `endpoint_code` gives it.

        Returns
        -------
        EndpointState or None
        """
        return self._codes.get(code)

    def codes(self):
        """Return the endpoints with their short codes.

        Returns
        -------
        iterable of (int, EndpointState)
        """
        return self._codes.items()

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
        found = self._usable.get(service)
        if found is None:
            states = self._services.get(service, {}).values()
            found = self._usable[service] = [s for s in states if self.is_routable(s)]
        # An answer may tell that an address is wrong, which changes nothing here.
        return [state for state in found if not state.wrong_address]

    def is_routable(self, state):
        """Return whether an endpoint may get new requests.

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
        """Return the requests of this instance that are open in a region.

        Parameters
        ----------
        service, region : str
            Service and region of the endpoints, those that leave included.

        Returns
        -------
        int
        """
        return sum(
            state.own_in_flight
            for state in self._services.get(service, {}).values()
            if state.region == region
        )

    def preferred_ranks(self, service, object_key):
        """Return the ranks of the endpoints that should hold an object.

        Parameters
        ----------
        service : str
            Name of the service.
        object_key : int
            Code of the object.

        Returns
        -------
        dict of str to int
            0 for the first of `ENDPOINTS_PER_OBJECT` endpoints, and so on.
        """
        key = (service, object_key)
        ranks = self._orders.get(key)
        if ranks is not None:
            self._orders.move_to_end(key)
            return ranks
        names = [state.name for state in self.routable_endpoints(service)]
        first = nsmallest(
            ENDPOINTS_PER_OBJECT, names, key=lambda name: _weight(object_key, name)
        )
        ranks = self._orders[key] = {name: rank for rank, name in enumerate(first)}
        if len(self._orders) > MOST_ORDERS:
            self._orders.popitem(last=False)
        return ranks

    def put(self, entry, log=True):
        """Take over what the registry says of an endpoint.

        Parameters
        ----------
        entry : EndpointEntry
            The entry.
        log : bool, default=True
            Whether a line is written of an endpoint that was not known.
        """
        state = self._states.get(entry.name)
        moved = state is not None and (
            state.entry.host != entry.host or state.entry.port != entry.port
        )
        if state is None or moved or state.entry.born != entry.born:
            self._start(entry, state)
            if log or state is not None:
                _log_change("registered" if state is None else "restarted", entry)
            return
        old, state.entry = state.entry, entry
        back, state.present = not state.present, True
        state.lapsed_until = None
        state.note_cold(entry.cold_s, self._monotonic())
        if old.service != entry.service:
            _remove(self._services, old.service, entry.name)
            self._note_change(old.service)
            self._add(state)
        if back or old.leaving != entry.leaving or old.domain != entry.domain:
            self._note_change(entry.service)
        if old.leaving != entry.leaving or old.service != entry.service:
            _log_change("leaving" if entry.leaving else "changed", entry)

    def remove(self, name, away, lapse_s=None):
        """Note that the registry no longer holds an endpoint.

        Parameters
        ----------
        name : str
            Identity.
        away : bool
            Whether the store was away, so that the entry may have lapsed.
        lapse_s : float, default=None
            Seconds in which it may come back; the whole time if None.
        """
        state = self._states.get(name)
        if state is None:
            return
        if away and state.present and not state.entry.leaving:
            if lapse_s is None:
                lapse_s = RETURN_GRACE_S
            state.lapsed_until = self._monotonic() + lapse_s
            self._lapsed.add(name)
            _log_change("lapsed", state.entry)
            return
        self._drop(state)

    def spoil(self, name):
        """Note that an entry names no endpoint any more; the next one may again.

        Parameters
        ----------
        name : str
            Identity.
        """
        state = self._states.get(name)
        if state is not None and state.present:
            state.present, state.lapsed_until = False, None
            self._note_change(state.entry.service)
            _log_change("spoiled", state.entry)

    def lapse_s(self, name):
        """Return the seconds in which an entry that has lapsed may come back.

        Parameters
        ----------
        name : str
            Identity.

        Returns
        -------
        float
            0 if it is not awaited.
        """
        state = self._states.get(name)
        if state is None or state.lapsed_until is None:
            return 0.0
        return max(0.0, state.lapsed_until - self._monotonic())

    def drop_lapsed(self):
        """Forget endpoints whose entries did not return with the store."""
        if not self._lapsed:
            return
        now = self._monotonic()
        for name in list(self._lapsed):
            state = self._states.get(name)
            if state is None or state.lapsed_until is None:
                self._lapsed.discard(name)
            elif now >= state.lapsed_until:
                self._drop(state)

    def evacuate(self, domains, cold_s):
        """Set the failure domains whose endpoints get nothing.

        Parameters
        ----------
        domains : set of str
            Failure domains.
        cold_s : callable
            From a service's name to the seconds for which its endpoints are cold.
        """
        if domains == self.evacuated:
            return
        back = self.evacuated - domains
        log_event(
            LOG,
            "evacuated",
            domains=",".join(sorted(domains)) or "none",
            back=",".join(sorted(back)) or "none",
        )
        self.evacuated = set(domains)
        now = self._monotonic()
        for state in self._states.values():
            if state.entry.domain in back:
                # Without work they lose what made them fast.
                state.note_cold(cold_s(state.entry.service), now)
        self._orders.clear()
        self._usable.clear()

    def close(self):
        """Close all connections."""
        for state in self._states.values():
            state.client.close()

    def _start(self, entry, old):
        region = self.domains.get(entry.domain, "")
        state = create_endpoint_state(
            entry, region, self._parse_response, self._monotonic, self.connections
        )
        if old is not None:
            old.present = False
            old.client.close()
            self._take_out(old)
        place = self._places.setdefault((entry.host, entry.port), {})
        for other in place.values():
            if other.entry.born <= entry.born:
                other.wrong_address = True
                self._note_change(other.entry.service)
        place[entry.name] = state
        # One that starts anew keeps its place among all.
        self._states[entry.name] = state
        self._codes[endpoint_code(entry.name)] = state
        self._add(state)

    def _drop(self, state):
        state.present = False
        state.client.close()
        self.removal_count += 1
        self._states.pop(state.name, None)
        self._codes.pop(endpoint_code(state.name), None)
        self._take_out(state)
        _log_change("gone", state.entry)

    def _add(self, state):
        self._services.setdefault(state.entry.service, {})[state.name] = state
        self._note_change(state.entry.service)

    def _take_out(self, state):
        """Take a state out of what is found by place and by service."""
        entry = state.entry
        _remove(self._places, (entry.host, entry.port), entry.name)
        _remove(self._services, entry.service, entry.name)
        self._note_change(entry.service)

    def _note_change(self, service):
        self._usable.pop(service, None)
        if self._orders:
            self._orders.clear()


def _remove(index, key, name):
    states = index[key]
    states.pop(name, None)
    if not states:
        del index[key]


def _weight(object_key, name):
    return xxhash.xxh64_intdigest(f"{object_key}/{name}".encode())


def _log_change(event, entry):
    log_event(
        LOG,
        event,
        endpoint=entry.name,
        service=entry.service,
        place=f"{entry.host}:{entry.port}",
        domain=entry.domain,
        cold_s=entry.cold_s,
        born=entry.born,
    )


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
