"""Callers that send without end, from another process."""

import subprocess
import sys

import gevent
from nose2.tools import params

from quetzalwall.tests.platform_fixtures import HOST, LoopMonitor, running_site

HELD_S = 0.25  # longest time for which the event loop may be held
MOST_BYTES = 20_000_000
SENDING_S = 1.5
HEAD = f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Quetzalwall-Request-Id: a\r\n"
CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
# First what comes once, then what is sent again and again.
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


# The same on the callers' side as in answers: input that is always ready never yields.
@params(*ENDLESS)
def test_an_endless_request_costs_neither_the_event_loop_nor_the_memory(pattern):
    with running_site(endpoints=1) as site:
        place = (site.fronts[0].settings.address, str(site.ports[0]))
        texts = [part.encode().hex() for part in ENDLESS[pattern]]
        beat = LoopMonitor()
        sender = subprocess.Popen([sys.executable, "-c", SENDER, *place, *texts])
        try:
            gevent.sleep(SENDING_S)
        finally:
            sender.kill()
            sender.wait()
        held_s, grown = beat.stop()
        assert site.get("/look/1")[0] == 200
        assert all(state.own_in_flight == 0 for state in site.fronts[0].endpoints)
    assert held_s < HELD_S, held_s
    assert grown < MOST_BYTES
