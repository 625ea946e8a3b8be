"""Endpoints in trouble that send without end, on loopback and from another process."""

import subprocess
import sys
import time
from contextlib import contextmanager

from nose2.tools import params

from quetzalwall.connection.endpoint_client import (
    EndpointRequest,
    create_endpoint_client,
)
from quetzalwall.connection.json_client import create_json_client
from quetzalwall.exceptions import IncompleteAnswer, OutcomeUnknown, PeerError
from quetzalwall.platform.headers import parse_response
from quetzalwall.tests.platform_fixtures import LoopMonitor

ID = "X-Quetzalwall-Request-Id"
LIMIT_S = 1.5  # the deadline of each request
LATE_S = 0.5  # beyond it, on a busy machine
HELD_S = 0.25  # longest time for which the event loop may be held
MOST_BYTES = 150_000_000  # that one request may cost: 64 MB, twice while it is copied
OK = b"HTTP/1.1 200 OK\r\n"
OTHER = OK + f"{ID}: other\r\nContent-Length: 2\r\n\r\nno".encode()
# First what comes once, then what is sent again and again.
ENDLESS = {
    "header lines": (OK, b"a: b\r\n"),
    "one header line": (OK + b"a: ", b"b"),
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "answers to another request": (b"", OTHER),
    "body": (OK + f"{ID}: a\r\n\r\n".encode(), b"b"),
    "chunk extension": (OK + b"Transfer-Encoding: chunked\r\n\r\n1;", b"e"),
    "trailers": (OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n"),
}
SENDER = """
import socket, sys
first, again = (bytes.fromhex(text) for text in sys.argv[1:])
listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
block = again * (65536 // len(again))
while True:
    sock, _ = listener.accept()
    try:
        sock.recv(65536)
        sock.sendall(first)
        while True:
            sock.sendall(block)
    except OSError:
        sock.close()
"""


@contextmanager
def endless(pattern):
    """Run a process that answers each connection without end; its port."""
    texts = [part.hex() for part in ENDLESS[pattern]]
    process = subprocess.Popen(
        [sys.executable, "-c", SENDER, *texts], stdout=subprocess.PIPE, text=True
    )
    try:
        yield int(process.stdout.readline())
    finally:
        process.kill()
        process.communicate()


# An instance grew to 807 MB and stood still for 21 s over one such answer.
@params(*ENDLESS)
def test_an_endless_answer_costs_neither_the_event_loop_nor_the_memory(pattern):
    with endless(pattern) as port:
        now = time.monotonic
        client = create_endpoint_client("ep", "127.0.0.1", port, parse_response, now)
        beat = LoopMonitor()
        req = EndpointRequest("GET", "/x", {"Host": "h", ID: "a"}, b"", "a", True)
        began = now()
        try:
            client.send(req, began + LIMIT_S)
            raise AssertionError("there is no whole answer")
        except (IncompleteAnswer, OutcomeUnknown):
            took_s = now() - began
        held_s, grown = beat.stop()
        client.close()
    assert took_s < LIMIT_S + LATE_S
    assert held_s < HELD_S, held_s
    assert grown < MOST_BYTES


# The same from a store or another instance.
@params("header lines", "interim answers", "one header line", "body")
def test_an_endless_answer_to_a_call_ends_with_its_timeout(pattern):
    with endless(pattern) as port:
        client = create_json_client("127.0.0.1", port, "peer", timeout_s=LIMIT_S)
        beat = LoopMonitor()
        began = time.monotonic()
        try:
            client.call("GET", "/x")
            raise AssertionError("there is no whole answer")
        except PeerError:
            took_s = time.monotonic() - began
        held_s, grown = beat.stop()
        client.close()
    assert took_s < LIMIT_S + LATE_S
    assert held_s < HELD_S, held_s
    assert grown < MOST_BYTES
