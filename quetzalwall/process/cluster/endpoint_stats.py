"""What instances tell one another of endpoints: open requests, slowness, limits."""

from quetzalwall.process.cluster.advertised_limit import ENDED, AdvertisedLimit
from quetzalwall.process.cluster.advertised_limit_log import log_limit_change

__all__ = ["EndpointFigures"]

MOST_LIMITED = 100  # limits told in one report; the others follow in the next


class EndpointFigures:
    """Takes over the figures of other instances, and collects the own ones.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints.
    """

    def __init__(self, endpoints):
        self._endpoints = endpoints
        self._next_limited = 0

    def take(self, peer, report, now):
        """Take over a report.

        Parameters
        ----------
        peer : Peer
            Its sender.
        report : PeerReport
            The report.
        now : float
            Monotonic seconds.
        """
        self.set_open(peer, dict(report.open))
        by_code = self._endpoints.by_code
        for code, hundredths, age_ms in report.slow:
            state = by_code(code)
            if state is not None:
                state.record_slowness(hundredths / 100, now - age_ms / 1000)
        for code, object_key in report.held:
            state = by_code(code)
            if state is not None:
                state.record_cached(object_key)
        for code, *figures in report.limited:
            state = by_code(code)
            if state is not None:
                _hear_limit(state, peer.info.name, figures, now)

    def set_open(self, peer, counts):
        """Count a peer's open requests anew.

        Parameters
        ----------
        peer : Peer
            The peer.
        counts : dict of int to int
            Open requests by code of the endpoint.
        """
        for code, count in peer.open.items():
            state = self._endpoints.by_code(code)
            if state is not None:
                state.peer_in_flight = max(0, state.peer_in_flight - count)
        peer.open = {}
        for code, count in counts.items():
            state = self._endpoints.by_code(code)
            if state is not None:
                state.peer_in_flight += count
                peer.open[code] = count

    def own(self, told, now):
        """Return the own figures for a report.

        Parameters
        ----------
        told : float
            Monotonic seconds of the last report to the same peers.
        now : float
            Monotonic seconds.

        Returns
        -------
        (list, list, list)
            Open requests, slowness and limits, as `PeerReport` holds them.
        """
        opened, slow, limited = [], [], []
        for code, state in self._endpoints.codes():
            if state.own_in_flight:
                opened.append((code, state.own_in_flight))
            seen = state.own_slowness_since(told)
            if seen is not None:
                slow.append((code, int(seen[0] * 100), int((now - seen[1]) * 1000)))
            if state.advertised_limit is not None:
                if state.advertised_limit.forgettable(now):
                    state.advertised_limit = None
                else:
                    limited.append((code, *state.advertised_limit.own_report(now)))
        return opened, slow, self._some(limited)

    def _some(self, limited):
        if len(limited) <= MOST_LIMITED:
            return limited
        first = self._next_limited % len(limited)
        self._next_limited = first + MOST_LIMITED
        return (limited[first:] + limited[:first])[:MOST_LIMITED]


def _hear_limit(state, instance, figures, now):
    if state.advertised_limit is None:
        thousandths, age_ms = figures[:2]
        if thousandths == ENDED or age_ms < 0:
            return
        state.advertised_limit = AdvertisedLimit(now)
    before = state.advertised_limit.per_s
    state.advertised_limit.receive_report(instance, figures, now)
    log_limit_change(state, before, instance, now)
