"""Short codes that stand for endpoints in messages between instances."""

import xxhash

__all__ = ["endpoint_code"]


def endpoint_code(name):
    """Return a short code of an endpoint, for messages between instances.

    Parameters
    ----------
    name : str
        Identity.

    Returns
    -------
    int
    """
    return xxhash.xxh32_intdigest(name.encode())
