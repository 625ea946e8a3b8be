"""Serve one request of a caller, from its head to the answer."""

from typing import NamedTuple

import gevent
import xxhash

from quetzalwall.connection.caller import (
    CallerLeft,
    is_closed,
    read_body,
    watch_caller,
)
from quetzalwall.connection.endpoint_client import Exchange
from quetzalwall.connection.http_server import BadRequest
from quetzalwall.exceptions import (
    EndpointError,
    IncompleteAnswer,
    NotConnected,
    NotRun,
)
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.headers import caller_facts, endpoint_headers
from quetzalwall.request.choose import Refusal
from quetzalwall.request.estimate import least
from quetzalwall.request.whole_answer import Answer, refusal
from quetzalwall.version.model import find_route

__all__ = ["RequestServer", "create_request_server"]

DEFAULT_WAIT_S = 30.0  # for callers and routes that name no limit
UNREADY_RETRY_S = 0.5
FAILED_RETRY_S = 0.2
FIRST_FAILURE = 500  # status from which on an answer says that the endpoint failed
STOPPING_RETRY_S = 0.05  # another instance can take it at once
LEAST_USEFUL_S = 0.02  # with less left, another attempt can't be answered
LOG = get_logger("request")


class _Request(NamedTuple):
    """A request that has been read."""

    facts: object
    cfg: object
    route: object
    service: str
    method: str
    target: str
    body: bytes
    object_key: int | None
    arrived: float
    deadline: float
    sock: object


