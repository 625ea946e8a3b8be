"""What a load without a network looks like, and what became of it."""

from typing import NamedTuple

__all__ = [
    "BEYOND_COLD",
    "COLD_START",
    "FEW_AN_OBJECT",
    "FEW_HELD",
    "QUIET",
    "REGION_LOST",
    "SLOW_NEIGHBOURS",
    "SURGE",
    "TROUBLE",
    "Pattern",
    "Result",
]


class Pattern(NamedTuple):
    """A load.

    Attributes
    ----------
    per_s : float
        Requests a second.
    work_s : float
        Mean work of a request whose object the endpoint does not hold.
    target_s, timeout_s : float
        Response time aimed at, and the longest wait.
    objects : int
        Objects that requests concern; each belongs to one region.
    kept : int
        Objects that an endpoint holds.
    endpoints, slots, instances : int
        Sizes; instances and endpoints are spread evenly over three regions.
    span_s : float
        Length of the load.
    slow : float
        How many times as long work takes on one endpoint in seven.
    noise : float
        Part of the time in which an endpoint's neighbours make it 2.5 times as slow.
    tail : float
        Part of the requests that take seven times as long.
    lost_at_s : float or None
        When one endpoint in five answers nothing for two seconds, and then holds
        nothing.
    returns : bool
        Whether callers that are refused come back once when told to.
    surge : float
        How many times as many requests come in the middle third of the span.
    region_lost_at_s : float or None
        When all endpoints and callers of one region are lost, and the registry says so.
    """

    per_s: float
    work_s: float = 0.6
    target_s: float = 0.6
    timeout_s: float = 2.0
    objects: int = 72
    kept: int = 40
    endpoints: int = 15
    slots: int = 6
    instances: int = 6
    span_s: float = 30.0
    slow: float = 1.0
    noise: float = 0.0
    tail: float = 0.0
    lost_at_s: float | None = None
    returns: bool = False
    surge: float = 1.0
    region_lost_at_s: float | None = None


class Result(NamedTuple):
    """What became of the requests, as parts of all.

    Attributes
    ----------
    in_target, late, refused, timed_out : float
        They add up to 1.
    """

    in_target: float
    late: float
    refused: float
    timed_out: float


QUIET = Pattern(per_s=90.0)
# Cold endpoints could serve 150 requests a second, and 500 once they hold the objects:
# with long queues of requests that time out, they never come to hold them.
COLD_START = Pattern(per_s=260.0)
# As much again: what can't be served in time has to be refused, not queued.
BEYOND_COLD = COLD_START._replace(per_s=400.0)
# Endpoints hold few objects, which has to be learned from their answers.
FEW_HELD = Pattern(per_s=150.0, kept=8)
FEW_AN_OBJECT = Pattern(per_s=30.0, objects=150, endpoints=15, slots=3)
SLOW_NEIGHBOURS = Pattern(per_s=90.0, slow=4.0)
# More work than cold endpoints can do while one in five falls silent and comes back
# without its objects, neighbours make others slow, and who is refused comes back.
TROUBLE = Pattern(
    per_s=190.0,
    work_s=0.7,
    objects=80,
    kept=20,
    instances=9,
    noise=0.15,
    tail=0.03,
    lost_at_s=4.0,
    returns=True,
    span_s=14.0,
)
SURGE = Pattern(per_s=110.0, surge=3.0, returns=True)
REGION_LOST = Pattern(per_s=150.0, region_lost_at_s=10.0, returns=True)
