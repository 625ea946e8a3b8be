"""Serve requests of callers, each from its head to the response."""

from contextlib import suppress
from functools import partial

import gevent

from quetzalwall.connection.caller_connection import CallerLeft
from quetzalwall.connection.http_server import BadRequest
from quetzalwall.exceptions import (
    ConfigurationStale,
    EndpointError,
    IncompleteAnswer,
    KeyRevoked,
    NoRoom,
    NotRun,
    NotSent,
    OutcomeUnknown,
)
from quetzalwall.request.account_access import STALE_CONFIGURATION
from quetzalwall.request.account_admission import (
    OVER_ALLOTMENT,
    create_account_admission,
)
from quetzalwall.request.attempts import MIN_FAILURE_STATUS, create_attempts
from quetzalwall.request.choice import STOPPING, Rejection
from quetzalwall.request.fairness import create_fairness
from quetzalwall.request.hedged_attempt import create_hedged_attempts
from quetzalwall.request.paused_endpoints import paused_s
from quetzalwall.request.request import RequestResult, more_severe
from quetzalwall.request.request_log import (
    log_choice,
    log_dropped,
    log_failure,
    log_finish,
    log_rejection,
)
from quetzalwall.request.request_reader import Refused, UnknownKey
from quetzalwall.request.response import Response
from quetzalwall.request.run_once import run_once
from quetzalwall.request.send_checks import check_caller_connected

__all__ = ["RequestServer", "create_request_server"]

FAILED_RETRY_S = 0.2  # Retry-After if all attempts failed
# Another endpoint would not change the result of the request.
FINAL_FAILURES = (NoRoom, KeyRevoked, ConfigurationStale)
MIN_ATTEMPT_S = 0.02  # with less time remaining, another attempt would time out


