"""What callers get when an endpoint truncates its response after any byte."""

import struct

import gevent
import gevent.socket
from nose2.tools import params

from quetzalwall.tests.platform_fixtures import (
    HOST,
    config_body,
    running_site,
    wait_for,
)

LINGER = struct.pack("ii", 1, 0)  # makes close() reset the connection
REQUEST_ID = "X-Quetzalwall-Request-Id: 0123456789abcdef\r\n"
UPLOAD_BYTES = 20_000_000  # more than the socket buffers of both sides hold
STAMP = "X-Quetzalwall-Server-Stamp: s\r\n"
OK = f"HTTP/1.1 200 OK\r\n{STAMP}{REQUEST_ID}".encode()
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
FORMS = {
    "length": (OK + b"Content-Length: 5\r\n\r\n", b"hello"),
    "length first": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + OK[17:] + b"\r\n",
        b"hello",
    ),
    "no body": (OK + b"Content-Length: 0\r\n\r\n", b""),
    "chunks": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    ),
    "trailer": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"5\r\nhello\r\n0\r\nT: v\r\n\r\n",
    ),
    "interim": (HINTS + OK + b"Content-Length: 5\r\n\r\n", b"hello"),
    "204": (OK.replace(b"200 OK", b"204 No Content") + b"\r\n", b""),
    "304": (OK.replace(b"200 OK", b"304 Not Modified") + b"\r\n", b""),
    "end of connection": (OK + b"Connection: close\r\n\r\n", b"hello"),
}


class ScriptedEndpoint:
    """Makes the endpoint of a site send given pieces and close the connection."""

    def __init__(self, site):
        self.pieces = []
        self.resets = False
        self._site = site
        self._state = site.fronts[0].endpoints.get("ep-0")
        site.endpoints[0].server.set_handle(self._serve)

    def _serve(self, sock, address):
        raw = b""
        while b"\r\n\r\n" not in raw:
            data = sock.recv(65536)
            if not data:
                return
            raw += data
        for piece in self.pieces:
            sock.sendall(piece)
            gevent.sleep(0)
        if self.resets:
            gevent.sleep(0.02)  # an immediate reset would discard the bytes
            sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, LINGER)
        sock.close()

    def relay(self, *pieces, method="GET", target="/look/1"):
        """Return all bytes that a caller gets when the endpoint sends these pieces."""
        self.pieces = pieces
        self._state.record_success()  # so that the endpoint is not avoided
        address = (self._site.fronts[0].settings.address, self._site.ports[0])
        sock = gevent.socket.create_connection(address)
        head = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}"
        sock.sendall(f"{head}Connection: close\r\n\r\n".encode())
        received = b"".join(iter(lambda: sock.recv(65536), b""))
        sock.close()
        return received


def parse_complete(raw):
    """Return status, header lines and body; fail if the framing is not complete."""
    head, _, body = raw.partition(b"\r\n\r\n")
    line, *lines = head.split(b"\r\n")
    status = int(line.split()[1])
    lengths = [int(text[16:]) for text in lines if text.startswith(b"Content-Length: ")]
    assert lengths == ([] if status in (204, 304) else [len(body)])
    return status, lines, body


# Callers got a 200 with an empty or short body whose framing was complete.
@params(*FORMS)
def test_a_truncated_response_never_looks_complete(form):
    head, rest = FORMS[form]
    raw, expected_body = head + rest, b"hello" if rest else b""
    end = len(head) if form == "end of connection" else len(raw)
    with running_site(endpoints=1) as site:
        endpoint = ScriptedEndpoint(site)
        status, lines, body = parse_complete(endpoint.relay(raw))
        assert (status, body) == (int(form) if form.isdigit() else 200, expected_body)
        assert STAMP.strip().encode() in lines
        for cut in range(end):
            for pieces in ((raw[:cut],), (raw[: cut // 2], raw[cut // 2 : cut])):
                status, lines, _ = parse_complete(endpoint.relay(*pieces))
                assert (cut, status) == (cut, 502)
                assert STAMP.strip().encode() not in lines


def test_a_response_in_two_pieces_equals_the_undivided_one():
    with running_site(endpoints=1) as site:
        endpoint = ScriptedEndpoint(site)
        for head, rest in FORMS.values():
            raw = head + rest
            undivided = parse_complete(endpoint.relay(raw))
            for cut in range(1, len(raw)):
                got = parse_complete(endpoint.relay(raw[:cut], raw[cut:]))
                assert (got[0], got[2]) == (undivided[0], undivided[2]), cut


@params("length", "no body", "interim", "204")
def test_a_truncated_response_to_head_never_looks_complete(form):
    head = FORMS[form][0]
    with running_site(endpoints=1) as site:
        endpoint = ScriptedEndpoint(site)
        expected = b"204" if form == "204" else b"200"
        assert endpoint.relay(head, method="HEAD").split()[1] == expected
        for cut in range(len(head)):
            assert parse_complete(endpoint.relay(head[:cut], method="HEAD"))[0] == 502


def test_a_response_without_a_length_is_incomplete_after_a_reset():
    head, rest = FORMS["end of connection"]
    with running_site(endpoints=1) as site:
        endpoint = ScriptedEndpoint(site)
        endpoint.resets = True
        for cut in range(len(head), len(head + rest) + 1):
            assert parse_complete(endpoint.relay((head + rest)[:cut]))[0] == 502


# The error of the reset went to the task that sent the upload, and callers got the part
# as a complete response.
@params(
    *[
        (method, extra)
        for method in ("POST", "PUT")
        for extra in ("", "Connection: close")
    ]
)
def test_a_response_without_a_length_is_incomplete_after_a_reset_of_the_upload(
    method, extra
):
    head = OK + extra.encode() + b"\r\n" * (1 + bool(extra))

    def serve(sock, address):
        sock.recv(1000)
        sock.sendall(head + b"part of it")
        gevent.sleep(0.05)
        sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, LINGER)
        sock.close()

    with running_site(endpoints=1) as site:
        site.write_config(config_body(2) | {"limits": {"maxBodyBytes": UPLOAD_BYTES}})
        cluster_state = site.fronts[0].cluster_state
        wait_for(lambda: cluster_state.configuration().version == 2)
        site.endpoints[0].server.set_handle(serve)
        headers = {"X_Quetzalwall_Request_Id": "0123456789abcdef"}
        for target in ("/book/1", "/look/1"):
            site.fronts[0].endpoints.get("ep-0").record_success()
            status, _, body = site.get(
                target, method=method, body=b"x" * UPLOAD_BYTES, **headers
            )
            assert (status, b"part" in body) == (502, False)
