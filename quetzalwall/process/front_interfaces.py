"""HTTP interfaces for readiness, look-ups, settings, peers and metrics."""

from functools import partial
from urllib.parse import parse_qs

from quetzalwall.connection.compression import accepts_compressed
from quetzalwall.connection.digits import is_decimal
from quetzalwall.connection.front_server import CLOSE_HEADER
from quetzalwall.connection.http_server import (
    BadRequest,
    HttpLimits,
    create_server,
    json_response,
    read_json,
)
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.headers import (
    MAX_LOOKUP_ADDRESSES,
    READY_PATH,
    lookup_body,
    parse_lookup_query,
)
from quetzalwall.process.resource_budget import max_connections
from quetzalwall.process.status import instance_status
from quetzalwall.request.lookup import order_instances, sample_by_bandwidth

__all__ = ["create_interfaces"]

METRICS_PATH = "/metrics"
LOOKUP_TTL_S = 2.0
LOOKUP_INSTANCES = 3  # if links differ in bandwidth; a caller may need another one
LOG = get_logger("front")


def create_interfaces(front):
    """Return the servers of all listeners but that for callers, not yet started.

    Parameters
    ----------
    front : Front
        The instance.

    Returns
    -------
    dict of str to NoDelayServer
        By the name of the listener in the settings.
    """
    settings = front.settings
    handlers = {
        "health": _serve_health,
        "lookup": _serve_lookup,
        "peers": _serve_peers,
        "metrics": _serve_metrics,
    }
    servers = {}
    for name, handler in handlers.items():
        connections = max_connections(settings.memory_mb, settings.descriptors, name)
        limits = HttpLimits(max_connections=connections)
        address = getattr(settings.listen, name)
        servers[name] = create_server(
            *address, partial(_serve, front, handler), limits, heads=front.heads
        )
    return servers


def _serve(front, handler, environ, start_response):
    """Let a handler respond; close the connection if the instance is stopping."""
    if not front.stopping:
        return handler(front, environ, start_response)

    def start_last_response(status, headers):
        return start_response(status, [*headers, CLOSE_HEADER])

    return handler(front, environ, start_last_response)


def _serve_health(front, environ, start_response):
    if environ["PATH_INFO"] == METRICS_PATH:
        return _serve_metrics(front, environ, start_response)
    if environ["PATH_INFO"] != READY_PATH:
        return json_response(start_response, 404, {"error": "no such path"})
    ready = front.cluster_state.ready() and not front.stopping
    return json_response(start_response, 200 if ready else 503, {"ready": ready})


def _serve_lookup(front, environ, start_response):
    """Handle a look-up, or a request of an operator."""
    path = environ["PATH_INFO"]
    if path == "/status":
        return json_response(start_response, 200, instance_status(front))
    if front.settings_admin is None:
        return _look_up_host(front, environ, start_response)
    handlers = {
        "/lookup": _look_up_service,
        "/settings": _handle_settings,
        "/settings/history": _handle_history,
    }
    try:
        if path not in handlers:
            raise BadRequest(404, f"no such path: {path[:80]}")
        return handlers[path](front, environ, start_response)
    except BadRequest as exc:
        return json_response(start_response, exc.status, {"message": exc.message})


def _look_up_host(front, environ, start_response):
    _, region, domain = parse_lookup_query(environ)
    chosen = _select_instances(front, region)
    front.metrics.record_lookup()
    log_event(
        LOG,
        "lookup",
        region=region or "none",
        domain=domain or "none",
        chosen=",".join(info.name for info in chosen),
    )
    if not chosen:
        return json_response(start_response, 503, {"error": "no instance is live"})
    port = front.settings.listen.callers[1]
    ttl_s = min(LOOKUP_TTL_S, front.settings.bounds.lookup_ttl_s)
    body = lookup_body([(info.host, port) for info in chosen], ttl_s)
    return json_response(start_response, 200, body)


