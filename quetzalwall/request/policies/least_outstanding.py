"""Choose the endpoint with the fewest open requests of this instance."""

__all__ = ["least_outstanding"]


def least_outstanding(candidates, loads, now, rng):
    """Return the candidate with the fewest open requests, at random among equals.

    Parameters
    ----------
    candidates : sequence of str
        Endpoints to choose from.
    loads : dict of str to EndpointLoad
        Observations.
    now : float
        Not used.
    rng : random.Random
        Source of randomness.

    Returns
    -------
    str
    """
    return min(candidates, key=lambda name: (len(loads[name]["open"]), rng.random()))
