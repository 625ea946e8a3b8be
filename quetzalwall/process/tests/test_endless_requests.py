"""Callers in another process that send requests without end."""

import subprocess
import sys

import gevent
from nose2.tools import params

from quetzalwall.tests.platform_fixtures import HOST, LoopMonitor, running_site

MAX_BLOCKED_S = 0.25  # longest time for which the event loop may be blocked
MAX_GROWTH_BYTES = 20_000_000
SENDING_S = 1.5
HEAD = f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Quetzalwall-Request-Id: a\r\n"
CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
# Text that is sent once, and text that is then sent repeatedly.
ENDLESS = {
    "header lines": (HEAD, "a: b\r\n"),
    "one header line": (HEAD + "a: ", "b"),
    "request line": ("GET /", "a"),
    "body": (HEAD + "Content-Length: 900000000\r\n\r\n", "b"),
    "tiny chunks": (CHUNKED, "1\r\nx\r\n"),
    "chunk extension": (CHUNKED + "1;", "e"),
    "trailers": (CHUNKED + "0\r\n", "a: b\r\n"),
    "requests": ("", f"GET /none HTTP/1.1\r\nHost: {HOST}\r\n\r\n"),
}
SENDER = """
import socket, sys
sock = socket.create_connection((sys.argv[1], int(sys.argv[2])))
first, again = (bytes.fromhex(text) for text in sys.argv[3:])
block = again * (65536 // len(again))
try:
    sock.sendall(first)
    while True:
        sock.sendall(block)
except OSError:
    pass
"""


# As with endless responses: reading input that is always ready never yields to the
# event loop.
@params(*ENDLESS)
def test_an_endless_request_neither_blocks_the_event_loop_nor_fills_memory(pattern):
    with running_site(endpoints=1) as site:
        address = (site.fronts[0].settings.address, str(site.ports[0]))
        texts = [text.encode().hex() for text in ENDLESS[pattern]]
        monitor = LoopMonitor()
        sender = subprocess.Popen([sys.executable, "-c", SENDER, *address, *texts])
        try:
            gevent.sleep(SENDING_S)
        finally:
            sender.kill()
            sender.wait()
        blocked_s, growth = monitor.stop()
        assert site.get("/look/1")[0] == 200
        assert all(state.own_in_flight == 0 for state in site.fronts[0].endpoints)
    assert blocked_s < MAX_BLOCKED_S, blocked_s
    assert growth < MAX_GROWTH_BYTES
