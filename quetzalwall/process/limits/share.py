"""Divide a limit over instances without a message between them."""

import xxhash

__all__ = ["rate_share", "rendezvous_order", "even_share"]

EVEN_PART = 0.2  # of what is divided by demand, for those who had none until now


def even_share(limit, key, own, names):
    """Return this instance's part of a limit that holds over all instances.

    Parameters
    ----------
    limit : int
        Most that all instances may use together.
    key : str
        What is limited; decides who gets what remains after even parts.
    own : str
        Name of this instance.
    names : sequence of str
        Names of all instances, this one included.

    Returns
    -------
    int
        The parts of all instances that know the same names add up to the limit.

    Examples
    --------
    >>> sum(even_share(20, "move", name, "abcdefg") for name in "abcdefg")
    20
    """
    part, rest = divmod(max(0, int(limit)), len(names))
    if not rest:
        return part
    return part + (own in rendezvous_order(key, names)[:rest])


def rate_share(whole, own, order, wanted=None):
    """Return this instance's part of a number of requests.

    Parameters
    ----------
    whole : int
        Requests that all instances may send together.
    own : str
        Name of this instance.
    order : sequence of str
        Names of all instances, this one included; those that come first get what
        remains after whole parts.
    wanted : dict of str to int, default=None
        Requests that each instance would send; those that are not in ``order`` get
        nothing. None, or nobody's, divides evenly.

    Returns
    -------
    int
        The parts of all instances that know the same add up to the whole.

    Examples
    --------
    >>> [rate_share(10, name, "abc") for name in "abc"]
    [4, 3, 3]
    >>> [rate_share(10, name, "abc", {"b": 30}) for name in "abc"]
    [1, 9, 0]
    """
    wanted = {name: wanted[name] for name in order if wanted and wanted.get(name)}
    total = sum(wanted.values())
    if not total:
        part, rest = divmod(whole, len(order))
        return part + (rest > 0 and own in order[:rest])
    even = EVEN_PART * whole / len(order)
    parts = {
        name: int(even + (1 - EVEN_PART) * whole * count / total)
        for name, count in wanted.items()
    }
    rest = whole - sum(parts.values()) - int(even) * (len(order) - len(parts))
    first = [*parts, *(name for name in order if name not in parts)]
    return parts.get(own, int(even)) + (rest > 0 and own in first[:rest])


def rendezvous_order(key, names):
    """Return instances in an order that differs from key to key.

    Parameters
    ----------
    key : str
        What is divided.
    names : sequence of str
        Names of the instances.

    Returns
    -------
    list of str
    """
    return sorted(
        names, key=lambda name: xxhash.xxh64_intdigest(f"{key}/{name}".encode())
    )