class RequestServer:
    """Serves requests on one instance.

    Parameters
    ----------
    knowledge : Knowledge
        Configuration, endpoints and fleet.
    chooser : Chooser
        Chooses endpoints.
    durations : Durations
        Learns what work takes.
    limits : Limits of the fleet
        Retry allowance and weighted split.
    metrics : FrontMetrics
        Counters.
    monotonic : callable
        Clock in seconds.
    """

    def __init__(self, knowledge, chooser, durations, limits, metrics, monotonic):
        self._knowledge = knowledge
        self._chooser = chooser
        self._durations = durations
        self._limits = limits
        self._metrics = metrics
        self._monotonic = monotonic

    def serve(self, environ, taking_s=None):
        """Return the answer to one request.

        Parameters
        ----------
        environ : dict
            WSGI environment, with the connection and the target as they came.
        taking_s : float, default=None
            Seconds within which a request must be answered, if this instance is
            about to stop; 0 refuses it.

        Returns
        -------
        Answer

        Raises
        ------
        BadRequest
            The request is malformed or no route takes it; it was not run.
        CallerLeft
            The caller closed its connection.
        """
        req = self._read(environ)
        if isinstance(req, Answer):
            return req
        if taking_s == 0:
            self._log_refusal(req.facts, req.route.name, "stopping", STOPPING_RETRY_S)
            return refusal(STOPPING_RETRY_S, "stopping")
        self._limits.retries.note_request(req.service, req.arrived)
        watcher = None
        if req.route.idempotent and req.sock is not None:
            watcher = gevent.spawn(watch_caller, req.sock, gevent.getcurrent())
        try:
            answer, outcome, state = self._run(req, taking_s)
        except CallerLeft:
            self._finish(req, "caller-left", 0, None)
            raise
        finally:
            if watcher is not None:
                watcher.kill(block=False)
        self._finish(req, outcome, answer.status, state)
        return answer

    def _read(self, environ):
        arrived = self._monotonic()
        facts = caller_facts(environ)
        cfg = self._knowledge.configuration()
        target = environ["quetzalwall.target"]
        if cfg is None:
            self._log_refusal(facts, "", "no configuration", UNREADY_RETRY_S)
            return refusal(UNREADY_RETRY_S, "no configuration yet")
        host = environ.get("HTTP_HOST", "").partition(":")[0].lower()
        path = target.partition("?")[0]
        route = find_route(cfg, host, path)
        if route is None:
            log_event(
                LOG,
                "no-route",
                "warning",
                req=facts.request_id,
                host=host,
                path=path[:80],
                version=cfg.version,
            )
            raise BadRequest(404, f"no route for {host}{path[:80]}")
        body = read_body(environ, cfg.limits.body_bytes)
        limit_s = least(facts.wait_s, route.timeout_s)
        return _Request(
            facts=facts,
            cfg=cfg,
            route=route,
            service=self._limits.split.next_service(route),
            method=environ["REQUEST_METHOD"],
            target=target,
            body=body,
            object_key=_object_key(route, facts),
            arrived=arrived,
            deadline=arrived + min(limit_s, DEFAULT_WAIT_S),
            sock=environ.get("quetzalwall.socket"),
        )

    def _run(self, req, taking_s):
        """Return the answer, the outcome and the endpoint that gave it."""
        tried = []
        failure = poor = None
        for attempt in range(1, req.route.attempts + 1):
            if attempt > 1 and not self._may_retry(req, failure):
                break
            last = attempt == req.route.attempts
            now = self._monotonic()
            choice = self._chooser.choose(
                req.cfg,
                req.route,
                req.service,
                req.object_key,
                min(req.deadline - now, least(taking_s, None)),
                now,
                tried,
            )
            if isinstance(choice, Refusal):
                if failure is not None:
                    break
                self._log_refusal(
                    req.facts, req.route.name, choice.reason, choice.retry_after_s
                )
                return refusal(choice.retry_after_s, choice.reason), "refused", None
            tried.append(choice.state.name)
            self._log_choice(req, choice, attempt, now)
            try:
                answer = self._attempt(req, choice)
            except EndpointError as exc:
                failure = _graver(failure, exc)
                self._log_failure(req, exc, choice)
                continue
            poor = answer, "answered", choice.state
            if last or not req.route.idempotent or answer.status < FIRST_FAILURE:
                return poor
            failure = IncompleteAnswer(f"status {answer.status}", "answer", tried[-1])
            self._log_failure(req, failure, choice)
        return poor or self._failed(req, failure)

    def _may_retry(self, req, failure):
        now = self._monotonic()
        if req.deadline - now < LEAST_USEFUL_S:
            return False
        if not isinstance(failure, NotRun) and not req.route.idempotent:
            return False
        if req.sock is not None and is_closed(req.sock):
            raise CallerLeft
        if isinstance(failure, NotConnected):
            return True
        instances = self._knowledge.fleet.size()
        return self._limits.retries.take(req.service, now, instances)

    def _attempt(self, req, choice):
        state = choice.state
        began = self._monotonic()
        left_s = req.deadline - began
        exchange = Exchange(
            req.method,
            req.target,
            endpoint_headers(req.facts, state.name, left_s),
            req.body,
            req.facts.request_id,
            req.route.idempotent,
        )
        opened = state.client.opened
        state.own_open += 1
        try:
            answer, facts = state.client.exchange(exchange, req.deadline)
        except EndpointError as exc:
            if state.note_failure(
                self._monotonic(), certain=isinstance(exc, NotConnected)
            ):
                log_event(LOG, "avoided", "warning", endpoint=state.name)
            raise
        finally:
            state.own_open -= 1
        if state.client.opened > opened:
            self._durations.note_distance(state.region, state.client.connect_s)
        return self._judge(req, choice, answer, facts, began)

    def _judge(self, req, choice, answer, facts, began):
        """Take over what an answer tells; raise if the request has not run."""
        now = self._monotonic()
        state = choice.state
        if facts.load is not None:
            state.note_slowness(facts.load[3], now, own=True)
        if facts.misdirected:
            state.wrong_address = True
            raise NotRun("another endpoint has the address", "match", state.name)
        if facts.not_run:
            state.note_shed(now)
            raise NotRun(f"status {answer.status}", "endpoint", state.name)
        if answer.status >= FIRST_FAILURE:
            state.note_failure(now)
        else:
            state.note_success()
        if req.object_key is not None:
            state.note_held(req.object_key)
            self._knowledge.fleet.note_held(state.name, req.object_key)
        if choice.wait_s == 0 and not state.cold(now):
            way_s = self._durations.round_trip_s(state.region)
            seconds = max(0.001, now - began - way_s) / choice.slowness
            durations = self._durations
            durations.note_work(req.route, req.service, choice.held, seconds)
            durations.note_depth(req.route, req.service, choice.depth, seconds)
        return Answer(answer.status, facts.headers, answer.body)

    def _failed(self, req, failure):
        if isinstance(failure, NotRun):
            return refusal(FAILED_RETRY_S, failure.message), "not-run", None
        status = 504 if self._monotonic() >= req.deadline else 502
        body = f"{failure.step}: {failure.message}\n".encode()
        return Answer(status, [("Content-Type", "text/plain")], body), "unknown", None

    def _finish(self, req, outcome, status, state):
        took_s = self._monotonic() - req.arrived
        self._metrics.answered(req.route.name, outcome, status, took_s)
        log_event(
            LOG,
            "finished",
            req=req.facts.request_id,
            route=req.route.name,
            outcome=outcome,
            status=status,
            endpoint=state.name if state else "none",
            took_s=took_s,
            target_s=req.route.target_s,
        )

    def _log_choice(self, req, choice, attempt, now):
        state = choice.state
        log_event(
            LOG,
            "routed",
            req=req.facts.request_id,
            route=req.route.name,
            version=req.cfg.version,
            service=req.service,
            object="none" if req.object_key is None else req.object_key,
            endpoint=state.name,
            attempt=attempt,
            rank=choice.rank,
            held=choice.held,
            depth=choice.depth,
            own=state.own_open,
            peers=state.peer_open,
            slow=choice.slowness,
            cold=state.cold(now),
            expected_s=choice.expected_s,
            left_s=req.deadline - now,
            of=choice.of,
        )

    def _log_refusal(self, facts, route, reason, retry_after_s):
        self._metrics.refused(route, reason)
        log_event(
            LOG,
            "refused",
            "warning",
            req=facts.request_id,
            route=route or "none",
            reason=reason,
            retry_after_s=retry_after_s,
        )

    def _log_failure(self, req, exc, choice):
        self._metrics.failed(req.service, type(exc).__name__)
        log_event(
            LOG,
            "failed",
            "warning",
            req=req.facts.request_id,
            route=req.route.name,
            endpoint=choice.state.name,
            kind=type(exc).__name__,
            step=exc.step,
            reason=exc.message,
        )


def _graver(failure, exc):
    """Return the failure that leaves more open; what may have run is not "not run"."""
    if failure is None or isinstance(failure, NotRun):
        return exc
    return failure


def _object_key(route, facts):
    # What an endpoint keeps of an object serves the requests of one route only.
    if not route.sticky or not facts.object_key:
        return None
    return xxhash.xxh32_intdigest(f"{route.name}/{facts.object_key}".encode())


def create_request_server(knowledge, chooser, durations, limits, metrics, monotonic):
    """Return the server of callers' requests.

    Parameters
    ----------
    knowledge : Knowledge
        Configuration, endpoints and fleet.
    chooser : Chooser
        Chooses endpoints.
    durations : Durations
        Learns what work takes.
    limits : FleetLimits
        Retry allowance and weighted split.
    metrics : FrontMetrics
        Counters.
    monotonic : callable
        Clock in seconds.

    Returns
    -------
    RequestServer
    """
    return RequestServer(knowledge, chooser, durations, limits, metrics, monotonic)
