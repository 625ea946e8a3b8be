"""Log lines about one request."""

from quetzalwall.logs import get_logger, log_event

__all__ = [
    "log_abandoned",
    "log_choice",
    "log_failure",
    "log_finish",
    "log_no_route",
    "log_refusal",
]

LOG = get_logger("request")


def log_abandoned(req):
    """Write that a request is not sent, since its caller has left.

    Parameters
    ----------
    req : Request
        The request.
    """
    log_event(
        LOG, "abandoned", "warning", req=req.facts.request_id, route=req.route.name
    )


def log_no_route(facts, host, path, version):
    """Write that no route takes a request.

    Parameters
    ----------
    facts : RequestMetadata
        What the caller said.
    host, path : str
        Asked for.
    version : int
        Version of the configuration.
    """
    log_event(
        LOG,
        "no-route",
        "warning",
        req=facts.request_id,
        host=host,
        path=path[:80],
        version=version,
    )


def log_choice(req, choice, attempt, now, shift):
    """Write which endpoint gets a request, and what entered the choice.

    Parameters
    ----------
    req : Request
        The request.
    choice : Choice
        The endpoint and the figures.
    attempt : int
        1 for the first.
    now : float
        Monotonic seconds.
    shift : str
        Name of the shift that moves it; empty if none does.
    """
    state = choice.state
    log_event(
        LOG,
        "routed",
        req=req.facts.request_id,
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
        of=choice.of,
        limited=choice.limited,
    )


def log_refusal(facts, route, reason, retry_after_s):
    """Write that a request is refused before it is sent.

    Parameters
    ----------
    facts : RequestMetadata
        What the caller said.
    route : str
        Name of its route; empty if it is not known.
    reason : str
        The rule.
    retry_after_s : float
        Seconds after which the caller is to come back.
    """
    log_event(
        LOG,
        "refused",
        "warning",
        req=facts.request_id,
        route=route or "none",
        reason=reason,
        retry_after_s=retry_after_s,
    )


def log_failure(req, exc, endpoint):
    """Write that an attempt failed.

    Parameters
    ----------
    req : Request
        The request.
    exc : EndpointError
        Why.
    endpoint : str
        Name of the endpoint.
    """
    log_event(
        LOG,
        "failed",
        "warning",
        req=req.facts.request_id,
        route=req.route.name,
        endpoint=endpoint,
        kind=type(exc).__name__,
        step=exc.step,
        reason=exc.message,
    )


def log_finish(req, outcome, status, endpoint, took_s):
    """Write what the caller got.

    Parameters
    ----------
    req : Request
        The request.
    outcome : str
        What became of it.
    status : int
        HTTP status; 0 if the caller left.
    endpoint : str
        Name of the endpoint that answered; empty if none did.
    took_s : float
        Seconds since the request arrived.
    """
    log_event(
        LOG,
        "finished",
        req=req.facts.request_id,
        route=req.route.name,
        outcome=outcome,
        status=status,
        endpoint=endpoint or "none",
        took_s=took_s,
        target_s=req.route.target_s,
    )
