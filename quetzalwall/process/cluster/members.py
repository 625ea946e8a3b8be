"""The instances that share the limits, cached until one joins or leaves."""

import math

__all__ = ["FORGET_AFTER_S", "Members", "is_member"]

FORGET_AFTER_S = 30.0  # an unresponsive instance may be partitioned and still at work


def is_member(peer, now):
    """Return whether an instance may be running and sending requests to endpoints.

    Parameters
    ----------
    peer : Peer
        The instance.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
    """
    return now - max(peer.last_seen, peer.added_at) < FORGET_AFTER_S


class Members:
    """Infos and names of the instances that may be running, the own one first.

    Parameters
    ----------
    own : PeerInfo
        This instance.
    """

    def __init__(self, own):
        self._own = own
        self._members = [own]
        self._names = {}
        self._valid_until = -math.inf

    def invalidate(self):
        """Discard the cached lists: an instance has joined, returned or changed."""
        self._valid_until = -math.inf

    def members(self, peers, now):
        """Return the infos of the members.

        Parameters
        ----------
        peers : dict of str to Peer
            All other known instances, by name.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of PeerInfo
            Must not be modified; the same list until an instance joins or leaves.
        """
        if now >= self._valid_until:
            current = [peer for peer in peers.values() if is_member(peer, now)]
            last_seen = [max(peer.last_seen, peer.added_at) for peer in current]
            self._valid_until = min(last_seen, default=math.inf) + FORGET_AFTER_S
            members = [self._own, *(peer.info for peer in current)]
            if members != self._members:
                self._members, self._names = members, {}
        return self._members

    def names(self, peers, region, now):
        """Return the names of the members.

        Parameters
        ----------
        peers : dict of str to Peer
            All other known instances, by name.
        region : str or None
            Region of the instances; all regions if None.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
            Must not be modified; the same list until an instance joins or leaves.
        """
        members = self.members(peers, now)
        names = self._names.get(region)
        if names is None:
            names = self._names[region] = [
                info.name for info in members if region is None or info.region == region
            ]
        return names
