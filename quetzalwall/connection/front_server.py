"""HTTP server for callers, and its WSGI application."""

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
RESERVATION_KEY = "quetzalwall.hold"
LOG = get_logger("front-server")


class FrontHandler(QuietHandler):
    """Handler that passes the socket and the raw target to the application."""

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


class _AccountedBody(list):
    """Response body whose memory stays reserved until the server has sent it."""

    def __init__(self, body, reservation):
        super().__init__([body])
        self.close = reservation.close


def create_front_application(serve, bad_request, is_stopping, memory_budget):
    """Return the WSGI application for callers.

    Parameters
    ----------
    serve : callable
        From a WSGI environment to a `Response`.
    bad_request : callable
        From a `BadRequest` to a `Response`.
    is_stopping : callable
        Whether to close each connection after its response.
    memory_budget : MemoryBudget
        Limits the memory of request and response bodies.

    Returns
    -------
    callable
    """

    def application(environ, start_response):
        reservation = environ[RESERVATION_KEY] = memory_budget.open_reservation()
        try:
            response = respond(environ)
        except BaseException:
            reservation.close()
            raise
        _start_response(
            start_response,
            response.status,
            response.headers,
            response.body,
            is_stopping(),
        )
        return _AccountedBody(response.body, reservation)

    def respond(environ):
        try:
            return serve(environ)
        except BadRequest as exc:
            return bad_request(exc)
        except CallerLeft as exc:
            # The server then closes the connection without a response.
            raise ConnectionResetError(errno.ECONNRESET, str(exc)) from exc
        except Exception as exc:
            log_event(LOG, "failed", "error", **describe_failure(exc))
            return Response(502, [("Connection", "close")], b"unexpected failure\n")

    return application


def _start_response(start_response, status, headers, body, close_connection):
    headers = list(headers)
    if status not in (204, 304):
        headers.append(("Content-Length", str(len(body))))
    if close_connection and ("Connection", "close") not in headers:
        headers.append(("Connection", "close"))
    start_response(status_line(status), headers)


def create_front_server(address, application, max_connections):
    """Return the server for callers, not yet started.

    Parameters
    ----------
    address : (str, int)
        IP address and port.
    application : callable
        WSGI application.
    max_connections : int
        Maximum number of open connections; further ones wait to be accepted.

    Returns
    -------
    NoDelayServer
    """
    limits = HttpLimits(max_connections=max_connections)
    return create_server(*address, application, limits, handler=FrontHandler)
