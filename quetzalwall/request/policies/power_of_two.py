"""Choose the less busy of two endpoints picked at random."""

__all__ = ["power_of_two"]


def power_of_two(candidates, loads, now, rng):
    """Return the candidate with fewer open requests of two random ones.

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

    References
    ----------
    .. [1] M. Mitzenmacher, "The power of two choices in randomized load balancing",
       IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
    """
    pair = rng.sample(list(candidates), min(2, len(candidates)))
    return min(pair, key=lambda name: len(loads[name]["open"]))
