"""Which endpoints of a large service are weighed for one request."""

__all__ = ["MOST_WEIGHED", "few_of"]

MOST_WEIGHED = 256  # up to which all are
FEW_NEAR = 96
FEW_FAR = 32
MOST_KNOWN = 32  # of the others that have served the object, or are connected


def few_of(states, first, region, object_key, rng):
    """Return the endpoints to weigh: all of them, or some if they are many.

    Weighing all costs each request in proportion to the deployment. What makes an
    endpoint better than most is the object or an open connection, so some of those
    that have one are weighed. Drawing the others at random loses little, and has
    instances that know the same choose differently.

    Parameters
    ----------
    states : sequence of EndpointState
        Endpoints of the service.
    first : sequence of EndpointState
        Those that should hold the object, weighed in any case.
    region : str
        Region whose endpoints are preferred.
    object_key : int or None
        Code of the object.
    rng : random.Random
        Draws the others.

    Returns
    -------
    sequence of EndpointState
    """
    if len(states) <= MOST_WEIGHED:
        return states
    near = [state for state in states if state.region == region]
    far = [state for state in states if state.region != region]
    known = [s for s in states if object_key in s.recent_objects or s.client.idle]
    # What one side lacks, the other makes up for.
    most = FEW_NEAR + FEW_FAR
    take_far = min(len(far), max(FEW_FAR, most - len(near)))
    take_near = min(len(near), most - take_far)
    drawn = rng.sample(near, take_near) + rng.sample(far, take_far)
    drawn += rng.sample(known, min(len(known), MOST_KNOWN))
    return list(dict.fromkeys([*first, *drawn]))
