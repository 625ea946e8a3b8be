"""Run a request that is not idempotent once for the key that its caller gave it."""

from quetzalwall.connection.http_server import BadRequest
from quetzalwall.exceptions import IncompleteAnswer, NotRun
from quetzalwall.request.claim import Claim, RecordedAnswer, request_digest
from quetzalwall.request.request_log import log_refusal
from quetzalwall.request.response import Response
from quetzalwall.request.work import Ended

__all__ = ["run_once"]

CLAIM_PART = 0.5  # of the time left, in which the claim must be answered
REPEATED = ("X-Quetzalwall-Repeated", "1")
MOST_KEPT_BYTES = 40_000  # in text, with headers, this fits a row of the store
NOT_RUN_OUTCOMES = ("refused", "not-run")


def run_once(claims, dialect, req, run):
    """Claim a request's key, run the request, and record what became of it.

    Parameters
    ----------
    claims : Claims
        Claims of this instance.
    dialect : Dialect
        Makes the answers.
    req : Request
        The request.
    run : callable
        Runs the request; returns `Ended`.

    Returns
    -------
    Ended

    Raises
    ------
    BadRequest
        The key is missing or was used for another request; it was not run.
    """
    if not req.facts.idempotency_key:
        raise BadRequest(400, "this request needs an Idempotency-Key header")
    try:
        claim = _claim(claims, req)
    except NotRun as exc:
        reason = f"claim: {exc.message}"
        log_refusal(req.facts, req.route.name, reason, exc.retry_after_s)
        answer = dialect.reject(exc.retry_after_s, exc.step, exc.message, exc.peer)
        return Ended(answer, "not-run")
    if not isinstance(claim, Claim):
        return _answer_repeat(dialect, claim)
    try:
        ended = run()
    except BaseException:
        claims.record_unknown(claim)
        raise
    if ended.outcome in NOT_RUN_OUTCOMES:
        claims.record_not_run(claim)
    elif ended.outcome == "answered":
        claims.record_answer(claim, _kept(ended.answer))
    else:
        claims.record_unknown(claim)
    return ended


def _claim(claims, req):
    digest = request_digest(req.method, req.target, req.body)
    duration_s = req.deadline - req.arrived
    until = req.arrived + CLAIM_PART * duration_s
    return claims.claim(
        req.service, req.facts.idempotency_key, digest, duration_s, until
    )


def _kept(answer):
    if len(answer.body) > MOST_KEPT_BYTES:
        return None
    return RecordedAnswer(*answer)


def _answer_repeat(dialect, conflict):
    if conflict.state == "done" and conflict.answer is not None:
        kept = conflict.answer
        answer = Response(kept.status, [*kept.headers, REPEATED], kept.body)
        return Ended(answer, "answered")
    if conflict.state == "mismatch":
        raise BadRequest(422, "idempotency key was used for another request")
    step = {"done": "answer too long to keep"}.get(conflict.state, conflict.state)
    exc = IncompleteAnswer("an earlier attempt has this key", step, conflict.holder)
    return Ended(dialect.fail(409, exc), "unknown")
