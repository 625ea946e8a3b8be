"""Groups of peers that get the same reports, and how often each group gets them."""

import math
from collections import deque

from quetzalwall.process.limits.changed_figures import ChangedFigures

__all__ = [
    "LOOKUP_TIMEOUT_S",
    "MAX_NEWS_WAIT_S",
    "MIN_REPORT_PERIOD_S",
    "UNRESPONSIVE_AFTER_S",
    "ReportGroup",
]

MIN_REPORT_PERIOD_S = 0.1
# Peers of other regions act on each other's endpoints a round trip of some 70 ms late
# in any case.
MIN_REMOTE_REPORT_PERIOD_S = 0.25
# Between two reports that are sent early because an account has news.
MAX_NEWS_WAIT_S = 0.3
PROBE_INTERVAL_S = 1.0  # between reports to an unresponsive peer
IDENTITY_PERIOD_S = 1.0  # between two reports that name their sender
MIN_IDENTITY_REPORTS = 4  # one in so many names its sender, where reports are rare
# For so long, and for so many reports, the group of a new peer is told the sender.
NEW_PEER_S = 1.0
NEW_PEER_REPORTS = 2
UNRESPONSIVE_AFTER_S = 1.5  # without a report, where peers report often
UNRESPONSIVE_PERIODS = 6  # periods without a report, where that is longer
# Look-ups leave out an instance without a report for so long; it may still be running.
LOOKUP_TIMEOUT_S = 5.5
MAX_CACHED_PER_REPORT = 200  # objects


class ReportGroup:
    """The peers of the own region, or those of all other regions.

    Parameters
    ----------
    same_region : bool
        Whether they are those of the own region.
    max_datagrams_per_s : float
        Datagrams a second to the whole group; in a larger group each peer gets fewer.

    Attributes
    ----------
    peers : int
        Number of peers in the group.
    last_sent_at : float
        Monotonic seconds of the last report to the group.
    new_peer_until : float
        Monotonic seconds until which a peer in the group counts as new.
    cached : deque of (int, int)
        Code of an endpoint and hash of an object's key, to announce in the next report.
    accounts : ChangedFigures
        Figures of client accounts that were sent to the group.
    """

    def __init__(self, same_region, max_datagrams_per_s):
        self.same_region = same_region
        self.peers = 0
        self.last_sent_at = -math.inf
        self._news_sent_at = -math.inf
        self.new_peer_until = -math.inf
        self._identified_at = -math.inf
        self.cached = deque(maxlen=MAX_CACHED_PER_REPORT)
        self.accounts = ChangedFigures()
        self._max_datagrams_per_s = max_datagrams_per_s

    def period_s(self):
        """Return the seconds between two reports to the same peer.

        Returns
        -------
        float
        """
        shortest_s = MIN_REMOTE_REPORT_PERIOD_S
        if self.same_region:
            shortest_s = MIN_REPORT_PERIOD_S
        return max(shortest_s, self.peers / self._max_datagrams_per_s)

    def is_due(self, now, has_news):
        """Return whether a report is to be sent now.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        has_news : bool
            Whether the demand of an account has changed, which can't wait.

        Returns
        -------
        bool
        """
        if has_news and now - self._news_sent_at >= MAX_NEWS_WAIT_S:
            self._news_sent_at = now
            return True
        return now - self.last_sent_at > self.period_s() - MIN_REPORT_PERIOD_S / 2

    def record_sent(self, now, phase):
        """Record that the report of this moment is sent.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        phase : float
            From 0 to 1. Instances that start together report at different moments, so
            that a failure domain without reports is noticed soon.
        """
        first = self.last_sent_at == -math.inf
        self.last_sent_at = now - phase * self.period_s() if first else now
        self.cached.clear()

    def record_new_peer(self, now):
        """Record that a peer has appeared that may not know the sender of reports.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self.new_peer_until = now + max(NEW_PEER_S, NEW_PEER_REPORTS * self.period_s())

    def names_sender(self, now):
        """Return whether the report that is sent now names its sender.

        The names and the address of the sender are most of a small report, so only some
        reports contain them: those to new peers, and one each `IDENTITY_PERIOD_S`, but
        at most one in `MIN_IDENTITY_REPORTS`.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        interval_s = max(IDENTITY_PERIOD_S, MIN_IDENTITY_REPORTS * self.period_s())
        # Half a tick less, since reports are sent at the ticks of a timer.
        interval_s -= MIN_REPORT_PERIOD_S / 2
        if now > self.new_peer_until and now < self._identified_at + interval_s:
            return False
        self._identified_at = now
        return True

    def recipients(self, peers, now):
        """Return the peers that get the report that is sent now, and record that.

        Parameters
        ----------
        peers : iterable of Peer
            The peers in the group.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of PeerInfo
        """
        recipients = []
        for peer in peers:
            if peer.unresponsive:
                if now - peer.last_sent_at < PROBE_INTERVAL_S:
                    continue
                self.new_peer_until = max(self.new_peer_until, now)
            peer.last_sent_at = now
            recipients.append(peer.info)
        return recipients

    def timeout_s(self):
        """Return the seconds without a report after which a peer is unresponsive.

        Returns
        -------
        float
        """
        return max(UNRESPONSIVE_AFTER_S, UNRESPONSIVE_PERIODS * self.period_s())
