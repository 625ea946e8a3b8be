"""HTTP server for callers: hands each request over with its connection."""

import errno

from quetzalwall.connection.caller_connection import CallerLeft
from quetzalwall.connection.http_server import (
    BadRequest,
    HttpLimits,
    QuietHandler,
    create_server,
    status_line,
)
from quetzalwall.logs import describe_failure, get_logger, log_event
from quetzalwall.request.response import Response

__all__ = ["create_front_application", "create_front_server"]

SOCKET_KEY = "quetzalwall.socket"
TARGET_KEY = "quetzalwall.target"
HOLD_KEY = "quetzalwall.hold"
LOG = get_logger("front-server")


class FrontHandler(QuietHandler):
    """Handler that lets the application see its connection."""

    def get_environ(self):
        """Return the WSGI environment of a request.

        Returns
        -------
        dict
        """
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[TARGET_KEY] = self.path
        return environ


class _Body(list):
    """An answer's body, counted as held until the server has sent it."""

    def __init__(self, body, hold):
        super().__init__([body])
        self.close = hold.close


def create_front_application(serve, malformed, stopping, held):
    """Return the WSGI application for callers.

    Parameters
    ----------
    serve : callable
        From a WSGI environment to an `Response`.
    malformed : callable
        From a `BadRequest` to an `Response`.
    stopping : callable
        Whether connections should end after their answers.
    held : MemoryBudget
        Counts the bytes of requests and answers.

    Returns
    -------
    callable
    """

    def application(environ, start_response):
        hold = environ[HOLD_KEY] = held.open()
        try:
            answer = answer_to(environ)
        except BaseException:
            hold.close()
            raise
        _start(start_response, answer.status, answer.headers, answer.body, stopping())
        return _Body(answer.body, hold)

    def answer_to(environ):
        try:
            return serve(environ)
        except BadRequest as exc:
            return malformed(exc)
        except CallerLeft as exc:
            # The server then closes the connection without an answer.
            raise ConnectionResetError(errno.ECONNRESET, str(exc)) from exc
        except Exception as exc:
            log_event(LOG, "failed", "error", **describe_failure(exc))
            return Response(502, [("Connection", "close")], b"unexpected failure\n")

    return application


def _start(start_response, status, headers, body, closing):
    headers = list(headers)
    if status not in (204, 304):
        headers.append(("Content-Length", str(len(body))))
    if closing and ("Connection", "close") not in headers:
        headers.append(("Connection", "close"))
    start_response(status_line(status), headers)


def create_front_server(place, application, max_connections):
    """Return the server for callers, not yet started.

    Parameters
    ----------
    place : (str, int)
        IP number and port.
    application : callable
        WSGI application.
    max_connections : int
        Connections open at once; further ones wait to be accepted.

    Returns
    -------
    NoDelayServer
    """
    limits = HttpLimits(max_connections=max_connections)
    return create_server(*place, application, limits, handler=FrontHandler)
