"""Request heads that are being read: their memory, length and time.

A head counts in the memory budget of the process beyond the part that is included in
the memory of every connection. Heads that take too long are closed; where memory or
connections are short, those that have been incomplete for longest are closed first.
"""

import gevent
import gevent.socket

from quetzalwall.connection.head_rejections import REASONS, HeadRejected
from quetzalwall.connection.yielding_socket import YIELD_SLEEP_S

__all__ = ["RequestHeads"]

MAX_REQUEST_HEAD_BYTES = 32 * 1024  # twice the platform's default for callers
MAX_HEAD_RATIO = 2  # of the configured maximum, if that is more
MAX_HEAD_S = 12.0  # four times the platform's default for callers
MAX_HEAD_TIME_RATIO = 4  # of the configured time-out, if that is more
MAX_CAUSE_CHARACTERS = 80  # of a rejection that is logged
MIN_FIELD_BYTES = 4  # of a name, a colon and the end of the line
PIECE_BYTES = 1024  # reserved before they are read
# Bytes of memory per byte of a head: as read, in the parsed message and in the WSGI
# environment; and per line, for the strings and tuples that contain it.
BYTE_COST = 3
LINE_COST = 512
INCLUDED_COST = 12 * 1024  # in the memory that each connection is counted with
MEMORY_FRACTION = 0.5  # of the budget, so that bodies have room beside heads
EVICTION_ROUNDS = 20  # in which evicted heads give their memory back
MIN_EVICTED_FRACTION = 1 / 3  # of the time-out; younger heads aren't closed for others


class RequestHeads:
    """Request heads of all listeners of a process.

    Parameters
    ----------
    memory_budget : MemoryBudget
        Memory for heads and bodies.
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    max_bytes : int
        Maximum length of a head.
    max_lines : int
        Maximum number of lines of a head.
    max_s : float
        Maximum time from the first byte of a head to its last.
    reserved_bytes : int
        Bytes of the budget that heads take, those of running requests included.
    rejected : dict of str to int
        Number of rejected heads and bodies by reason.
    last_rejected : str
        Status, caller and cause of the last rejection of a head.
    """

    def __init__(self, memory_budget, monotonic):
        self.configure(0, 0.0)
        self.reserved_bytes = 0
        self.rejected = dict.fromkeys((*REASONS.values(), "framing"), 0)
        self.last_rejected = ""
        self._budget = memory_budget
        self._monotonic = monotonic
        self._incomplete = {}  # heads and their first moments, oldest first

    def __len__(self):
        return len(self._incomplete)

    def configure(self, max_header_bytes, header_timeout_s):
        """Set the limits so that callers within the configured ones never reach them.

        Parameters
        ----------
        max_header_bytes : int
            Configured maximum length of a head.
        header_timeout_s : float
            Configured time for a head.
        """
        self.max_bytes = max(MAX_REQUEST_HEAD_BYTES, MAX_HEAD_RATIO * max_header_bytes)
        self.max_lines = self.max_bytes // MAX_HEAD_RATIO // MIN_FIELD_BYTES
        self.max_s = max(MAX_HEAD_S, MAX_HEAD_TIME_RATIO * header_timeout_s)

    def begin(self, sock, rfile, server):
        """Return a head whose first byte has arrived; the caller has to close it.

        Parameters
        ----------
        sock : YieldingSocket
            The connection.
        rfile : io.BufferedReader
            Reads from the connection.
        server : NoDelayServer
            Server of the connection.

        Returns
        -------
        RequestHead
        """
        head = RequestHead(self, sock, rfile, server)
        self._incomplete[head] = self._monotonic()
        return head

    def record_rejected(self, reason, caller="", cause=""):
        """Count a rejected head or body.

        Parameters
        ----------
        reason : int or str
            Status of the rejection, or ``"framing"``.
        caller : tuple, default=""
            Address of the caller.
        cause : object, default=""
            What was wrong.
        """
        self.rejected[REASONS.get(reason, reason)] += 1
        self.last_rejected = f"{reason} {caller} {str(cause)[:MAX_CAUSE_CHARACTERS]}"

    def remove(self, head):
        """Record that a head is complete or was given up.

        Parameters
        ----------
        head : RequestHead
            The head.
        """
        self._incomplete.pop(head, None)

    def close_overdue(self):
        """Close the connections whose heads have taken too long."""
        now = self._monotonic()
        for head, since in list(self._incomplete.items()):
            if now - since < self.max_s:
                break
            head.expire(408)

    def evict(self, server, count):
        """Close connections of a server whose heads have been incomplete for longest.

        Parameters
        ----------
        server : NoDelayServer
            The server.
        count : int
            Number of connections to close.

        Returns
        -------
        int
            Number of connections closed.
        """
        closed, now = 0, self._monotonic()
        for head, since in list(self._incomplete.items()):
            if closed >= count or now - since < MIN_EVICTED_FRACTION * self.max_s:
                break
            if head.server is server and head.expired is None:
                head.expire(408)
                closed += 1
        return closed

    def reserve(self, head, size):
        """Reserve memory for a head; evict the oldest incomplete ones for it.

        Parameters
        ----------
        head : RequestHead
            The head.
        size : int
            Number of bytes.

        Raises
        ------
        HeadRejected
            There is no room.
        """
        for _ in range(EVICTION_ROUNDS):
            if self._try_reserve(size):
                return
            if not self._evict_for(head):
                break
            gevent.sleep(YIELD_SLEEP_S)
        raise HeadRejected(503)

    def release(self, size):
        """Give memory back.

        Parameters
        ----------
        size : int
            Number of bytes.
        """
        self.reserved_bytes -= size
        self._budget.release(size)

    def _try_reserve(self, size):
        if self.reserved_bytes + size > MEMORY_FRACTION * self._budget.capacity:
            return False
        if not self._budget.try_reserve(size):
            return False
        self.reserved_bytes += size
        return True

    def _evict_for(self, head):
        """Evict the oldest head with reserved memory; False if that is the own one."""
        pending = False
        for other in self._incomplete:
            if other.reserved_bytes == 0:
                continue
            if other is head:
                break
            if other.expired is None:
                other.expire(503)
                return True
            pending = True  # its task has not given the memory back yet
        return pending


