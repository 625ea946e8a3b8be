"""The caller's side of a request: its body, and whether it is still there."""

import gevent
import gevent.socket

from quetzalwall.connection.http_server import BadRequest

__all__ = ["CallerLeft", "NoMemory", "is_closed", "read_body", "cancel_on_disconnect"]

PIECE_BYTES = 64 * 1024  # of a body, read at one time


class CallerLeft(gevent.GreenletExit):
    """The caller closed its connection while its request was served."""


class NoMemory(Exception):
    """There is no room for a caller's body now; its request was not run."""


def read_body(environ, most_bytes, hold):
    """Return the whole body of a request.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    most_bytes : int
        Longest body that is taken.
    hold : Reservation
        Counts its bytes.

    Returns
    -------
    bytes

    Raises
    ------
    BadRequest
        It is too long.
    CallerLeft
        The caller closed its connection.
    NoMemory
        There is no room for it now.
    """
    length = environ.get("CONTENT_LENGTH", "")
    if length.isdigit() and int(length) > most_bytes:
        raise BadRequest(413, f"body is longer than {most_bytes} bytes")
    if not length and "HTTP_TRANSFER_ENCODING" not in environ:
        return b""
    body = bytearray()
    try:
        while piece := environ["wsgi.input"].read(PIECE_BYTES):
            if len(body) + len(piece) > most_bytes:
                raise BadRequest(413, f"body is longer than {most_bytes} bytes")
            if not hold.take(len(piece)):
                raise NoMemory
            body += piece
    except OSError as exc:
        raise CallerLeft(str(exc)) from exc
    return bytes(body)


def cancel_on_disconnect(sock, server):
    """Stop the serving task when its caller closes the connection.

    Parameters
    ----------
    sock : gevent.socket.socket
        The caller's connection.
    server : gevent.Greenlet
        The task that serves it.
    """
    try:
        gevent.socket.wait_read(sock.fileno())
    except (OSError, ValueError):
        return
    if is_closed(sock):
        server.kill(CallerLeft, block=False)


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
