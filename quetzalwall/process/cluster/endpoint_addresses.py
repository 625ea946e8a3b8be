"""Which of the endpoints registered at one address may be at it."""

__all__ = ["EndpointAddresses"]


class EndpointAddresses:
    """The registered endpoints by address, in the order of their registration.

    An endpoint is superseded by one that was registered later at its address, unless
    that started earlier. Those that are not registered any more, that respond that they
    are not at the address, or whose service the configuration does not name supersede
    none.

    Parameters
    ----------
    on_change : callable
        Called with each endpoint that has become usable or unusable at its address.

    Attributes
    ----------
    services : collection of str or None
        Services that the configuration names; None while there is none.
    """

    def __init__(self, on_change):
        self.services = None
        self._on_change = on_change
        self._states = {}

    def add(self, state):
        """Add an endpoint.

        Parameters
        ----------
        state : EndpointState
            The endpoint.
        """
        self._states.setdefault(_address(state), {})[state.name] = state
        self.refresh(state)

    def remove(self, state):
        """Remove an endpoint; others at its address may be used again.

        Parameters
        ----------
        state : EndpointState
            The endpoint.
        """
        states = self._states[_address(state)]
        states.pop(state.name, None)
        if not states:
            del self._states[_address(state)]
        for other in states.values():
            if other.wrong_address:
                other.wrong_address = False
                self._on_change(other)
        self._refresh(states)

    def refresh(self, state):
        """Determine again which endpoints at the address of one are superseded.

        Parameters
        ----------
        state : EndpointState
            The endpoint.
        """
        self._refresh(self._states.get(_address(state), {}))

    def record_wrong_address(self, state):
        """Record that an endpoint responded that another one is at its address.

        Parameters
        ----------
        state : EndpointState
            The endpoint.
        """
        state.wrong_address = True
        self._on_change(state)
        self.refresh(state)

    def set_services(self, services):
        """Replace the services that the configuration names.

        Parameters
        ----------
        services : collection of str
            Their names.
        """
        self.services = services
        for states in self._states.values():
            self._refresh(states)

    def _refresh(self, states):
        newest = None  # incarnation among those registered later
        for state in reversed(states.values()):
            incarnation = state.entry.incarnation
            superseded = newest is not None and newest >= incarnation
            if state.superseded != superseded:
                state.superseded = superseded
                self._on_change(state)
            if self._holds_address(state):
                newest = incarnation if newest is None else max(newest, incarnation)

    def _holds_address(self, state):
        is_named = self.services is None or state.entry.service in self.services
        return is_named and state.registered and not state.wrong_address


def _address(state):
    return state.entry.host, state.entry.port
