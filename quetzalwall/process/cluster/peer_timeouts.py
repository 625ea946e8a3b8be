"""Find the peers whose reports are overdue."""

import math

from quetzalwall.logs import get_logger, log_event

__all__ = ["PeerTimeouts"]

SELF_STALL_S = 1.0  # after a longer stall of this process, missing reports mean nothing
LOG = get_logger("fleet")


class PeerTimeouts:
    """Finds overdue peers, and checks none of them while none can be overdue.

    Parameters
    ----------
    report_groups : ReportGroups
        The groups of the peers, with their time-outs.

    Attributes
    ----------
    last_check_at : float or None
        Monotonic seconds of the last check; None before the first one.
    """

    def __init__(self, report_groups):
        self.last_check_at = None
        self._report_groups = report_groups
        self._next_timeout = -math.inf

    def reset(self):
        """Check all peers the next time: they or their time-outs have changed."""
        self._next_timeout = -math.inf

    def has_stalled(self, now):
        """Return whether this process was stalled since the last check.

        Parameters
        ----------
        now : float
            Monotonic seconds of this check, which is recorded.

        Returns
        -------
        bool
        """
        previous, self.last_check_at = self.last_check_at, now
        return previous is not None and now - previous > SELF_STALL_S

    def find_overdue(self, peers, now):
        """Return the responsive peers whose reports are overdue, and log them.

        Parameters
        ----------
        peers : iterable of Peer
            All known peers.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Peer
        """
        if now < self._next_timeout:
            return []
        timeouts_s = {group: group.timeout_s() for group in self._report_groups}
        self._next_timeout = math.inf
        overdue = []
        for peer in peers:
            if peer.unresponsive:
                continue
            timeout_s = timeouts_s[self._report_groups.of_region(peer.info.region)]
            if now - peer.last_seen <= timeout_s:
                self._next_timeout = min(self._next_timeout, peer.last_seen + timeout_s)
                continue
            overdue.append(peer)
            log_event(
                LOG,
                "silent",
                "warning",
                peer=peer.info.name,
                domain=peer.info.domain,
                silent_s=now - peer.last_seen,
            )
        return overdue
