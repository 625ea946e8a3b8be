"""HTTP server for callers, and its WSGI application."""

import errno

from quetzalwall.connection.caller_connection import CallerLeft
from quetzalwall.connection.exchange import EXCHANGE_KEY, REQUEST_ID_KEY
from quetzalwall.connection.http_server import (
    BadRequest,
    HttpLimits,
    create_server,
    status_line,
)
from quetzalwall.connection.pipelined_handler import PipelinedHandler
from quetzalwall.logs import describe_failure, get_logger, log_event
from quetzalwall.request.response import Response

__all__ = ["create_front_application", "create_front_server"]

RESERVATION_KEY = "quetzalwall.hold"
CLOSE_HEADER = ("Connection", "close")
MIN_LOGGED_DELAY_S = 0.001  # of a request behind others of its connection
LOG = get_logger("front-server")


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
        exchange = environ[EXCHANGE_KEY]
        reservation = memory_budget.open_reservation(exchange.await_room)
        environ[RESERVATION_KEY] = exchange.reservation = reservation
        try:
            response = respond(environ)
            _await_turn(exchange, environ)
        except BaseException:
            reservation.close()
            raise
        wants_close = is_stopping() or CLOSE_HEADER in response.headers
        _start_response(start_response, response, exchange.is_last(wants_close))
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
            return Response(502, [CLOSE_HEADER], b"unexpected failure\n")

    return application


def _await_turn(exchange, environ):
    """Wait for the earlier responses of the connection; log a delay."""
    response_s = exchange.await_turn()
    start_s = exchange.start_delay_s()
    if start_s + response_s >= MIN_LOGGED_DELAY_S:
        request_id = environ.get(REQUEST_ID_KEY, "")
        log_event(
            LOG, "in-turn", req=request_id, start_s=start_s, response_s=response_s
        )


def _start_response(start_response, response, is_last):
    headers = [item for item in response.headers if item != CLOSE_HEADER]
    if response.status not in (204, 304):
        headers.append(("Content-Length", str(len(response.body))))
    if is_last:
        headers.append(CLOSE_HEADER)
    start_response(status_line(response.status), headers)


def create_front_server(address, application, max_connections, pipelining, heads=None):
    """Return the server for callers, not yet started.

    Parameters
    ----------
    address : (str, int)
        IP address and port.
    application : callable
        WSGI application.
    max_connections : int
        Maximum number of open connections; further ones wait to be accepted.
    pipelining : Pipelining
        What the handler of a connection needs to know of its requests.
    heads : RequestHeads, default=None
        As of `create_server`.

    Returns
    -------
    NoDelayServer
    """
    limits = HttpLimits(max_connections=max_connections)
    server = create_server(*address, application, limits, PipelinedHandler, heads)
    server.pipelining = pipelining
    return server
