"""Serve one request of a caller, from its head to the answer."""

from functools import partial

import gevent

from quetzalwall.connection.caller_connection import (
    CallerLeft,
    NoMemory,
    cancel_on_disconnect,
    read_body,
)
from quetzalwall.connection.endpoint_client import EndpointRequest
from quetzalwall.connection.http_server import BadRequest
from quetzalwall.exceptions import (
    EndpointError,
    IncompleteAnswer,
    NoRoom,
    NotRun,
    NotSent,
    OutcomeUnknown,
)
from quetzalwall.request.choice import STOPPING, Rejection
from quetzalwall.request.latency_model import least
from quetzalwall.request.note_limit import note_limit
from quetzalwall.request.request_log import (
    log_choice,
    log_failure,
    log_finish,
    log_no_route,
    log_refusal,
)
from quetzalwall.request.response import Response
from quetzalwall.request.run_once import run_once
from quetzalwall.request.still_wanted import check_caller, check_wanted
from quetzalwall.request.unanswered import note_unanswered
from quetzalwall.request.work import Ended, Request, graver, object_code
from quetzalwall.version.model import find_route

__all__ = ["RequestServer", "create_request_server"]

DEFAULT_WAIT_S = 30.0  # for callers and routes that name no limit
UNREADY_RETRY_S = 0.5
FAILED_RETRY_S = 0.2
FIRST_FAILURE = 500  # status from which on an answer says that the endpoint failed
MEMORY_RETRY_S = 1.0
LEAST_USEFUL_S = 0.02  # with less left, another attempt can't be answered


