"""Which endpoints of a large service are candidates for one request."""

__all__ = ["SAMPLING_THRESHOLD", "sample_candidates"]

SAMPLING_THRESHOLD = 256  # endpoints; up to this number all are candidates
LOCAL_SAMPLE = 96  # endpoints of the preferred region
REMOTE_SAMPLE = 32  # endpoints of other regions
MAX_CACHED_OR_CONNECTED = 32  # endpoints with the object or a connection, in addition


def sample_candidates(states, preferred, region, object_key, rng):
    """Return the endpoints to compare: all of them, or a sample if they are many.

    The cost of comparing all for each request grows with the deployment. An endpoint is
    better than most if it has the object cached or a connection open, so the sample
    contains some of those. Drawing the others at random loses little, and makes
    instances with the same cluster state choose differently.

    Parameters
    ----------
    states : sequence of EndpointState
        Endpoints of the service.
    preferred : sequence of EndpointState
        Preferred endpoints of the object, which are always in the sample.
    region : str
        Region whose endpoints are preferred.
    object_key : int or None
        Hash of the object's key.
    rng : random.Random
        Draws the others.

    Returns
    -------
    sequence of EndpointState
    """
    if len(states) <= SAMPLING_THRESHOLD:
        return states
    local = [state for state in states if state.region == region]
    remote = [state for state in states if state.region != region]
    cached_or_connected = [
        s for s in states if object_key in s.recent_objects or s.client.idle
    ]
    # If one side has too few endpoints, the other side fills the sample.
    total = LOCAL_SAMPLE + REMOTE_SAMPLE
    remote_count = min(len(remote), max(REMOTE_SAMPLE, total - len(local)))
    local_count = min(len(local), total - remote_count)
    drawn = rng.sample(local, local_count) + rng.sample(remote, remote_count)
    drawn += rng.sample(
        cached_or_connected, min(len(cached_or_connected), MAX_CACHED_OR_CONNECTED)
    )
    return list(dict.fromkeys([*preferred, *drawn]))
