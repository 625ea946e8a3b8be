"""Run an attempt, and a hedge beside it if it is late; the first response is used."""

from functools import partial

import gevent
from gevent.queue import Empty, Queue

from quetzalwall.connection.caller_connection import CallerLeft
from quetzalwall.exceptions import EndpointError, IncompleteAnswer
from quetzalwall.request.hedging import CHECK_RATIO, create_hedging
from quetzalwall.request.request import more_severe
from quetzalwall.request.request_log import log_choice, log_hedge_won

__all__ = ["HedgedAttempts", "create_hedged_attempts"]

MIN_FAILURE_STATUS = 500  # a hedge that still runs may give a better response


class HedgedAttempts:
    """Runs attempts of requests and hedges the late ones.

    Parameters
    ----------
    hedging : Hedging
        Decides which attempts are hedged.
    cluster_state : ClusterState
        Tells the number of instances.
    metrics : FrontMetrics
        Counters.
    grace : GracePeriod
        Tells whether this instance is stopping.
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    hedging : Hedging
        As above.
    """

    def __init__(self, hedging, cluster_state, metrics, grace, monotonic):
        self.hedging = hedging
        self._cluster_state = cluster_state
        self._metrics = metrics
        self._grace = grace
        self._monotonic = monotonic

    def run(self, attempt, req, first, tried, should_abandon, record_failure):
        """Return a valid response to a request and the endpoint that it came from.

        Parameters
        ----------
        attempt : callable
            Sends the request; called with a choice and `should_abandon`.
        req : Request
            The request.
        first : Choice
            Endpoint of the first attempt.
        tried : list of str
            Endpoints of all attempts so far; that of a hedge is added.
        should_abandon : callable or None
            As of `EndpointRequest`, for the first attempt while it has no hedge.
        record_failure : callable
            Called with the request, an error and an endpoint if one of two attempts
            fails before the other.

        Returns
        -------
        (Response, Choice)

        Raises
        ------
        EndpointError
            No attempt got a response.
        CallerLeft
            The caller closed its connection.
        """
        late_s = self.hedging.late_after_s(req.route, first, self._monotonic())
        if late_s is None:
            return attempt(first, should_abandon), first
        hedged = _HedgedAttempt(self, attempt, req, first, tried, record_failure)
        return hedged.run(late_s, should_abandon)


class _HedgedAttempt:
    """One attempt of a request and its hedge, each in a task of its own."""

    def __init__(self, parts, attempt, req, first, tried, record_failure):
        self._parts = parts
        self._attempt = attempt
        self._req = req
        self._first = first
        self._tried = tried
        self._record_failure = record_failure
        self._began = parts._monotonic()
        self._hedge = None
        self._hedged_at = None
        self._withheld = ""  # why there is no hedge, as of the last decision
        self._tasks = {}
        self._ended = Queue()

    def run(self, late_s, should_abandon):
        abandon = None
        if should_abandon is not None:
            abandon = partial(self._may_abandon, should_abandon)
        self._start(self._first, abandon)
        try:
            winner, res = self._await_response(late_s)
        finally:
            if self._hedge is not None and self._hedge.state.name in self._tasks:
                self._record("cancelled")
            if self._hedge is None and self._withheld:
                service = self._req.service
                self._parts._metrics.record_withheld_hedge(service, self._withheld)
            # The connections of the attempts that are cancelled close here.
            gevent.killall(list(self._tasks.values()))
        return res, winner

    def _await_response(self, late_s):
        failure, failed = None, None
        while self._tasks:
            late_s = self._hedge_if_late(late_s)
            wait_s = None
            if late_s is not None:
                wait_s = max(0.0, self._began + late_s - self._parts._monotonic())
            try:
                choice, res, exc = self._ended.get(timeout=wait_s)
            except Empty:
                continue
            del self._tasks[choice.state.name]
            if exc is None and res.status < MIN_FAILURE_STATUS:
                self._record_won(choice)
                return choice, res
            if exc is not None and not isinstance(exc, EndpointError):
                raise exc
            if choice is self._hedge:
                self._record("failed")
            if exc is None:
                failed = choice, res
                exc = IncompleteAnswer(
                    f"status {res.status}", "answer", choice.state.name
                )
            failure = more_severe(failure, exc)
            if self._tasks:
                self._record_failure(self._req, exc, choice.state)
        if failed is not None:
            return failed
        raise failure

    def _hedge_if_late(self, late_s):
        """Decide on the hedge once the attempt is late; return when to look again."""
        parts, req, first = self._parts, self._req, self._first
        now = parts._monotonic()
        if late_s is None or now < self._began + late_s:
            return late_s
        # The endpoint may have become slower since, which other instances report.
        late_s = parts.hedging.late_after_s(req.route, first, now)
        if late_s is None or now < self._began + late_s or not self._ended.empty():
            return late_s
        instances = parts._cluster_state.fleet.size()
        choice = "stopping"
        if not parts._grace.stopping:
            elapsed_s = now - self._began
            choice = parts.hedging.decide(
                req, first, self._tried, elapsed_s, now, instances
            )
        if isinstance(choice, str):
            self._withheld = choice
            return CHECK_RATIO * (now - self._began)
        self._hedge, self._hedged_at = choice, now
        self._tried.append(choice.state.name)
        log_choice(req, choice, len(self._tried), now, "")
        self._record("sent")
        self._start(choice, None)
        return None

    def _start(self, choice, should_abandon):
        self._tasks[choice.state.name] = gevent.spawn(
            _run_attempt, self._attempt, choice, should_abandon, self._ended
        )

    def _may_abandon(self, should_abandon):
        # With a hedge, a fallback would be a third attempt.
        return self._hedge is None and should_abandon()

    def _record_won(self, choice):
        if choice is not self._hedge:
            return
        self._record("won")
        parts, first, now = self._parts, self._first, self._parts._monotonic()
        elapsed_s = now - self._began
        if first.state.name in self._tasks:
            route = self._req.route
            parts.hedging.record_attempt(route, first, elapsed_s, now, complete=False)
        delay_s = self._hedged_at - self._began
        names = first.state.name, choice.state.name
        log_hedge_won(self._req, *names, delay_s, elapsed_s)

    def _record(self, result):
        self._parts._metrics.record_hedge(self._req.service, result)


def _run_attempt(attempt, choice, should_abandon, ended):
    """Run an attempt and pass on its response or error, unless it is cancelled."""
    try:
        ended.put((choice, attempt(choice, should_abandon), None))
    except (CallerLeft, Exception) as exc:
        ended.put((choice, None, exc))


def create_hedged_attempts(
    chooser, latency, cluster_state, limits, metrics, grace, monotonic
):
    """Return hedged attempts of one instance.

    Parameters
    ----------
    chooser, latency
        As of `Hedging`.
    cluster_state : ClusterState
        Endpoints and fleet.
    limits : FleetLimits
        Has the retry budget.
    metrics, grace, monotonic
        As of `HedgedAttempts`.

    Returns
    -------
    HedgedAttempts
    """
    endpoints, budget = cluster_state.endpoints, limits.retry_budget
    hedging = create_hedging(chooser, endpoints, latency, budget)
    return HedgedAttempts(hedging, cluster_state, metrics, grace, monotonic)
