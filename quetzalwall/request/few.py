"""Which endpoints of a large service are weighed for one request."""

__all__ = ["MOST_WEIGHED", "few_of"]

MOST_WEIGHED = 256  # up to which all are: about 0.7 ms of processor time
FEW_NEAR = 96  # the best of so many is among the best two in a hundred, nearly always
FEW_FAR = 32


def few_of(states, first, region, rng):
    """Return the endpoints to weigh: all of them, or some if they are many.

    Weighing all costs each request in proportion to the deployment. Drawing some at
    random loses little, and has instances that know the same choose differently.

    Parameters
    ----------
    states : sequence of EndpointState
        Endpoints of the service.
    first : sequence of EndpointState
        Those that should hold the object, weighed in any case.
    region : str
        Region whose endpoints are preferred.
    rng : random.Random
        Draws the others.

    Returns
    -------
    sequence of EndpointState
    """
    if len(states) <= MOST_WEIGHED:
        return states
    near, far = [], []
    for state in states:
        (near if state.region == region else far).append(state)
    # What one side lacks, the other makes up for.
    most = FEW_NEAR + FEW_FAR
    take_far = min(len(far), max(FEW_FAR, most - len(near)))
    take_near = min(len(near), most - take_far)
    drawn = rng.sample(near, take_near) + rng.sample(far, take_far)
    return list({state.name: state for state in [*first, *drawn]}.values())
