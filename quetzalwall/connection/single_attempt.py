"""HTTP client that sends each request at most once.

The client of geventhttpclient sends an idempotent request again, up to the size of
its pool, when a connection closes before the answer. Retries are decided in one
place only, `quetzalwall.request.retry`, so this client makes a single attempt and
tells whether any byte of the request left the process.
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

from quetzalwall.connection.nodelay import readable_now, set_nodelay
from quetzalwall.connection.yielding_socket import MOST_HEAD_BYTES, FairSocket
from quetzalwall.exceptions import NotRun, OutcomeUnknown

__all__ = ["CheckedResponse", "OutgoingRequest", "SingleAttemptClient", "create_client"]

BLOCK_SIZE = 64 * 1024  # bytes
REQUEST_ID_HEADER = "X-Request-Id"
LOWEST_FINAL_STATUS = 200
_BROKEN_CONNECTION = (ConnectionResetError, BrokenPipeError)


class OutgoingRequest(NamedTuple):
    """A request to be sent once.

    Attributes
    ----------
    method : str
        HTTP method.
    target : str
        Path and query string.
    headers : dict of str to str
        Headers, without Host and Content-Length.
    body : bytes or iterator of bytes
        The whole body, or its blocks in order.
    length : int or None
        Length of an iterated body in bytes; None sends it chunked.
    request_id : str
        Echoed by the endpoint; a connection is reused only after it was.
    """

    method: str
    target: str
    headers: dict
    body: object = b""
    length: int | None = 0
    request_id: str = ""


class FairPool(ConnectionPool):
    """Connection pool of fair sockets that have TCP_NODELAY set."""

    def after_connect(self, sock):
        """Set TCP_NODELAY once a socket is connected.

        Parameters
        ----------
        sock : gevent.socket.socket
            The connected socket.
        """
        set_nodelay(sock)

    def _resolve(self):
        # The library looks each address up in a native thread, IP numbers as well.
        place = self._connection_host, self._connection_port
        kind = gevent.socket.AF_INET, gevent.socket.SOCK_STREAM
        return [(*kind, gevent.socket.IPPROTO_TCP, "", place)]

    def _create_tcp_socket(self, family, socktype, protocol):
        return FairSocket(family, socktype, protocol)

    def close_idle(self):
        """Close the connections that wait for another request."""
        while not self._socket_queue.empty():
            self._socket_queue.get(block=False).close()

    def _is_socket_alive(self, sock):
        # The library's own check uses select(2).
        return sock is not None and sock.fileno() >= 0 and not readable_now(sock)


class SingleAttemptClient(HTTPClient):
    """Client of one peer, with pooled connections and no retries.

    Parameters
    ----------
    host : str
        IP number of the peer.
    port : int
        TCP port of the peer.
    peer : str
        Name of the peer in errors.
    connect_timeout_s : float, default=2.0
        Seconds to wait for a connection.
    size : int, default=32
        Connections at most.
    """

    def __init__(self, host, port, peer, connect_timeout_s=2.0, size=32):
        super().__init__(
            host,
            port=port,
            concurrency=size,
            disable_ipv6=True,
            block_size=BLOCK_SIZE,
            connection_timeout=connect_timeout_s,
        )
        self.peer = peer
        self._connection_pool = FairPool(
            host,
            port,
            host,
            port,
            size=size,
            disable_ipv6=True,
            connection_timeout=connect_timeout_s,
        )

    def send(self, req, timeout_s, last_check=None):
        """Send one request and return the beginning of its answer.

        Parameters
        ----------
        req : OutgoingRequest
            The request.
        timeout_s : float
            Seconds that each read or write of the socket may take.
        last_check : callable, default=None
            Called after a connection is ready and before the first byte is sent;
            it raises `NotRun` to stop the request.

        Returns
        -------
        HTTPSocketPoolResponse
            Status and headers; the body is read from it.

        Raises
        ------
        NotRun
            No byte of the request left this process.
        OutcomeUnknown
            Some of the request may have left and no answer arrived.
        """
        head = self._request_head(req)
        sock = self._connect()
        sock.settimeout(timeout_s)
        try:
            if last_check is not None:
                last_check()
        except BaseException:
            self._connection_pool.return_socket(sock)
            raise
        try:
            self._send_all(sock, head, req)
        except _BROKEN_CONNECTION:
            # The peer may have answered before it closed; `_read_head` finds out.
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
            res = CheckedResponse(sock, self._connection_pool, req)
        except (OSError, HTTPParseError) as exc:
            raise OutcomeUnknown(str(exc), step=step, peer=self.peer) from exc
        echoed = res.get(REQUEST_ID_HEADER)
        if req.request_id and echoed is not None and echoed != req.request_id:
            res.discard()
            raise OutcomeUnknown(
                f"answer is for request {echoed}", step="match answer", peer=self.peer
            )
        return res


class CheckedResponse(HTTPSocketPoolResponse):
    """Answer to one request, kept apart from any other on the connection.

    The connection returns to the pool only if the endpoint echoed the request's
    identifier, since a late second answer could otherwise be taken for the answer to
    the next request. Bytes of a second answer in the same segment are dropped.

    Parameters
    ----------
    sock : gevent.socket.socket
        Socket on which the request was sent.
    pool : ConnectionPool
        Pool that the socket came from.
    req : OutgoingRequest
        The request.
    """

    def __init__(self, sock, pool, req):
        self._request_id = req.request_id
        self._fed = 0
        self._ended = False
        self._code = 0
        self._excess = False
        super().__init__(sock, pool=pool, block_size=BLOCK_SIZE, method=req.method)

    def get_code(self):
        """Return the status of this answer, whatever began behind it.

        Returns
        -------
        int
        """
        return self._code if self._ended else super().get_code()

    def should_close(self):
        """Return whether the connection is unfit for another request.

        Returns
        -------
        bool
        """
        if self._request_id and self.get(REQUEST_ID_HEADER) != self._request_id:
            return True
        return self._excess or super().should_close()

    def feed(self, data):
        """Parse bytes from the connection.

        Parameters
        ----------
        data : bytes
            Empty at the end of the connection.

        Raises
        ------
        HTTPParseError
            The answer is malformed or was cut, or its head is too long.
        """
        self._fed += len(data)
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._ended:
                raise
        if self._fed > MOST_HEAD_BYTES and not self._head_read():
            raise HTTPParseError("head is too long")
        if self._ended:
            self.release()

    def _head_read(self):
        return self.headers_complete and self.get_code() >= LOWEST_FINAL_STATUS

    def discard(self):
        """Close the connection, whatever remains to be read from it."""
        self._request_id = "discarded"
        self.release()

    def at_end(self):
        """Return whether the whole answer was read.

        Returns
        -------
        bool
        """
        return self.message_complete and not self._body_buffer

    def read_some(self):
        """Return the next bytes of the body, as soon as there are any.

        Returns
        -------
        bytes
            Empty at the end of a complete answer.

        Raises
        ------
        HTTPParseError
            The connection closed before the end of the answer.
        OSError
            The connection failed or nothing arrived in time.
        """
        while not self._body_buffer and self._sock is not None:
            try:
                self.feed(self._sock.recv(BLOCK_SIZE))
            except BaseException:
                self.release()
                raise
        block = bytes(self._body_buffer)
        self._body_buffer.clear()
        return block

    def _on_message_begin(self):
        if self._ended:
            self._excess = True
        else:
            super()._on_message_begin()

    def _on_status(self, msg):
        if not self._ended:
            super()._on_status(msg)

    def _on_header_field(self, string):
        if not self._ended:
            super()._on_header_field(string)

    def _on_header_value(self, string):
        if not self._ended:
            super()._on_header_value(string)

    def _on_headers_complete(self):
        if self._ended:
            return True
        return super()._on_headers_complete()

    def _on_body(self, buf):
        if not self._ended:
            super()._on_body(buf)

    def _on_message_complete(self):
        if self._ended:
            return
        self._code = super().get_code()
        self._ended = self._code >= LOWEST_FINAL_STATUS
        # The class between would return the connection to the pool already here,
        # before the rest of the segment has been looked at.
        HTTPResponse._on_message_complete(self)


def create_client(host, port, peer, connect_timeout_s=2.0, size=32):
    """Return a client of one peer.

    Parameters
    ----------
    host, port, peer, connect_timeout_s, size
        As of `SingleAttemptClient`.

    Returns
    -------
    SingleAttemptClient
    """
    return SingleAttemptClient(
        host, port, peer, connect_timeout_s=connect_timeout_s, size=size
    )
