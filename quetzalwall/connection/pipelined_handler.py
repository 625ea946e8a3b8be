"""Handler of a caller's connection, on which requests may be sent ahead.

The library's handler serves one request at a time. Here, the task of the connection
reads requests and starts them as `Pipeline` decides: those that may be repeated are
served by tasks of their own, any other one by the task of the connection, which reads
on after its response. Each response is written by the library when its turn comes.
"""

import itertools
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

import gevent
import gevent.event

from quetzalwall.connection.caller_connection import CallerLeft, is_closed
from quetzalwall.connection.exchange import create_exchange
from quetzalwall.connection.head_rejections import rejection_bytes, rejection_status
from quetzalwall.connection.http_server import (
    STALL_TIMEOUT_S,
    QuietHandler,
)
from quetzalwall.connection.memory_budget import MemoryBudget
from quetzalwall.connection.pipeline import Admission, create_pipeline
from quetzalwall.connection.request_line import await_request_line
from quetzalwall.connection.slow_readers import Deliveries

__all__ = ["PipelinedHandler", "Pipelining"]

EXCHANGE_BYTES = 36_000  # of memory for a request that runs beside another, at most
# Of the memory budget; beyond it, room is left for the bodies of others.
AHEAD_MEMORY_FRACTION = 0.5
POLL_S = 0.25  # between two looks whether a caller that is not read from has left
LINGER_S = 1.0  # a caller gets this long to close a connection that was ended here
CANCEL_S = 0.5  # until cancelled requests have ended
DISCARD_BYTES = 16 * 1024
MAX_DISCARDED_BYTES = 256 * 1024  # behind a rejected head; it may have no end
MAX_DISCARDED_BODY_BYTES = 4 * 1024 * 1024  # of a request that is dropped


class Pipelining(NamedTuple):
    """What a handler needs to know of the requests that it reads.

    Attributes
    ----------
    is_idempotent : callable
        From a WSGI environment to whether the request may be repeated, and so run
        beside others and be cancelled.
    record_dropped : callable
        Called with the WSGI environment of each request that is dropped unread behind
        the response that closes its connection.
    memory_budget : MemoryBudget
        Memory for requests that run beside others.
    monotonic : callable
        Clock in seconds; the one that deadlines are measured with.
    deliveries : Deliveries
        Responses that are being sent.
    """

    is_idempotent: Callable
    record_dropped: Callable
    memory_budget: MemoryBudget
    monotonic: Callable
    deliveries: Deliveries