class RequestHead:
    """The head of one request.

    Parameters
    ----------
    heads : RequestHeads
        All heads of the process.
    sock, rfile, server
        As of `RequestHeads.begin`.

    Attributes
    ----------
    reserved_bytes : int
        Bytes reserved for it.
    expired : int or None
        Status with which it was given up.
    """

    def __init__(self, heads, sock, rfile, server):
        self.server = server
        self.reserved_bytes = 0
        self.expired = None
        self._heads = heads
        self._sock = sock
        self._rfile = rfile
        self._size = self._lines = 0

    def readline(self, limit):
        """Return the next line, with its end unless it reaches the limit.

        Parameters
        ----------
        limit : int
            Maximum number of bytes.

        Returns
        -------
        bytes

        Raises
        ------
        HeadRejected
            The head is too long, takes too long or finds no memory.
        ConnectionError
            The connection has ended within the head.
        """
        if self._lines > self._heads.max_lines:
            raise HeadRejected(431)
        self._lines += 1
        line = self._read_piece(limit)
        if line.endswith(b"\n"):
            return line
        pieces, length = [line], len(line)
        while length < limit:
            piece = self._read_piece(limit - length)
            pieces.append(piece)
            length += len(piece)
            if piece.endswith(b"\n"):
                break
        return b"".join(pieces)

    def _read_piece(self, limit):
        rest = self._heads.max_bytes - self._size
        if rest <= 0:
            raise HeadRejected(431)
        size = min(limit, rest, PIECE_BYTES)
        # Checked here too, since ordinary heads need no reservation.
        if (self._size + size) * BYTE_COST + self._lines * LINE_COST > INCLUDED_COST:
            self._reserve(size)
        piece = self._rfile.readline(size)
        if self.expired is not None:
            raise HeadRejected(self.expired)
        if not piece:
            # The library would take the lines so far for a complete head.
            raise ConnectionAbortedError("the connection ended within a head")
        self._size += len(piece)
        return piece

    def _reserve(self, size):
        more = self._excess_cost(size) - self.reserved_bytes
        if more > 0:
            self._heads.reserve(self, more)
            self.reserved_bytes += more

    def finish(self):
        """Record that the head is complete; its memory stays reserved.

        Raises
        ------
        HeadRejected
            The head was given up meanwhile.
        """
        if self.expired is not None:
            raise HeadRejected(self.expired)
        self._heads.remove(self)
        self._sock = self._rfile = None  # free of reference cycles
        surplus = self.reserved_bytes - self._excess_cost(0)
        if surplus > 0:
            self._heads.release(surplus)
            self.reserved_bytes -= surplus

    def _excess_cost(self, more_bytes):
        """Return the bytes of memory beyond what the connection is counted with."""
        cost = (self._size + more_bytes) * BYTE_COST + self._lines * LINE_COST
        return max(0, cost - INCLUDED_COST)

    def expire(self, status):
        """Give the head up: its reader gets the end of the stream.

        Parameters
        ----------
        status : int
            Status of the rejection.
        """
        if self.expired is None:
            self.expired = status
            try:
                # The library's own method would raise an error in the reader later.
                self._sock._sock.shutdown(gevent.socket.SHUT_RD)
            except OSError:
                return  # the connection has ended

    def close(self):
        """Give the memory back; further calls do nothing."""
        self._heads.remove(self)
        self._heads.release(self.reserved_bytes)
        self.reserved_bytes = 0
