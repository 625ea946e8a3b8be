"""Which endpoints of a service should cache an object, by rendezvous hashing."""

from collections import OrderedDict
from heapq import nsmallest

import xxhash

__all__ = ["ENDPOINTS_PER_OBJECT", "ObjectRanks"]

ENDPOINTS_PER_OBJECT = 3  # that should cache an object which none has cached yet
MAX_CACHED_RANKS = 4096  # bounded, since callers choose the object keys


class ObjectRanks:
    """The preferred endpoints of objects, computed once for each set of endpoints."""

    def __init__(self):
        self._ranks = OrderedDict()

    def get(self, service, object_key):
        """Return the ranks of an object, or None if they have to be computed.

        Parameters
        ----------
        service : str
            Name of the service.
        object_key : int
            Hash of the object's key.

        Returns
        -------
        dict of str to int or None
            Rank by identity of the endpoint.
        """
        ranks = self._ranks.get((service, object_key))
        if ranks is not None:
            self._ranks.move_to_end((service, object_key))
        return ranks

    def add(self, service, object_key, *groups):
        """Compute the ranks of an object.

        Parameters
        ----------
        service : str
            Name of the service.
        object_key : int
            Hash of the object's key.
        *groups : iterable of str
            Identities of the service's endpoints; each group has ranks of its own.

        Returns
        -------
        dict of str to int
            Rank by identity of the endpoint.
        """
        ranks = {}
        for names in groups:
            first = nsmallest(
                ENDPOINTS_PER_OBJECT, names, key=lambda name: _weight(object_key, name)
            )
            ranks |= {name: rank for rank, name in enumerate(first)}
        self._ranks[service, object_key] = ranks
        if len(self._ranks) > MAX_CACHED_RANKS:
            self._ranks.popitem(last=False)
        return ranks

    def clear(self):
        """Forget all ranks, as the endpoints have changed."""
        if self._ranks:
            self._ranks.clear()


def _weight(object_key, name):
    return xxhash.xxh64_intdigest(f"{object_key}/{name}".encode())
