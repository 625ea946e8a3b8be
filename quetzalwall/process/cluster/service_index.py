"""Endpoints by service, with what is derived from those that may get requests."""

from quetzalwall.process.cluster.object_ranks import ObjectRanks

__all__ = ["ServiceIndex"]


class ServiceIndex:
    """The endpoints of each service; caches which of them may get requests.

    Parameters
    ----------
    is_routable : callable
        Tells whether an endpoint may get new requests.
    """

    def __init__(self, is_routable):
        self._is_routable = is_routable
        self._states = {}
        self._routable = {}
        self._ranks = ObjectRanks()

    def add(self, state):
        """Add an endpoint to its service.

        Parameters
        ----------
        state : EndpointState
            The endpoint.
        """
        self._states.setdefault(state.entry.service, {})[state.name] = state
        self.invalidate(state.entry.service)

    def discard(self, service, name):
        """Remove an endpoint from a service.

        Parameters
        ----------
        service : str
            Name of the service.
        name : str
            Identity of the endpoint.
        """
        states = self._states[service]
        states.pop(name, None)
        if not states:
            del self._states[service]
        self.invalidate(service)

    def states(self, service):
        """Return all endpoints of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        iterable of EndpointState
        """
        return self._states.get(service, {}).values()

    def routable(self, service):
        """Return the endpoints of a service that may get new requests.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list of EndpointState
            Must not be modified.
        """
        found = self._routable.get(service)
        if found is None:
            states = self.states(service)
            found = [state for state in states if self._is_routable(state)]
            self._routable[service] = found
        return found

    def preferred_ranks(self, service, object_key, region, domain):
        """Return the ranks of the endpoints that should cache an object.

        Parameters
        ----------
        service, object_key, region, domain
            As of `EndpointTable.preferred_ranks`.

        Returns
        -------
        dict of str to int
            Rank by identity.
        """
        ranks = self._ranks.get(service, object_key)
        if ranks is not None:
            return ranks
        groups = {}
        for state in self.routable(service):
            place = state.region == region, state.entry.domain == domain
            groups.setdefault(place, []).append(state.name)
        return self._ranks.add(service, object_key, *groups.values())

    def invalidate(self, service):
        """Discard what is cached: an endpoint of a service has changed.

        Parameters
        ----------
        service : str
            Name of the service.
        """
        self._routable.pop(service, None)
        self._ranks.clear()

    def invalidate_all(self):
        """Discard what is cached for all services."""
        self._routable.clear()
        self._ranks.clear()
