"""Statistics of endpoints that instances exchange: load, slowness, cache, limits."""

from operator import itemgetter

from quetzalwall.process.cluster.advertised_limit import ENDED, AdvertisedLimit
from quetzalwall.process.cluster.advertised_limit_log import log_limit_change
from quetzalwall.process.cluster.draining_signals import incarnation_code
from quetzalwall.process.cluster.endpoint_state import OVERLOAD_AVOID_S

__all__ = ["EndpointStats"]

MAX_LIMITS_PER_REPORT = 100  # the others follow in the next reports
MAX_DRAINING_PER_REPORT = 100  # the latest; more in each report could exceed a datagram
# For which each report repeats a new statement of an endpoint, as reports may be lost;
# afterwards only those that name their sender contain it.
DRAINING_REPEAT_S = 1.0


class EndpointStats:
    """Applies the figures that other instances report and collects the own ones.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints.
    """

    def __init__(self, endpoints):
        self._endpoints = endpoints
        self._next_limit_index = 0

    def apply_report(self, peer, report, now):
        """Apply the figures in a report.

        Parameters
        ----------
        peer : Peer
            Its sender.
        report : PeerReport
            The report.
        now : float
            Monotonic seconds.
        """
        self.set_peer_in_flight(peer, dict(report.in_flight))
        by_code = self._endpoints.by_code
        for code, hundredths, age_ms in report.slowness:
            state = by_code(code)
            if state is not None:
                state.record_slowness(hundredths / 100, now - age_ms / 1000)
        for code, object_key in report.cached:
            state = by_code(code)
            if state is not None:
                state.record_cached(object_key)
        for code, *figures in report.advertised_limits:
            state = by_code(code)
            if state is not None:
                _apply_limit(state, peer.info.name, figures, now)
        for code, age_ms in report.overloaded:
            state = by_code(code)
            if state is not None:
                state.record_overload(now - max(0, age_ms) / 1000)
        for code, age_ms in report.draining:
            at = now - max(0, age_ms) / 1000
            self._endpoints.draining_signals.record(code, at, peer.info.name)

    def set_peer_in_flight(self, peer, in_flight):
        """Replace the numbers of a peer's requests in flight.

        Parameters
        ----------
        peer : Peer
            The peer.
        in_flight : dict of int to int
            Requests in flight, by code of the endpoint.
        """
        for code, count in peer.in_flight.items():
            state = self._endpoints.by_code(code)
            if state is not None:
                state.peer_in_flight = max(0, state.peer_in_flight - count)
        peer.in_flight = {}
        for code, count in in_flight.items():
            state = self._endpoints.by_code(code)
            if state is not None:
                state.peer_in_flight += count
                peer.in_flight[code] = count

    def collect(self, since, now, complete):
        """Return the own figures for the next report.

        Parameters
        ----------
        since : float
            Monotonic seconds of the last report to the same peers.
        now : float
            Monotonic seconds.
        complete : bool
            Whether to include all endpoints that have stated that they are draining,
            not only those of which this instance has learned lately.

        Returns
        -------
        dict of str to list
            By the names of the fields of `PeerReport`.
        """
        in_flight, slowness, limits, draining = [], [], [], []
        overloaded = []
        for code, state in self._endpoints.codes():
            if state.own_in_flight:
                in_flight.append((code, state.own_in_flight))
            own = state.reported_slowness.own_since(since)
            if own is not None:
                slowness.append((code, int(own[0] * 100), int((now - own[1]) * 1000)))
            if state.advertised_limit is not None:
                if state.advertised_limit.is_removable(now):
                    state.advertised_limit = None
                else:
                    limits.append((code, *state.advertised_limit.own_report(now)))
            paused_s = now - state.pause_stated_at
            if paused_s < OVERLOAD_AVOID_S:
                overloaded.append((code, int(paused_s * 1000)))
            known_s = now - state.draining_known_at
            if state.draining_since is not None and (
                complete or known_s < DRAINING_REPEAT_S
            ):
                age_ms = int((now - state.draining_since) * 1000)
                draining.append((incarnation_code(state.entry), age_ms))
        draining.sort(key=itemgetter(1))
        return {
            "in_flight": in_flight,
            "slowness": slowness,
            "advertised_limits": self._select_limits(limits),
            "draining": draining[:MAX_DRAINING_PER_REPORT],
            "overloaded": overloaded[:MAX_DRAINING_PER_REPORT],
        }

    def _select_limits(self, limits):
        """Return the limits for one report, in turn if they are too many for it."""
        if len(limits) <= MAX_LIMITS_PER_REPORT:
            return limits
        first = self._next_limit_index % len(limits)
        self._next_limit_index = first + MAX_LIMITS_PER_REPORT
        return (limits[first:] + limits[:first])[:MAX_LIMITS_PER_REPORT]


def _apply_limit(state, instance, figures, now):
    if state.advertised_limit is None:
        thousandths, age_ms = figures[:2]
        if thousandths == ENDED or age_ms < 0:
            return
        state.advertised_limit = AdvertisedLimit(now)
    before = state.advertised_limit.per_s
    state.advertised_limit.receive_report(instance, figures, now)
    log_limit_change(state, before, instance, now)
