"""An order of instances that is the same on all of them."""

from bisect import insort

from quetzalwall.process.cluster.endpoint_code import endpoint_code

__all__ = ["PeerOrder"]


class PeerOrder:
    """The names of peers in the order of their hashes."""

    def __init__(self):
        self._codes = []

    def add(self, name):
        """Add a peer.

        Parameters
        ----------
        name : str
            Its name.
        """
        insort(self._codes, (endpoint_code(name), name))

    def preceding(self, name):
        """Yield the names of the peers that precede an instance.

        Parameters
        ----------
        name : str
            Name of the instance.

        Yields
        ------
        str
        """
        own_code = endpoint_code(name)
        for code, other in self._codes:
            if code >= own_code:
                return
            yield other
