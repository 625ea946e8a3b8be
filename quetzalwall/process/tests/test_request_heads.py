"""Limits on request heads at a running instance."""

import socket

import gevent
from gevent import socket as gsocket
from nose2.tools import params

from quetzalwall.connection import pipelined_handler
from quetzalwall.tests.platform_fixtures import HOST, running_site, wait_for

START = f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Quetzalwall-Request-Id: a\r\n"
MAX_HEADER_BYTES = 16384  # of the platform's configuration
HEADER_TIMEOUT_S = 3.0
SLOW_PARTS = 15
MAX_RESPONSE_S = 20.0


def connect(site, number=0):
    address = site.fronts[0].settings.address, site.ports[number]
    sock = gsocket.create_connection(address)
    sock.settimeout(MAX_RESPONSE_S)
    return sock


def receive_all(sock):
    """Return everything until the end of the connection; b"" after a reset."""
    received = b""
    try:
        while data := sock.recv(65536):
            received += data
    except ConnectionResetError:
        pass
    return received


def fill(text, size):
    """Return a complete head of exactly a number of bytes."""
    while len(text) < size - 1100:
        text += f"X-Fill: {'f' * 990}\r\n"
    rest = size - len(text) - len("X-Fill: \r\n\r\n")
    return (text + f"X-Fill: {'f' * rest}\r\n\r\n").encode()


# The new limits must not reach callers within the configured ones.
def test_a_head_of_the_configured_length_and_time_is_served():
    with running_site(endpoints=1) as site, connect(site) as sock:
        head = fill(START + "Connection: close\r\n", MAX_HEADER_BYTES)
        assert len(head) == MAX_HEADER_BYTES
        step = len(head) // SLOW_PARTS + 1
        for first in range(0, len(head), step):
            sock.sendall(head[first : first + step])
            gevent.sleep(HEADER_TIMEOUT_S / SLOW_PARTS)
        assert receive_all(sock).startswith(b"HTTP/1.1 200")
        wait_for(lambda: site.fronts[0].memory_budget.used_bytes == 0)


# Listeners of callers, health, peers and look-ups, by number.
@params(0, 1, 2, 3)
def test_too_long_a_head_is_rejected_and_its_memory_given_back(number):
    with running_site(endpoints=1) as site, connect(site, number) as sock:
        front = site.fronts[0]
        sock.sendall(fill(START, 40_000))
        received = receive_all(sock)
        assert not received or received.startswith(b"HTTP/1.1 431")
        wait_for(lambda: front.memory_budget.used_bytes == 0 and not len(front.heads))
        assert front.heads.rejected["length"] == 1
        assert not site.endpoints[0].arrivals


@params(0, 1, 2, 3)
def test_a_head_that_takes_too_long_is_rejected(number):
    with running_site(endpoints=1) as site, connect(site, number) as sock:
        front = site.fronts[0]
        front.heads.max_s = 0.5
        sock.sendall(START.encode())
        assert receive_all(sock).startswith(b"HTTP/1.1 408")
        assert front.heads.rejected["timeout"] == 1
        assert not site.endpoints[0].arrivals


# Giving up the head that follows must not cancel the requests before it, although the
# end of the caller's stream does.
def test_a_head_that_takes_too_long_does_not_cancel_earlier_requests():
    with running_site(endpoints=1, work_s=1.2) as site, connect(site) as sock:
        site.fronts[0].heads.max_s = 0.3
        sock.sendall((START + "\r\n" + START).encode())
        received = receive_all(sock)
        assert received.startswith(b"HTTP/1.1 200")
        assert b"HTTP/1.1 408" in received


# The library's parser takes the lines before the end of the stream for a complete head.
def test_a_head_that_the_connection_ends_in_is_not_run():
    with running_site(endpoints=1) as site, connect(site) as sock:
        sock.sendall(START.replace("GET /look", "POST /book").encode())
        sock.shutdown(socket.SHUT_WR)
        assert receive_all(sock) == b""
        assert not site.endpoints[0].arrivals


