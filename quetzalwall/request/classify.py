"""Find the service, class and deadline of a request."""

from typing import NamedTuple

from quetzalwall.request.work import Work

__all__ = ["LONG_BODY_BYTES", "RequestFacts", "classify", "match_route"]

LONG_BODY_BYTES = 1024 * 1024


class RequestFacts(NamedTuple):
    """What a request says about itself.

    Attributes
    ----------
    request_id : str
        Unique.
    service : str
        Service asked for.
    method : str
        HTTP method.
    path : str
        Path within the service.
    caller : str
        The caller.
    body_bytes : int or None
        Declared length of the body; None if not declared.
    patience_s : float or None
        Seconds that the caller is ready to wait; None if not said.
    """

    request_id: str
    service: str
    method: str
    path: str
    caller: str
    body_bytes: int | None = 0
    patience_s: float | None = None


def classify(cfg, facts, now):
    """Return the request as the decisions see it, or None if nothing serves it.

    Parameters
    ----------
    cfg : dict
        Merged configuration.
    facts : RequestFacts
        What the request says about itself.
    now : float
        Monotonic seconds.

    Returns
    -------
    Work or None
    """
    spec = cfg["services"].get(facts.service)
    if spec is None:
        return None
    route = match_route(spec, facts.method, facts.path)
    if route is None:
        return None
    work_class = cfg["classes"][route["class"]]
    limit_s = work_class["max_duration_s"]
    if facts.patience_s is not None:
        limit_s = min(limit_s, facts.patience_s)
    return Work(
        request_id=facts.request_id,
        service=facts.service,
        work_class=route["class"],
        rank=work_class["rank"],
        long=work_class.get("long", False) or _declared_long(cfg, spec, facts),
        idempotent=route["idempotent"],
        caller=facts.caller,
        arrived=now,
        deadline=now + limit_s,
    )


def match_route(spec, method, path):
    """Return the route with the longest matching prefix.

    Parameters
    ----------
    spec : dict
        A service's settings.
    method : str
        HTTP method.
    path : str
        Path within the service.

    Returns
    -------
    dict or None
    """
    matching = [
        route
        for route in spec["routes"]
        if path.startswith(route["prefix"]) and method in route.get("methods", [method])
    ]
    return max(matching, key=lambda route: len(route["prefix"]), default=None)


def _declared_long(cfg, spec, facts):
    """Return whether the body alone makes a request long, where slots allow it."""
    serves_long = any(
        cfg["classes"][route["class"]].get("long", False) for route in spec["routes"]
    )
    declared = facts.body_bytes is None or facts.body_bytes > LONG_BODY_BYTES
    return serves_long and declared
