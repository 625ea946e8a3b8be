"""Stand-in for one endpoint on the platform.

It echoes the request's identity, stamps its answers, refuses beyond its slots and
queue, and counts how often each request ran. ``behaviour`` holds what it does wrong:
``shed`` (refuse all), ``shed_after_s`` (the same, after a while), ``hang`` (never
answer), ``cut`` (end in the middle of the body),
``extra`` (a second answer after each), ``late`` (the same, a little later), ``early``
(answer before the body is read), ``again`` (write an earlier refusal once more, then
run; its value is the identity that it names, "" for none),
``lose`` (run, then reset), ``error`` (run, then answer 500),
``other`` (expect another identity), ``slow_s``, ``longer`` (bytes to add to answers),
``endless`` (bytes to send again and again in the head of an answer), and ``limit`` (the
requests a second that it names in its answers).
"""

import re
import time

import gevent
import gevent.lock
import gevent.server
import gevent.socket

__all__ = ["PlatformEndpoint", "create_platform_endpoint"]

PREFIX = "X-Quetzalwall-"
BLOCK_BYTES = 64 * 1024
LATE_S = 0.03  # after which the connection is idle, or used for another request
HEADER = re.compile(r"^([^:]+):\s*(.*)$")


class PlatformEndpoint:
    """One endpoint.

    Parameters
    ----------
    name : str
        Its identity.
    address : str
        IP number to listen on.
    slots : int
        Requests that run at once.
    queue : int
        Requests that may wait.
    work_s : float
        Duration of a request.
    """

    def __init__(self, name, address, slots, queue, work_s):
        self.name = name
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.behaviour = {}
        self.runs = {}
        self.answered = set()
        self.arrivals = []
        self.arrival_times = []
        self.left_at = None
        self.limits = []
        self.cancelled = 0
        self.connections = 0
        self._open = 0
        self._slots = gevent.lock.BoundedSemaphore(slots)
        self.server = gevent.server.StreamServer((address, 0), self._serve)

    @property
    def address(self):
        """IP number and port."""
        return self.server.address

    def start(self):
        """Begin service."""
        self.server.start()

    def close(self):
        """End service at once."""
        self.server.stop(timeout=0)

    def _serve(self, sock, address):
        self.connections += 1
        reader = sock.makefile("rb")
        kept = False
        try:
            while self._serve_one(sock, reader, kept):
                kept = True
        except OSError:
            pass
        finally:
            reader.close()
            sock.close()

    def _serve_one(self, sock, reader, kept):
        line = reader.readline()
        if not line:
            return False
        headers = {}
        while (text := reader.readline().decode().strip()) != "":
            match = HEADER.match(text)
            headers[match[1].lower()] = match[2]
        length = int(headers.get("content-length", 0))
        request_id = headers.get(f"{PREFIX}Request-Id".lower(), "")
        expected = headers.get(f"{PREFIX}Expect-Instance".lower(), self.name)
        self.arrivals.append((request_id, headers))
        self.arrival_times.append(time.monotonic())
        if self.behaviour.get("early"):
            _answer(sock, 503, b"", request_id, not_run=True)
            reader.read(length)
            return True
        body = reader.read(length)
        if expected != self.behaviour.get("other", self.name):
            _answer(sock, 421, b"", request_id)
            return True
        if self.behaviour.get("shed") or self._open >= self.slots + self.queue:
            _answer(sock, 503, b"", request_id, not_run=True)
            return True
        if kept and "again" in self.behaviour:
            _answer(sock, 503, b"", self.behaviour["again"], not_run=True)
        if wait_s := self.behaviour.get("shed_after_s"):
            gevent.sleep(wait_s)
            _answer(sock, 503, b"", request_id, not_run=True)
            return True
        self._open += 1
        try:
            with self._slots:
                return self._run(sock, request_id, line, body)
        finally:
            self._open -= 1

    def _run(self, sock, request_id, line, body):
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
            _send_endlessly(sock, self.behaviour["endless"])
        self.answered.add(request_id)
        text = f"{self.name} {request_id} {len(body)}\n".encode()
        text += b"x" * self.behaviour.get("longer", 0)
        load = f"{self._open},0,{self.slots},100"
        if limit := self.behaviour.get("limit", ""):
            load += f"\r\nServer-Limit: {limit}"
        if self.behaviour.get("error"):
            _answer(sock, 500, text, request_id, load)
            return True
        if self.behaviour.get("cut"):
            _answer(sock, 200, text, request_id, load, longer=20)
            return False
        _answer(sock, 200, text, request_id, load)
        if self.behaviour.get("late"):
            gevent.spawn_later(LATE_S, _answer_quietly, sock, text, request_id)
        if self.behaviour.get("extra"):
            _answer(sock, 200, b"extra\n", request_id, load)
        return True


def _send_endlessly(sock, part):
    """Send a head that does not end, until the connection closes."""
    sock.sendall(b"HTTP/1.1 200 OK\r\n")
    while True:
        sock.sendall(part * (BLOCK_BYTES // len(part)))
        gevent.sleep(0)


def _closed_within(sock, seconds):
    try:
        gevent.socket.wait_read(sock.fileno(), timeout=seconds)
    except TimeoutError:
        return False
    return not sock.recv(1, gevent.socket.MSG_PEEK)


def _answer_quietly(sock, text, request_id):
    try:
        _answer(sock, 200, text, request_id)
    except OSError:
        return


def _answer(sock, status, body, request_id, load="", not_run=False, longer=0):
    lines = [
        f"HTTP/1.1 {status} Status",
        f"Content-Length: {len(body) + longer}",
    ]
    if request_id:
        lines.append(f"{PREFIX}Request-Id: {request_id}")
    if not_run:
        lines.append(f"{PREFIX}Request-Not-Run: 1")
    else:
        lines.append(f"{PREFIX}Server-Stamp: stamp-of-{request_id}")
    if load:
        lines.append(f"{PREFIX}Server-Load: {load}")
    sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def create_platform_endpoint(name, address="127.0.0.1", slots=3, queue=9, work_s=0.01):
    """Return an endpoint that is not yet started.

    Parameters
    ----------
    name : str
        Its identity.
    address : str, default="127.0.0.1"
        IP number to listen on.
    slots : int, default=3
        Requests that run at once.
    queue : int, default=9
        Requests that may wait.
    work_s : float, default=0.01
        Duration of a request.

    Returns
    -------
    PlatformEndpoint
    """
    return PlatformEndpoint(name, address, slots, queue, work_s)
