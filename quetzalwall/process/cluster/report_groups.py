"""The two report groups of an instance, and the times that follow from both."""

from quetzalwall.process.cluster.report_group import MIN_REPORT_PERIOD_S, ReportGroup

__all__ = [
    "LOCAL_DATAGRAMS_PER_S",
    "READ_DELAY_FRACTION",
    "REMOTE_DATAGRAMS_PER_S",
    "ReportGroups",
]

# Datagrams of one instance to its region; with more peers each gets fewer.
LOCAL_DATAGRAMS_PER_S = 60.0
REMOTE_DATAGRAMS_PER_S = 40.0  # to all other regions
READ_DELAY_FRACTION = 0.1  # of a peer's report period, for which a datagram may wait
MIN_READ_DELAY_S = 0.03  # a shorter delay saves no wake-ups


class ReportGroups:
    """The group of the peers in the own region, and that of all others.

    Parameters
    ----------
    own_region : str
        Region of this instance.
    """

    def __init__(self, own_region):
        self._own_region = own_region
        self._local = ReportGroup(True, LOCAL_DATAGRAMS_PER_S)
        self._remote = ReportGroup(False, REMOTE_DATAGRAMS_PER_S)

    def __iter__(self):
        return iter((self._local, self._remote))

    def of_region(self, region):
        """Return the group of the peers in a region.

        Parameters
        ----------
        region : str
            The region.

        Returns
        -------
        ReportGroup
        """
        return self._local if region == self._own_region else self._remote

    def period_s(self):
        """Return the report period of the peers that report most often.

        Returns
        -------
        float
            Seconds; 0 if there are no peers.
        """
        return min((group.period_s() for group in self if group.peers), default=0.0)

    def read_delay_s(self):
        """Return for how long a received datagram may wait until it is read.

        Returns
        -------
        float
            Seconds; 0 if each is read at once.
        """
        delay_s = READ_DELAY_FRACTION * self.period_s()
        return min(MIN_REPORT_PERIOD_S, delay_s) if delay_s > MIN_READ_DELAY_S else 0
