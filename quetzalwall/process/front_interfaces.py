"""The small interfaces of an instance: readiness, look-ups, tables, metrics."""

from functools import partial
from urllib.parse import parse_qs

from quetzalwall.connection.http_server import create_server, json_answer
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.headers import READY_PATH, lookup_body, lookup_place
from quetzalwall.platform.rows import ENDPOINTS_TABLE, OPERATOR_TABLE
from quetzalwall.request.lookup import draw_by_link

__all__ = ["create_interfaces"]

LOOKUP_TTL_S = 2.0
LOOKUP_ANSWERS = 3  # instances named; a caller needs another when one fails
TABLES = (OPERATOR_TABLE, ENDPOINTS_TABLE)
LOG = get_logger("front")


def create_interfaces(front):
    """Return the servers of all interfaces but that for callers, not yet started.

    Parameters
    ----------
    front : Front
        The instance.

    Returns
    -------
    list of NoDelayServer
    """
    listen = front.settings.listen
    return [
        create_server(*place, partial(answer, front))
        for place, answer in (
            (listen.health, _health),
            (listen.lookup, _lookup),
            (listen.peers, _export),
            (listen.metrics, _metrics),
        )
    ]


def _health(front, environ, start_response):
    if environ["PATH_INFO"] != READY_PATH:
        return json_answer(start_response, 404, {"error": "no such path"})
    ready = front.knowledge.ready() and not front.stopping
    return json_answer(start_response, 200 if ready else 503, {"ready": ready})


def _lookup(front, environ, start_response):
    _, region, domain = lookup_place(environ)
    chosen = _instances_for(front, region)
    front.metrics.looked_up()
    log_event(
        LOG,
        "lookup",
        region=region or "none",
        domain=domain or "none",
        chosen=",".join(card.name for card in chosen),
    )
    if not chosen:
        return json_answer(start_response, 503, {"error": "no instance is live"})
    port = front.settings.listen.callers[1]
    ttl_s = min(LOOKUP_TTL_S, front.settings.bounds.lookup_ttl_s)
    body = lookup_body([(card.host, port) for card in chosen], ttl_s)
    return json_answer(start_response, 200, body)


def _instances_for(front, region):
    live = front.fleet.live()
    near = [card for card in live if card.region == region] or live
    return draw_by_link(near, LOOKUP_ANSWERS, front.rng)


def _export(front, environ, start_response):
    table = environ["PATH_INFO"].removeprefix("/tables/")
    text = parse_qs(environ["QUERY_STRING"]).get("after", ["0"])[0]
    exported = None
    if table in TABLES and text.isdigit():
        exported = front.knowledge.export(table, int(text))
    if exported is None:
        return json_answer(start_response, 404, {"error": "not known here"})
    return json_answer(start_response, 200, exported)


def _metrics(front, environ, start_response):
    cfg = front.knowledge.configuration()
    front.metrics.set_gauge("in_flight", front.in_flight)
    front.metrics.set_gauge("instances_live", len(front.fleet.live()))
    front.metrics.set_gauge("endpoints", len(front.endpoints))
    front.metrics.set_gauge("config_version", cfg.version if cfg else 0)
    raw = front.metrics.render()
    kind = "text/plain; version=0.0.4; charset=utf-8"
    headers = [("Content-Type", kind), ("Content-Length", str(len(raw)))]
    start_response("200 OK", headers)
    return [raw]
