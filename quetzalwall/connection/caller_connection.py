"""The connection of a caller: reading the request body, detecting a disconnect."""

import gevent
import gevent.socket

from quetzalwall.connection.http_server import BadRequest

__all__ = ["CallerLeft", "NoMemory", "is_closed", "read_body", "cancel_on_disconnect"]

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
    if length.isdigit() and int(length) > max_bytes:
        raise BadRequest(413, f"body is longer than {max_bytes} bytes")
    if not length and "HTTP_TRANSFER_ENCODING" not in environ:
        return b""
    body = bytearray()
    try:
        while chunk := environ["wsgi.input"].read(READ_BYTES):
            if len(body) + len(chunk) > max_bytes:
                raise BadRequest(413, f"body is longer than {max_bytes} bytes")
            if not reservation.try_reserve(len(chunk)):
                raise NoMemory
            body += chunk
    except OSError as exc:
        raise CallerLeft(str(exc)) from exc
    return bytes(body)


def cancel_on_disconnect(sock, task):
    """Stop the task that serves a request when the caller closes its connection.

    Parameters
    ----------
    sock : gevent.socket.socket
        The caller's connection.
    task : gevent.Greenlet
        The task that serves the request.
    """
    try:
        gevent.socket.wait_read(sock.fileno())
    except (OSError, ValueError):
        return
    if is_closed(sock):
        task.kill(CallerLeft, block=False)


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
        return not sock._sock.recv(1, gevent.socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
