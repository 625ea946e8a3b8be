"""One request of a caller's connection, and its response in its turn.

The library's handler keeps the state of one request and response. An `Exchange` is such
a handler for one request that the handler of the connection has read.
"""

import errno
import struct
from contextlib import suppress

import gevent
import gevent.event
import gevent.socket

from quetzalwall.connection.http_server import STALL_TIMEOUT_S, QuietHandler
from quetzalwall.connection.pipeline import MAX_WAITING_BYTES
from quetzalwall.connection.request_line import split_target
from quetzalwall.connection.send_buffers import acknowledged_bytes, enlarge_send_buffer
from quetzalwall.connection.slow_readers import DeliveryConnection

__all__ = ["EXCHANGE_KEY", "REQUEST_ID_KEY", "Exchange", "create_exchange"]

SEND_BYTES = 16 * 1024  # after which the progress of a response is recorded
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # also frees what the kernel still has to send

# Keys of the WSGI environment.
SOCKET_KEY = "quetzalwall.socket"
TARGET_KEY = "quetzalwall.target"
EXCHANGE_KEY = "quetzalwall.exchange"
REQUEST_ID_KEY = "quetzalwall.request_id"


class Exchange(QuietHandler):
    """One request of a connection and its response.

    Attributes
    ----------
    idempotent : bool
        Whether the request may be repeated.
    has_body : bool
        Whether it has a body, behind which the next request begins.
    awaits_continue : bool
        Whether an interim response is due before its body is sent.
    arrived : float
        Monotonic seconds at which its head had been read.
    began : float or None
        Monotonic seconds at which it was started.
    waited : bool
        Whether it had to wait for others before it was started.
    task : gevent.Greenlet or None
        The task that serves it; None if it is that of the connection.
    responding : bool
        Whether its response is ready.
    complete : bool
        Whether its response was sent completely.
    reservation : Reservation or None
        Memory reserved for its bodies.
    extra_bytes : int
        Bytes reserved because it runs beside another request.
    """

    def begin(self, connection):
        """Take over the request whose head a connection has read.

        Parameters
        ----------
        connection : PipelinedHandler
            The connection.
        """
        self.__dict__.update(connection.__dict__)
        self._connection = connection
        self.head = None  # the connection's until the request starts
        self._monotonic = connection.server.pipelining.monotonic
        self.idempotent = False
        self.arrived, self.began = self._monotonic(), None
        self.waited = False
        self.task = None
        self._turn = None
        self.responding = self.complete = False
        self.reservation, self.extra_bytes = None, 0
        self._delivery = None
        self.response_length = 0
        self.application = self.server.application
        self.environ = self.get_environ()
        chunked = "HTTP_TRANSFER_ENCODING" in self.environ
        self.has_body = chunked or bool(self.content_length)
        self.awaits_continue = "HTTP_EXPECT" in self.environ

    def get_environ(self):
        """Return the WSGI environment of the request.

        Returns
        -------
        dict
        """
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        host, environ[TARGET_KEY] = split_target(self.path)
        if host:
            environ["HTTP_HOST"] = host
        environ[EXCHANGE_KEY] = self
        return environ

    def reserved_bytes(self):
        """Return the bytes of its bodies that are in memory.

        Returns
        -------
        int
        """
        return 0 if self.reservation is None else self.reservation.reserved_bytes

    def run(self):
        """Serve the request and send its response."""
        self.began = self._monotonic()
        try:
            self.handle_one_response()
        finally:
            self._connection.finish(self)

    def start_delay_s(self):
        """Return how long others on the connection delayed the start of the request.

        Returns
        -------
        float
            Seconds.
        """
        return self.began - self.arrived if self.waited else 0.0

    def await_turn(self):
        """Wait until the responses to all earlier requests have been sent.

        Returns
        -------
        float
            Seconds waited.

        Raises
        ------
        ConnectionResetError
            No response can be sent on the connection any more.
        """
        self.responding = True
        if self._connection._pipeline.is_next(self):
            return 0.0
        waited_since = self._monotonic()
        try:
            self._await_turn()
        except gevent.GreenletExit:
            raise _lost_connection() from None
        if self._connection._pipeline.broken:
            raise _lost_connection()
        return self._monotonic() - waited_since

    def _await_turn(self):
        if not self._connection._pipeline.is_next(self):
            self._turn = gevent.event.Event()
            self._turn.wait()

    def begin_turn(self):
        """Let the response be sent: all before it have been."""
        if self._turn is not None:
            self._turn.set()

    def await_room(self, size):
        """Wait until bytes for this request may be read.

        Responses that wait behind another one share a limit. The next response is not
        subject to it.

        Parameters
        ----------
        size : int
            Number of bytes.
        """
        if self._connection.waiting_bytes() + size > MAX_WAITING_BYTES:
            self._await_turn()

    def is_last(self, wants_close):
        """Return whether this response closes the connection.

        Parameters
        ----------
        wants_close : bool
            Whether the connection is to be closed after the requests that run.

        Returns
        -------
        bool
        """
        return self._connection._pipeline.is_last(self, wants_close)

    def process_result(self):
        """Send the response."""
        deliveries = self._connection.server.pipelining.deliveries
        reservation = self.reservation
        self._delivery = deliveries.add(
            reservation.reserved_bytes,
            reservation.account,
            self._cut_off,
            DeliveryConnection(
                self.environ.get(REQUEST_ID_KEY, ""),
                lambda: acknowledged_bytes(self.socket),
                self._hand_over,
            ),
        )
        try:
            super().process_result()
        finally:
            deliveries.remove(self._delivery)
            self._delivery = None
        self.complete = True

    def _sendall(self, data):
        if self._delivery is None or self._pending is not None:
            super()._sendall(data)
            return
        deadline = self._delivery.ready + STALL_TIMEOUT_S
        view = memoryview(data)
        for start in range(0, len(data), SEND_BYTES):
            if self._monotonic() >= deadline:
                raise TimeoutError("the caller reads too slowly")
            super()._sendall(view[start : start + SEND_BYTES])
            self._delivery.sent_bytes = self.response_length

    def bytes_ahead(self):
        """Return the bytes of earlier responses that the connection hasn't taken yet.

        Returns
        -------
        int
        """
        size = 0
        for other in self._connection._pipeline.running:
            if other is self:
                break
            size += other.reserved_bytes()
            if other._delivery is not None:
                size -= other._delivery.sent_bytes
        return size

    def _hand_over(self):
        running = self._connection._pipeline.running
        enlarge_send_buffer(self.socket, sum(e.reserved_bytes() for e in running))

    def _cut_off(self):
        """Reset the connection, so that the response doesn't look complete."""
        option = gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER
        with suppress(OSError):
            self.socket._sock.setsockopt(*option, RESET_ON_CLOSE)
            self.socket._sock.shutdown(gevent.socket.SHUT_RDWR)

    def _send_error_response_if_possible(self, error_code):
        # Nothing may be sent out of turn or behind a part of another response.
        if self.headers_sent or not self._connection._pipeline.is_next(self):
            self.close_connection = True
            return
        super()._send_error_response_if_possible(error_code)


def create_exchange(connection):
    """Return the request whose head a connection has read.

    Parameters
    ----------
    connection : PipelinedHandler
        The connection.

    Returns
    -------
    Exchange

    Raises
    ------
    ValueError
        The head is malformed.
    """
    exchange = Exchange.__new__(Exchange)
    exchange.begin(connection)
    return exchange


def _lost_connection():
    return ConnectionResetError(errno.ECONNRESET, "the connection has ended")
