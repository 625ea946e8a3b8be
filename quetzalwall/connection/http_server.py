"""HTTP servers of a process: limits on connections and input, JSON responses."""

import sys
import time
from typing import NamedTuple

import gevent
import msgspec
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler

from quetzalwall.connection.body_input import BoundedBody
from quetzalwall.connection.compression import compress
from quetzalwall.connection.digits import is_decimal
from quetzalwall.connection.head_rejections import (
    HeadRejected,
    rejection_bytes,
    rejection_status,
)
from quetzalwall.connection.header_fields import read_fields
from quetzalwall.connection.idle_connections import IdleConnections
from quetzalwall.connection.memory_budget import MemoryBudget
from quetzalwall.connection.nodelay import NoDelayServer
from quetzalwall.connection.request_heads import RequestHeads
from quetzalwall.connection.request_line import await_request_line
from quetzalwall.connection.yielding_socket import YIELD_SLEEP_S
from quetzalwall.logs import describe_failure, get_logger, log_event

__all__ = [
    "BadRequest",
    "STALL_TIMEOUT_S",
    "STATUS_TEXT",
    "HttpLimits",
    "QuietHandler",
    "create_server",
    "json_response",
    "read_json",
    "status_line",
]

STATUS_TEXT = {
    200: "200 OK",
    202: "202 Accepted",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    403: "403 Forbidden",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    409: "409 Conflict",
    410: "410 Gone",
    411: "411 Length Required",
    412: "412 Precondition Failed",
    413: "413 Content Too Large",
    422: "422 Unprocessable Content",
    429: "429 Too Many Requests",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}
STALL_TIMEOUT_S = 60.0  # for a caller that neither sends nor reads
MAX_COALESCED_BYTES = 8 * 1024  # larger bodies are sent apart from the head
YIELD_AFTER_REQUESTS = 32  # on one connection
LOG = get_logger("front")


class HttpLimits(NamedTuple):
    """Limits of a server.

    Attributes
    ----------
    max_connections : int
        Maximum number of open connections.
    max_json_bytes : int
        Maximum length of a JSON body.
    """

    max_connections: int = 4000
    max_json_bytes: int = 4 * 1024 * 1024


class BadRequest(Exception):
    """The caller's request is malformed.

    Parameters
    ----------
    status : int
        HTTP status, 400 to 499.
    message : str
        What is wrong with the request.
    reason : str, default="malformed"
        The same in a word, for metrics.
    """

    def __init__(self, status, message, reason="malformed"):
        super().__init__(message)
        self.status = status
        self.message = message
        self.reason = reason


class QuietHandler(WSGIHandler):
    """Handler without an access log that closes stalled connections."""

    _pending = None
    _request_count = 0
    head = None  # of the request that is being read or served

    def handle(self):
        """Serve one connection."""
        self.socket.settimeout(STALL_TIMEOUT_S)
        super().handle()

    def handle_one_request(self):
        """Serve one request.

        Returns
        -------
        tuple or bool or None
            As of the library's handler.
        """
        try:
            return super().handle_one_request()
        except HeadRejected as exc:  # within the request line
            return self._handle_client_error(exc)
        finally:
            self.close_head()
            self.drop_request()

    def close_head(self):
        """Give back the memory of the head that was read last."""
        if self.head is not None:
            self.head.close()
            self.head = None

    def drop_request(self):
        """Drop what was read of the last request, so that an idle connection is small.

        This also frees the input of its body from reference cycles.
        """
        if self.wsgi_input is not None:
            self.wsgi_input.rfile = None
        self.headers = self.environ = self.wsgi_input = None
        self.requestline = self.path = None

    def _handle_client_error(self, ex):
        if isinstance(ex, OSError):
            return None
        status = rejection_status(ex)
        if status == 500:
            log_event(LOG, "failed", "error", **describe_failure(ex))
        self.server.heads.record_rejected(status, self.client_address, ex)
        return str(status), rejection_bytes(status)

    def log_request(self):
        """Log nothing: the application logs its decision for each request."""

    def read_requestline(self):
        """Return the next request line, or an empty one after a time-out.

        Returns
        -------
        str
        """
        self.yield_if_due()
        idle = self.server.idle
        idle.add(self.socket)
        try:
            if not await_request_line(self.rfile):
                return ""
        except TimeoutError:
            return ""
        finally:
            idle.remove(self.socket)
        return self.read_head_line()

    def read_head_line(self):
        """Return the request line, of which the first byte has arrived.

        Returns
        -------
        str
        """
        self.head = self.server.heads.begin(self.socket, self.rfile, self.server)
        return self.head.readline(self.server.heads.max_bytes).decode("latin-1")

    def read_request(self, raw_requestline):
        """Read the rest of a head.

        Parameters
        ----------
        raw_requestline : str
            The request line.

        Returns
        -------
        bool
            As of the library's handler.
        """
        result = super().read_request(raw_requestline)
        self.head.finish()
        return result

    def MessageClass(self, *_):  # noqa: N802 (the library's name)
        """Return the parsed fields of a head.

        Returns
        -------
        http.client.HTTPMessage
        """
        return read_fields(self.head, self.server.heads.max_bytes)

    def get_environ(self):
        """Return the WSGI environment of the request.

        Returns
        -------
        dict
        """
        environ = super().get_environ()
        coding = environ.get("HTTP_TRANSFER_ENCODING", "chunked")
        if coding.lower() != "chunked":  # the library would read an empty body
            raise HeadRejected(501)
        body_input = self.wsgi_input
        body_input.rfile = BoundedBody(body_input, self.rfile, self._end_malformed)
        # The library passes on the connection itself if an upgrade is offered.
        environ |= {"wsgi.input": body_input, "wsgi.input_terminated": True}
        return environ

    def _end_malformed(self):
        if not self.close_connection:
            self.server.heads.record_rejected("framing")
        self.close_connection = True

    def run_application(self):
        """Run the application and send its response."""
        self.server.open_requests += 1
        try:
            super().run_application()
        finally:
            self.server.open_requests -= 1
            self.wsgi_input.rfile.limit_rest()

    def yield_if_due(self):
        """Yield to other tasks once every `YIELD_AFTER_REQUESTS` requests.

        Requests that are served without waiting may follow each other endlessly.
        """
        self._request_count += 1
        if self._request_count % YIELD_AFTER_REQUESTS == 0:
            gevent.sleep(YIELD_SLEEP_S)

    def _write_with_headers(self, data):
        # The library sends head and body apart; small ones are sent in one segment.
        if len(data) > MAX_COALESCED_BYTES:
            super()._write_with_headers(data)
            return
        self._pending = bytearray()
        super()._write_with_headers(data)
        pending, self._pending = self._pending, None
        self._sendall(pending)

    def _sendall(self, data):
        if self._pending is None:
            super()._sendall(data)
        else:
            self._pending += data


