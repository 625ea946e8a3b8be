"""Send one request to one endpoint, on a connection that may be kept.

Each call makes one attempt and tells whether the request can have run. Answers that
are not proved to be its own are dropped. A connection is kept only if its answer named
the request, nothing follows, the whole body was sent and the endpoint means to keep it.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import gevent
import gevent.socket
from geventhttpclient.client import HTTPClient
from geventhttpclient.response import HTTPParseError

from quetzalwall.connection.answer_parser import AnswerParser
from quetzalwall.connection.connection_limiter import ConnectionLimiter, failure
from quetzalwall.connection.endpoint_connection import EndpointConnection
from quetzalwall.connection.memory_budget import Reservation
from quetzalwall.connection.nodelay import readable_now
from quetzalwall.exceptions import IncompleteAnswer, NotRun, OutcomeUnknown

__all__ = ["EndpointClient", "EndpointRequest", "create_endpoint_client"]

CONNECT_TIMEOUT_S = 0.6  # several round trips between the farthest regions
IDLE_LIMIT_S = 8.0  # shorter than the endpoints' usual 10 s
CAREFUL_IDLE_S = 2.0  # for requests that may not run twice: a late close costs them
KEEP_ALIVE_MARGIN_S = 1.0
INLINE_BODY_BYTES = 16 * 1024  # longer bodies are sent while the answer is awaited
READ_BYTES = 64 * 1024
MOST_ANSWER_BYTES = 64 * 1024 * 1024  # where nothing is counted
MOST_IDLE = 64  # connections
MIN_LIMIT_S = 0.001
LOOK_S = 0.25  # between two looks at whether an answer is still worth waiting for


class EndpointRequest(NamedTuple):
    """A request and how it is to be sent.

    Attributes
    ----------
    method, target : str
        HTTP method, and path with query.
    headers : dict of str to str
        All headers but the length.
    body : bytes
        The whole body.
    request_id : str
        The answer must name it; empty if it has none, for a connection of its own.
    idempotent : bool
        Whether it may be sent on a connection that has been idle for longer.
    hopeless : callable or None
        Whether no answer is to be expected any more; None to wait in any case.
    hold : Reservation or None
        Counts the bytes of the answer; None counts none.
    check_wanted : callable or None
        Raises if nobody waits for the answer any more, so that nothing is sent.
    """

    method: str
    target: str
    headers: dict
    body: bytes
    request_id: str
    idempotent: bool
    hopeless: Callable | None = None
    hold: Reservation | None = None
    check_wanted: Callable | None = None


class _Idle(NamedTuple):
    connection: EndpointConnection
    since: float
    limit_s: float


class EndpointClient:
    """Connections to one endpoint.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    host : str
        IP number.
    port : int
        TCP port.
    parse_response : callable
        From status and headers of an answer to what they say.
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    opened : int
        Connections opened so far.
    connect_s : float or None
        Seconds that the last connection took to open: one round trip.
    connections : ConnectionLimiter
        Counts those to all endpoints.
    idle : collections.deque
        Those that are kept for another request.
    """

    def __init__(self, name, host, port, parse_response, monotonic):
        self.name = name
        self.place = (host, port)
        self.opened_count = 0
        self.connect_s = None
        self._parse_response = parse_response
        self._monotonic = monotonic
        self.idle = deque()
        self._closed = False
        self.limiter = ConnectionLimiter()
        self._http = None  # made when it is needed: most endpoints get no request

    def send(self, send, deadline):
        """Send a request once and return the whole answer.

        Parameters
        ----------
        send : EndpointRequest
            The request.
        deadline : float
            Monotonic seconds after which no answer is awaited.

        Returns
        -------
        (ParsedAnswer, ResponseMetadata)

        Raises
        ------
        NotRun
            No byte of the request left this process.
        OutcomeUnknown
            It may have run; no answer arrived.
        IncompleteAnswer
            Its answer was cut or spoiled.
        """
        attempt = _Attempt(self, send)
        limit_s = max(MIN_LIMIT_S, deadline - self._monotonic())
        timer = gevent.Timeout(limit_s)
        try:
            timer.start()
            return attempt.run(self._encode(send))
        except gevent.Timeout as exc:
            if exc is not timer:
                raise
            kind = OutcomeUnknown if attempt.sent else NotRun
            raise kind("no answer before the deadline", "await", self.name) from exc
        finally:
            timer.close()
            attempt.close()

    def acquire(self, idempotent, request_id):
        """Return a connection for a request.

        Parameters
        ----------
        idempotent : bool
            Whether a connection that was idle for long may be used.
        request_id : str
            Identity of the request; empty if it has none.

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
            limit_s = idle.limit_s if idempotent else CAREFUL_IDLE_S
            kept = idle.connection
            in_time = now - idle.since <= min(limit_s, idle.limit_s)
            if in_time and kept.fits(request_id) and not readable_now(kept.sock):
                self.limiter.leave_idle(kept.sock)
                return kept
            kept.close()
        try:
            sock = self.limiter.connect(self.place, CONNECT_TIMEOUT_S)
        except OSError as exc:
            raise failure(exc, self.name) from exc
        self.opened_count += 1
        self.connect_s = self._monotonic() - now
        return EndpointConnection(sock)

    def give_back(self, connection, keep_alive_s):
        """Keep a connection for another request.

        Parameters
        ----------
        connection : EndpointConnection
            The connection.
        keep_alive_s : float or None
            Seconds for which the endpoint keeps it, if it said so.
        """
        if self._closed or len(self.idle) >= MOST_IDLE:
            connection.close()
            return
        limit_s = IDLE_LIMIT_S
        if keep_alive_s is not None:
            limit_s = min(limit_s, keep_alive_s - KEEP_ALIVE_MARGIN_S)
        self.idle.append(_Idle(connection, self._monotonic(), limit_s))
        self.limiter.enter_idle(connection.sock, self.idle)

    def close(self):
        """Close idle connections; those in use close when their answers end."""
        self._closed = True
        while self.idle:
            self.idle.pop().connection.close()

    def close_stale(self):
        """Close connections that have been idle for too long."""
        now = self._monotonic()
        while self.idle and now - self.idle[0].since > self.idle[0].limit_s:
            self.idle.popleft().connection.close()

    def parse_response(self, answer):
        """Return what an answer's headers say.

        Parameters
        ----------
        answer : ParsedAnswer
            The answer.

        Returns
        -------
        ResponseMetadata
        """
        return self._parse_response(answer.status, answer.headers)

    def _encode(self, send):
        headers = dict(send.headers)
        if send.body:
            headers["Content-Length"] = str(len(send.body))
        if self._http is None:
            host, port = self.place
            self._http = HTTPClient(host, port=port, disable_ipv6=True)
        try:
            text = self._http._build_request(
                send.method, send.target, b"", headers, chunked=False
            )
            return text.encode("latin-1") + send.body
        except (ValueError, UnicodeError) as exc:
            raise NotRun(str(exc), step="build request", peer=self.name) from exc


