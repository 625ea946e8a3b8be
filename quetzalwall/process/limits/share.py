"""Divide a limit over instances without communication between them."""

import xxhash

__all__ = ["even_share", "rate_share", "rendezvous_order"]

# Divided evenly when a rate is divided by demand, so that instances that have had no
# demand so far can begin to send.
EVEN_FRACTION = 0.2


def even_share(limit, key, own, names):
    """Return this instance's share of a limit that is divided evenly.

    Parameters
    ----------
    limit : int
        Limit that holds over all instances together.
    key : str
        What is limited. It decides which instances get one more than the others if
        the limit is not divisible by the number of instances.
    own : str
        Name of this instance.
    names : sequence of str
        Names of all instances, including ``own``.

    Returns
    -------
    int
        The shares of all instances add up to the limit if they use the same names.

    Examples
    --------
    >>> sum(even_share(20, "move", name, "abcdefg") for name in "abcdefg")
    20
    """
    share, remainder = divmod(max(0, int(limit)), len(names))
    if not remainder:
        return share
    return share + (own in rendezvous_order(key, names)[:remainder])


def rate_share(requests, own, order, demand=None):
    """Return this instance's share of a number of requests, divided by demand.

    Parameters
    ----------
    requests : int
        Requests that all instances together may send.
    own : str
        Name of this instance.
    order : sequence of str
        Names of all instances, including ``own``. What is left after rounding the
        shares down goes to the first of them, one request each; instances with demand
        come before those without.
    demand : dict of str to int, default=None
        Number of requests that each instance would send without a limit; names that
        are not in ``order`` are ignored. If it is None or nobody has demand, the
        requests are divided evenly.

    Returns
    -------
    int
        The shares of all instances add up to ``requests`` if they use the same order
        and demand.

    Examples
    --------
    >>> [rate_share(10, name, "abc") for name in "abc"]
    [4, 3, 3]
    >>> [rate_share(10, name, "abc", {"b": 30}) for name in "abc"]
    [1, 9, 0]
    """
    demand = {name: demand[name] for name in order if demand and demand.get(name)}
    total_demand = sum(demand.values())
    if not total_demand:
        share, remainder = divmod(requests, len(order))
        return share + (remainder > 0 and own in order[:remainder])
    minimum = EVEN_FRACTION * requests / len(order)
    shares = {
        name: int(minimum + (1 - EVEN_FRACTION) * requests * count / total_demand)
        for name, count in demand.items()
    }
    remainder = (
        requests - sum(shares.values()) - int(minimum) * (len(order) - len(shares))
    )
    remainder_order = [*shares, *(name for name in order if name not in shares)]
    return shares.get(own, int(minimum)) + (
        remainder > 0 and own in remainder_order[:remainder]
    )


def rendezvous_order(key, names):
    """Return instances in a pseudo-random order that depends on the key.

    Every instance computes the same order (rendezvous hashing).

    Parameters
    ----------
    key : str
        What is divided between the instances.
    names : sequence of str
        Names of the instances.

    Returns
    -------
    list of str
    """
    return sorted(
        names, key=lambda name: xxhash.xxh64_intdigest(f"{key}/{name}".encode())
    )
