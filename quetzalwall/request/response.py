"""Answers to callers that are held whole, and refusals."""

from typing import NamedTuple

__all__ = ["Response", "rejection_response"]


class Response(NamedTuple):
    """An answer to a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers without the length.
    body : bytes
        The whole body.
    """

    status: int
    headers: list
    body: bytes


def rejection_response(retry_after_s, reason):
    """Return the answer that says that a request has not run and never will.

    Parameters
    ----------
    retry_after_s : float
        Seconds after which another attempt is worth while.
    reason : str
        Why it was refused.

    Returns
    -------
    Response
    """
    headers = [("Retry-After", f"{retry_after_s:.2f}"), ("Content-Type", "text/plain")]
    return Response(503, headers, f"not run: {reason}\n".encode())
