"""Record the request limit that an endpoint advertises in its responses."""

from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.cluster.advertised_limit import AdvertisedLimit
from quetzalwall.process.cluster.advertised_limit_log import log_limit_change

__all__ = ["record_limit_announcement"]

LOG = get_logger("endpoints")


def record_limit_announcement(state, metadata, now):
    """Record the limit that a response advertises, or that it advertises none.

    Parameters
    ----------
    state : EndpointState
        The endpoint.
    metadata : ResponseMetadata
        Metadata of the response.
    now : float
        Monotonic seconds.
    """
    if metadata.malformed_limit and metadata.malformed_limit != state.malformed_limit:
        log_event(
            LOG,
            "odd-limit",
            "warning",
            endpoint=state.name,
            value=metadata.malformed_limit,
        )
    state.malformed_limit = metadata.malformed_limit
    if state.advertised_limit is None:
        if metadata.limit_per_s is None:
            return
        state.advertised_limit = AdvertisedLimit(now)
    before = state.advertised_limit.per_s
    state.advertised_limit.record_response(metadata.limit_per_s, now)
    log_limit_change(state, before, "answer", now)
