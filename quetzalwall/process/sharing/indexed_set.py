"""Set with random sampling in constant time."""

__all__ = ["IndexedSet"]


class IndexedSet:
    """Set of hashable items that can be sampled without a scan.

    Examples
    --------
    >>> items = IndexedSet()
    >>> items.add("a"); items.add("b"); items.discard("a")
    >>> list(items)
    ['b']
    """

    def __init__(self):
        self._items = []
        self._places = {}

    def __len__(self):
        return len(self._items)

    def __contains__(self, item):
        return item in self._places

    def __iter__(self):
        return iter(self._items)

    def add(self, item):
        """Add an item.

        Parameters
        ----------
        item : hashable
            The item.
        """
        if item not in self._places:
            self._places[item] = len(self._items)
            self._items.append(item)

    def discard(self, item):
        """Remove an item if present.

        Parameters
        ----------
        item : hashable
            The item.
        """
        place = self._places.pop(item, None)
        if place is None:
            return
        last = self._items.pop()
        if last != item:
            self._items[place] = last
            self._places[last] = place

    def sample(self, count, rng):
        """Return up to ``count`` different items, or all if there are no more.

        Parameters
        ----------
        count : int
            Number of items.
        rng : random.Random
            Source of randomness.

        Returns
        -------
        list
        """
        if len(self._items) <= count:
            return list(self._items)
        return rng.sample(self._items, count)
