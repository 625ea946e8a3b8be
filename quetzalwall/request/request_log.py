"""Log lines about one request."""

from quetzalwall.logs import get_logger, log_event

__all__ = [
    "log_abandoned",
    "log_choice",
    "log_dropped",
    "log_failure",
    "log_finish",
    "log_hedge_won",
    "log_no_route",
    "log_rejection",
    "log_unknown_key",
]

LOG = get_logger("request")


def log_abandoned(req):
    """Log that a request is not sent because its caller has disconnected.

    Parameters
    ----------
    req : Request
        The request.
    """
    log_event(
        LOG, "abandoned", "warning", req=req.metadata.request_id, route=req.route.name
    )


def log_no_route(metadata, host, path, version):
    """Log that a request matches no route.

    Parameters
    ----------
    metadata : RequestMetadata
        What the caller's headers say.
    host, path : str
        Requested host and path.
    version : int
        Version of the active configuration.
    """
    log_event(
        LOG,
        "no-route",
        "warning",
        req=metadata.request_id,
        host=host,
        path=path[:80],
        version=version,
    )


def log_unknown_key(metadata, route, version):
    """Log that a request has no key, or one that no account holds (any more).

    Parameters
    ----------
    metadata : RequestMetadata
        What the caller's headers say.
    route : Route
        Its route.
    version : int
        Version of the active configuration.
    """
    log_event(
        LOG,
        "unknown-key",
        "warning",
        req=metadata.request_id,
        route=route.name,
        account=metadata.account or "none",
        has_key=bool(metadata.credential),
        version=version,
    )


def log_choice(req, choice, attempt, now, shift):
    """Log which endpoint a request is sent to, and the figures behind the choice.

    Parameters
    ----------
    req : Request
        The request.
    choice : Choice
        The endpoint and the figures of the choice.
    attempt : int
        Number of the attempt; 1 for the first.
    now : float
        Monotonic seconds.
    shift : str
        Name of the shift that moves the request; empty if none does.
    """
    state = choice.state
    log_event(
        LOG,
        "routed",
        req=req.metadata.request_id,
        route=req.route.name,
        version=req.cfg.version,
        service=req.service,
        object="none" if req.object_key is None else req.object_key,
        endpoint=state.name,
        attempt=attempt,
        shift=shift or "none",
        rank=choice.rank,
        held=choice.cached,
        depth=choice.reuse_distance,
        own=state.own_in_flight,
        peers=state.peer_in_flight,
        slow=choice.slowness,
        cold=state.cold(now),
        expected_s=choice.expected_s,
        left_s=req.deadline - now,
        of=choice.candidate_count,
        limited=choice.skipped_at_limit,
    )


def log_rejection(metadata, route, reason, retry_after_s, **figures):
    """Log that a request is rejected before it is sent.

    Parameters
    ----------
    metadata : RequestMetadata
        What the caller's headers say.
    route : str
        Name of its route; empty if it is not known.
    reason : str
        Why it is rejected.
    retry_after_s : float
        Seconds after which the caller should try again.
    **figures
        Further figures of the decision.
    """
    if metadata.account:
        figures = {"account": metadata.account} | figures
    log_event(
        LOG,
        "refused",
        "warning",
        req=metadata.request_id,
        route=route or "none",
        reason=reason,
        retry_after_s=retry_after_s,
        **figures,
    )


def log_dropped(metadata):
    """Log that a request is not served as the response before it ends the connection.

    Parameters
    ----------
    metadata : RequestMetadata
        What the caller's headers say.
    """
    log_event(LOG, "dropped", "warning", req=metadata.request_id)


def log_failure(req, exc, endpoint):
    """Log that an attempt failed.

    Parameters
    ----------
    req : Request
        The request.
    exc : EndpointError
        Why it failed.
    endpoint : str
        Name of the endpoint.
    """
    log_event(
        LOG,
        "failed",
        "warning",
        req=req.metadata.request_id,
        route=req.route.name,
        endpoint=endpoint,
        kind=type(exc).__name__,
        step=exc.step,
        reason=exc.message,
    )


def log_finish(req, outcome, status, endpoint, took_s):
    """Log the result of a request.

    Parameters
    ----------
    req : Request
        The request.
    outcome : str
        Outcome, as of `RequestResult`.
    status : int
        HTTP status; 0 if the caller disconnected.
    endpoint : str
        Name of the endpoint that responded; empty if none did.
    took_s : float
        Seconds since the request arrived.
    """
    log_event(
        LOG,
        "finished",
        req=req.metadata.request_id,
        route=req.route.name,
        outcome=outcome,
        status=status,
        endpoint=endpoint or "none",
        took_s=took_s,
        target_s=req.route.target_s,
    )


def log_hedge_won(req, first, hedge, delay_s, response_s):
    """Log that a hedged request got its response before the first attempt.

    Parameters
    ----------
    req : Request
        The request.
    first, hedge : str
        Endpoints of the first attempt, which was cancelled, and of the hedge.
    delay_s : float
        Seconds from the first attempt until the hedge was sent.
    response_s : float
        Seconds from the first attempt until the response.
    """
    log_event(
        LOG,
        "hedge-won",
        req=req.metadata.request_id,
        route=req.route.name,
        first=first,
        endpoint=hedge,
        delay_s=delay_s,
        response_s=response_s,
    )
