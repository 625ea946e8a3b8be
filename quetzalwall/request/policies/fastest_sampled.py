"""Choose the endpoint expected to answer first."""

from quetzalwall.process.placing.loads import expected_s

__all__ = ["fastest_sampled"]

JITTER = 0.3  # spreads requests over endpoints that are about equally fast
OPEN_COST = 0.1  # each open request of ours makes an endpoint look this much slower


def fastest_sampled(candidates, loads, now, rng):
    """Return the candidate with the least expected duration.

    Parameters
    ----------
    candidates : sequence of str
        Endpoints with a free slot; a sample if there are many.
    loads : dict of str to EndpointLoad
        Observations.
    now : float
        Monotonic seconds.
    rng : random.Random
        Source of randomness.

    Returns
    -------
    str
    """

    def cost(endpoint):
        load = loads[endpoint]
        busy = 1.0 + OPEN_COST * len(load["open"])
        return expected_s(load, now) * busy * (1.0 + JITTER * rng.random())

    return min(candidates, key=cost)
