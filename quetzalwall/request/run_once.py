"""Run a request that is not idempotent at most once per idempotency key."""

from quetzalwall.connection.http_server import BadRequest
from quetzalwall.exceptions import IncompleteAnswer, NotRun
from quetzalwall.request.claim import Claim, RecordedResponse, request_digest
from quetzalwall.request.request import NOT_RUN_OUTCOMES, RequestResult
from quetzalwall.request.request_log import log_rejection
from quetzalwall.request.response import Response

__all__ = ["run_once"]

CLAIM_TIMEOUT_FRACTION = 0.5  # of the time from arrival to deadline
REPEATED_HEADER = ("X-Quetzalwall-Repeated", "1")
MAX_RECORDED_BYTES = 40_000  # of a body; as base64, with headers, it fits a row


def run_once(claims, dialect, req, run):
    """Claim a request's idempotency key, run the request, and record its result.

    Parameters
    ----------
    claims : Claims
        Claims of this instance.
    dialect : Dialect
        Makes the responses.
    req : Request
        The request.
    run : callable
        Runs the request; returns `RequestResult`.

    Returns
    -------
    RequestResult

    Raises
    ------
    BadRequest
        The key is missing or was used for another request; this one was not run.
    """
    if not req.metadata.idempotency_key:
        raise BadRequest(400, "this request needs an Idempotency-Key header")
    try:
        claim = _claim(claims, req)
    except NotRun as exc:
        reason = f"claim: {exc.message}"
        log_rejection(req.metadata, req.route.name, reason, exc.retry_after_s)
        response = dialect.reject(exc.retry_after_s, exc.step, exc.message, exc.peer)
        return RequestResult(response, "not-run")
    if not isinstance(claim, Claim):
        return _repeat_result(dialect, claim)
    try:
        result = run()
    except BaseException:
        claims.record_unknown(claim)
        raise
    if result.outcome in NOT_RUN_OUTCOMES:
        claims.record_not_run(claim)
    elif result.outcome == "answered":
        claims.record_response(claim, _recordable(result.response))
    else:
        claims.record_unknown(claim)
    return result


def _claim(claims, req):
    digest = request_digest(req.method, req.target, req.body)
    duration_s = req.deadline - req.arrived
    deadline = req.arrived + CLAIM_TIMEOUT_FRACTION * duration_s
    return claims.claim(
        req.service, req.metadata.idempotency_key, digest, duration_s, deadline
    )


def _recordable(response):
    if len(response.body) > MAX_RECORDED_BYTES:
        return None
    return RecordedResponse(*response)


def _repeat_result(dialect, conflict):
    if conflict.state == "done" and conflict.response is not None:
        record = conflict.response
        response = Response(
            record.status, [*record.headers, REPEATED_HEADER], record.body
        )
        return RequestResult(response, "answered")
    if conflict.state == "mismatch":
        raise BadRequest(422, "idempotency key was used for another request")
    step = {"done": "answer too long to keep"}.get(conflict.state, conflict.state)
    exc = IncompleteAnswer("an earlier attempt has this key", step, conflict.holder)
    return RequestResult(dialect.fail(409, exc), "unknown")
