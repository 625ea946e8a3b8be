"""The instances that share the limits, listed anew only when one comes or goes."""

import math

__all__ = ["FORGET_AFTER_S", "Members", "counts"]

FORGET_AFTER_S = 30.0  # silent instances count for a while: they may be cut off


def counts(peer, now):
    """Return whether an instance may run, and be sending requests to endpoints.

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
    return now - max(peer.heard, peer.introduced) < FORGET_AFTER_S


class Members:
    """Cards and names of the instances that may run, the own one first.

    Parameters
    ----------
    own : PeerInfo
        This instance.
    """

    def __init__(self, own):
        self._own = own
        self._cards = [own]
        self._names = {}
        self._until = -math.inf

    def clear(self):
        """Have them listed anew: one has come, come back or changed."""
        self._until = -math.inf

    def members(self, peers, now):
        """Return their cards.

        Parameters
        ----------
        peers : dict of str to Peer
            All other instances that are known.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of PeerInfo
            The same list, which must not be changed, until one comes or goes.
        """
        if now >= self._until:
            found = [peer for peer in peers.values() if counts(peer, now)]
            heard = [max(peer.heard, peer.introduced) for peer in found]
            self._until = min(heard, default=math.inf) + FORGET_AFTER_S
            members = [self._own, *(peer.info for peer in found)]
            if members != self._cards:
                self._cards, self._names = members, {}
        return self._cards

    def names(self, peers, region, now):
        """Return their names.

        Parameters
        ----------
        peers : dict of str to Peer
            All other instances that are known.
        region : str or None
            Region of the instances; all if None.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
            The same list, which must not be changed, until one comes or goes.
        """
        members = self.members(peers, now)
        names = self._names.get(region)
        if names is None:
            names = self._names[region] = [
                info.name for info in members if region is None or info.region == region
            ]
        return names