def _look_up_service(front, environ, start_response):
    query = parse_qs(environ["QUERY_STRING"])
    service = query.get("service", [""])[0]
    cfg = front.cluster_state.configuration()
    if cfg is None:
        return json_response(start_response, 503, {"message": "no settings yet"})
    if service not in cfg.services:
        raise BadRequest(404, f"no such service: {service[:80]}")
    caller = query.get("caller", [environ["REMOTE_ADDR"]])[0]
    region = query.get("region", [front.settings.region])[0]
    compiled = front.cluster_state.tree.compiled
    live = front.fleet.live()
    chosen = order_instances(live, region, caller, compiled.max_lookup_instances)
    front.metrics.record_lookup()
    log_event(
        LOG,
        "lookup",
        service=service,
        caller=caller,
        region=region,
        chosen=",".join(info.name for info in chosen),
        of=len(live),
    )
    port = front.settings.listen.callers[1]
    body = {
        "instances": [
            {"name": info.name, "address": info.host, "port": port} for info in chosen
        ],
        "ttl_s": compiled.lookup_ttl_s,
        "version": cfg.version,
    }
    headers = [("Cache-Control", f"max-age={int(compiled.lookup_ttl_s)}")]
    return json_response(start_response, 200, body, headers)


def _handle_settings(front, environ, start_response):
    if environ["REQUEST_METHOD"] == "GET":
        return json_response(start_response, 200, front.settings_admin.show())
    credential = environ.get("HTTP_AUTHORIZATION", "").removeprefix("Bearer ")
    status, body = front.settings_admin.put(read_json(environ), credential)
    return json_response(start_response, status, body)


def _handle_history(front, environ, start_response):
    status, body = front.settings_admin.history()
    return json_response(start_response, status, body)


def _select_instances(front, region):
    live = front.fleet.live()
    candidates = [info for info in live if info.region == region] or live
    chosen = sample_by_bandwidth(candidates, LOOKUP_INSTANCES, front.rng)
    if len(chosen) > MAX_LOOKUP_ADDRESSES:
        return front.rng.sample(chosen, MAX_LOOKUP_ADDRESSES)
    return chosen


def _serve_peers(front, environ, start_response):
    """Export the rows of a table that changed after a version."""
    table = environ["PATH_INFO"].removeprefix("/tables/")
    query = parse_qs(environ["QUERY_STRING"])
    after, listing = query.get("after", ["0"])[0], "listing" in query
    exported = None
    if table in front.cluster_state.tables and is_decimal(after):
        exported = front.cluster_state.export(table, int(after), listing)
    if exported is None:
        return json_response(start_response, 404, {"error": "not known here"})
    compressed = accepts_compressed(environ)
    body = json_response(start_response, 200, exported, compressed=compressed)
    for peer in front.fleet.peers():
        if peer.info.host == environ["REMOTE_ADDR"]:
            size = len(body[0])
            front.traffic.record("table", size, peer.info.region, peer.info.domain)
    return body


def _serve_metrics(front, environ, start_response):
    cfg = front.cluster_state.configuration()
    front.metrics.set_gauge("in_flight", front.in_flight)
    front.metrics.set_gauge("instances_live", len(front.fleet.live()))
    front.metrics.set_gauge("endpoints", len(front.endpoints))
    front.metrics.set_gauge("config_version", cfg.version if cfg else 0)
    front.metrics.set_gauge("held_bytes", front.memory_budget.used_bytes)
    front.metrics.set_gauge("resident_bytes", front.self_watch.rss_bytes)
    front.metrics.set_gauge("event_loop_held_seconds", front.self_watch.loop_lag_s)
    front.metrics.set_gauge("incomplete_heads", len(front.heads))
    front.metrics.set_gauge("head_bytes", front.heads.reserved_bytes)
    front.metrics.set_gauge("waiting_response_bytes", front.deliveries.waiting_bytes())
    front.metrics.set_cut_off(front.deliveries.cut_off)
    front.metrics.set_rejected_heads(front.heads.rejected)
    front.metrics.set_exchanged_bytes(front.exchanged_bytes())
    raw = front.metrics.render()
    content_type = "text/plain; version=0.0.4; charset=utf-8"
    headers = [("Content-Type", content_type), ("Content-Length", str(len(raw)))]
    start_response("200 OK", headers)
    return [raw]
