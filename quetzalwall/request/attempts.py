"""Send requests to chosen endpoints and record what their responses tell."""

from functools import partial

from quetzalwall.connection.endpoint_request import EndpointRequest
from quetzalwall.exceptions import EndpointError, IncompleteAnswer, NotRun
from quetzalwall.request.account_access import check_access
from quetzalwall.request.attempt_failure import record_attempt_failure
from quetzalwall.request.limit_announcement import record_limit_announcement
from quetzalwall.request.response import Response
from quetzalwall.request.send_checks import check_may_send

__all__ = ["MIN_FAILURE_STATUS", "Attempts", "create_attempts"]

MIN_FAILURE_STATUS = 500  # HTTP status from which on the endpoint has failed


class Attempts:
    """Sends requests of one instance to endpoints, one attempt at a time.

    Parameters
    ----------
    dialect : Dialect
        Protocol variant of callers and endpoints.
    cluster_state : ClusterState
        Configuration, endpoints and fleet.
    chooser : Chooser
        Knows which endpoints are unresponsive.
    latency : LatencyModel
        Learns processing times and round trips.
    hedging : Hedging
        Learns how long attempts take.
    grace : GracePeriod
        Limits the requests of an instance that is stopping.
    monotonic : callable
        Clock in seconds.
    """

    def __init__(
        self, dialect, cluster_state, chooser, latency, hedging, grace, monotonic
    ):
        self._dialect = dialect
        self._cluster_state = cluster_state
        self._chooser = chooser
        self._latency = latency
        self._hedging = hedging
        self._grace = grace
        self._monotonic = monotonic

    def send(self, req, choice, should_abandon):
        """Send a request to one endpoint and return the response for the caller.

        Parameters
        ----------
        req : Request
            What to send.
        choice : Choice
            The endpoint, and what is expected of it.
        should_abandon : callable or None
            Tells whether to give up an endpoint that is unresponsive; None if
            the request waits until its deadline.

        Returns
        -------
        Response

        Raises
        ------
        EndpointError
            The endpoint gave no response that can be passed on.
        """
        check_access(req, self._cluster_state)
        state = choice.state
        began = self._monotonic()
        deadline = min(req.deadline, self._grace.end)
        endpoint_req = EndpointRequest(
            req.method,
            req.target,
            self._dialect.endpoint_headers(req.metadata, state.name, deadline - began),
            req.body,
            req.metadata.request_id,
            req.route.idempotent,
            should_abandon,
            req.reservation,
            partial(self._check_may_send, req, choice),
        )
        opened = state.client.opened_count
        state.own_in_flight += 1
        try:
            res, meta = state.client.send(endpoint_req, deadline)
        except EndpointError as exc:
            if not isinstance(exc, NotRun):
                elapsed_s = self._monotonic() - began
                self._latency.record_unfinished(req.route, elapsed_s)
            record_attempt_failure(state, exc, self._monotonic())
            raise
        finally:
            state.own_in_flight -= 1
        if state.client.opened_count > opened:
            self._latency.record_rtt(state.region, state.client.connect_s)
        return self._check_response(req, choice, res, meta, began)

    def _check_may_send(self, req, choice):
        check_access(req, self._cluster_state)
        endpoints, now = self._cluster_state.endpoints, self._monotonic()
        check_may_send(req, choice, endpoints, self._chooser, self._grace, now)

    def _check_response(self, req, choice, res, meta, began):
        """Record what an endpoint's response tells; raise if it can't be used."""
        now = self._monotonic()
        state = choice.state
        if meta.load is not None:
            state.record_slowness(meta.load[3], now, own=True)
        record_limit_announcement(state, meta, now)
        if meta.misdirected:
            self._cluster_state.endpoints.addresses.record_wrong_address(state)
            raise NotRun("another endpoint has the address", "match", state.name)
        if meta.not_run:
            state.record_shed(now)
            raise NotRun(f"status {res.status}", "endpoint", state.name)
        valid = meta.authentic and (req.route.idempotent or not meta.implies_not_run)
        if res.status >= MIN_FAILURE_STATUS or not valid:
            state.record_failure(now)
        else:
            state.record_success()
        if not valid:
            raise IncompleteAnswer(f"status {res.status}", "answer", state.name)
        if req.object_key is not None:
            state.record_cached(req.object_key)
            self._cluster_state.fleet.announce_cached(state.name, req.object_key)
        self._hedging.record_attempt(req.route, choice, now - began, now)
        self._latency.record_response_size(req.route, len(res.body))
        if choice.queueing_delay_s == 0 and not state.cold(now):
            rtt_s = self._latency.rtt_s(state.region)
            work = max(0.001, now - began - rtt_s) / choice.slowness  # seconds
            model = self._latency
            model.record_work(req.route, req.service, choice.cached, work)
            model.learn_cache_size(req.route, req.service, choice.reuse_distance, work)
        return Response(
            res.status, self._dialect.response_headers(meta.headers), res.body
        )


def create_attempts(*parts):
    """Return what sends requests to endpoints.

    Parameters
    ----------
    *parts
        As of `Attempts`.

    Returns
    -------
    Attempts
    """
    return Attempts(*parts)
