"""Endpoint starts that have stated in a response that they are draining.

A statement applies to one start of an endpoint at one address. It is kept by a code of
that start, so that it survives the removal and return of the entry, can be known before
the entry is, and never applies to a later start.
"""

import math
from collections import OrderedDict

import xxhash

from quetzalwall.process.cluster.endpoint_log import log_leaving_stated

__all__ = ["DrainingSignals", "incarnation_code"]

MAX_SIGNALS = 2000  # the oldest are discarded
UNKNOWN_INCARNATION = 0  # an entry without the moment of its start


def incarnation_code(entry):
    """Return a code of one start of an endpoint at one address.

    Parameters
    ----------
    entry : EndpointEntry
        Its entry.

    Returns
    -------
    int
        64 bits, the same on every instance.
    """
    text = f"{entry.name}\n{entry.host}:{entry.port}\n{entry.incarnation}"
    return xxhash.xxh64_intdigest(text.encode())


class DrainingSignals:
    """Applies the statements of endpoints to their states, and remembers them.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints.
    invalidate_routable : callable
        Takes the name of a service whose usable endpoints have changed.
    monotonic : callable
        Clock in seconds.
    """

    def __init__(self, endpoints, invalidate_routable, monotonic):
        self._endpoints = endpoints
        self._invalidate_routable = invalidate_routable
        self._monotonic = monotonic
        self._stated_at = OrderedDict()
        self._ended_at = OrderedDict()

    def record(self, code, at, source):
        """Stop using one start of an endpoint, which has stated that it is draining.

        Parameters
        ----------
        code : int
            From `incarnation_code`; of an endpoint that need not be known yet.
        at : float
            Monotonic seconds of the statement.
        source : str
            As of `log_leaving_stated`.
        """
        if code in self._stated_at or at <= self._ended_at.get(code, -math.inf):
            return
        _put_bounded(self._stated_at, code, at)
        for state in self._endpoints:
            if incarnation_code(state.entry) == code:
                self._apply(state, at, source)

    def attach(self, state):
        """Begin to follow the statements of a newly registered endpoint.

        Parameters
        ----------
        state : EndpointState
            Its state; taken out of use if this start is known to be draining.
        """
        state.on_draining = self._on_draining
        stated_at = self._stated_at.get(incarnation_code(state.entry))
        if stated_at is not None:
            self._apply(state, stated_at, "known")

    def record_entry(self, entry, source):
        """Keep out of use an endpoint whose entry says that it is draining.

        Parameters
        ----------
        entry : EndpointEntry
            The entry, which an older one may replace.
        source : str
            As of `log_leaving_stated`.
        """
        self.record(incarnation_code(entry), self._monotonic(), source)

    def end_removed(self, entry):
        """Forget a removed endpoint whose next start could not be told from this one.

        One that was draining stays known, since a restored store may show it as ready.

        Parameters
        ----------
        entry : EndpointEntry
            The entry that was removed.
        """
        code = incarnation_code(entry)
        if entry.incarnation != UNKNOWN_INCARNATION:
            if entry.draining:
                _put_bounded(self._stated_at, code, self._monotonic())
            return
        if self._stated_at.pop(code, None) is not None:
            # Peers that still have the entry go on reporting the statement.
            _put_bounded(self._ended_at, code, self._monotonic())

    def _on_draining(self, state):
        if state.draining_since is None:
            self.record(incarnation_code(state.entry), self._monotonic(), "answer")

    def _apply(self, state, at, source):
        now = self._monotonic()
        state.draining_since, state.draining_known_at = at, now
        self._invalidate_routable(state.entry.service)
        log_leaving_stated(state.entry, source, now - at)


def _put_bounded(moments, code, at):
    moments[code] = at
    if len(moments) > MAX_SIGNALS:
        moments.popitem(last=False)
