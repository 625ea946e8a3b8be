"""Header fields of requests that concern only the caller's connection."""

import gzip

from gevent import socket as gsocket
from nose2.tools import params

from quetzalwall.tests.platform_fixtures import HOST, running_site, wait_for

BODY = b"visit 1 " * 100
MAX_RESPONSE_S = 5.0


def exchange(site, fields, body, method="POST"):
    """Send one request with further header fields; return all that is received."""
    address = site.fronts[0].settings.address, site.ports[0]
    head = (
        f"{method} /book/1 HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Quetzalwall-Request-Id: a\r\n{fields}\r\n"
    )
    with gsocket.create_connection(address) as sock:
        sock.settimeout(MAX_RESPONSE_S)
        sock.sendall(head.encode() + body)
        received = b""
        while data := sock.recv(65536):
            received += data
            if b"\r\n\r\n" in received and received.endswith(b"\n"):
                break
        return received


# CONFIG: the library gave the application the connection in place of the body, so that
# reading it never ended.
def test_a_request_that_offers_an_upgrade_is_answered():
    offer = "Connection: Upgrade\r\nUpgrade: TLS/1.2\r\n"
    length = f"Content-Length: {len(BODY)}\r\n"
    websocket = "Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n"
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
    with running_site(endpoints=1) as site:
        responses = [
            exchange(site, offer + length, BODY),
            exchange(site, websocket + "Transfer-Encoding: chunked\r\n", chunks),
            exchange(site, offer, b""),
        ]
        assert all(res.startswith(b"HTTP/1.1 200") for res in responses)
        sizes = [res.split()[-1] for res in responses]  # of the bodies that arrived
        assert sizes == [b"800", b"800", b"0"]
        assert not any("upgrade" in fields for _, fields in site.endpoints[0].arrivals)
        wait_for(lambda: site.fronts[0].memory_budget.open_requests == 0)


# UNASKED: the library takes a body for chunked only if that is the one coding, so that
# the request ran with an empty body and got 200.
@params("gzip, chunked", "gzip", "chunked, gzip", "identity")
def test_a_body_in_an_unknown_transfer_coding_is_not_run(coding):
    raw = gzip.compress(BODY)
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(raw), raw)
    with running_site(endpoints=1) as site:
        response = exchange(site, f"Transfer-Encoding: {coding}\r\n", chunks)
        assert response.startswith(b"HTTP/1.1 501")
        assert b"Connection: close" in response
        assert site.fronts[0].heads.rejected["coding"] == 1
        assert not site.endpoints[0].arrivals
