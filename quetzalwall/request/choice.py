"""Results of choosing an endpoint for a request."""

from typing import NamedTuple

__all__ = ["FAIRNESS", "OVERLOAD", "STOPPING", "Choice", "Rejection"]

STOPPING_RETRY_AFTER_S = 0.05  # another instance can accept the request at once


class Choice(NamedTuple):
    """An endpoint chosen for a request.

    Attributes
    ----------
    state : EndpointState
        The endpoint.
    rank : int
        Its rank among the preferred endpoints of the object.
    cached : bool
        Whether it should still have the object cached.
    reuse_distance : int or None
        Objects that it has served since it last served this one; None if it has not
        served this one.
    expected_s : float
        Seconds until the response.
    queueing_delay_s : float
        Part of these seconds spent waiting for a slot.
    slowness : float
        Factor on the time that work takes there; 1.0 is usual.
    candidate_count : int
        Endpoints that the choice was made from.
    skipped_at_limit : int, default=0
        Candidates of lower cost that were skipped because this instance had used up its
        share of their advertised limits.
    """

    state: object
    rank: int
    cached: bool
    reuse_distance: int | None
    expected_s: float
    queueing_delay_s: float
    slowness: float
    candidate_count: int
    skipped_at_limit: int = 0


class Rejection(NamedTuple):
    """Why no endpoint was chosen.

    Attributes
    ----------
    reason : str
        For the log, the metrics and the caller.
    retry_after_s : float
        Seconds after which another attempt is worthwhile.
    """

    reason: str
    retry_after_s: float


# Reasons of rejections.
OVERLOAD = "overload"
FAIRNESS = "fairness"
STOPPING = Rejection("stopping", STOPPING_RETRY_AFTER_S)
