"""Log lines about the limits that endpoints advertise."""

from quetzalwall.logs import get_logger, log_event

__all__ = ["log_limit_change"]

MIN_LOG_INTERVAL_S = 1.0  # between lines about changes of the same endpoint's limit
LOG = get_logger("endpoints")


def log_limit_change(state, before, source, now):
    """Log that an endpoint's limit is new, has changed or has ended.

    Parameters
    ----------
    state : EndpointState
        The endpoint with its present limit.
    before : float or None
        Previous limit in requests a second; None if there was none.
    source : str
        ``"answer"`` for a response, or the name of the instance that reported it.
    now : float
        Monotonic seconds.
    """
    limit = state.advertised_limit
    if limit.per_s == before:
        return
    if before is None:
        event = "limit-named"
    else:
        event = "limit-ended" if limit.per_s is None else "limit-changed"
    if event == "limit-changed" and now - limit.last_logged < MIN_LOG_INTERVAL_S:
        return
    limit.last_logged = now
    log_event(
        LOG,
        event,
        endpoint=state.name,
        service=state.entry.service,
        per_s="none" if limit.per_s is None else limit.per_s,
        before="none" if before is None else before,
        share=limit.last_share,
        source=source,
    )
