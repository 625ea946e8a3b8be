"""The product's own interface towards callers and endpoints.

Callers send requests to ``/s/SERVICE/PATH``. Each answer says in a header whether the
request was answered, was not run, or may have run.
"""

import json
from uuid import uuid4

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

__all__ = ["MOST_KEY_CHARACTERS", "OUTCOME_HEADER", "PRODUCT_DIALECT"]

MOST_KEY_CHARACTERS = 200
MOST_DEADLINE_DIGITS = 12
OUTCOME_HEADER = "X-Quetzalwall-Outcome"
STEP_HEADER = "X-Quetzalwall-Step"
PEER_HEADER = "X-Quetzalwall-Peer"
REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
NOT_RUN = "X-Not-Run"
ANSWERED, WAS_NOT_RUN, UNKNOWN = "answered", "not-run", "unknown"
OWN = frozenset((DEADLINE.lower(), REQUEST_ID.lower(), "host", "x-object-key"))
SERVICE_PATH = "/s/"


def _place(environ):
    target = environ["quetzalwall.target"]
    if not target.startswith(SERVICE_PATH):
        raise BadRequest(404, f"no such path: {target[:80]}")
    service, _, rest = target.removeprefix(SERVICE_PATH).partition("/")
    return service, f"/{rest}"


def _caller_facts(environ):
    text = environ.get("HTTP_X_DEADLINE_MS")
    if text is not None and not (text.isdigit() and len(text) <= MOST_DEADLINE_DIGITS):
        raise BadRequest(400, f"{DEADLINE} is not a number: {text[:40]}")
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if len(key) > MOST_KEY_CHARACTERS or not key.isprintable():
        raise BadRequest(400, f"Idempotency-Key is longer than {MOST_KEY_CHARACTERS}")
    return RequestMetadata(
        request_id=uuid4().hex,
        timeout_s=None if text is None else int(text) / 1000,
        object_key=environ.get("HTTP_X_OBJECT_KEY", ""),
        headers=forwarded_headers(environ, OWN),
        idempotency_key=key,
    )


def _endpoint_headers(facts, endpoint, left_s):
    own = {DEADLINE: str(max(1, int(left_s * 1000))), REQUEST_ID: facts.request_id}
    return facts.headers | own


def _answer_facts(status, items):
    found = combine_headers(items)
    skipped = HOP_BY_HOP_HEADERS | {REQUEST_ID.lower(), NOT_RUN.lower(), "date"}
    return ResponseMetadata(
        request_id=found.get(REQUEST_ID.lower()),
        not_run=NOT_RUN.lower() in found,
        misdirected=False,
        load=None,
        cold_s=None,
        keep_alive_s=None,
        headers=[item for item in items if item[0].lower() not in skipped],
    )


def _answered(headers):
    return [*headers, (OUTCOME_HEADER, ANSWERED)]


def _refuse(retry_after_s, step, reason, peer=""):
    headers = [("Retry-After", str(max(1, round(retry_after_s))))]
    return _own_answer(503, WAS_NOT_RUN, step, peer, reason, headers)


def _fail(status, exc):
    return _own_answer(status, UNKNOWN, exc.step, exc.peer, exc.message, [])


def _malformed(exc):
    step = "read request"
    return _own_answer(exc.status, WAS_NOT_RUN, step, "caller", exc.message, [])


def _own_answer(status, outcome, step, peer, message, headers):
    body = {"outcome": outcome, "step": step, "peer": peer, "message": message}
    fixed = [
        ("Content-Type", "application/json"),
        (OUTCOME_HEADER, outcome),
        (STEP_HEADER, step),
        (PEER_HEADER, peer),
    ]
    raw = json.dumps(body, sort_keys=True).encode()
    return Response(status, fixed + headers, raw)


PRODUCT_DIALECT = Dialect(
    host_and_path=_place,
    parse_request=_caller_facts,
    endpoint_headers=_endpoint_headers,
    parse_response=_answer_facts,
    response_headers=_answered,
    reject=_refuse,
    fail=_fail,
    bad_request=_malformed,
)
