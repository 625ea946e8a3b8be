"""Order of instances in which each watches its predecessors."""

__all__ = ["ring_order", "successors"]


def ring_order(instances):
    """Return the instances so that neighbours differ in failure domain if possible.

    Parameters
    ----------
    instances : dict of str to dict
        Instance to settings with ``domain``.

    Returns
    -------
    list of str
        One instance of each failure domain in turn.

    Examples
    --------
    >>> spec = {"a": {"domain": "x"}, "b": {"domain": "x"}, "c": {"domain": "y"}}
    >>> ring_order(spec)
    ['a', 'c', 'b']
    """
    by_domain = {}
    for name in sorted(instances):
        by_domain.setdefault(instances[name]["domain"], []).append(name)
    order = []
    turn = 0
    while len(order) < len(instances):
        for domain in sorted(by_domain):
            if turn < len(by_domain[domain]):
                order.append(by_domain[domain][turn])
        turn += 1
    return order


def successors(order, name, count, accept=None):
    """Return the next instances after one in the ring.

    Parameters
    ----------
    order : list of str
        From `ring_order`.
    name : str
        The instance.
    count : int
        Instances at most.
    accept : callable, default=None
        Takes an instance and returns whether it counts; all do if None.

    Returns
    -------
    list of str
        Empty if ``name`` is not in the ring.

    Examples
    --------
    >>> successors(["a", "b", "c"], "b", 2)
    ['c', 'a']
    """
    if name not in order:
        return []
    place = order.index(name)
    found = []
    for step in range(1, len(order)):
        other = order[(place + step) % len(order)]
        if accept is None or accept(other):
            found.append(other)
            if len(found) == count:
                break
    return found
