"""Short codes of endpoints for the reports between instances."""

import xxhash

__all__ = ["endpoint_code"]


def endpoint_code(name):
    """Return the short code of an endpoint; instances are ordered by it as well.

    Parameters
    ----------
    name : str
        Identity of the endpoint, or name of an instance.

    Returns
    -------
    int
    """
    return xxhash.xxh32_intdigest(name.encode())