class PipelinedHandler(QuietHandler):
    """Reads the requests of one connection.

    Its server has a `Pipelining` as the attribute ``pipelining``.
    """

    def handle(self):
        """Serve one connection."""
        self.socket.settimeout(STALL_TIMEOUT_S)
        self._task = gevent.getcurrent()
        self._pipeline = create_pipeline()
        self._running = self._pipeline.running
        self._changed = None  # set when a request ends, while the task waits for that
        self._awaits_request = self._timed_out = False
        self._linger_timer = None
        self._closed = False
        self._input_ended = False  # here, because a head took too long
        try:
            self._serve_requests()
        except OSError:
            self._cancel_running(CallerLeft)
        finally:
            self.close_head()
            self._cancel_running(gevent.GreenletExit)
            self._close()

    def _serve_requests(self):
        """Read and start requests until the caller closes the connection."""
        while (exchange := self._read_exchange()) is not None:
            if self._await_admission(exchange) is Admission.DROP:
                self.server.pipelining.record_dropped(exchange.environ)
                self.close_head()
                if exchange.has_body:
                    self._discard_input(MAX_DISCARDED_BODY_BYTES)
                    return
                continue
            self._start(exchange)
            if exchange.has_body and exchange.idempotent:
                self._await_change(lambda sent=exchange: sent not in self._running)

    def _read_exchange(self):
        """Return the next request; None if there is none."""
        try:
            line = self.read_requestline()
            if not line:
                self._end_of_requests()
                return None
            if len(line) >= self.server.heads.max_bytes:
                cause = f"request line of {len(line)} bytes"
                self.server.heads.record_rejected(414, self.client_address, cause)
                self._reject_head(414)
                return None
            self.read_request(line)
            return create_exchange(self)
        except OSError:
            raise
        except Exception as exc:
            self._handle_client_error(exc)
            self._reject_head(rejection_status(exc))
            return None

    def read_requestline(self):
        """Return the next request line, or an empty one at the end of the stream.

        Returns
        -------
        str
        """
        self.yield_if_due()
        self._awaits_request = True
        self._timed_out = False
        if not self._running:
            self.server.idle.add(self.socket)
        try:
            if not await_request_line(self.rfile):
                return ""
        except TimeoutError:
            self._timed_out = True
            return ""
        finally:
            self._awaits_request = False
            self.server.idle.remove(self.socket)
        return self.read_head_line()

    def _end_of_requests(self):
        """Handle the end of the stream, or a caller that sends nothing for long."""
        if self._timed_out:
            self._pipeline.closing = True
            self._await_change(lambda: not self._running)
        self._cancel_running(CallerLeft)

    def _reject_head(self, status):
        """Reject a head behind the earlier requests, and read no more."""
        self._input_ended = self.head is not None and self.head.expired is not None
        self.close_head()
        self._await_change(lambda: not self._running)
        if not self._pipeline.broken and not self._pipeline.closing:
            self.socket.sendall(rejection_bytes(status))
        self._pipeline.closing = True
        self._end_output()
        self._discard_input(MAX_DISCARDED_BYTES)

    def _await_admission(self, exchange):
        """Wait until a request may start, or must be dropped; return which."""
        admission = self._admit(exchange)

        def decide():
            nonlocal admission
            admission = self._admit(exchange)
            return admission is not Admission.WAIT

        if admission is Admission.WAIT:
            exchange.waited = True
            self._await_change(decide)
        return Admission.DROP if admission is Admission.WAIT else admission

    def _admit(self, exchange):
        policy = self.server.pipelining
        exchange.idempotent = policy.is_idempotent(exchange.environ)
        parallel = exchange.idempotent and not exchange.awaits_continue
        if not self._running:
            return self._pipeline.admit(parallel)
        admission = self._pipeline.admit(parallel, self.waiting_bytes())
        if admission is Admission.START:
            budget = policy.memory_budget
            if not budget.try_reserve(EXCHANGE_BYTES, AHEAD_MEMORY_FRACTION):
                return Admission.WAIT
            exchange.extra_bytes = EXCHANGE_BYTES
        return admission

    def _await_change(self, condition):
        """Wait until a condition holds, or the caller has left.

        The condition is checked after each end of a request.
        """
        while not condition():
            self._changed = gevent.event.Event()
            if self._changed.wait(POLL_S) or self._input_ended:
                continue
            if is_closed(self.socket):
                self._cancel_running(CallerLeft)
                return

    def _start(self, exchange):
        parallel = exchange.idempotent and not exchange.has_body
        self._pipeline.start(exchange, parallel)
        exchange.head, self.head = self.head, None
        self.drop_request()
        if exchange.close_connection:
            self._pipeline.closing = True
        if exchange.idempotent:
            exchange.task = gevent.spawn(exchange.run)
        else:
            exchange.run()

    def waiting_bytes(self):
        """Return the bytes of responses that wait behind the next one.

        Returns
        -------
        int
        """
        waiting = itertools.islice(self._running, 1, None)
        return sum(exchange.reserved_bytes() for exchange in waiting)

    def finish(self, exchange):
        """Let the requests behind one that has ended proceed.

        Parameters
        ----------
        exchange : Exchange
            The request that has ended.
        """
        pipeline = self._pipeline
        self._remove(exchange)
        if self._closed:
            return
        if pipeline.broken:
            self._cancel_running(CallerLeft, block=False)
        if self._running:
            self._running[0].begin_turn()
        elif pipeline.closing or pipeline.broken:
            self._end_output()
        elif self._awaits_request:
            self.server.idle.add(self.socket)
        if self._changed is not None:
            self._changed.set()

    def _remove(self, exchange):
        self._pipeline.finish(exchange, exchange.complete)
        self._pipeline.closing |= exchange.close_connection
        self.server.pipelining.memory_budget.release(exchange.extra_bytes)
        exchange.close_head()
        exchange.task = None  # free of reference cycles
        exchange.drop_request()

    def _cancel_running(self, reason, block=True):
        """Stop the tasks of requests whose responses are not ready or not wanted."""
        if reason is CallerLeft:
            self._pipeline.broken = True
        cancellable = [exchange for exchange in self._running if exchange.task]
        tasks = [exchange.task for exchange in cancellable]
        for exchange in cancellable:
            if reason is CallerLeft or not exchange.responding:
                exchange.task.kill(reason, block=False)
                if exchange.began is None:
                    self._remove(exchange)  # its task never begins
        if block and tasks:
            gevent.joinall(tasks, timeout=CANCEL_S)

    def _end_output(self):
        """Close the connection behind the last response.

        A close while input is unread would reset the connection, and the caller could
        lose responses. So it is left to the caller for a while.
        """
        if self._linger_timer is not None:
            return
        with suppress(OSError):
            self.socket.shutdown(gevent.socket.SHUT_WR)
        self._linger_timer = gevent.spawn_later(LINGER_S, self._task.kill, block=False)

    def _discard_input(self, max_bytes):
        """Drop input until the caller closes, or the connection is closed here."""
        while max_bytes > 0:
            data = self.rfile.read1(DISCARD_BYTES)
            if not data:
                return
            max_bytes -= len(data)
        while not is_closed(self.socket):
            gevent.sleep(POLL_S)

    def _close(self):
        self._closed = True
        if self._linger_timer is not None:
            self._linger_timer.kill(block=False)
        with suppress(OSError):
            self.socket._sock.recv(DISCARD_BYTES)
        with suppress(OSError):
            self.socket._sock.close()
            self.socket.close()
        del self.socket, self.rfile
