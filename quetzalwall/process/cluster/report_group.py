"""Those that an instance sends its reports to, and how often."""

import math
from collections import deque

__all__ = ["NAMED_S", "PERIOD_S", "UNRESPONSIVE_AFTER_S", "ReportGroup"]

PERIOD_S = 0.1
UNRESPONSIVE_AFTER_S = 1.5
SILENT_PERIODS = 6
NAMED_S = 5.5  # without a report, callers are sent elsewhere; it may run all the same
MOST_HELD = 200  # objects named in one report


class ReportGroup:
    """The peers of the own region, or all others, and what they were told last.

    Parameters
    ----------
    near : bool
        Whether they are those of the own region.
    most_per_s : float
        Datagrams to all of them in a second; more peers hear less often.

    Attributes
    ----------
    peers : int
        How many they are.
    """

    def __init__(self, near, most_per_s):
        self.near = near
        self.peers = 0
        self.told = -math.inf
        self.held = deque(maxlen=MOST_HELD)
        self._most_per_s = most_per_s

    def period_s(self):
        """Return the seconds between two reports to the same peer.

        Returns
        -------
        float
        """
        return max(PERIOD_S, self.peers / self._most_per_s)

    def silent_s(self):
        """Return the seconds without a report after which a peer counts as silent.

        Returns
        -------
        float
        """
        return max(UNRESPONSIVE_AFTER_S, SILENT_PERIODS * self.period_s())
