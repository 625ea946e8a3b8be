"""Groups of peers that get the same reports, and how often each group gets them."""

import math
from collections import deque

__all__ = [
    "LOOKUP_TIMEOUT_S",
    "MIN_REPORT_PERIOD_S",
    "UNRESPONSIVE_AFTER_S",
    "ReportGroup",
]

MIN_REPORT_PERIOD_S = 0.1
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
    cached : deque of (int, int)
        Code of an endpoint and hash of an object's key, to announce in the next report.
    """

    def __init__(self, same_region, max_datagrams_per_s):
        self.same_region = same_region
        self.peers = 0
        self.last_sent_at = -math.inf
        self.cached = deque(maxlen=MAX_CACHED_PER_REPORT)
        self._max_datagrams_per_s = max_datagrams_per_s

    def period_s(self):
        """Return the seconds between two reports to the same peer.

        Returns
        -------
        float
        """
        return max(MIN_REPORT_PERIOD_S, self.peers / self._max_datagrams_per_s)

    def timeout_s(self):
        """Return the seconds without a report after which a peer is unresponsive.

        Returns
        -------
        float
        """
        return max(UNRESPONSIVE_AFTER_S, UNRESPONSIVE_PERIODS * self.period_s())
