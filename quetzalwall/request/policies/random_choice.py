"""Choose any endpoint with equal probability."""

__all__ = ["random_choice"]


def random_choice(candidates, loads, now, rng):
    """Return a candidate at random.

    Parameters
    ----------
    candidates : sequence of str
        Endpoints to choose from.
    loads : dict of str to EndpointLoad
        Not used.
    now : float
        Not used.
    rng : random.Random
        Source of randomness.

    Returns
    -------
    str
    """
    return rng.choice(list(candidates))
