"""HTTP interface of an entry instance: callers, peers and operators."""

import errno
from urllib.parse import parse_qs

from quetzalwall.connection.http_server import BadRequest, json_answer, read_json
from quetzalwall.exceptions import BodyTooLong, CallerError, PeerError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.membership.peer_messages import (
    parse_heartbeat,
    parse_loan_request,
)
from quetzalwall.request.answers import OUTCOME_HEADER, status_line
from quetzalwall.request.lookup import order_members

__all__ = ["create_application"]

MAX_PATH_LENGTH = 4096
LOG = get_logger("lookup")
REQUESTS_LOG = get_logger("forward")


def create_application(entry):
    """Return the WSGI application of an instance.

    Parameters
    ----------
    entry : Entry
        The daemon.

    Returns
    -------
    callable
    """
    routes = {
        "/lookup": _lookup,
        "/health": _health,
        "/status": _status,
        "/metrics": _metrics,
        "/peer/heartbeat": _heartbeat,
        "/peer/silence": _silence,
        "/peer/loan": _loan,
        "/peer/return": _return_loan,
        "/peer/config": _config,
        "/peer/members": _members,
        "/peer/give-back": _give_back,
        "/settings": _settings,
        "/settings/history": _history,
    }

    def application(environ, start_response):
        path = environ["PATH_INFO"]
        if entry.stopping:
            start_response = _closing(start_response)
        try:
            if len(path) > MAX_PATH_LENGTH:
                raise BadRequest(400, f"path is longer than {MAX_PATH_LENGTH}")
            if path.startswith("/s/"):
                return _forward(entry, environ, start_response, path)
            handler = routes.get(path)
            if handler is None:
                raise BadRequest(404, f"no such path: {path[:80]}")
            return handler(entry, environ, start_response)
        except BadRequest as exc:
            body = {"outcome": "not-run", "step": "read request", "peer": "caller"}
            body["message"] = exc.message
            headers = [(OUTCOME_HEADER, "not-run")]
            return json_answer(start_response, exc.status, body, headers)
        except PeerError as exc:
            body = {"step": exc.step, "peer": exc.peer, "message": exc.message}
            return json_answer(start_response, 400, body)

    return application


def _closing(start_response):
    """Return a start_response that ends the connection after the answer."""

    def start(status, headers, exc_info=None):
        return start_response(status, [*headers, ("Connection", "close")], exc_info)

    return start


def _forward(entry, environ, start_response, path):
    service, _, rest = path.removeprefix("/s/").partition("/")
    with entry.in_flight():
        try:
            answer = entry.forwarder.forward(environ, service, f"/{rest}")
        except BodyTooLong as exc:
            body = {"outcome": "unknown", "step": exc.step, "peer": exc.peer}
            body["message"] = exc.message
            headers = [(OUTCOME_HEADER, "unknown"), ("Connection", "close")]
            return json_answer(start_response, 413, body, headers)
        except CallerError as exc:
            log_event(
                REQUESTS_LOG,
                "caller-left",
                "warning",
                step=exc.step,
                reason=exc.message,
            )
            # The server then closes the connection without an answer.
            raise ConnectionResetError(errno.ECONNRESET, exc.message) from exc
    start_response(status_line(answer.status), answer.headers)
    return entry.track(answer.blocks)


def _lookup(entry, environ, start_response):
    query = parse_qs(environ["QUERY_STRING"])
    service = query.get("service", [""])[0]
    node = entry.node
    cfg = node.cfg()
    if service not in cfg["services"]:
        raise BadRequest(404, f"no such service: {service[:80]}")
    caller = query.get("caller", [environ["REMOTE_ADDR"]])[0]
    region = query.get("region", [node.settings["region"]])[0]
    members = node.members_for_callers()
    chosen = order_members(members, region, caller, cfg["lookup"]["answers"])
    ttl_s = cfg["lookup"]["ttl_s"]
    node.metrics.looked_up(service)
    log_event(
        LOG,
        "lookup",
        service=service,
        caller=caller,
        chosen=",".join(member.name for member in chosen),
        of=len(members),
        region=region,
    )
    body = {
        "instances": [
            {"name": member.name, "address": member.address, "port": member.port}
            for member in chosen
        ],
        "ttl_s": ttl_s,
        "version": node.keeper.in_force_version(),
    }
    headers = [("Cache-Control", f"max-age={int(ttl_s)}")]
    return json_answer(start_response, 200, body, headers)


def _health(entry, environ, start_response):
    healthy = not entry.stopping
    body = {"healthy": healthy, "instance": entry.node.name}
    return json_answer(start_response, 200 if healthy else 503, body)


def _status(entry, environ, start_response):
    return json_answer(start_response, 200, entry.status())


def _metrics(entry, environ, start_response):
    entry.refresh_gauges()
    raw = entry.node.metrics.render()
    kind = "text/plain; version=0.0.4; charset=utf-8"
    headers = [("Content-Type", kind), ("Content-Length", str(len(raw)))]
    start_response("200 OK", headers)
    return [raw]


def _heartbeat(entry, environ, start_response):
    message = parse_heartbeat(read_json(environ), environ["REMOTE_ADDR"])
    answer = entry.node.answer_heartbeat(message)
    if message.held > entry.node.keeper.held_version():
        entry.fetch_later(message.sender)
    return json_answer(start_response, 200, answer._asdict())


def _silence(entry, environ, start_response):
    name = parse_qs(environ["QUERY_STRING"]).get("member", [""])[0]
    now = entry.node.clock.monotonic()
    silent_s = min(1e9, entry.node.membership.silent_s(name, now))
    return json_answer(start_response, 200, {"silent_s": silent_s})


def _loan(entry, environ, start_response):
    req = parse_loan_request(read_json(environ), environ["REMOTE_ADDR"])
    return json_answer(start_response, 200, entry.node.lend(req))


def _return_loan(entry, environ, start_response):
    body = read_json(environ)
    if not isinstance(body, dict) or not isinstance(body.get("loan_id"), str):
        raise BadRequest(400, "loan_id is missing")
    node = entry.node
    node.ledger.end_lent(body["loan_id"], node.clock.monotonic())
    return json_answer(start_response, 200, {})


def _config(entry, environ, start_response):
    known = None
    if environ["REQUEST_METHOD"] == "POST":
        known = read_json(environ)
        if not isinstance(known, dict):
            raise BadRequest(400, "body must map teams to versions")
    return json_answer(start_response, 200, entry.node.keeper.export(known))


def _members(entry, environ, start_response):
    body = {
        "members": entry.node.membership.all_states(),
        "held": entry.node.keeper.held_version(),
    }
    return json_answer(start_response, 200, body)


def _give_back(entry, environ, start_response):
    body = read_json(environ)
    if not isinstance(body, dict) or not isinstance(body.get("owner"), str):
        raise BadRequest(400, "owner is missing")
    entry.store_tasks.ask_give_back(body["owner"])
    return json_answer(start_response, 202, {})


def _settings(entry, environ, start_response):
    if environ["REQUEST_METHOD"] == "GET":
        return json_answer(start_response, 200, entry.operators.show())
    body = read_json(environ)
    credential = environ.get("HTTP_AUTHORIZATION", "").removeprefix("Bearer ")
    status, answer = entry.operators.put(body, credential)
    return json_answer(start_response, status, answer)


def _history(entry, environ, start_response):
    status, answer = entry.operators.history()
    return json_answer(start_response, status, answer)
