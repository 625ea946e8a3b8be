"""Metrics of an entry instance, in the format of Prometheus."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ["EntryMetrics", "create_metrics"]

BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60)


class EntryMetrics:
    """Counters and gauges of one instance, in a registry of their own."""

    def __init__(self):
        self.registry = CollectorRegistry()
        labels = ["service", "work_class"]
        self._routed = self._counter("routed", "Requests sent", [*labels, "rule"])
        self._shed = self._counter("shed", "Requests refused", [*labels, "rule"])
        self._answered = self._counter("answers", "Answers", [*labels, "outcome"])
        self._seconds = Histogram(
            "quetzalwall_request_seconds",
            "Seconds from a request's arrival to the beginning of its answer",
            labels,
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self._lookups = self._counter("lookups", "Look-ups answered", ["service"])
        self.used = self._gauge("slots_used", "Slots in use", ["service", "region"])
        self.entitled = self._gauge(
            "slots_entitled", "Slots that may be used", ["service", "region"]
        )
        self.lent = self._gauge("units_lent", "Units lent to peers", [])
        self.borrowed = self._gauge("units_borrowed", "Units borrowed", [])
        self.version = self._gauge("version_in_force", "Configuration in force", [])
        self.members = self._gauge("members_live", "Live instances known", [])
        self.moved = self._gauge("shift_moved", "Requests moved in interval", ["shift"])
        self.shift_limit = self._gauge("shift_limit", "This part of cap", ["shift"])
        self._label_cache = {}

    def routed(self, service, work_class, rule):
        """Count a request sent to an endpoint.

        Parameters
        ----------
        service, work_class, rule : str
            Labels.
        """
        self._child(self._routed, service, work_class, rule).inc()

    def shed(self, service, work_class, rule):
        """Count a request refused.

        Parameters
        ----------
        service, work_class, rule : str
            Labels.
        """
        self._child(self._shed, service, work_class, rule).inc()

    def answered(self, service, work_class, outcome, seconds):
        """Count an answer.

        Parameters
        ----------
        service, work_class, outcome : str
            Labels.
        seconds : float
            From the request's arrival.
        """
        self._child(self._answered, service, work_class, outcome).inc()
        self._child(self._seconds, service, work_class).observe(seconds)

    def looked_up(self, service):
        """Count a look-up.

        Parameters
        ----------
        service : str
            Label.
        """
        self._child(self._lookups, service).inc()

    def render(self):
        """Return all metrics as text.

        Returns
        -------
        bytes
        """
        return generate_latest(self.registry)

    def _child(self, metric, *labels):
        # The library's own look-up of labels takes a lock and costs more.
        key = (metric, labels)
        child = self._label_cache.get(key)
        if child is None:
            child = self._label_cache[key] = metric.labels(*labels)
        return child

    def _counter(self, name, text, labels):
        return Counter(f"quetzalwall_{name}", text, labels, registry=self.registry)

    def _gauge(self, name, text, labels):
        return Gauge(f"quetzalwall_{name}", text, labels, registry=self.registry)


def create_metrics():
    """Return the metrics of one instance.

    Returns
    -------
    EntryMetrics
    """
    return EntryMetrics()
