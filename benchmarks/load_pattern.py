"""Load patterns for the simulated choice of endpoints, and the result of a run."""

from typing import NamedTuple

__all__ = [
    "COLD_START_OVERLOAD",
    "COLD_START",
    "FEW_REQUESTS_PER_OBJECT",
    "SMALL_CACHES",
    "QUIET",
    "REGION_LOST",
    "SLOW_ENDPOINTS",
    "SURGE",
    "CROWDED_WITH_FAILURES",
    "Pattern",
    "Result",
]


class Pattern(NamedTuple):
    """A load, and the endpoints and instances that it is put on.

    Attributes
    ----------
    requests_per_s : float
        Requests a second.
    work_s : float
        Mean work of a request whose object the endpoint has not cached, in seconds.
    target_s, timeout_s : float
        Target response time and time-out, in seconds.
    objects : int
        Number of objects that requests concern; each belongs to one region.
    cache_size : int
        Number of objects that an endpoint caches.
    endpoints, slots, instances : int
        Number of endpoints, of slots per endpoint and of instances; instances and
        endpoints are spread evenly over three regions.
    duration_s : float
        Length of the load, in seconds.
    slow_ratio : float
        Factor by which work takes longer on one endpoint in seven.
    noisy_fraction : float
        Fraction of the time in which an endpoint is 2.5 times as slow because of its
        neighbours.
    long_fraction : float
        Fraction of the requests that have seven times the work.
    endpoints_fail_at_s : float or None
        When one endpoint in five loses its cache and stops accepting requests; it
        accepts them again after two seconds.
    retry_rejected : bool
        Whether callers send a rejected request once more, after the delay that the
        rejection names.
    surge_ratio : float
        Factor by which there are more requests in the middle third of the load.
    region_fails_at_s : float or None
        When all endpoints of one region fail and are unregistered; callers there are
        served in the next region.
    endpoint_shares : tuple of float
        Fraction of the endpoints in each of the three regions.
    swing_ratio : float
        Amplitude of the demand of each region, as a fraction of its mean; the regions
        reach their peaks one after the other.
    swing_period_s : float
        Length of one swing in seconds.
    remote_rtt_s : float
        Round-trip time between regions in seconds.
    drops_abandoned : bool
        Whether an endpoint ends the work on a request that has timed out.
    """

    requests_per_s: float
    work_s: float = 0.6
    target_s: float = 0.6
    timeout_s: float = 2.0
    objects: int = 72
    cache_size: int = 40
    endpoints: int = 15
    slots: int = 6
    instances: int = 6
    duration_s: float = 30.0
    slow_ratio: float = 1.0
    noisy_fraction: float = 0.0
    long_fraction: float = 0.0
    endpoints_fail_at_s: float | None = None
    retry_rejected: bool = False
    surge_ratio: float = 1.0
    region_fails_at_s: float | None = None
    endpoint_shares: tuple = (1 / 3, 1 / 3, 1 / 3)
    swing_ratio: float = 0.0
    swing_period_s: float = 36.0
    remote_rtt_s: float = 0.0
    drops_abandoned: bool = False


class Result(NamedTuple):
    """Outcomes of the requests, as fractions of all requests.

    Attributes
    ----------
    in_target, late, refused, timed_out : float
        Responded within the target time, responded later, rejected and timed out; the
        sum is 1.
    """

    in_target: float
    late: float
    refused: float
    timed_out: float


QUIET = Pattern(requests_per_s=90.0)
# Endpoints can serve 150 requests a second with empty caches, and 500 with the objects
# cached; long queues of requests that time out would keep the caches from filling.
COLD_START = Pattern(requests_per_s=260.0)
# What can't be served in time has to be rejected, not queued.
COLD_START_OVERLOAD = COLD_START._replace(requests_per_s=400.0)
# Endpoints cache few objects, which has to be learned from their responses.
SMALL_CACHES = Pattern(requests_per_s=150.0, cache_size=8)
FEW_REQUESTS_PER_OBJECT = Pattern(
    requests_per_s=30.0, objects=150, endpoints=15, slots=3
)
SLOW_ENDPOINTS = Pattern(requests_per_s=90.0, slow_ratio=4.0)
# More work than endpoints with empty caches can process, while one in five becomes
# unresponsive and returns with an empty cache, some are slowed by their neighbours, and
# rejected requests are sent again.
CROWDED_WITH_FAILURES = Pattern(
    requests_per_s=190.0,
    work_s=0.7,
    objects=80,
    cache_size=20,
    instances=9,
    noisy_fraction=0.15,
    long_fraction=0.03,
    endpoints_fail_at_s=4.0,
    retry_rejected=True,
    duration_s=14.0,
)
SURGE = Pattern(requests_per_s=110.0, surge_ratio=3.0, retry_rejected=True)
REGION_LOST = Pattern(requests_per_s=150.0, region_fails_at_s=10.0, retry_rejected=True)
