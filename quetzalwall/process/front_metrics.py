"""Metrics of an instance that serves callers, in the format of Prometheus."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ["FrontMetrics", "create_front_metrics"]

BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30)


class FrontMetrics:
    """Counters, gauges and histograms in a registry of their own."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self._answers = self._counter("answers", ["route", "outcome", "status"])
        self._refusals = self._counter("refusals", ["route", "reason"])
        self._failures = self._counter("attempts_failed", ["service", "kind"])
        self._elsewhere = self._counter("limited_elsewhere", ["service"])
        self._lookups = self._counter("lookups", [])
        self._seconds = Histogram(
            "quetzalwall_request_seconds",
            "From a request's arrival to its answer",
            ["route"],
            buckets=BUCKETS_S,
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
            HTTP status; 0 if the caller left.
        seconds : float
            From its arrival.
        """
        self._child(self._answers, route, outcome, str(status)).inc()
        self._child(self._seconds, route).observe(seconds)

    def record_rejection(self, route, reason):
        """Count a request that was refused before it was sent.

        Parameters
        ----------
        route, reason : str
            Labels.
        """
        self._child(self._refusals, route, reason).inc()

    def record_failed_attempt(self, service, kind):
        """Count an attempt that failed.

        Parameters
        ----------
        service, kind : str
            Labels.
        """
        self._child(self._failures, service, kind).inc()

    def record_diversion(self, service):
        """Count a request that a nearer endpoint's limit left no room for.

        Parameters
        ----------
        service : str
            Label.
        """
        self._child(self._elsewhere, service).inc()

    def prune_routes(self, routes):
        """Drop the figures of routes that are gone.

        Parameters
        ----------
        routes : set of str
            Names of the routes in force.
        """
        for key in list(self._children):
            metric, labels = key
            if metric in (self._failures, self._elsewhere) or not labels[0]:
                continue
            if labels[0] not in routes:
                del self._children[key]
                metric.remove(*labels)

    def looked_up(self):
        """Count a look-up."""
        self._lookups.inc()

    def set_gauge(self, name, value):
        """Set a gauge.

        Parameters
        ----------
        name : str
            Name without prefix.
        value : float
            Its value.
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
        full = f"quetzalwall_{name}"
        return Counter(full, name, labels, registry=self.registry)

    def _child(self, metric, *labels):
        # The library's own look-up of labels takes a lock and costs more.
        key = (metric, labels)
        child = self._children.get(key)
        if child is None:
            child = self._children[key] = metric.labels(*labels)
        return child


def create_front_metrics():
    """Return metrics that count from zero.

    Returns
    -------
    FrontMetrics
    """
    return FrontMetrics()
