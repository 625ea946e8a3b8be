"""What instances tell one another of endpoints: open requests, slowness, limits."""

from quetzalwall.process.knowledge.named_limit import ENDED, NamedLimit
from quetzalwall.process.knowledge.named_limit_log import log_change

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
                state.note_slowness(hundredths / 100, now - age_ms / 1000)
        for code, object_key in report.held:
            state = by_code(code)
            if state is not None:
                state.note_held(object_key)
        for code, *figures in report.limited:
            state = by_code(code)
            if state is not None:
                _hear_limit(state, peer.card.name, figures, now)

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
                state.peer_open = max(0, state.peer_open - count)
        peer.open = {}
        for code, count in counts.items():
            state = self._endpoints.by_code(code)
            if state is not None:
                state.peer_open += count
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
            if state.own_open:
                opened.append((code, state.own_open))
            seen = state.own_slowness_since(told)
            if seen is not None:
                slow.append((code, int(seen[0] * 100), int((now - seen[1]) * 1000)))
            if state.named is not None:
                if state.named.forgettable(now):
                    state.named = None
                else:
                    limited.append((code, *state.named.told(now)))
        return opened, slow, self._some(limited)

    def _some(self, limited):
        if len(limited) <= MOST_LIMITED:
            return limited
        first = self._next_limited % len(limited)
        self._next_limited = first + MOST_LIMITED
        return (limited[first:] + limited[:first])[:MOST_LIMITED]


def _hear_limit(state, instance, figures, now):
    if state.named is None:
        thousandths, age_ms = figures[:2]
        if thousandths == ENDED or age_ms < 0:
            return
        state.named = NamedLimit(now)
    before = state.named.per_s
    state.named.hear(instance, figures, now)
    log_change(state, before, instance, now)
