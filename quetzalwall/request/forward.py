"""Forward one request of a caller to an endpoint and bring back the answer."""

import errno
from typing import NamedTuple
from uuid import uuid4

import gevent

from quetzalwall.connection.http_server import BadRequest
from quetzalwall.exceptions import EndpointError, IncompleteAnswer, NotRun
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.endpoint import KEY_HEADER, EndpointRequest
from quetzalwall.request.answers import (
    ANSWERED,
    OUTCOME_HEADER,
    CallerAnswer,
    answer_for_error,
)
from quetzalwall.request.caller_body import open_body
from quetzalwall.request.caller_headers import (
    caller_headers,
    idempotency_key,
    patience_s,
)
from quetzalwall.request.claim import Claim, RecordedAnswer, request_digest
from quetzalwall.request.classify import RequestFacts, classify
from quetzalwall.request.exchange import Exchange
from quetzalwall.request.hedging import Attempt, run_hedged

__all__ = ["Forwarder", "create_forwarder"]

MOST_ATTEMPTS = 3
CLAIM_PART = 0.5  # of a request's time, after which it is refused without a claim
CALLER_HEADER = "HTTP_X_CALLER"
LOG = get_logger("forward")


class CallerRequest(NamedTuple):
    """A caller's request, read and classified.

    Attributes
    ----------
    work : Work
        As the decisions see it.
    method, target : str
        HTTP method, and path with query.
    headers : dict of str to str
        The caller's headers.
    body : CallerBody
        The body.
    key : str
        Idempotency key; empty if the request is idempotent.
    """

    work: object
    method: str
    target: str
    headers: dict
    body: object
    key: str


class Forwarder:
    """Forwards callers' requests on one instance.

    Parameters
    ----------
    admission : Admission
        Gives slots.
    endpoints : EndpointDirectory
        Clients of the endpoints and of the links to them.
    claims : Claims
        Guards requests that are not idempotent.
    clock : Clock
        Source of time.
    metrics : EntryMetrics
        Counters.
    """

    def __init__(self, admission, endpoints, claims, clock, metrics):
        self._admission = admission
        self._endpoints = endpoints
        self._claims = claims
        self._clock = clock
        self._metrics = metrics

    def forward(self, environ, service, path):
        """Return the answer to one request.

        Parameters
        ----------
        environ : dict
            WSGI environment.
        service : str
            Service asked for.
        path : str
            Path within the service.

        Returns
        -------
        CallerAnswer

        Raises
        ------
        BadRequest
            The request is malformed; it was not run.
        CallerError
            The caller left.
        """
        req = self._read_request(environ, service, path)
        try:
            if req.work.idempotent:
                answer = self._run(req)
            else:
                answer = self._run_once(req)
        except EndpointError as exc:
            answer = answer_for_error(exc)
            self._log_failure(req, exc, answer)
        self._metrics.answered(
            service,
            req.work.work_class,
            dict(answer.headers)[OUTCOME_HEADER],
            self._clock.monotonic() - req.work.arrived,
        )
        return answer

    def _read_request(self, environ, service, path):
        cfg = self._admission.steering.cfg
        spec = cfg["services"].get(service)
        if spec is None:
            raise BadRequest(404, f"no such service: {service[:80]}")
        body = open_body(environ, spec.get("max_body_bytes"))
        facts = RequestFacts(
            request_id=uuid4().hex,
            service=service,
            method=environ["REQUEST_METHOD"],
            path=path,
            caller=environ.get(CALLER_HEADER) or environ["REMOTE_ADDR"],
            body_bytes=body.length,
            patience_s=patience_s(environ),
        )
        work = classify(cfg, facts, self._clock.monotonic())
        if work is None:
            raise BadRequest(404, f"no route of {service} takes {path[:80]}")
        query = environ.get("QUERY_STRING")
        target = f"{path}?{query}" if query else path
        key = "" if work.idempotent else idempotency_key(environ)
        return CallerRequest(
            work, facts.method, target, caller_headers(environ), body, key
        )

    def _run_once(self, req):
        """Run a request that is not idempotent, at most once."""
        claim = self._claim(req)
        if not isinstance(claim, Claim):
            return _answer_for_conflict(claim)
        try:
            answer = self._exchange(req)
        except NotRun:
            self._claims.record_not_run(claim)
            raise
        except BaseException:
            self._claims.record_unknown(claim)
            raise
        recorded = None
        if answer.rest is None:
            recorded = RecordedAnswer(answer.status, answer.headers, answer.start)
        self._claims.record_answer(claim, recorded)
        return _caller_answer(answer)

    def _claim(self, req):
        work = req.work
        digest = request_digest(req.method, req.target, req.body.whole or b"")
        duration_s = work.deadline - work.arrived
        until = work.arrived + CLAIM_PART * duration_s
        return self._claims.claim(work.service, req.key, digest, duration_s, until)

    def _run(self, req):
        """Run an idempotent request, with a hedge if it is short."""
        if req.work.long or req.body.whole is None:
            return _caller_answer(self._exchange(req))
        grant = self._admission.wait(req.work)
        self._send_probe(req)
        service = self._admission.steering.services[req.work.service]
        tries = _Tries(self, req, grant)
        answer = run_hedged(
            Attempt(tries.run, tries.cancel),
            lambda: self._second_attempt(req, grant.endpoint),
            service.hedge_after.value,
        )
        return _caller_answer(answer)

    def _second_attempt(self, req, first):
        work = req.work._replace(request_id=uuid4().hex)
        now = self._clock.monotonic()
        grant = self._admission.steering.hedge(work, first, now)
        if grant is None:
            return None
        self._admission.log_decision(grant._replace(reason="hedge"))
        exchange = self._open(grant)
        return Attempt(
            lambda: exchange.run(_endpoint_request(req, grant)), exchange.cancel
        )

    def _exchange(self, req):
        return _Tries(self, req, self._admission.wait(req.work)).run()

    def _open(self, grant):
        """Return the exchange of a grant; from here on it frees the slot."""
        try:
            client = self._endpoints.client(grant.endpoint)
        except KeyError:
            self._admission.cancel(grant)
            raise NotRun("endpoint was removed", "connect", grant.endpoint) from None
        link = self._endpoints.link(grant.endpoint, grant.work.long)
        return Exchange(grant, client, self._admission, self._clock, link)

    def _retry_grant(self, req, failed):
        work = req.work._replace(request_id=uuid4().hex)
        now = self._clock.monotonic()
        grant = self._admission.steering.retry(work, failed, now)
        if grant is not None:
            self._admission.log_decision(grant._replace(reason="retry"))
        return grant

    def _send_probe(self, req):
        """Send a copy to an endpoint that was slow, to see whether it still is."""
        work = req.work._replace(request_id=uuid4().hex)
        grant = self._admission.steering.probe(work, self._clock.monotonic())
        if grant is not None:
            self._admission.log_decision(grant)
            gevent.spawn(self._run_probe, req, grant)

    def _run_probe(self, req, grant):
        try:
            answer = self._open(grant).run(_endpoint_request(req, grant))
        except EndpointError:
            return
        if answer.rest is not None:
            answer.rest.close()

    def _log_failure(self, req, exc, answer):
        log_event(
            LOG,
            "failed",
            level="warning",
            req=req.work.request_id,
            service=req.work.service,
            outcome=dict(answer.headers)[OUTCOME_HEADER],
            step=exc.step,
            peer=exc.peer or "none",
            reason=exc.message,
        )


