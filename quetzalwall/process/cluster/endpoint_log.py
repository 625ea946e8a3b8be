"""Log lines about changes of registered endpoints."""

from quetzalwall.logs import get_logger, log_event

__all__ = [
    "log_endpoint_change",
    "log_leaving_stated",
    "log_odd_pause",
    "log_pause",
]

LOG = get_logger("endpoints")


def log_endpoint_change(event, entry):
    """Log a change of an endpoint's registration.

    Parameters
    ----------
    event : str
        Name of the event.
    entry : EndpointEntry
        Its entry.
    """
    log_event(
        LOG,
        event,
        endpoint=entry.name,
        service=entry.service,
        place=f"{entry.host}:{entry.port}",
        domain=entry.domain,
        cold_s=entry.cold_s,
        born=entry.incarnation,
    )


def log_leaving_stated(entry, source, age_s):
    """Log that an endpoint's own statement takes it out of use.

    Parameters
    ----------
    entry : EndpointEntry
        Its entry.
    source : str
        ``"answer"`` for a response to this instance, ``"known"`` if it was known
        before the entry, ``"copy"`` if its entry said so before the store was restored
        from an older copy, or the name of the instance that reported it.
    age_s : float
        Seconds since the statement.
    """
    log_event(
        LOG,
        "leaving-stated",
        endpoint=entry.name,
        service=entry.service,
        born=entry.incarnation,
        source=source,
        age_s=age_s,
    )


def log_pause(entry, seconds):
    """Log that an endpoint asks this instance for no requests.

    Parameters
    ----------
    entry : EndpointEntry
        Its entry.
    seconds : float
        For how long.
    """
    log_event(
        LOG,
        "paused",
        "warning",
        endpoint=entry.name,
        service=entry.service,
        for_s=seconds,
    )


def log_odd_pause(endpoint, value):
    """Log a time without requests that was bounded or can't be parsed.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    value : str
        The value.
    """
    log_event(LOG, "odd-pause", "warning", endpoint=endpoint, value=value)