class _Attempt:
    """One request on one connection."""

    def __init__(self, client, send):
        self.sent = False
        self._client = client
        self._exchange = send
        self._connection = None
        self._sender = None
        self._taken = 0

    def run(self, raw):
        request_id = self._exchange.request_id
        self._connection = self._client.acquire(self._exchange.idempotent, request_id)
        if self._connection.fresh:
            self._check_new()
        self.sent = True
        self._connection.begin(request_id)
        self._send(raw)
        parser = AnswerParser(self._exchange.method)
        answer, facts = self._receive(parser)
        named = request_id != "" and facts.request_id == request_id
        if answer.reusable and named and self._clear(parser):
            self._client.give_back(self._connection, facts.keep_alive_s)
            self._connection = None
        self._taken = 0  # the answer is held until the caller has it
        return answer, facts

    def close(self):
        if self._sender is not None:
            self._sender.kill()
        if self._connection is not None:
            self._connection.close()
        if self._taken:
            self._exchange.hold.give_back(self._taken)

    def _check_new(self):
        """Raise if the request need not or must not go out on a new connection."""
        if self._exchange.check_wanted is not None:
            self._exchange.check_wanted()
        if readable_now(self._connection.sock):
            # Neither bytes nor an end can be an answer to what was not sent.
            raise NotRun("endpoint spoke first", "connect", self._client.name)

    def _clear(self, parser):
        """Return whether all was sent and nothing follows the answer."""
        unsent = self._sender is not None and not self._sender.ready()
        more = bool(parser.answers) or not parser.clean()
        return not unsent and not more and not readable_now(self._connection.sock)

    def _send(self, raw):
        if len(raw) <= INLINE_BODY_BYTES:
            _send_quietly(self._connection.sock, raw)
        else:
            # The endpoint may answer before it has read the body.
            self._sender = gevent.spawn(_send_quietly, self._connection.sock, raw)

    def _receive(self, parser):
        name, request_id = self._client.name, self._exchange.request_id
        while True:
            answers, parser.answers = parser.answers, []
            told = [self._client.parse_response(answer) for answer in answers]
            names = [facts.request_id for facts in told]
            index = self._connection.own(request_id, names)
            if index is not None:
                parser.answers = answers[index + 1 :]
                _check_agreed(told, index, name)
                return answers[index], told[index]
            self._read_more(parser, name)

    def _read_more(self, parser, name):
        data = b""
        try:
            self._await_bytes(parser, name)
            data = self._connection.sock.recv(READ_BYTES)
            self._count(data, parser, name)
            parser.feed(data)
        except OSError as exc:
            kind = IncompleteAnswer if parser.received else OutcomeUnknown
            raise kind(str(exc), "read", name) from exc
        except HTTPParseError as exc:
            kind = IncompleteAnswer if parser.received else OutcomeUnknown
            raise kind(f"not an answer: {exc}", "read", name) from exc
        if not data and not parser.answers:
            kind = IncompleteAnswer if parser.received else OutcomeUnknown
            raise kind("connection was closed", "read", name)

    def _count(self, data, parser, name):
        """Count bytes before they are parsed; raise if they are too many."""
        hold, size = self._exchange.hold, parser.received + len(data)
        most = MOST_ANSWER_BYTES if hold is None else hold.whole.max_response_bytes
        if size > most or parser.overlong():
            raise IncompleteAnswer("answer is too long", "read", name)
        if hold is None:
            return
        if not hold.take(len(data)):
            raise IncompleteAnswer("no memory for the answer", "read", name)
        self._taken += len(data)

    def _await_bytes(self, parser, name):
        hopeless = self._exchange.hopeless
        while hopeless is not None and (not parser.received or parser.clean()):
            try:
                gevent.socket.wait_read(self._connection.sock.fileno(), timeout=LOOK_S)
                return
            except TimeoutError:
                if hopeless():
                    message = "endpoint answers nobody"
                    raise OutcomeUnknown(message, "await", name) from None


def _check_agreed(told, index, name):
    """Raise if an endpoint refused a request and answered it as well."""
    facts = told[index]
    same = [other for other in told if other.request_id == facts.request_id]
    if any(other.not_run != facts.not_run for other in same):
        raise IncompleteAnswer("endpoint refused and answered", "match", name)


def _send_quietly(sock, raw):
    """Send; a connection that breaks is noticed where the answer is read."""
    try:
        sock.sendall(raw)
    except OSError:
        return


def create_endpoint_client(name, host, port, parse_response, monotonic):
    """Return the connections to one endpoint.

    Parameters
    ----------
    name, host, port, parse_response, monotonic
        As of `EndpointClient`.

    Returns
    -------
    EndpointClient
    """
    return EndpointClient(name, host, port, parse_response, monotonic)
