"""What comes of looking for an endpoint for a request."""

from typing import NamedTuple

__all__ = ["STOPPING", "Choice", "Rejection"]

STOPPING_RETRY_S = 0.05  # another instance can take it at once


class Choice(NamedTuple):
    """An endpoint chosen for a request.

    Attributes
    ----------
    state : EndpointState
        The endpoint.
    rank : int
        Its rank for the object.
    cached : bool
        Whether it should still hold the object.
    reuse_distance : int or None
        Objects that it has served since it last served this one.
    expected_s : float
        Seconds until the answer.
    queueing_delay_s : float
        Part of it spent waiting for a slot.
    slowness : float
        How long work takes there, 1.0 being usual.
    of : int
        Endpoints chosen from.
    limited : int, default=0
        Nearer endpoints that the limits that they name leave no room at.
    """

    state: object
    rank: int
    cached: bool
    reuse_distance: int | None
    expected_s: float
    queueing_delay_s: float
    slowness: float
    of: int
    limited: int = 0


class Rejection(NamedTuple):
    """Why no endpoint was chosen.

    Attributes
    ----------
    reason : str
        For the log.
    retry_after_s : float
        Seconds after which another attempt is worth while.
    """

    reason: str
    retry_after_s: float


STOPPING = Rejection("stopping", STOPPING_RETRY_S)
