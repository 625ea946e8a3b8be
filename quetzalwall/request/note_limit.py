"""What an answer says of the rate that its endpoint takes."""

from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.cluster.advertised_limit import AdvertisedLimit
from quetzalwall.process.cluster.advertised_limit_log import log_limit_change

__all__ = ["note_limit"]

LOG = get_logger("endpoints")


def note_limit(state, facts, now):
    """Take over the limit that an endpoint names in an answer, or that it names none.

    Parameters
    ----------
    state : EndpointState
        The endpoint.
    facts : ResponseMetadata
        What the answer says.
    now : float
        Monotonic seconds.
    """
    if facts.malformed_limit and facts.malformed_limit != state.malformed_limit:
        log_event(
            LOG,
            "odd-limit",
            "warning",
            endpoint=state.name,
            value=facts.malformed_limit,
        )
    state.malformed_limit = facts.malformed_limit
    if state.advertised_limit is None:
        if facts.limit_per_s is None:
            return
        state.advertised_limit = AdvertisedLimit(now)
    before = state.advertised_limit.per_s
    state.advertised_limit.record_response(facts.limit_per_s, now)
    log_limit_change(state, before, "answer", now)
