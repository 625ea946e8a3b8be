"""What comes of looking for an endpoint for a request."""

from typing import NamedTuple

__all__ = ["STOPPING", "Choice", "Refusal"]

STOPPING_RETRY_S = 0.05  # another instance can take it at once


class Choice(NamedTuple):
    """An endpoint chosen for a request.

    Attributes
    ----------
    state : EndpointState
        The endpoint.
    rank : int
        Its rank for the object.
    held : bool
        Whether it should still hold the object.
    depth : int or None
        Objects that it has served since it last served this one.
    expected_s : float
        Seconds until the answer.
    wait_s : float
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
    held: bool
    depth: int | None
    expected_s: float
    wait_s: float
    slowness: float
    of: int
    limited: int = 0


class Refusal(NamedTuple):
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


STOPPING = Refusal("stopping", STOPPING_RETRY_S)
