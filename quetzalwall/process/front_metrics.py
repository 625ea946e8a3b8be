"""Metrics of an instance in the format of Prometheus."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ["FrontMetrics", "create_front_metrics"]

DURATION_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30)


class FrontMetrics:
    """Counters, gauges and a histogram, in a registry of their own."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self._responses = self._counter("answers", ["route", "outcome", "status"])
        self._rejections = self._counter("refusals", ["route", "reason"])
        self._failed_attempts = self._counter("attempts_failed", ["service", "kind"])
        self._diversions = self._counter("limited_elsewhere", ["service"])
        self._hedges = self._counter("hedges", ["service", "result"])
        self._withheld = self._counter("hedges_withheld", ["service", "reason"])
        self._lookups = self._counter("lookups", [])
        self._client_errors = self._counter("client_errors", ["status", "reason"])
        self._account_requests = self._counter(
            "account_requests", ["account", "result"]
        )
        self._dropped = self._counter("dropped", [])
        self._exchanged_bytes = self._counter("exchanged_bytes", ["kind", "distance"])
        self._exported_bytes = {}
        self._rejected_heads = self._counter("heads_rejected", ["reason"])
        self._cut_off = self._counter("responses_cut_off", ["reason"])
        self._exported_totals = {}
        self._durations = Histogram(
            "quetzalwall_request_seconds",
            "From a request's arrival to its answer",
            ["route"],
            buckets=DURATION_BUCKETS_S,
            registry=self.registry,
        )
        self._gauges = {}
        self._children = {}

    def record_finished(self, route, outcome, status, seconds):
        """Count a request that has ended.

        Parameters
        ----------
        route, outcome : str
            Labels.
        status : int
            HTTP status; 0 if the caller disconnected.
        seconds : float
            Time since its arrival.
        """
        self._child(self._responses, route, outcome, str(status)).inc()
        self._child(self._durations, route).observe(seconds)

    def record_rejection(self, route, reason):
        """Count a request that was rejected before it was sent.

        Parameters
        ----------
        route, reason : str
            Labels.
        """
        self._child(self._rejections, route, reason).inc()

    def record_client_error(self, status, reason):
        """Count a response of this instance that says that the request is wrong.

        Responses of endpoints with such a status are counted as answers.

        Parameters
        ----------
        status : int
            HTTP status, 400 to 499.
        reason : str
            Label.
        """
        self._child(self._client_errors, str(status), reason).inc()

    def record_account(self, account, result):
        """Count a request of a client account.

        Parameters
        ----------
        account : str
            Label.
        result : str
            Label: ``"admitted"``, ``"over allotment"`` or ``"fairness"``.
        """
        self._child(self._account_requests, account, result).inc()

    def prune_accounts(self, accounts):
        """Remove the metrics of client accounts that no longer exist.

        Parameters
        ----------
        accounts : container of str
            Names of the accounts of the active configuration.
        """
        for key in list(self._children):
            metric, labels = key
            if metric is self._account_requests and labels[0] not in accounts:
                del self._children[key]
                metric.remove(*labels)

    def record_failed_attempt(self, service, kind):
        """Count an attempt that failed.

        Parameters
        ----------
        service, kind : str
            Labels.
        """
        self._child(self._failed_attempts, service, kind).inc()

    def record_diversion(self, service):
        """Count a request diverted by the limit that a preferred endpoint advertises.

        Parameters
        ----------
        service : str
            Label.
        """
        self._child(self._diversions, service).inc()

    def record_hedge(self, service, result):
        """Count a hedged request, once when it is sent and once when it ends.

        Parameters
        ----------
        service : str
            Label.
        result : str
            Label: ``"sent"``, then ``"won"``, ``"cancelled"`` or ``"failed"``.
        """
        self._child(self._hedges, service, result).inc()

    def record_withheld_hedge(self, service, reason):
        """Count a slow attempt for which no hedged request was sent.

        Parameters
        ----------
        service, reason : str
            Labels.
        """
        self._child(self._withheld, service, reason).inc()

    def record_dropped(self):
        """Count a request behind the response that closed its connection."""
        self._dropped.inc()

    def set_exchanged_bytes(self, totals):
        """Set the counters of the bytes exchanged with other processes.

        Parameters
        ----------
        totals : dict of (str, str) to int
            As of `TrafficMeter`.
        """
        for (kind, distance), size in totals.items():
            child = self._child(self._exchanged_bytes, kind, distance)
            child.inc(size - self._exported_bytes.get((kind, distance), 0))
            self._exported_bytes[kind, distance] = size

    def set_rejected_heads(self, totals):
        """Set the counters of request heads and bodies that were given up.

        Parameters
        ----------
        totals : dict of str to int
            As of `RequestHeads.rejected`.
        """
        self._export(self._rejected_heads, totals)

    def set_cut_off(self, totals):
        """Set the counters of responses that were cut off.

        Parameters
        ----------
        totals : dict of str to int
            As of `Deliveries.cut_off`.
        """
        self._export(self._cut_off, totals)

    def _export(self, counter, totals):
        for reason, count in totals.items():
            exported = self._exported_totals.get((counter, reason), 0)
            self._child(counter, reason).inc(count - exported)
            self._exported_totals[counter, reason] = count

    def prune_routes(self, routes):
        """Remove the metrics of routes that no longer exist.

        Parameters
        ----------
        routes : set of str
            Names of the routes of the active configuration.
        """
        for key in list(self._children):
            metric, labels = key
            if metric not in (self._responses, self._rejections, self._durations):
                continue
            if labels[0] and labels[0] not in routes:
                del self._children[key]
                metric.remove(*labels)

    def record_lookup(self):
        """Count a look-up."""
        self._lookups.inc()

    def set_gauge(self, name, value):
        """Set a gauge.

        Parameters
        ----------
        name : str
            Name without the prefix ``quetzalwall_``.
        value : float
            New value.
        """
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"quetzalwall_{name}", name, registry=self.registry)
            self._gauges[name] = gauge
        gauge.set(value)

    def render(self):
        """Return all metrics as text.

        Returns
        -------
        bytes
        """
        return generate_latest(self.registry)

    def _counter(self, name, labels):
        full_name = f"quetzalwall_{name}"
        return Counter(full_name, name, labels, registry=self.registry)

    def _child(self, metric, *labels):
        # Cheaper than the library's own look-up of labels, which takes a lock.
        key = (metric, labels)
        child = self._children.get(key)
        if child is None:
            child = self._children[key] = metric.labels(*labels)
        return child


def create_front_metrics():
    """Return metrics that start at zero.

    Returns
    -------
    FrontMetrics
    """
    return FrontMetrics()