# Heads without end must not keep the memory that ordinary callers need.
def test_the_oldest_incomplete_heads_give_way_when_memory_is_short():
    with running_site(endpoints=1) as site:
        front = site.fronts[0]
        front.memory_budget.capacity = 400_000
        part = fill(START, 20_000)[:-4]
        socks = []
        for _ in range(8):
            socks.append(connect(site))
            socks[-1].sendall(part)
            gevent.sleep(0.05)
        assert front.heads.rejected["memory"] > 0
        assert front.heads.reserved_bytes <= 200_000
        socks[-1].sendall(b"\r\nConnection: close\r\n\r\n")
        assert receive_all(socks[-1]).startswith(b"HTTP/1.1 200")
        assert receive_all(socks[0])[:12] in (b"", b"HTTP/1.1 503")
        for sock in socks:
            sock.close()
        wait_for(lambda: front.memory_budget.used_bytes == 0)


def test_an_idle_connection_needs_no_memory_for_heads():
    with running_site(endpoints=1) as site, connect(site) as sock:
        sock.sendall(fill(START, MAX_HEADER_BYTES))
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")
        front = site.fronts[0]
        wait_for(lambda: front.memory_budget.used_bytes == 0 and not len(front.heads))


# Trailers have no end in the library, whose input reads them byte by byte.
def test_trailers_without_end_close_the_connection():
    with running_site(endpoints=1) as site, connect(site) as sock:
        head = START.replace("GET /look", "POST /book")
        sock.sendall(f"{head}Transfer-Encoding: chunked\r\n\r\n0\r\n".encode())
        try:
            for _ in range(40):
                sock.sendall(b"a: b\r\n" * 1000)
                gevent.sleep(0.01)
        except OSError:
            pass
        wait_for(lambda: site.fronts[0].heads.rejected["framing"] == 1)
        assert not site.endpoints[0].arrivals


# DENIED: the library's limit of 8,192 bytes on a request line rejected heads that were
# within the configured maximum.
def test_a_request_line_within_the_limit_of_a_head_is_served():
    with running_site(endpoints=1) as site:
        target = "/look/" + "a" * 15_000
        assert site.get(target)[0] == 200
        assert site.get("/look/" + "a" * 40_000)[0] in (414, 431)


# DENIED: the library's limit of 100 fields rejected heads that were within the
# configured maximum.
def test_a_head_of_many_fields_within_the_limit_of_a_head_is_served():
    with running_site(endpoints=1) as site, connect(site) as sock:
        head = START + "Connection: close\r\n"
        head += "a:\r\n" * ((MAX_HEADER_BYTES - len(head)) // 4 - 1) + "\r\n"
        sock.sendall(head.encode())
        assert receive_all(sock).startswith(b"HTTP/1.1 200")


def test_a_head_of_more_fields_than_fit_the_limit_of_a_head_is_rejected():
    with running_site(endpoints=1) as site, connect(site) as sock:
        sock.sendall((START + "a:\r\n" * (MAX_HEADER_BYTES // 4 + 1)).encode())
        assert receive_all(sock).startswith(b"HTTP/1.1 431")


# DENIED: any exception while a head was read gave 400, also a fault of this program.
def test_a_failure_of_the_instance_is_not_blamed_on_the_caller():
    def fail(_):
        raise AttributeError("a fault of the program")

    create, pipelined_handler.create_exchange = pipelined_handler.create_exchange, fail
    try:
        with running_site(endpoints=1) as site, connect(site) as sock:
            sock.sendall((START + "\r\n").encode())
            assert receive_all(sock).startswith(b"HTTP/1.1 500")
            assert site.fronts[0].heads.rejected["failure"] == 1
    finally:
        pipelined_handler.create_exchange = create


@params("GET / HTTP/1\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/a.b\r\n\r\n")
def test_a_malformed_head_is_blamed_on_the_caller(head):
    with running_site(endpoints=1) as site, connect(site) as sock:
        sock.sendall(head.encode())
        assert receive_all(sock).startswith(b"HTTP/1.1 400")