class RequestServer:
    """Serves requests on one instance.

    Parameters
    ----------
    dialect : Dialect
        Protocol variant of callers and endpoints.
    reader : RequestReader
        Reads requests.
    cluster_state : ClusterState
        Configuration, endpoints and fleet.
    chooser : Chooser
        Chooses endpoints.
    latency : LatencyModel
        Learns processing times and round trips.
    limits : FleetLimits
        Retry budget, weighted split and shifts.
    claims : Claims or None
        Idempotency keys; None if requests that are not idempotent carry none.
    metrics : FrontMetrics
        Counters.
    grace : GracePeriod
        Limits the requests of an instance that is stopping.
    monotonic : callable
        Clock in seconds.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        dialect,
        reader,
        cluster_state,
        chooser,
        latency,
        limits,
        claims,
        metrics,
        grace,
        monotonic,
        rng,
    ):
        self._grace = grace
        self._dialect = dialect
        self._reader = reader
        self._claims = claims
        self._cluster_state = cluster_state
        self._chooser = chooser
        self._limits = limits
        self._metrics = metrics
        self._monotonic = monotonic
        allotments = limits.allotments
        self._admission = create_account_admission(allotments, metrics, monotonic)
        self._fairness = create_fairness(rng)
        self._hedged = create_hedged_attempts(
            chooser, latency, cluster_state, limits, metrics, grace, monotonic
        )
        hedging = self._hedged.hedging
        self._attempts = create_attempts(
            dialect, cluster_state, chooser, latency, hedging, grace, monotonic
        )

    def serve(self, environ):
        """Return the response to one request.

        Parameters
        ----------
        environ : dict
            WSGI environment, with the connection and the unchanged target.

        Returns
        -------
        Response

        Raises
        ------
        BadRequest
            The request is malformed or matches no route; it was not run.
        CallerLeft
            The caller closed its connection.
        """
        try:
            req = self._reader.read(environ)
        except Refused as exc:
            return self._reject(exc.metadata, exc.route, "admission", *exc.rejection)
        except UnknownKey as exc:
            self._metrics.record_rejection(exc.route, exc.message)
            raise
        if req.account is not None:
            req.reservation.account = req.account.name
        # The caller may have disconnected before this process read the request.
        check_caller_connected(req)
        if self._grace.time_to_stop(req).remaining_s == 0:
            return self._reject(req.metadata, req.route.name, "admission", *STOPPING)
        rejection = self._admission.admit(req)
        if rejection is not None:
            wait_s, figures = rejection
            over = (req.metadata, req.route.name, "admission", OVER_ALLOTMENT, wait_s)
            return self._reject(*over, 429, **figures)
        self._limits.retry_budget.record_request(req.service, self._monotonic())
        try:
            result = self._serve(req)
        except CallerLeft:
            self._record_result(req, RequestResult(Response(0, [], b""), "caller-left"))
            raise
        except gevent.GreenletExit:
            stopped = OutcomeUnknown("the instance stopped", "await", "")
            result = RequestResult(self._dialect.fail(504, stopped), "unknown")
        self._admission.record_result(req, result)
        self._record_result(req, result)
        return result.response

    def record_dropped(self, environ):
        """Count and log a request behind the response that closes its connection.

        Parameters
        ----------
        environ : dict
            WSGI environment.
        """
        self._metrics.record_dropped()
        with suppress(BadRequest):
            log_dropped(self._dialect.parse_request(environ))

    def malformed_response(self, exc):
        """Return the response to a request that can't be read.

        Parameters
        ----------
        exc : BadRequest
            What is wrong with it.

        Returns
        -------
        Response
        """
        self._metrics.record_client_error(exc.status, exc.reason)
        return self._dialect.bad_request(exc)

    def _serve(self, req):
        if req.route.idempotent or self._claims is None:
            return self._run(req)
        return run_once(self._claims, self._dialect, req, lambda: self._run(req))

    def _run(self, req):
        """Try endpoints until one responds, and return the result."""
        tried, fallbacks = [], []
        failure = result = None
        while len(tried) < req.route.attempts:  # a hedge counts as an attempt
            if tried and not fallbacks and not self._may_retry(req, failure):
                break
            choice = fallbacks.pop() if fallbacks else self._choose(req, tried)
            if isinstance(choice, Rejection):
                left_to_caller = choice is STOPPING and isinstance(failure, NotRun)
                if failure is not None and not left_to_caller:
                    break
                res = self._reject(req.metadata, req.route.name, "admission", *choice)
                return RequestResult(res, "refused")
            tried.append(choice.state.name)
            abandon = None
            if req.route.idempotent and len(tried) < req.route.attempts:
                abandon = partial(self._fall_back, req, choice.state, tried, fallbacks)
            try:
                send = partial(self._attempts.send, req)
                res, choice = self._hedged.run(
                    send, req, choice, tried, abandon, self._record_failure
                )
            except EndpointError as exc:
                failure = more_severe(failure, exc)
                self._record_failure(req, exc, choice.state)
                if isinstance(exc, FINAL_FAILURES):
                    break
                continue
            result = RequestResult(res, "answered", choice.state.name)
            last = len(tried) >= req.route.attempts
            if last or not req.route.idempotent or res.status < MIN_FAILURE_STATUS:
                return result
            failure = IncompleteAnswer(
                f"status {res.status}", "answer", result.endpoint
            )
            self._record_failure(req, failure, choice.state)
        return result or self._failure_result(req, failure)

    def _fall_back(self, req, state, tried, fallbacks):
        """Return whether to abandon an unresponsive endpoint; if so, add a fallback."""
        now = self._monotonic()
        instances = self._cluster_state.fleet.size()
        if self._grace.stopping or req.deadline - now < MIN_ATTEMPT_S:
            return False
        if not self._chooser.is_unresponsive(state, now):
            return False
        if not self._limits.retry_budget.allows_retry(req.service, now, instances):
            return False
        choice = self._choose(req, tried)
        if isinstance(choice, Rejection):
            return False  # keep waiting: the endpoint may be processing the request
        self._limits.retry_budget.try_acquire(req.service, now, instances)
        fallbacks.append(choice)
        return True

    def _choose(self, req, tried):
        now = self._monotonic()
        remaining_s = req.deadline - now
        ctx = (req.cfg, req.route, req.service, req.object_key, remaining_s, now, tried)
        stop = self._grace.time_to_stop(req)
        queueing_s = over_share = None
        if not tried:
            queueing_s, over_share = self._fairness.max_queueing_s(req, now)
        shift = self._limits.shifts.choose_shift(req.service, now)
        choice = Rejection("no shift", 0.0)
        if shift is not None:
            choice = self._chooser.choose(
                *ctx, shift.shift.destination, stop, queueing_s
            )
        if isinstance(choice, Rejection):
            shift = None
            choice = self._chooser.choose(*ctx, None, stop, queueing_s)
        if isinstance(choice, Rejection):
            return self._admission.explain_rejection(req, choice, over_share)
        if not tried:
            self._fairness.record_accepted(req, now)
        if shift is not None:
            self._limits.shifts.record_move(shift, now)
        if choice.skipped_at_limit:
            self._metrics.record_diversion(req.service)
        log_choice(req, choice, len(tried) + 1, now, shift.shift.name if shift else "")
        return choice

    def _may_retry(self, req, failure):
        now = self._monotonic()
        if req.deadline - now < MIN_ATTEMPT_S:
            return False
        if not isinstance(failure, NotRun) and not req.route.idempotent:
            return False
        check_caller_connected(req)
        if isinstance(failure, NotSent):
            return True
        instances = self._cluster_state.fleet.size()
        return self._limits.retry_budget.try_acquire(req.service, now, instances)

    def _failure_result(self, req, exc):
        if isinstance(exc, KeyRevoked):
            self._metrics.record_rejection(req.route.name, exc.message)
            error = self.malformed_response(BadRequest(401, exc.message, "revoked"))
            return RequestResult(error, "refused")
        if isinstance(exc, ConfigurationStale):
            fields = req.metadata, req.route.name, "admission", *STALE_CONFIGURATION
            return RequestResult(self._reject(*fields), "refused")
        if isinstance(exc, NotRun):
            endpoints, now = self._cluster_state.endpoints, self._monotonic()
            wait_s = paused_s(endpoints, req.route, req.service, now)
            retry_after_s = max(FAILED_RETRY_S, wait_s)
            res = self._dialect.reject(retry_after_s, exc.step, exc.message, exc.peer)
            return RequestResult(res, "not-run")
        in_time = self._monotonic() < min(req.deadline, self._grace.end)
        status = 502 if in_time else 504
        return RequestResult(self._dialect.fail(status, exc), "unknown")

    def _record_result(self, req, result):
        took_s = self._monotonic() - req.arrived
        self._metrics.record_finished(
            req.route.name, result.outcome, result.response.status, took_s
        )
        log_finish(req, result.outcome, result.response.status, result.endpoint, took_s)

    def _reject(
        self, metadata, route, step, reason, retry_after_s, status=503, **figures
    ):
        self._metrics.record_rejection(route, reason)
        log_rejection(metadata, route, reason, retry_after_s, **figures)
        return self._dialect.reject(retry_after_s, step, reason, status=status)

    def _record_failure(self, req, exc, state):
        self._metrics.record_failed_attempt(req.service, type(exc).__name__)
        log_failure(req, exc, exc.peer or state.name)


def create_request_server(*parts):
    """Return the server of callers' requests.

    Parameters
    ----------
    *parts
        As of `RequestServer`.

    Returns
    -------
    RequestServer
    """
    return RequestServer(*parts)