def create_server(
    address, port, application, limits=None, handler=QuietHandler, heads=None
):
    """Return a server that is not yet started.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        TCP port to listen on; 0 selects a free one.
    application : callable
        WSGI application.
    limits : HttpLimits, default=None
        Limits on input; the defaults if None.
    handler : type, default=QuietHandler
        Class that handles a connection.
    heads : RequestHeads, default=None
        Request heads of the process; without a limit on their memory if None.

    Returns
    -------
    NoDelayServer
        Call ``start`` and ``stop`` to begin and end service.
    """
    limits = limits or HttpLimits()
    server = NoDelayServer(
        (address, port),
        application,
        handler_class=handler,
        spawn=Pool(limits.max_connections),
        log=None,
        error_log=None,
    )
    server.open_requests = 0  # whose responses have not been sent completely
    server.idle = IdleConnections(time.monotonic)
    if heads is None:
        heads = RequestHeads(MemoryBudget(sys.maxsize), time.monotonic)
    server.heads = heads
    return server


def status_line(status):
    """Return the status code and reason phrase of any HTTP status.

    Parameters
    ----------
    status : int
        HTTP status.

    Returns
    -------
    str
    """
    return STATUS_TEXT.get(status, f"{status} Status")


def json_response(start_response, status, body, headers=(), compressed=False):
    """Send a response in JSON.

    Parameters
    ----------
    start_response : callable
        As passed by the WSGI server.
    status : int
        HTTP status.
    body : object
        Encoded as JSON with sorted keys.
    headers : sequence of (str, str), default=()
        Further headers.
    compressed : bool, default=False
        Whether to compress a long body.

    Returns
    -------
    list of bytes
        The body, for the WSGI server.
    """
    raw = msgspec.json.encode(body, order="sorted")
    if compressed:
        raw, coding = compress(raw)
        headers = [*headers, *coding]
    base_headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(raw))),
    ]
    start_response(STATUS_TEXT[status], [*base_headers, *headers])
    return [raw]


def read_json(environ, limits=None):
    """Return the decoded JSON body of a request.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    limits : HttpLimits, default=None
        Limits on input; the defaults if None.

    Returns
    -------
    object

    Raises
    ------
    BadRequest
        The body is missing, too long or not JSON.
    """
    limits = limits or HttpLimits()
    length = environ.get("CONTENT_LENGTH")
    if not length:
        raise BadRequest(411, "a body with Content-Length is required")
    if not is_decimal(length) or int(length) > limits.max_json_bytes:
        raise BadRequest(413, f"body is longer than {limits.max_json_bytes} bytes")
    raw = environ["wsgi.input"].read(int(length))
    try:
        return msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise BadRequest(400, f"body is not JSON: {exc}") from exc
