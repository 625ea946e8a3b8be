"""Answers to callers, and what they say about the request's outcome."""

import json
from typing import NamedTuple

from quetzalwall.connection.http_server import STATUS_TEXT
from quetzalwall.exceptions import IncompleteAnswer, NotRun, OutcomeUnknown

__all__ = ["OUTCOME_HEADER", "CallerAnswer", "answer_for_error", "status_line"]

OUTCOME_HEADER = "X-Quetzalwall-Outcome"
STEP_HEADER = "X-Quetzalwall-Step"
PEER_HEADER = "X-Quetzalwall-Peer"
ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"


class CallerAnswer(NamedTuple):
    """An answer to a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers, Content-Length included if the length is known.
    blocks : iterable of bytes
        The body.
    """

    status: int
    headers: list
    blocks: object


def answer_for_error(exc):
    """Return the answer that tells a caller what became of its request.

    Parameters
    ----------
    exc : EndpointError
        `NotRun` says that it was not run; anything else leaves it open.

    Returns
    -------
    CallerAnswer
    """
    if isinstance(exc, NotRun):
        return _error_answer(503, NOT_RUN, exc, [_retry_after(exc)])
    if isinstance(exc, IncompleteAnswer):
        return _error_answer(502, UNKNOWN, exc, [])
    assert isinstance(exc, OutcomeUnknown)
    return _error_answer(504, UNKNOWN, exc, [])


def status_line(status):
    """Return the status line of any HTTP status.

    Parameters
    ----------
    status : int
        HTTP status.

    Returns
    -------
    str
    """
    return STATUS_TEXT.get(status, f"{status} Status")


def _retry_after(exc):
    return ("Retry-After", str(max(1, round(exc.retry_after_s))))


def _error_answer(status, outcome, exc, headers):
    body = {
        "outcome": outcome,
        "step": exc.step,
        "peer": exc.peer,
        "message": exc.message,
    }
    raw = json.dumps(body, sort_keys=True).encode()
    fixed = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(raw))),
        (OUTCOME_HEADER, outcome),
        (STEP_HEADER, exc.step),
        (PEER_HEADER, exc.peer),
    ]
    return CallerAnswer(status, fixed + headers, [raw])
