"""HTTP client that sends each request at most once.

The client of geventhttpclient resends an idempotent request when a connection closes
before the response, as often as its pool has connections. Retries are decided in one
place only, `quetzalwall.request.request_server`, so this client makes a single attempt
and tells whether any byte of the request left the process.
"""

from typing import NamedTuple

import gevent.socket
from geventhttpclient.client import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import (
    HTTPParseError,
    HTTPResponse,
    HTTPSocketPoolResponse,
)

from quetzalwall.connection.nodelay import is_readable, set_nodelay
from quetzalwall.connection.response_checks import StrictResponse, is_closed_in_order
from quetzalwall.connection.yielding_socket import MAX_HEAD_BYTES, YieldingSocket
from quetzalwall.exceptions import NotRun, OutcomeUnknown

__all__ = ["CheckedResponse", "OutgoingRequest", "SingleAttemptClient", "create_client"]

READ_BYTES = 64 * 1024
REQUEST_ID_HEADER = "X-Request-Id"
MIN_FINAL_STATUS = 200
_BROKEN_CONNECTION = (ConnectionResetError, BrokenPipeError)


class OutgoingRequest(NamedTuple):
    """A request to a peer.

    Attributes
    ----------
    method : str
        HTTP method.
    target : str
        Path and query string.
    headers : dict of str to str
        Headers, without Host and Content-Length.
    body : bytes or iterator of bytes
        The complete body, or its blocks in order.
    length : int or None
        Length in bytes of a body given as iterator; None sends it chunked.
    request_id : str
        Identifier of the request; the connection is reused only if the peer echoes it.
    """

    method: str
    target: str
    headers: dict
    body: object = b""
    length: int | None = 0
    request_id: str = ""


class YieldingSocketPool(ConnectionPool):
    """Connection pool of yielding sockets that have TCP_NODELAY set."""

    def after_connect(self, sock):
        """Set TCP_NODELAY on a connected socket.

        Parameters
        ----------
        sock : gevent.socket.socket
            The connected socket.
        """
        set_nodelay(sock)

    def _resolve(self):
        # The library resolves each address in a native thread, IP addresses as well.
        address = self._connection_host, self._connection_port
        family_and_type = gevent.socket.AF_INET, gevent.socket.SOCK_STREAM
        return [(*family_and_type, gevent.socket.IPPROTO_TCP, "", address)]

    def _create_tcp_socket(self, family, socktype, protocol):
        return YieldingSocket(family, socktype, protocol)

    def close_idle(self):
        """Close the connections that wait for another request."""
        while not self._socket_queue.empty():
            self._socket_queue.get(block=False).close()

    def _is_socket_alive(self, sock):
        # The library's own check uses select(2).
        return sock is not None and sock.fileno() >= 0 and not is_readable(sock)


class SingleAttemptClient(HTTPClient):
    """Client of one peer, with pooled connections and without retries.

    Parameters
    ----------
    host : str
        IP address of the peer.
    port : int
        TCP port of the peer.
    peer : str
        Name of the peer, for error messages.
    connect_timeout_s : float, default=2.0
        Seconds to wait for a connection.
    size : int, default=32
        Maximum number of connections.
    """

    def __init__(self, host, port, peer, connect_timeout_s=2.0, size=32):
        super().__init__(
            host,
            port=port,
            concurrency=size,
            disable_ipv6=True,
            block_size=READ_BYTES,
            connection_timeout=connect_timeout_s,
        )
        self.peer = peer
        self._connection_pool = YieldingSocketPool(
            host,
            port,
            host,
            port,
            size=size,
            disable_ipv6=True,
            connection_timeout=connect_timeout_s,
        )

    def send(self, req, timeout_s, before_send=None):
        """Send one request and return its response once the head has been read.

        Parameters
        ----------
        req : OutgoingRequest
            The request.
        timeout_s : float
            Seconds that each read or write of the socket may take.
        before_send : callable, default=None
            Called once a connection is ready, before the first byte is sent; raises
            `NotRun` to cancel the request.

        Returns
        -------
        HTTPSocketPoolResponse
            Response with status and headers; the body is read from it.

        Raises
        ------
        NotRun
            No byte of the request left this process.
        OutcomeUnknown
            Part of the request may have left this process; no response arrived.
        """
        head = self._request_head(req)
        sock = self._connect()
        sock.settimeout(timeout_s)
        try:
            if before_send is not None:
                before_send()
        except BaseException:
            self._connection_pool.return_socket(sock)
            raise
        try:
            self._send_all(sock, head, req)
        except _BROKEN_CONNECTION:
            # The peer may have responded before it closed; `_read_head` finds out.
            return self._read_head(sock, req, step="send")
        except OSError as exc:
            self._connection_pool.release_socket(sock)
            raise OutcomeUnknown(str(exc), step="send", peer=self.peer) from exc
        except BaseException:
            self._connection_pool.release_socket(sock)
            raise
        return self._read_head(sock, req, step="read head")

    def close_idle(self):
        """Close the connections that wait for another request."""
        self._connection_pool.close_idle()

    def _request_head(self, req):
        headers = dict(req.headers)
        if req.request_id:
            headers[REQUEST_ID_HEADER] = req.request_id
        chunked = not isinstance(req.body, bytes) and req.length is None
        if not isinstance(req.body, bytes) and req.length is not None:
            headers["Content-Length"] = str(req.length)
        body = req.body if isinstance(req.body, bytes) else b""
        try:
            text = self._build_request(
                req.method, req.target, body=body, headers=headers, chunked=chunked
            )
            return text.encode("latin-1")
        except (ValueError, UnicodeError) as exc:
            raise NotRun(str(exc), step="build request", peer=self.peer) from exc

    def _connect(self):
        try:
            return self._connection_pool.get_socket()
        except (OSError, RuntimeError) as exc:
            raise NotRun(str(exc), step="connect", peer=self.peer) from exc

    def _send_all(self, sock, head, req):
        if isinstance(req.body, bytes):
            sock.sendall(head + req.body)
            return
        sock.sendall(head)
        for block in req.body:
            if req.length is None:
                block = b"%x\r\n%b\r\n" % (len(block), block)
            sock.sendall(block)
        if req.length is None:
            sock.sendall(b"0\r\n\r\n")

    def _read_head(self, sock, req, step):
        try:
            res = CheckedResponse(sock, self._connection_pool, req, step == "send")
        except (OSError, HTTPParseError) as exc:
            raise OutcomeUnknown(str(exc), step=step, peer=self.peer) from exc
        echoed = res.get(REQUEST_ID_HEADER)
        if req.request_id and echoed is not None and echoed != req.request_id:
            res.discard()
            raise OutcomeUnknown(
                f"answer is for request {echoed}", step="match answer", peer=self.peer
            )
        return res


