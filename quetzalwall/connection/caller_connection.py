"""The connection of a caller: reading the request body, detecting a disconnect."""

import select

import gevent
import gevent.socket

from quetzalwall.connection.digits import is_decimal
from quetzalwall.connection.http_server import BadRequest

__all__ = ["CallerLeft", "NoMemory", "is_closed", "read_body"]

READ_BYTES = 64 * 1024


class CallerLeft(gevent.GreenletExit):
    """The caller closed its connection while its request was being served."""


class NoMemory(Exception):
    """The memory budget has no room for a request body; the request was not run."""


def read_body(environ, max_bytes, reservation):
    """Return the complete body of a request.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    max_bytes : int
        Maximum length of a body.
    reservation : Reservation
        Memory reservation of the request, to which the body is added.

    Returns
    -------
    bytes

    Raises
    ------
    BadRequest
        The body is too long.
    CallerLeft
        The caller closed its connection.
    NoMemory
        The memory budget has no room for the body.
    """
    length = environ.get("CONTENT_LENGTH", "")
    if is_decimal(length) and int(length) > max_bytes:
        raise BadRequest(413, f"body is longer than {max_bytes} bytes", "body")
    if not length and "HTTP_TRANSFER_ENCODING" not in environ:
        return b""
    body = bytearray()
    try:
        while chunk := environ["wsgi.input"].read(READ_BYTES):
            if len(body) + len(chunk) > max_bytes:
                raise BadRequest(413, f"body is longer than {max_bytes} bytes", "body")
            if not reservation.try_reserve(len(chunk)):
                raise NoMemory
            body += chunk
    except OSError as exc:
        raise CallerLeft(str(exc)) from exc
    return bytes(body)


def is_closed(sock):
    """Return whether a caller has closed its connection.

    Parameters
    ----------
    sock : gevent.socket.socket
        The caller's connection.

    Returns
    -------
    bool
    """
    try:
        if not sock._sock.recv(1, gevent.socket.MSG_PEEK):
            return True
    except BlockingIOError:
        return False
    except OSError:
        return True
    # The end of the stream may follow the bytes that have not been read.
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))