class RequestServer:
    """Serves requests on one instance.

    Parameters
    ----------
    dialect : Dialect
        How callers and endpoints speak.
    cluster_state : ClusterState
        Configuration, endpoints and fleet.
    chooser : Chooser
        Chooses endpoints.
    latency : LatencyModel
        Learns what work takes.
    limits : FleetLimits
        Retry allowance, weighted split and shifts.
    claims : Claims or None
        Guard requests that are not idempotent by the key that they carry; None where
        callers give them none.
    metrics : FrontMetrics
        Counters.
    grace : GracePeriod
        Bounds what a stopping instance takes.
    monotonic : callable
        Clock in seconds.
    """

    def __init__(
        self,
        dialect,
        cluster_state,
        chooser,
        latency,
        limits,
        claims,
        metrics,
        grace,
        monotonic,
    ):
        self._grace = grace
        self._dialect = dialect
        self._claims = claims
        self._cluster_state = cluster_state
        self._chooser = chooser
        self._latency = latency
        self._limits = limits
        self._metrics = metrics
        self._monotonic = monotonic

    def serve(self, environ):
        """Return the answer to one request.

        Parameters
        ----------
        environ : dict
            WSGI environment, with the connection and the target as they came.

        Returns
        -------
        Response

        Raises
        ------
        BadRequest
            The request is malformed or no route takes it; it was not run.
        CallerLeft
            The caller closed its connection.
        """
        req = self._read(environ)
        if isinstance(req, Response):
            return req
        # It may have given up while its request waited for this process.
        check_caller(req)
        if self._grace.accept_limit_s() == 0:
            return self._refuse(req.facts, req.route.name, "admission", *STOPPING)
        self._limits.retry_budget.record_request(req.service, req.arrived)
        watcher = None
        if req.route.idempotent and req.sock is not None:
            watcher = gevent.spawn(cancel_on_disconnect, req.sock, gevent.getcurrent())
        try:
            ended = self._serve(req)
        except CallerLeft:
            self._finish(req, Ended(Response(0, [], b""), "caller-left"))
            raise
        except gevent.GreenletExit:
            stopped = OutcomeUnknown("the instance stopped", "await", "")
            ended = Ended(self._dialect.fail(504, stopped), "unknown")
        finally:
            if watcher is not None:
                watcher.kill(block=False)
        self._finish(req, ended)
        return ended.answer

    def malformed_response(self, exc):
        """Return the answer to a request that can't be read.

        Parameters
        ----------
        exc : BadRequest
            What is wrong with it.

        Returns
        -------
        Response
        """
        return self._dialect.bad_request(exc)

    def _serve(self, req):
        if req.route.idempotent or self._claims is None:
            return self._run(req)
        return run_once(self._claims, self._dialect, req, lambda: self._run(req))

    def _read(self, environ):
        arrived = self._monotonic()
        facts = self._dialect.parse_request(environ)
        host, target = self._dialect.host_and_path(environ)
        cfg = self._cluster_state.configuration()
        if cfg is None:
            return self._refuse(
                facts, "", "admission", "no configuration", UNREADY_RETRY_S
            )
        method = environ["REQUEST_METHOD"]
        path = target.partition("?")[0]
        route = find_route(cfg, host, path, method)
        if route is None:
            log_no_route(facts, host, path, cfg.version)
            raise BadRequest(404, f"no route for {host}{path[:80]}")
        hold = environ["quetzalwall.hold"]
        try:
            body = read_body(environ, cfg.limits.body_bytes, hold)
        except NoMemory:
            return self._refuse(
                facts, route.name, "admission", "no memory", MEMORY_RETRY_S
            )
        limit_s = least(facts.timeout_s, route.timeout_s)
        return Request(
            facts=facts,
            cfg=cfg,
            route=route,
            service=self._limits.split.next_service(route),
            method=method,
            target=target,
            body=body,
            object_key=object_code(route, facts),
            arrived=arrived,
            deadline=arrived + min(limit_s, DEFAULT_WAIT_S),
            sock=environ.get("quetzalwall.socket"),
            hold=hold,
        )

    def _run(self, req):
        """Try endpoints until one answers, and return what became of the request."""
        tried, spare = [], []
        failure = poor = None
        for attempt in range(1, req.route.attempts + 1):
            if attempt > 1 and not spare and not self._may_retry(req, failure):
                break
            choice = spare.pop() if spare else self._choose(req, tried)
            if isinstance(choice, Rejection):
                left_to_caller = choice is STOPPING and isinstance(failure, NotRun)
                if failure is not None and not left_to_caller:
                    break
                answer = self._refuse(req.facts, req.route.name, "admission", *choice)
                return Ended(answer, "refused")
            tried.append(choice.state.name)
            last = attempt == req.route.attempts
            hopeless = None
            if req.route.idempotent and not last:
                hopeless = partial(self._find_spare, req, choice.state, tried, spare)
            try:
                answer = self._attempt(req, choice, hopeless)
            except EndpointError as exc:
                failure = graver(failure, exc)
                self._note_failure(req, exc, choice.state)
                if isinstance(exc, NoRoom):
                    break
                continue
            poor = Ended(answer, "answered", choice.state.name)
            if last or not req.route.idempotent or answer.status < FIRST_FAILURE:
                return poor
            failure = IncompleteAnswer(f"status {answer.status}", "answer", tried[-1])
            self._note_failure(req, failure, choice.state)
        return poor or self._failed(req, failure)

    def _find_spare(self, req, state, tried, spare):
        """Return whether to leave a silent endpoint for another one, found here.

        A request is not left there without another endpoint that takes it: the silent
        one may be at work.
        """
        now = self._monotonic()
        instances = self._cluster_state.fleet.size()
        if self._grace.stopping or req.deadline - now < LEAST_USEFUL_S:
            return False
        if not self._chooser.is_unresponsive(state, now):
            return False
        if not self._limits.retry_budget.allows_retry(req.service, now, instances):
            return False
        choice = self._choose(req, tried)
        if isinstance(choice, Rejection):
            return False
        self._limits.retry_budget.try_acquire(req.service, now, instances)
        spare.append(choice)
        return True

    def _choose(self, req, tried):
        now = self._monotonic()
        left_s = req.deadline - now
        asked = (req.cfg, req.route, req.service, req.object_key, left_s, now, tried)
        # The next attempt of a request at work may begin at any time.
        stop_s = self._grace.end - now if tried else self._grace.accept_limit_s()
        shift = self._limits.shifts.choose_shift(req.service, now)
        choice = Rejection("no shift", 0.0)
        if shift is not None:
            choice = self._chooser.choose(*asked, shift.shift.to, stop_s)
        if isinstance(choice, Rejection):
            shift = None
            choice = self._chooser.choose(*asked, None, stop_s)
        if isinstance(choice, Rejection):
            return choice
        if shift is not None:
            self._limits.shifts.record_move(shift, now)
        if choice.limited:
            self._metrics.record_diversion(req.service)
        log_choice(req, choice, len(tried) + 1, now, shift.shift.name if shift else "")
        return choice

    def _may_retry(self, req, failure):
        now = self._monotonic()
        if req.deadline - now < LEAST_USEFUL_S:
            return False
        if not isinstance(failure, NotRun) and not req.route.idempotent:
            return False
        check_caller(req)
        if isinstance(failure, NotSent):
            return True
        instances = self._cluster_state.fleet.size()
        return self._limits.retry_budget.try_acquire(req.service, now, instances)

    def _attempt(self, req, choice, hopeless):
        state = choice.state
        began = self._monotonic()
        deadline = min(req.deadline, self._grace.end)
        exchange = EndpointRequest(
            req.method,
            req.target,
            self._dialect.endpoint_headers(req.facts, state.name, deadline - began),
            req.body,
            req.facts.request_id,
            req.route.idempotent,
            hopeless,
            req.hold,
            partial(self._check_wanted, req, choice),
        )
        opened = state.client.opened_count
        state.own_in_flight += 1
        try:
            answer, facts = state.client.send(exchange, deadline)
        except EndpointError as exc:
            if not isinstance(exc, NotRun):
                waited_s = self._monotonic() - began
                self._latency.note_unfinished(req.route, waited_s)
            note_unanswered(state, exc, self._monotonic())
            raise
        finally:
            state.own_in_flight -= 1
        if state.client.opened_count > opened:
            self._latency.note_distance(state.region, state.client.connect_s)
        return self._judge(req, choice, answer, facts, began)

    def _check_wanted(self, req, choice):
        endpoints, now = self._cluster_state.endpoints, self._monotonic()
        check_wanted(req, choice, endpoints, self._chooser, self._grace, now)

    def _judge(self, req, choice, answer, facts, began):
        """Take over what an answer tells; raise if the request has not run."""
        now = self._monotonic()
        state = choice.state
        if facts.load is not None:
            state.record_slowness(facts.load[3], now, own=True)
        note_limit(state, facts, now)
        if facts.misdirected:
            state.wrong_address = True
            raise NotRun("another endpoint has the address", "match", state.name)
        if facts.not_run:
            state.record_shed(now)
            raise NotRun(f"status {answer.status}", "endpoint", state.name)
        kept = facts.authentic and (req.route.idempotent or not facts.implies_not_run)
        if answer.status >= FIRST_FAILURE or not kept:
            state.record_failure(now)
        else:
            state.record_success()
        if not kept:
            raise IncompleteAnswer(f"status {answer.status}", "answer", state.name)
        if req.object_key is not None:
            state.record_cached(req.object_key)
            self._cluster_state.fleet.announce_cached(state.name, req.object_key)
        if choice.queueing_delay_s == 0 and not state.cold(now):
            way_s = self._latency.round_trip_s(state.region)
            seconds = max(0.001, now - began - way_s) / choice.slowness
            latency = self._latency
            latency.record_work(req.route, req.service, choice.cached, seconds)
            latency.learn_cache_size(
                req.route, req.service, choice.reuse_distance, seconds
            )
        return Response(
            answer.status, self._dialect.response_headers(facts.headers), answer.body
        )

    def _failed(self, req, failure):
        if isinstance(failure, NotRun):
            answer = self._dialect.reject(
                FAILED_RETRY_S, failure.step, failure.message, failure.peer
            )
            return Ended(answer, "not-run")
        in_time = self._monotonic() < min(req.deadline, self._grace.end)
        status = 502 if in_time else 504
        return Ended(self._dialect.fail(status, failure), "unknown")

    def _finish(self, req, ended):
        took_s = self._monotonic() - req.arrived
        self._metrics.record_finished(
            req.route.name, ended.outcome, ended.answer.status, took_s
        )
        log_finish(req, ended.outcome, ended.answer.status, ended.endpoint, took_s)

    def _refuse(self, facts, route, step, reason, retry_after_s):
        self._metrics.record_rejection(route, reason)
        log_refusal(facts, route, reason, retry_after_s)
        return self._dialect.reject(retry_after_s, step, reason)

    def _note_failure(self, req, exc, state):
        self._metrics.record_failed_attempt(req.service, type(exc).__name__)
        log_failure(req, exc, state.name)


def create_request_server(
    dialect, cluster_state, chooser, latency, limits, claims, metrics, grace, monotonic
):
    """Return the server of callers' requests.

    Parameters
    ----------
    dialect, cluster_state, chooser, latency, limits, claims, metrics, grace, monotonic
        As of `RequestServer`.

    Returns
    -------
    RequestServer
    """
    return RequestServer(
        dialect,
        cluster_state,
        chooser,
        latency,
        limits,
        claims,
        metrics,
        grace,
        monotonic,
    )
