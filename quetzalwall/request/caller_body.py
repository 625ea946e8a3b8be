"""The body that a caller sends, read once and never held whole when long."""

from typing import NamedTuple

from quetzalwall.connection.http_server import BadRequest
from quetzalwall.exceptions import BodyTooLong, CallerError

__all__ = ["BLOCK_BYTES", "SMALL_BODY_BYTES", "CallerBody", "open_body"]

SMALL_BODY_BYTES = 64 * 1024  # kept, so that the request can be sent again
BLOCK_BYTES = 64 * 1024


class CallerBody(NamedTuple):
    """A caller's body.

    Attributes
    ----------
    whole : bytes or None
        The body if it is small; None if it must be streamed.
    stream : object or None
        WSGI input of a long body.
    length : int or None
        Declared length; None if chunked.
    most_bytes : int or None
        Longest body allowed; None for no limit.
    """

    whole: bytes | None
    stream: object
    length: int | None
    most_bytes: int | None

    def blocks(self, throttle):
        """Yield the body's blocks; a long body can be read only once.

        Parameters
        ----------
        throttle : callable
            Called with the length of each block before it goes on.

        Yields
        ------
        bytes

        Raises
        ------
        CallerError
            The body ended before its declared end, or is too long.
        """
        size = 0
        while block := _read(self.stream):
            size += len(block)
            if self.most_bytes is not None and size > self.most_bytes:
                message = f"body is longer than {self.most_bytes} bytes"
                raise BodyTooLong(message, step="read body", peer="caller")
            throttle(len(block))
            yield block
        if self.length is not None and size != self.length:
            raise CallerError("body was cut", step="read body", peer="caller")


def open_body(environ, most_bytes=None):
    """Return the body of a caller's request.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    most_bytes : int, default=None
        Longest body allowed; None for no limit.

    Returns
    -------
    CallerBody

    Raises
    ------
    BadRequest
        The declared length is wrong or too long.
    CallerError
        The caller left before a small body had arrived.
    """
    stream = environ["wsgi.input"]
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return CallerBody(None, stream, None, most_bytes)
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdigit():
        raise BadRequest(400, f"Content-Length is not a number: {text[:40]}")
    length = int(text)
    if most_bytes is not None and length > most_bytes:
        raise BadRequest(413, f"body is longer than {most_bytes} bytes")
    if length > SMALL_BODY_BYTES:
        return CallerBody(None, stream, length, most_bytes)
    whole = b""
    while len(whole) < length and (block := _read(stream)):
        whole += block
    if len(whole) != length:
        raise CallerError("body was cut", step="read body", peer="caller")
    return CallerBody(whole, None, length, most_bytes)


def _read(stream):
    try:
        return stream.read(BLOCK_BYTES)
    except OSError as exc:
        raise CallerError(str(exc), step="read body", peer="caller") from exc
