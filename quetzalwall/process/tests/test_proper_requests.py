"""Proper requests of unusual form, which must not be rejected as if they were wrong."""

import random
import re

import gevent
import gevent.pool
from gevent import socket as gsocket
from nose2.tools import params

from quetzalwall.tests.platform_fixtures import HOST, running_site

FIELDS = f"Host: {HOST}\r\nX-Quetzalwall-Request-Id: a1\r\n"
CLOSE = "Connection: close\r\n"
LAST = f"GET /look/9 HTTP/1.1\r\n{FIELDS}{CLOSE}\r\n"
SEQUENCES = 60
# Statuses of a 4xx that say "not run"; the rules allow them for any request.
NOT_RUN_STATUSES = {408, 421, 429}


def connect(site):
    sock = gsocket.create_connection((site.fronts[0].settings.address, site.ports[0]))
    sock.settimeout(10.0)
    return sock


def exchange(site, raw):
    """Return the statuses of the responses to what is sent on one connection."""
    with connect(site) as sock:
        sock.sendall(raw)
        return receive_statuses(sock)


def receive_statuses(sock):
    received = b""
    while data := sock.recv(65536):
        received += data
    return [int(text) for text in re.findall(rb"HTTP/1\.1 ([2-5]\d\d) ", received)]


# DENIED: a target in absolute form matched no route (404).
@params(
    f"http://{HOST}/look/1", f"HTTP://{HOST}:80/look/1?a=b", f"https://{HOST}/look/"
)
def test_a_target_in_absolute_form_is_served(target):
    with running_site(endpoints=1) as site:
        head = f"GET {target} HTTP/1.1\r\nHost: other.example\r\n"
        head += f"X-Quetzalwall-Request-Id: a1\r\n{CLOSE}\r\n"
        assert exchange(site, head.encode()) == [200]
        assert site.endpoints[0].arrivals


# DENIED: an empty line before a request line was rejected as malformed (400).
@params(
    ("\r\n", ""),
    ("\r\n\r\n\n", ""),
    ("", f"POST /book/1 HTTP/1.1\r\n{FIELDS}Content-Length: 2\r\n\r\nhi\r\n"),
)
def test_an_empty_line_before_a_request_is_ignored(before, first):
    with running_site(endpoints=1) as site:
        statuses = exchange(site, f"{before}{first}{LAST}".encode())
        assert statuses == [200] * (2 if first else 1)


def test_lines_without_end_before_a_request_are_rejected():
    with running_site(endpoints=1) as site:
        assert exchange(site, b"\r\n" * 20 + LAST.encode()) == [400]


# DENIED: a deadline that a caller had computed got 400, as it had a sign, a fraction or
# more than 12 digits.
@params(("-3", 503), ("0", 503), ("1500.5", 200), ("0000000001500", 200), ("soon", 400))
def test_a_deadline_may_have_passed_or_have_a_fraction(text, status):
    with running_site(endpoints=1) as site:
        head = f"GET /look/1 HTTP/1.1\r\n{FIELDS}{CLOSE}"
        head += f"X-Quetzalwall-Deadline-Ms: {text}\r\n\r\n"
        assert exchange(site, head.encode()) == [status]


def create_request(rng):
    """Return a proper request, with a body that looks like another one."""
    framing = rng.choice(("none", "length", "chunks"))
    target = rng.choice(("/look/1", "/book/1"))
    body = b"GET /nowhere HTTP/1.1\r\n\r\n" * rng.choice((0, 1, 50, 9000, 30_000))
    head = f"POST {target} HTTP/1.1\r\n{FIELDS}"
    deadline_ms = rng.choice((None, 0, 3, 900))
    if deadline_ms is not None:
        head += f"X-Quetzalwall-Deadline-Ms: {deadline_ms}\r\n"
    if framing == "none":
        return f"{head}\r\n".encode()
    if framing == "length":
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
    raw = f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
    while body:
        size = rng.choice((1, 100, 4000, 60_000))
        raw += b"%x\r\n%s\r\n" % (len(body[:size]), body[:size])
        body = body[size:]
    return raw + rng.choice((b"0\r\n\r\n", b"0\r\nX-Trailer: a\r\n\r\n"))


# Bodies that are read only in part, since memory is short or the deadline has passed,
# must not be taken for the next request of their connection.
@params(None, 300_000)
def test_no_sequence_of_proper_requests_is_rejected_as_wrong(memory_bytes):
    with running_site(endpoints=2) as site:
        if memory_bytes is not None:
            site.fronts[0].memory_budget.capacity = memory_bytes
        found = {}

        def send_sequence(seed):
            rng = random.Random(seed)
            raw = b"".join(create_request(rng) for _ in range(rng.randint(1, 5)))
            raw += LAST.encode()
            with connect(site) as sock:
                writer = gevent.spawn(send_in_pieces, sock, raw, rng)
                try:
                    found[seed] = receive_statuses(sock)
                except ConnectionResetError:
                    found[seed] = []
                writer.kill()

        gevent.pool.Pool(8).map(send_sequence, range(SEQUENCES))
        statuses = {status for statuses in found.values() for status in statuses}
        assert 200 in statuses
        assert not [s for s in statuses - NOT_RUN_STATUSES if 300 <= s < 500], found


def send_in_pieces(sock, raw, rng):
    try:
        while raw:
            size = rng.choice((7, 900, 66_000, 2_000_000))
            sock.sendall(raw[:size])
            raw = raw[size:]
            gevent.sleep(rng.choice((0, 0, 0.02)))
    except OSError:
        return  # the instance has closed the connection
