"""Responses that never end, sent at loopback speed by another process."""

import subprocess
import sys
import time
from contextlib import contextmanager

from nose2.tools import params

from quetzalwall.connection.endpoint_client import (
    create_endpoint_client,
)
from quetzalwall.connection.endpoint_request import EndpointRequest
from quetzalwall.connection.json_client import create_json_client
from quetzalwall.exceptions import IncompleteAnswer, OutcomeUnknown, PeerError
from quetzalwall.platform.headers import parse_response
from quetzalwall.tests.platform_fixtures import LoopMonitor

ID_HEADER = "X-Quetzalwall-Request-Id"
DEADLINE_S = 1.5  # of each request
TOLERANCE_S = 0.5  # beyond the deadline, for a busy machine
MAX_BLOCKED_S = 0.25  # for which the event loop may be blocked
MAX_GROWTH_BYTES = 150_000_000  # one response: 64 MB, twice while it is copied
OK = b"HTTP/1.1 200 OK\r\n"
OTHER_RESPONSE = OK + f"{ID_HEADER}: other\r\nContent-Length: 2\r\n\r\nno".encode()
# The bytes sent first, then those repeated without end.
ENDLESS = {
    "header lines": (OK, b"a: b\r\n"),
    "one header line": (OK + b"a: ", b"b"),
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "responses to another request": (b"", OTHER_RESPONSE),
    "body": (OK + f"{ID_HEADER}: a\r\n\r\n".encode(), b"b"),
    "chunk extension": (OK + b"Transfer-Encoding: chunked\r\n\r\n1;", b"e"),
    "trailers": (OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n"),
}
SENDER = """
import socket, sys
prefix, repeated = (bytes.fromhex(text) for text in sys.argv[1:])
listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
block = repeated * (65536 // len(repeated))
while True:
    sock, _ = listener.accept()
    try:
        sock.recv(65536)
        sock.sendall(prefix)
        while True:
            sock.sendall(block)
    except OSError:
        sock.close()
"""


@contextmanager
def endless_sender(pattern):
    """Run a process that sends endless responses; yield its port."""
    texts = [part.hex() for part in ENDLESS[pattern]]
    process = subprocess.Popen(
        [sys.executable, "-c", SENDER, *texts], stdout=subprocess.PIPE, text=True
    )
    try:
        yield int(process.stdout.readline())
    finally:
        process.kill()
        process.communicate()


# One such response made an instance grow to 807 MB and blocked its event loop for 21 s.
@params(*ENDLESS)
def test_endless_response_neither_blocks_the_loop_nor_fills_memory(pattern):
    with endless_sender(pattern) as port:
        now = time.monotonic
        client = create_endpoint_client("ep", "127.0.0.1", port, parse_response, now)
        monitor = LoopMonitor()
        req = EndpointRequest(
            "GET", "/x", {"Host": "h", ID_HEADER: "a"}, b"", "a", True
        )
        start = now()
        try:
            client.send(req, start + DEADLINE_S)
            raise AssertionError("got a complete response")
        except (IncompleteAnswer, OutcomeUnknown):
            elapsed_s = now() - start
        blocked_s, growth_bytes = monitor.stop()
        client.close()
    assert elapsed_s < DEADLINE_S + TOLERANCE_S
    assert blocked_s < MAX_BLOCKED_S, blocked_s
    assert growth_bytes < MAX_GROWTH_BYTES


# The same for a response from the store or another instance.
@params("header lines", "interim responses", "one header line", "body")
def test_endless_response_to_a_json_call_times_out(pattern):
    with endless_sender(pattern) as port:
        client = create_json_client("127.0.0.1", port, "peer", timeout_s=DEADLINE_S)
        monitor = LoopMonitor()
        start = time.monotonic()
        try:
            client.call("GET", "/x")
            raise AssertionError("got a complete response")
        except PeerError:
            elapsed_s = time.monotonic() - start
        blocked_s, growth_bytes = monitor.stop()
        client.close()
    assert elapsed_s < DEADLINE_S + TOLERANCE_S
    assert blocked_s < MAX_BLOCKED_S, blocked_s
    assert growth_bytes < MAX_GROWTH_BYTES
