"""Log lines about the limits that endpoints name."""

from quetzalwall.logs import get_logger, log_event

__all__ = ["log_limit_change"]

LINE_S = 1.0  # between two lines about changes of one endpoint's limit
LOG = get_logger("endpoints")


def log_limit_change(state, before, source, now):
    """Write that an endpoint's limit is new, another one, or ended.

    Parameters
    ----------
    state : EndpointState
        The endpoint, with its limit as it is now.
    before : float or None
        Requests a second until now.
    source : str
        ``"answer"``, or the instance that told.
    now : float
        Monotonic seconds.
    """
    named = state.advertised_limit
    if named.per_s == before:
        return
    if before is None:
        event = "limit-named"
    else:
        event = "limit-ended" if named.per_s is None else "limit-changed"
    if event == "limit-changed" and now - named.logged < LINE_S:
        return
    named.logged = now
    log_event(
        LOG,
        event,
        endpoint=state.name,
        service=state.entry.service,
        per_s="none" if named.per_s is None else named.per_s,
        before="none" if before is None else before,
        share=named.last_share,
        source=source,
    )
