"""HTTP client of one endpoint: one attempt for each request, on pooled connections.

An error tells whether the request may have run. Responses that cannot be matched to
the request are dropped. A connection is reused only if the response names the request,
no bytes follow it, the whole body was sent and the endpoint keeps the connection open.
"""

from collections import deque
from typing import NamedTuple

import gevent
import gevent.socket
from geventhttpclient.client import HTTPClient
from geventhttpclient.response import HTTPParseError

from quetzalwall.connection.connection_limiter import ConnectionLimiter, connect_error
from quetzalwall.connection.endpoint_connection import EndpointConnection
from quetzalwall.connection.nodelay import is_readable
from quetzalwall.connection.response_checks import is_closed_in_order
from quetzalwall.connection.response_parser import ResponseParser
from quetzalwall.exceptions import IncompleteAnswer, NotRun, OutcomeUnknown

__all__ = ["EndpointClient", "create_endpoint_client"]

CONNECT_TIMEOUT_S = 0.6  # several round trips between the farthest regions
MAX_IDLE_S = 8.0  # shorter than the endpoints' usual keep-alive time of 10 s
NON_IDEMPOTENT_IDLE_S = 2.0  # they can't be retried if the endpoint closes first
KEEP_ALIVE_MARGIN_S = 1.0  # reuse ends this long before the endpoint closes
MAX_INLINE_BYTES = 16 * 1024  # longer requests are sent while the response is awaited
READ_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # of a request without a memory reservation
MAX_IDLE_CONNECTIONS = 64
MIN_TIMEOUT_S = 0.001
POLL_S = 0.25  # between two calls of `should_abandon`


class _IdleConnection(NamedTuple):
    connection: EndpointConnection
    since: float
    max_idle_s: float