class _Tries:
    """Attempts at one request, each after an endpoint did not run the one before."""

    def __init__(self, forwarder, req, grant):
        self._forwarder = forwarder
        self._req = req
        self._grant = grant
        self._exchange = None

    def run(self):
        for attempt in range(1, MOST_ATTEMPTS + 1):
            try:
                self._exchange = self._forwarder._open(self._grant)
                return self._exchange.run(_endpoint_request(self._req, self._grant))
            except NotRun:
                if attempt == MOST_ATTEMPTS or self._req.body.whole is None:
                    raise
                failed = self._grant.endpoint
                self._grant = self._forwarder._retry_grant(self._req, failed)
                if self._grant is None:
                    raise
        raise AssertionError("unreachable")

    def cancel(self):
        if self._exchange is not None:
            self._exchange.cancel()


def _endpoint_request(req, grant):
    headers = req.headers
    if req.key:
        headers = headers | {KEY_HEADER: req.key}
    return EndpointRequest(
        grant.work.request_id,
        req.method,
        req.target,
        headers,
        req.body,
        req.work.deadline,
    )


def _caller_answer(answer):
    headers = [*answer.headers, (OUTCOME_HEADER, ANSWERED)]
    if answer.length is not None:
        headers.append(("Content-Length", str(answer.length)))
    return CallerAnswer(answer.status, headers, _blocks(answer))


def _blocks(answer):
    if answer.rest is None:
        return [answer.start]
    return _StreamedBlocks(answer)


class _StreamedBlocks:
    """Body of a long answer, for the WSGI server, which closes it."""

    def __init__(self, answer):
        self._start = answer.start
        self._rest = answer.rest

    def __iter__(self):
        return self

    def __next__(self):
        if self._start:
            block, self._start = self._start, b""
            return block
        try:
            return next(self._rest)
        except IncompleteAnswer as exc:
            log_event(LOG, "cut", "warning", peer=exc.peer, reason=exc.message)
            # The server closes the connection before the declared end, which tells
            # the caller that the answer is not whole.
            raise ConnectionResetError(errno.ECONNRESET, exc.message) from exc

    def close(self):
        self._rest.close()


def _answer_for_conflict(conflict):
    if conflict.state == "done" and conflict.answer is not None:
        answer = conflict.answer
        headers = [
            *answer.headers,
            ("Content-Length", str(len(answer.body))),
            ("X-Quetzalwall-Repeated", "1"),
            (OUTCOME_HEADER, ANSWERED),
        ]
        return CallerAnswer(answer.status, headers, [answer.body])
    if conflict.state == "mismatch":
        raise BadRequest(422, "idempotency key was used for another request")
    step = {"done": "answer too long to keep"}.get(conflict.state, conflict.state)
    exc = IncompleteAnswer("an earlier attempt has this key", step, conflict.holder)
    return answer_for_error(exc)._replace(status=409)


def create_forwarder(admission, endpoints, claims, clock, metrics):
    """Return the forwarder of one instance.

    Parameters
    ----------
    admission : Admission
        Gives slots.
    endpoints : EndpointDirectory
        Clients of the endpoints and of the links to them.
    claims : Claims
        Guards requests that are not idempotent.
    clock : Clock
        Source of time.
    metrics : EntryMetrics
        Counters.

    Returns
    -------
    Forwarder
    """
    return Forwarder(admission, endpoints, claims, clock, metrics)
