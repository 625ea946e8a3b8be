"""Fake of an endpoint that speaks the platform's dialect.

It echoes the request's identity, stamps its responses, rejects requests beyond its
slots and queue, and counts how often each request ran. The dictionary ``behaviour``
sets faults and other deviations:

- ``shed``: reject all requests
- ``shed_after_s``: reject all requests after this many seconds
- ``hang``: never respond
- ``cut``: close the connection before the body is complete
- ``extra``: send a second, unrequested response after each response
- ``late``: the same, but a little later
- ``early``: reject before the body is read
- ``again``: on a reused connection, repeat an earlier rejection, then run the request;
  the value is the request identity in that rejection, "" for none
- ``lose``: run the request, then close the connection without a response
- ``error``: run the request, then respond with 500
- ``other``: have this name instead of its own, and reject other expected names
- ``slow_s``: seconds added to each request
- ``longer``: bytes added to each response body
- ``endless``: bytes that are sent over and over in the head of a response
- ``headers``: further header lines of its responses, whatever their status
- ``limit``: the limit that its responses advertise, in requests a second
"""

import re
import time

import gevent
import gevent.lock
import gevent.server
import gevent.socket

__all__ = ["PlatformEndpoint", "create_platform_endpoint"]

HEADER_PREFIX = "X-Quetzalwall-"
BLOCK_BYTES = 64 * 1024
# Long enough that the connection is idle by then, or carries another request.
LATE_RESPONSE_DELAY_S = 0.03
HEADER_LINE = re.compile(r"^([^:]+):\s*(.*)$")


class PlatformEndpoint:
    """One endpoint.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    address : str
        IP address to listen on; the port is a free one.
    slots : int
        Maximum number of concurrent requests.
    queue : int
        Maximum number of queued requests.
    work_s : float
        Service time of a request, in seconds.

    Attributes
    ----------
    behaviour : dict
        Faults and other deviations; see the module's docstring.
    runs : dict
        Number of runs by request identity.
    responded_ids : set of str
        Identities of the requests that were run and responded to.
    arrivals : list of (str, dict)
        Identity and headers of each request received, in order of arrival.
    arrival_times : list of float
        Monotonic seconds at which each of them arrived.
    draining_since : float or None
        Monotonic seconds at which the endpoint was reported as draining.
    pauses : list of (float, float, float)
        Begin and end, in monotonic seconds, of each span in which it rejected requests
        and asked for none, and the seconds that it asked for.
    advertised_limits : list of (float, float, float)
        Begin and end, in monotonic seconds, of each span in which the endpoint
        advertised a limit, and the limit in requests a second.
    cancelled : int
        Requests whose client closed the connection while they ran.
    connections : int
        Connections accepted.
    """

    def __init__(self, name, address, slots, queue, work_s):
        self.name = name
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.behaviour = {}
        self.runs = {}
        self.responded_ids = set()
        self.arrivals = []
        self.arrival_times = []
        self.draining_since = None
        self.advertised_limits = []
        self.pauses = []
        self.cancelled = 0
        self.connections = 0
        self._outstanding = 0
        self._slots = gevent.lock.BoundedSemaphore(slots)
        self.server = gevent.server.StreamServer((address, 0), self._serve)

    @property
    def address(self):
        """IP address and port that the endpoint listens on."""
        return self.server.address

    def start(self):
        """Start serving."""
        self.server.start()

    def close(self):
        """Stop serving, without waiting for requests in progress."""
        self.server.stop(timeout=0)

    def _serve(self, sock, address):
        self.connections += 1
        reader = sock.makefile("rb")
        reused = False
        try:
            while self._serve_one(sock, reader, reused):
                reused = True
        except OSError:
            pass
        finally:
            reader.close()
            sock.close()

    def _serve_one(self, sock, reader, reused):
        request_line = reader.readline()
        if not request_line:
            return False
        headers = {}
        while (header_line := reader.readline().decode().strip()) != "":
            match = HEADER_LINE.match(header_line)
            headers[match[1].lower()] = match[2]
        length = int(headers.get("content-length", 0))
        request_id = headers.get(f"{HEADER_PREFIX}Request-Id".lower(), "")
        expected = headers.get(f"{HEADER_PREFIX}Expect-Instance".lower(), self.name)
        self.arrivals.append((request_id, headers))
        self.arrival_times.append(time.monotonic())
        if self.behaviour.get("early"):
            self._respond(sock, 503, b"", request_id, not_run=True)
            reader.read(length)
            return True
        body = reader.read(length)
        if expected != self.behaviour.get("other", self.name):
            self._respond(sock, 421, b"", request_id)
            return True
        if self.behaviour.get("shed") or self._outstanding >= self.slots + self.queue:
            self._respond(sock, 503, b"", request_id, not_run=True)
            return True
        if reused and "again" in self.behaviour:
            self._respond(sock, 503, b"", self.behaviour["again"], not_run=True)
        if wait_s := self.behaviour.get("shed_after_s"):
            gevent.sleep(wait_s)
            self._respond(sock, 503, b"", request_id, not_run=True)
            return True
        self._outstanding += 1
        try:
            with self._slots:
                return self._run(sock, request_id, request_line, body)
        finally:
            self._outstanding -= 1

    def _run(self, sock, request_id, request_line, body):
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        work_s = self.work_s + self.behaviour.get("slow_s", 0.0)
        if self.behaviour.get("hang"):
            work_s = 3600.0
        if _closed_within(sock, work_s):
            self.cancelled += 1
            return False
        if self.behaviour.get("lose"):
            return False
        if self.behaviour.get("endless"):
            _send_endless_headers(sock, self.behaviour["endless"])
        self.responded_ids.add(request_id)
        text = f"{self.name} {request_id} {len(body)}\n".encode()
        text += b"x" * self.behaviour.get("longer", 0)
        load = f"{self._outstanding},0,{self.slots},100"
        if limit := self.behaviour.get("limit", ""):
            load += f"\r\nServer-Limit: {limit}"
        if self.behaviour.get("error"):
            self._respond(sock, 500, text, request_id, load)
            return True
        if self.behaviour.get("cut"):
            self._respond(sock, 200, text, request_id, load, missing_bytes=20)
            return False
        self._respond(sock, 200, text, request_id, load)
        if self.behaviour.get("late"):
            gevent.spawn_later(
                LATE_RESPONSE_DELAY_S, _respond_unless_closed, sock, text, request_id
            )
        if self.behaviour.get("extra"):
            self._respond(sock, 200, b"extra\n", request_id, load)
        return True

    def _respond(self, sock, *args, **fields):
        headers = self.behaviour.get("headers", ())
        _respond(sock, *args, **fields, headers=headers)


