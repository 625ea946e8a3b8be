"""Types that describe one request and what was decided about it."""

from typing import NamedTuple

__all__ = ["Grant", "Shed", "Work"]


class Work(NamedTuple):
    """A request as the decisions see it.

    Attributes
    ----------
    request_id : str
        Unique.
    service : str
        Service asked for.
    work_class : str
        Class of the route.
    rank : int
        Rank of the class; 0 is served first.
    long : bool
        Whether the request takes many times as long as a look-up.
    idempotent : bool
        Whether running it twice does no harm.
    caller : str
        The caller, for fairness within a class.
    arrived : float
        Monotonic seconds.
    deadline : float
        Monotonic seconds after which no answer is of use.
    """

    request_id: str
    service: str
    work_class: str
    rank: int
    long: bool
    idempotent: bool
    caller: str
    arrived: float
    deadline: float


class Grant(NamedTuple):
    """A slot at an endpoint for one request.

    Attributes
    ----------
    work : Work
        The request.
    endpoint : str
        Endpoint to send it to.
    key : str
        Ledger key of the slot.
    reason : str
        Deciding rule, for the log.
    of : int
        Number of endpoints chosen from.
    figure : float
        Deciding figure: expected seconds.
    at : float
        Monotonic seconds of the decision.
    moved_by : str
        Shift that moved the request to another region; empty if none.
    """

    work: Work
    endpoint: str
    key: str
    reason: str
    of: int
    figure: float
    at: float
    moved_by: str = ""


class Shed(NamedTuple):
    """A refusal before anything was sent.

    Attributes
    ----------
    work : Work
        The request.
    reason : str
        Why it was refused.
    retry_after_s : float
        Seconds after which the caller may try again.
    """

    work: Work
    reason: str
    retry_after_s: float
