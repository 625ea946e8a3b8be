"""Fixtures for requests that a caller sends before the earlier ones are answered."""

import time
from contextlib import contextmanager

import gevent
import gevent.socket

from quetzalwall.tests.platform_fixtures import HOST, running_site, wait_for

WORK_S = 0.5
SLOTS = 40  # enough for all requests of a test without queueing
RESPONSE_TIMEOUT_S = 5.0


@contextmanager
def roomy_site(endpoints=1, work_s=0.01, slots=SLOTS):
    """Run a site whose endpoints serve all requests of a test without queueing."""
    with running_site(endpoints=endpoints, slots=slots, work_s=work_s) as site:
        for endpoint in site.endpoints:
            site.register(endpoint, slots=slots)
        states = site.fronts[0].endpoints
        wait_for(lambda: all(state.entry.slots == slots for state in states))
        yield site


@contextmanager
def collected_task_errors():
    """Collect the exceptions with which tasks end, in place of printing them."""
    errors, hub = [], gevent.get_hub()
    hub.handle_error = lambda context, kind, value, trace: errors.append(value)
    try:
        yield errors
    finally:
        del hub.handle_error


def request(request_id, method="GET", target="/look/1", body=b"", *lines):
    """Return the bytes of one request."""
    head = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Quetzalwall-Request-Id: {request_id}",
        *lines,
    ]
    if body and not lines:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def book(request_id, body=b""):
    return request(request_id, "POST", "/book/1", body)


def look(request_id, *lines):
    return request(request_id, "GET", "/look/1", b"", *lines)


def connect(site, receive_bytes=None):
    sock = gevent.socket.socket()
    if receive_bytes:
        sock.setsockopt(
            gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, receive_bytes
        )
    sock.connect((site.fronts[0].settings.address, site.ports[0]))
    sock.settimeout(RESPONSE_TIMEOUT_S)
    return sock


def read_response(reader):
    """Return status, headers in lower case and body; None at the end of the stream."""
    status_line = reader.readline()
    if not status_line:
        return None
    headers = {}
    while (line := reader.readline().decode().strip()) != "":
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    status = int(status_line.split()[1])
    length = 0 if status == 100 else int(headers["content-length"])
    return status, headers, reader.read(length)


def read_all(sock):
    """Return all responses until the end of the stream, and when each arrived."""
    reader, found = sock.makefile("rb"), []
    while (response := read_response(reader)) is not None:
        found.append((*response, time.monotonic()))
    return found


def read_responses(sock, count):
    reader = sock.makefile("rb")
    return [(*read_response(reader), time.monotonic()) for _ in range(count)]


def identities(responses):
    """Return the identity that each response names in its body."""
    return [body.split()[1].decode() for _, _, body, _ in responses]


def arrivals(site):
    return [sent for endpoint in site.endpoints for sent, _ in endpoint.arrivals]


def start_lookups(site, count=8, work_s=WORK_S):
    """Send look-ups on one connection and return it once all are under way."""
    for endpoint in site.endpoints:
        endpoint.behaviour["slow_s"] = work_s
    sock = connect(site)
    sock.sendall(b"".join(look(f"r{number}") for number in range(count)))
    wait_for(lambda: len(arrivals(site)) == count)
    return sock