def _send_endless_headers(sock, header_line):
    """Send header lines until the connection closes."""
    sock.sendall(b"HTTP/1.1 200 OK\r\n")
    while True:
        sock.sendall(header_line * (BLOCK_BYTES // len(header_line)))
        gevent.sleep(0)


def _closed_within(sock, seconds):
    try:
        gevent.socket.wait_read(sock.fileno(), timeout=seconds)
    except TimeoutError:
        return False
    return not sock.recv(1, gevent.socket.MSG_PEEK)


def _respond_unless_closed(sock, text, request_id):
    try:
        _respond(sock, 200, text, request_id)
    except OSError:
        return


def _respond(
    sock,
    status,
    body,
    request_id,
    load="",
    not_run=False,
    missing_bytes=0,
    headers=(),
):
    lines = [
        f"HTTP/1.1 {status} Status",
        f"Content-Length: {len(body) + missing_bytes}",
    ]
    if request_id:
        lines.append(f"{HEADER_PREFIX}Request-Id: {request_id}")
    if not_run:
        lines.append(f"{HEADER_PREFIX}Request-Not-Run: 1")
    else:
        lines.append(f"{HEADER_PREFIX}Server-Stamp: stamp-of-{request_id}")
    if load:
        lines.append(f"{HEADER_PREFIX}Server-Load: {load}")
    lines.extend(headers)
    sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def create_platform_endpoint(name, address="127.0.0.1", slots=3, queue=9, work_s=0.01):
    """Return an endpoint that is not yet started.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    address : str, default="127.0.0.1"
        IP address to listen on; the port is a free one.
    slots : int, default=3
        Maximum number of concurrent requests.
    queue : int, default=9
        Maximum number of queued requests.
    work_s : float, default=0.01
        Service time of a request, in seconds.

    Returns
    -------
    PlatformEndpoint
    """
    return PlatformEndpoint(name, address, slots, queue, work_s)
