"""Responses that reject a request because of its head."""

__all__ = ["REASONS", "HeadRejected", "rejection_bytes", "rejection_status"]

REASONS = {
    400: "malformed",
    408: "timeout",
    414: "request line",
    431: "length",
    500: "failure",
    501: "coding",
    503: "memory",
}
STATUS_TEXT = {
    400: "400 Bad Request",
    408: "408 Request Timeout",
    414: "414 Request URI Too Long",
    431: "431 Request Header Fields Too Large",
    500: "500 Internal Server Error",
    501: "501 Not Implemented",
    503: "503 Service Unavailable",
}


class HeadRejected(ValueError):
    """A head was rejected before it was complete, so that nothing was run.

    Parameters
    ----------
    status : int
        HTTP status: 408, 431, 501 or 503.
    """

    def __init__(self, status):
        super().__init__(STATUS_TEXT[status])
        self.status = status


def rejection_status(exc):
    """Return the status with which an exception rejects a head.

    Parameters
    ----------
    exc : Exception
        Raised while the head was read.

    Returns
    -------
    int
        500 if the head may be in order.
    """
    if isinstance(exc, HeadRejected):
        return exc.status
    # The library raises these for malformed heads; the second for a version "HTTP/1".
    return 400 if isinstance(exc, (ValueError, IndexError)) else 500


def rejection_bytes(status):
    """Return the response that rejects a head and closes the connection.

    Parameters
    ----------
    status : int
        HTTP status: a key of `STATUS_TEXT`.

    Returns
    -------
    bytes
    """
    retry = "Retry-After: 1\r\n" if status == 503 else ""
    head = f"HTTP/1.1 {STATUS_TEXT[status]}\r\nConnection: close\r\n{retry}"
    return f"{head}Content-length: 0\r\n\r\n".encode()
