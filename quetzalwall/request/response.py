"""Complete responses to callers, and the response that rejects a request."""

from typing import NamedTuple

__all__ = ["Response", "rejection_response"]


class Response(NamedTuple):
    """A response to a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers without the length.
    body : bytes
        The complete body.
    """

    status: int
    headers: list
    body: bytes


def rejection_response(retry_after_s, reason, status=503):
    """Return the response that states that a request was not and will not be run.

    Parameters
    ----------
    retry_after_s : float
        Seconds after which another attempt is worthwhile.
    reason : str
        Why it was rejected.
    status : int, default=503
        HTTP status; 429 if the account has used up its allotment.

    Returns
    -------
    Response
    """
    headers = [("Retry-After", f"{retry_after_s:.2f}"), ("Content-Type", "text/plain")]
    return Response(status, headers, f"not run: {reason}\n".encode())
