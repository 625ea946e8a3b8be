"""The product's own protocol with callers and endpoints.

Callers send requests to ``/s/SERVICE/PATH``. Each response states in a header whether
the request was answered, was not run, or may have run.
"""

import json
from uuid import uuid4

from quetzalwall.connection.deadlines import parse_deadline_s
from quetzalwall.connection.dialect import (
    HOP_BY_HOP_HEADERS,
    Dialect,
    RequestMetadata,
    ResponseMetadata,
    combine_headers,
    forwarded_headers,
)
from quetzalwall.connection.http_server import BadRequest
from quetzalwall.request.response import Response

__all__ = ["MAX_KEY_CHARACTERS", "OUTCOME_HEADER", "PRODUCT_DIALECT"]

MAX_KEY_CHARACTERS = 200
OUTCOME_HEADER = "X-Quetzalwall-Outcome"
STEP_HEADER = "X-Quetzalwall-Step"
PEER_HEADER = "X-Quetzalwall-Peer"
REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
NOT_RUN_HEADER = "X-Not-Run"
ANSWERED, NOT_RUN, UNKNOWN = "answered", "not-run", "unknown"
# Headers of callers that are not forwarded to endpoints.
CONSUMED_HEADERS = frozenset(
    (DEADLINE_HEADER.lower(), REQUEST_ID_HEADER.lower(), "host", "x-object-key")
)
SERVICE_PATH = "/s/"


def _host_and_path(environ):
    target = environ["quetzalwall.target"]
    if not target.startswith(SERVICE_PATH):
        raise BadRequest(404, f"no such path: {target[:80]}")
    service, _, rest = target.removeprefix(SERVICE_PATH).partition("/")
    return service, f"/{rest}"


def _parse_request(environ):
    text = environ.get("HTTP_X_DEADLINE_MS")
    timeout_s = None if text is None else parse_deadline_s(text)
    if text is not None and timeout_s is None:
        raise BadRequest(400, f"{DEADLINE_HEADER} is not a number: {text[:40]}")
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        raise BadRequest(400, f"Idempotency-Key is longer than {MAX_KEY_CHARACTERS}")
    return RequestMetadata(
        request_id=uuid4().hex,
        timeout_s=timeout_s,
        object_key=environ.get("HTTP_X_OBJECT_KEY", ""),
        headers=forwarded_headers(environ, CONSUMED_HEADERS),
        idempotency_key=key,
    )


def _endpoint_headers(metadata, endpoint, remaining_s):
    added = {
        DEADLINE_HEADER: str(max(1, int(remaining_s * 1000))),
        REQUEST_ID_HEADER: metadata.request_id,
    }
    return metadata.headers | added


def _parse_response(status, items):
    headers_by_name = combine_headers(items)
    excluded = HOP_BY_HOP_HEADERS | {
        REQUEST_ID_HEADER.lower(),
        NOT_RUN_HEADER.lower(),
        "date",
    }
    return ResponseMetadata(
        request_id=headers_by_name.get(REQUEST_ID_HEADER.lower()),
        not_run=NOT_RUN_HEADER.lower() in headers_by_name,
        misdirected=False,
        load=None,
        cold_s=None,
        keep_alive_s=None,
        headers=[item for item in items if item[0].lower() not in excluded],
    )


def _response_headers(headers):
    return [*headers, (OUTCOME_HEADER, ANSWERED)]


def _reject(retry_after_s, step, reason, peer="", status=503):
    headers = [("Retry-After", str(max(1, round(retry_after_s))))]
    return _own_response(status, NOT_RUN, step, peer, reason, headers)


def _fail(status, exc):
    return _own_response(status, UNKNOWN, exc.step, exc.peer, exc.message, [])


def _bad_request(exc):
    step = "read request"
    return _own_response(exc.status, NOT_RUN, step, "caller", exc.message, [])


def _own_response(status, outcome, step, peer, message, headers):
    body = {"outcome": outcome, "step": step, "peer": peer, "message": message}
    base_headers = [
        ("Content-Type", "application/json"),
        (OUTCOME_HEADER, outcome),
        (STEP_HEADER, step),
        (PEER_HEADER, peer),
    ]
    raw = json.dumps(body, sort_keys=True).encode()
    return Response(status, base_headers + headers, raw)


PRODUCT_DIALECT = Dialect(
    host_and_path=_host_and_path,
    parse_request=_parse_request,
    endpoint_headers=_endpoint_headers,
    parse_response=_parse_response,
    response_headers=_response_headers,
    reject=_reject,
    fail=_fail,
    bad_request=_bad_request,
)