class CheckedResponse(StrictResponse, HTTPSocketPoolResponse):
    """Response to one request, separated from any other on the connection.

    The connection returns to the pool only if the peer echoed the request identifier,
    since a late second response could otherwise be taken for the response to the next
    request. Bytes of a second response in the same segment are dropped.

    Parameters
    ----------
    sock : gevent.socket.socket
        Socket on which the request was sent.
    pool : ConnectionPool
        Pool that the socket came from.
    req : OutgoingRequest
        The request.
    send_failed : bool
        Whether its sending ended by an error.
    """

    def __init__(self, sock, pool, req, send_failed):
        self._send_failed = send_failed
        self._request_id = req.request_id
        self._received_bytes = 0
        self._is_complete = False
        self._final_status = 0
        self._has_excess = False
        super().__init__(sock, pool=pool, block_size=READ_BYTES, method=req.method)

    def get_code(self):
        """Return the status of this response, also if another one follows it.

        Returns
        -------
        int
        """
        return self._final_status if self._is_complete else super().get_code()

    def should_close(self):
        """Return whether the connection must not carry another request.

        Returns
        -------
        bool
        """
        if self._request_id and self.get(REQUEST_ID_HEADER) != self._request_id:
            return True
        return self._has_excess or super().should_close()

    def feed(self, data):
        """Parse bytes from the connection.

        Parameters
        ----------
        data : bytes
            Empty at the end of the connection.

        Raises
        ------
        HTTPParseError
            The response is malformed or truncated, its head is too long, or a reset
            ended the connection before the response was complete.
        """
        self._received_bytes += len(data)
        in_body = self.headers_complete and not self._is_complete
        if not data and in_body:
            in_order = is_closed_in_order(self._sock, None, self._sock.gettimeout())
            if self._send_failed or not in_order:
                raise HTTPParseError("connection was reset")
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._is_complete:
                raise
        if self._received_bytes > MAX_HEAD_BYTES and not self._final_head_complete():
            raise HTTPParseError("head is too long")
        if self._is_complete:
            self.release()

    def _final_head_complete(self):
        return self.headers_complete and self.get_code() >= MIN_FINAL_STATUS

    def discard(self):
        """Close the connection without reading the rest of the response."""
        self._request_id = "discarded"
        self.release()

    def is_fully_read(self):
        """Return whether the response is complete and its body was read.

        Returns
        -------
        bool
        """
        return self.message_complete and not self._body_buffer

    def read_available(self):
        """Return the next bytes of the body as soon as any are available.

        Returns
        -------
        bytes
            Empty at the end of a complete response.

        Raises
        ------
        HTTPParseError
            The connection closed before the end of the response.
        OSError
            The connection failed, or nothing arrived within the time-out.
        """
        while not self._body_buffer and self._sock is not None:
            try:
                self.feed(self._sock.recv(READ_BYTES))
            except BaseException:
                self.release()
                raise
        block = bytes(self._body_buffer)
        self._body_buffer.clear()
        return block

    def _on_message_begin(self):
        if self._is_complete:
            self._has_excess = True
        else:
            super()._on_message_begin()

    def _on_status(self, msg):
        if not self._is_complete:
            super()._on_status(msg)

    def _on_header_field(self, string):
        if not self._is_complete:
            super()._on_header_field(string)

    def _on_header_value(self, string):
        if not self._is_complete:
            super()._on_header_value(string)

    def _on_headers_complete(self):
        if self._is_complete:
            return True
        return super()._on_headers_complete()

    def _on_body(self, buf):
        if not self._is_complete:
            super()._on_body(buf)

    def _on_message_complete(self):
        if self._is_complete:
            return
        self._final_status = super().get_code()
        self._is_complete = self._final_status >= MIN_FINAL_STATUS
        # The parent class would return the connection to the pool here, before the rest
        # of the segment has been parsed.
        HTTPResponse._on_message_complete(self)


def create_client(host, port, peer, connect_timeout_s=2.0, size=32):
    """Return a client of one peer.

    Parameters
    ----------
    host, port, peer, connect_timeout_s, size
        See `SingleAttemptClient`.

    Returns
    -------
    SingleAttemptClient
    """
    return SingleAttemptClient(
        host, port, peer, connect_timeout_s=connect_timeout_s, size=size
    )
