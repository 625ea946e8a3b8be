"""What this instance knows about the speed of each endpoint.

Its own requests count first: those that ended, and the age of those still open, since
a report from the endpoint itself comes late and may be wrong.
"""

from typing import TypedDict

__all__ = [
    "FIRST_PENALTY_S",
    "SLOW_RATIO",
    "EndpointLoad",
    "create_load",
    "expected_s",
    "is_slow",
    "record_end",
    "record_failure",
    "record_report",
    "record_start",
    "typical_s",
]

EWMA_WEIGHT = 0.2
SLOW_RATIO = 3.0  # times the typical duration at which an endpoint counts as slow
RECOVERED_RATIO = 2.0
FAILURES_TO_EJECT = 3
FIRST_PENALTY_S = 0.5
LONGEST_PENALTY_S = 8.0
REPORT_MAX_AGE_S = 3.0
INITIAL_S = 0.02


class EndpointLoad(TypedDict):
    """Observations of one endpoint.

    Attributes
    ----------
    ewma_s : float
        Weighted mean of the durations of short requests, in seconds.
    samples : int
        Number of durations seen.
    open : dict of str to float
        Request to the moment at which it started; in that order.
    failures : int
        Failures in a row.
    slow : bool
        Whether the endpoint is avoided.
    probe_at : float
        Moment from which the next probe may go to it.
    penalty_s : float
        Seconds until the probe after the next one.
    ended_at : float
        Moment of the last answer.
    report : dict
        The endpoint's own report, empty if none came.
    reported_at : float
        Moment at which the report was received.
    """

    ewma_s: float
    samples: int
    open: dict
    failures: int
    slow: bool
    probe_at: float
    penalty_s: float
    ended_at: float
    report: dict
    reported_at: float


def create_load(now):
    """Return the observations of an endpoint not yet used.

    Parameters
    ----------
    now : float
        Monotonic seconds.

    Returns
    -------
    EndpointLoad
    """
    return EndpointLoad(
        ewma_s=INITIAL_S,
        samples=0,
        open={},
        failures=0,
        slow=False,
        probe_at=now,
        penalty_s=FIRST_PENALTY_S,
        ended_at=float("-inf"),
        report={},
        reported_at=float("-inf"),
    )


def record_start(load, request_id, now):
    """Record that a short request started.

    Parameters
    ----------
    load : EndpointLoad
        Changed in place.
    request_id : str
        The request.
    now : float
        Monotonic seconds.
    """
    load["open"][request_id] = now


def record_end(load, request_id, now, typical):
    """Record that a short request was answered.

    Parameters
    ----------
    load : EndpointLoad
        Changed in place.
    request_id : str
        The request.
    now : float
        Monotonic seconds.
    typical : float
        Typical duration at this service's endpoints, in seconds.
    """
    started = load["open"].pop(request_id, None)
    load["failures"] = 0
    if started is None:
        return
    duration = now - started
    load["ended_at"] = now
    load["samples"] += 1
    if load["samples"] == 1:
        load["ewma_s"] = duration
    else:
        load["ewma_s"] += EWMA_WEIGHT * (duration - load["ewma_s"])
    if load["slow"]:
        _judge_probe(load, duration, now, typical)
    elif load["ewma_s"] > SLOW_RATIO * typical:
        _mark_slow(load, now)


def record_failure(load, request_id, now):
    """Record that a request failed or timed out.

    Parameters
    ----------
    load : EndpointLoad
        Changed in place.
    request_id : str
        The request.
    now : float
        Monotonic seconds.
    """
    load["open"].pop(request_id, None)
    load["failures"] += 1
    if load["slow"]:
        load["penalty_s"] = min(LONGEST_PENALTY_S, 2 * load["penalty_s"])
        load["probe_at"] = now + load["penalty_s"]
    elif load["failures"] >= FAILURES_TO_EJECT:
        _mark_slow(load, now)


def record_report(load, report, now):
    """Record the endpoint's own report.

    Parameters
    ----------
    load : EndpointLoad
        Changed in place.
    report : dict
        With ``outstanding`` and ``slots``.
    now : float
        Monotonic seconds.
    """
    load["report"] = report
    load["reported_at"] = now


def expected_s(load, now):
    """Return the seconds that a request is expected to take.

    Parameters
    ----------
    load : EndpointLoad
        Observations.
    now : float
        Monotonic seconds.

    Returns
    -------
    float
        At least the age of the oldest request still open.
    """
    for started in load["open"].values():
        return max(load["ewma_s"], now - started)
    return load["ewma_s"]


def is_slow(load, now, typical):
    """Return whether the endpoint should be avoided, and mark it if so.

    Parameters
    ----------
    load : EndpointLoad
        Changed in place when a request has been open for too long.
    now : float
        Monotonic seconds.
    typical : float
        Typical duration at this service's endpoints, in seconds.

    Returns
    -------
    bool
    """
    if load["slow"]:
        return True
    if expected_s(load, now) > 2 * SLOW_RATIO * typical:
        _mark_slow(load, now)
        return True
    return False


def typical_s(loads):
    """Return the typical duration over a service's endpoints.

    Parameters
    ----------
    loads : iterable of EndpointLoad
        Observations of the service's endpoints.

    Returns
    -------
    float
        The median of the mean durations of those used at least once.
    """
    means = sorted(load["ewma_s"] for load in loads if load["samples"])
    return means[(len(means) - 1) // 2] if means else INITIAL_S


def _mark_slow(load, now):
    load["slow"] = True
    load["penalty_s"] = FIRST_PENALTY_S
    load["probe_at"] = now + load["penalty_s"]


def _judge_probe(load, duration, now, typical):
    if duration <= RECOVERED_RATIO * typical:
        load["slow"] = False
        load["ewma_s"] = duration
        load["penalty_s"] = FIRST_PENALTY_S
        return
    load["penalty_s"] = min(LONGEST_PENALTY_S, 2 * load["penalty_s"])
    load["probe_at"] = now + load["penalty_s"]