class EndpointClient:
    """Client of one endpoint, with a pool of idle connections.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    host : str
        IP address.
    port : int
        TCP port.
    parse_response : callable
        From the status and headers of a response to `ResponseMetadata`.
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    opened_count : int
        Connections opened so far.
    connect_s : float or None
        Seconds that the last connection took to open: one round trip.
    limiter : ConnectionLimiter
        Limits the connections to all endpoints together.
    count_bytes : callable
        Called with ``"request"`` or ``"response"`` and a number of bytes.
    idle : collections.deque
        Idle connections, the one released last at the end.
    """

    def __init__(self, name, host, port, parse_response, monotonic):
        self.name = name
        self.address = (host, port)
        self.opened_count = 0
        self.connect_s = None
        self._parse_response = parse_response
        self._monotonic = monotonic
        self.idle = deque()
        self._closed = False
        self.limiter = ConnectionLimiter()
        self.count_bytes = _ignore_bytes
        self._http = None  # created on demand: most endpoints get no request

    def send(self, req, deadline):
        """Send a request once and return the complete response.

        Parameters
        ----------
        req : EndpointRequest
            The request.
        deadline : float
            Monotonic seconds after which no response is awaited.

        Returns
        -------
        (ParsedResponse, ResponseMetadata)

        Raises
        ------
        NotRun
            No byte of the request left this process.
        OutcomeUnknown
            It may have run; no response arrived.
        IncompleteAnswer
            Its response was truncated, malformed or too long.
        """
        attempt = _Attempt(self, req)
        timeout_s = max(MIN_TIMEOUT_S, deadline - self._monotonic())
        timer = gevent.Timeout(timeout_s)
        try:
            timer.start()
            return attempt.run(self._encode(req))
        except gevent.Timeout as exc:
            if exc is not timer:
                raise
            error = OutcomeUnknown if attempt.sent else NotRun
            raise error("no answer before the deadline", "await", self.name) from exc
        finally:
            timer.close()
            attempt.close()

    def acquire(self, idempotent, request_id):
        """Return a connection for a request: an idle one that fits, or a new one.

        Parameters
        ----------
        idempotent : bool
            Whether a connection that has been idle for longer may be used.
        request_id : str
            Identifier of the request; empty if it has none.

        Returns
        -------
        EndpointConnection

        Raises
        ------
        NotConnected, NoRoom
            The endpoint accepts no connection, or this instance can open none.
        """
        now = self._monotonic()
        while self.idle and request_id:
            idle = self.idle.pop()
            max_idle_s = idle.max_idle_s if idempotent else NON_IDEMPOTENT_IDLE_S
            conn = idle.connection
            recent = now - idle.since <= min(max_idle_s, idle.max_idle_s)
            if recent and conn.can_match(request_id) and not is_readable(conn.sock):
                self.limiter.remove_idle(conn.sock)
                return conn
            conn.close()
        try:
            sock = self.limiter.connect(self.address, CONNECT_TIMEOUT_S)
        except OSError as exc:
            raise connect_error(exc, self.name) from exc
        self.opened_count += 1
        self.connect_s = self._monotonic() - now
        return EndpointConnection(sock)

    def release(self, connection, keep_alive_s):
        """Return a connection to the pool, or close it if the pool is full or closed.

        Parameters
        ----------
        connection : EndpointConnection
            The connection.
        keep_alive_s : float or None
            Seconds for which the endpoint keeps it open, if it says so.
        """
        if self._closed or len(self.idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        max_idle_s = MAX_IDLE_S
        if keep_alive_s is not None:
            max_idle_s = min(max_idle_s, keep_alive_s - KEEP_ALIVE_MARGIN_S)
        self.idle.append(_IdleConnection(connection, self._monotonic(), max_idle_s))
        self.limiter.add_idle(connection.sock, self.idle)

    def close(self):
        """Close idle connections; those in use are closed after their responses."""
        self._closed = True
        while self.idle:
            self.idle.pop().connection.close()

    def close_stale(self):
        """Close connections that have been idle for too long."""
        now = self._monotonic()
        while self.idle and now - self.idle[0].since > self.idle[0].max_idle_s:
            self.idle.popleft().connection.close()

    def parse_response(self, response):
        """Return the metadata in the headers of a response.

        Parameters
        ----------
        response : ParsedResponse
            The response.

        Returns
        -------
        ResponseMetadata
        """
        return self._parse_response(response.status, response.headers)

    def _encode(self, req):
        headers = dict(req.headers)
        if req.body:
            headers["Content-Length"] = str(len(req.body))
        if self._http is None:
            host, port = self.address
            self._http = HTTPClient(host, port=port, disable_ipv6=True)
        try:
            text = self._http._build_request(
                req.method, req.target, b"", headers, chunked=False
            )
            return text.encode("latin-1") + req.body
        except (ValueError, UnicodeError) as exc:
            raise NotRun(str(exc), step="build request", peer=self.name) from exc


class _Attempt:
    """One attempt to send a request, on one connection."""

    def __init__(self, client, req):
        self.sent = False
        self._client = client
        self._req = req
        self._conn = None
        self._sender = self._parser = None
        self._send_failed = False
        self._ended = False  # the end of the stream has been read
        self._reserved_bytes = 0

    def run(self, raw):
        request_id = self._req.request_id
        self._conn = self._client.acquire(self._req.idempotent, request_id)
        if self._conn.unused:
            self._check_new_connection()
        self.sent = True
        self._conn.record_request(request_id)
        self._send(raw)
        self._client.count_bytes("request", len(raw))
        parser = self._parser = ResponseParser(self._req.method)
        try:
            response, metadata = self._receive(parser)
        except BaseException:
            # A head may state something about the endpoint, whatever became of the rest
            # of the response, as after a reset.
            head = parser.unfinished_head()
            for response in (*parser.responses, *([head] if head else [])):
                self._client.parse_response(response)
            raise
        echoed = request_id != "" and metadata.request_id == request_id
        if response.reusable and echoed and self._is_reusable(parser):
            self._client.release(self._conn, metadata.keep_alive_s)
            self._conn = None
        self._reserved_bytes = 0  # stays reserved until the caller has the response
        return response, metadata

    def close(self):
        if self._sender is not None:
            self._sender.kill()
        if self._conn is not None:
            self._conn.close()
        if self._parser is not None:
            # The traceback of a failure may refer to it for as long as the request.
            self._parser.discard()
        if self._reserved_bytes:
            self._req.reservation.release(self._reserved_bytes)

    def _check_new_connection(self):
        """Raise if the request need not or must not be sent on a new connection."""
        if self._req.before_send is not None:
            self._req.before_send()
        if is_readable(self._conn.sock):
            # Neither bytes nor a close can respond to a request that was not sent.
            raise NotRun("endpoint spoke first", "connect", self._client.name)

    def _is_reusable(self, parser):
        """Return whether all was sent and nothing follows the response."""
        excess = bool(parser.responses) or not parser.between_responses()
        return self._is_sent() and not excess and not is_readable(self._conn.sock)

    def _is_sent(self):
        return self._sender is None or self._sender.ready()

    def _send(self, raw):
        if len(raw) <= MAX_INLINE_BYTES:
            self._send_all(raw)
        else:
            # The endpoint may respond before it has read the body.
            self._sender = gevent.spawn(self._send_all, raw)

    def _send_all(self, raw):
        try:
            self._conn.sock.sendall(raw)
        except OSError:
            # The next read may see an end of stream instead of the error.
            self._send_failed = True

    def _receive(self, parser):
        name, request_id = self._client.name, self._req.request_id
        while True:
            responses, parser.responses = parser.responses, []
            found = [self._client.parse_response(response) for response in responses]
            response_ids = [metadata.request_id for metadata in found]
            index = self._conn.match_response(request_id, response_ids)
            if index is not None:
                parser.responses = responses[index + 1 :]
                _check_consistent(found, index, name)
                return responses[index], found[index]
            if self._ended:
                # The parser completes a response without a length at each further read.
                error = IncompleteAnswer if parser.received_bytes else OutcomeUnknown
                raise error("connection was closed", "read", name)
            self._read_more(parser, name)

    def _read_more(self, parser, name):
        data = b""
        try:
            self._await_bytes(parser, name)
            data = self._conn.sock.recv(READ_BYTES)
            self._client.count_bytes("response", len(data))
            self._reserve(data, parser, name)
            parser.feed(data)
        except OSError as exc:
            error = IncompleteAnswer if parser.received_bytes else OutcomeUnknown
            raise error(str(exc), "read", name) from exc
        except HTTPParseError as exc:
            error = IncompleteAnswer if parser.received_bytes else OutcomeUnknown
            raise error(f"not an answer: {exc}", "read", name) from exc
        if data:
            return
        self._ended = True
        if parser.responses and not self._is_closed_in_order():
            raise IncompleteAnswer("connection was reset", "read", name)

    def _is_closed_in_order(self):
        closed = is_closed_in_order(self._conn.sock, self._is_sent)
        return closed and not self._send_failed

    def _reserve(self, data, parser, name):
        """Reserve memory for bytes before they are parsed; raise if too many."""
        reservation, size = self._req.reservation, parser.received_bytes + len(data)
        limit = (
            MAX_RESPONSE_BYTES
            if reservation is None
            else reservation.budget.max_response_bytes
        )
        if size > limit or parser.exceeds_overhead():
            raise IncompleteAnswer("answer is too long", "read", name)
        if reservation is None:
            return
        if not reservation.try_reserve(len(data)):
            raise IncompleteAnswer("no memory for the answer", "read", name)
        self._reserved_bytes += len(data)

    def _await_bytes(self, parser, name):
        abandon = self._req.should_abandon
        while abandon is not None and (
            not parser.received_bytes or parser.between_responses()
        ):
            try:
                gevent.socket.wait_read(self._conn.sock.fileno(), timeout=POLL_S)
                return
            except TimeoutError:
                if abandon():
                    message = "endpoint answers nobody"
                    raise OutcomeUnknown(message, "await", name) from None


def _check_consistent(found, index, name):
    """Raise if an endpoint rejected a request and responded to it as well."""
    matched = found[index]
    same = [other for other in found if other.request_id == matched.request_id]
    if any(other.not_run != matched.not_run for other in same):
        raise IncompleteAnswer("endpoint refused and answered", "match", name)


def _ignore_bytes(kind, size):
    pass


def create_endpoint_client(name, host, port, parse_response, monotonic):
    """Return a client of one endpoint.

    Parameters
    ----------
    name, host, port, parse_response, monotonic
        See `EndpointClient`.

    Returns
    -------
    EndpointClient
    """
    return EndpointClient(name, host, port, parse_response, monotonic)
