import time
from contextlib import contextmanager

import gevent
import gevent.server
from nose2.tools import params

from quetzalwall.connection.endpoint_client import (
    create_endpoint_client,
)
from quetzalwall.connection.endpoint_request import EndpointRequest
from quetzalwall.exceptions import (
    IncompleteAnswer,
    NotConnected,
    OutcomeUnknown,
)
from quetzalwall.platform.headers import parse_response
from quetzalwall.tests.platform_fixtures import free_ports, own_address

ID_HEADER = "X-Quetzalwall-Request-Id"


def response(request_id, body=b"ok", extra=""):
    head = f"HTTP/1.1 200 OK\r\n{ID_HEADER}: {request_id}\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@contextmanager
def running_client(serve):
    server = gevent.server.StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client = create_endpoint_client(
        "ep", *server.address, parse_response, time.monotonic
    )
    try:
        yield client
    finally:
        client.close()
        server.stop(timeout=0)


def send(client, request_id="a", body=b"", timeout_s=2.0):
    headers = {"Host": "h", ID_HEADER: request_id}
    req = EndpointRequest("POST", "/x", headers, body, request_id, False)
    return client.send(req, time.monotonic() + timeout_s)


def scripted(*replies):
    """Return a handler that sends the next reply for each request; None closes."""

    def serve(sock, address):
        for reply in replies:
            raw = b""
            while b"\r\n\r\n" not in raw:
                data = sock.recv(65536)
                if not data:
                    return
                raw += data
            if reply is None:
                return
            sock.sendall(reply)
        gevent.sleep(1)

    return serve


def test_late_duplicate_is_not_taken_for_the_next_response():
    serve = scripted(response("a"), response("a", b"late") + response("b", b"mine"))
    with running_client(serve) as client:
        assert send(client, "a")[0].body == b"ok"
        assert send(client, "b")[0].body == b"mine"
        assert client.opened_count == 1


def test_second_response_closes_the_connection():
    with running_client(scripted(response("a") + response("a", b"again"))) as client:
        assert send(client, "a")[0].body == b"ok"
        assert len(client.idle) == 0


def test_bytes_after_the_response_close_the_connection():
    with running_client(scripted(response("a") + b"garbage garbage")) as client:
        assert send(client, "a")[0].body == b"ok"
        assert len(client.idle) == 0


@params(
    response("a", b"whole")[:-2],
    b"HTTP/1.1 200 OK\r\n"
    + f"{ID_HEADER}: a\r\n".encode()
    + b"Content-Length: 9\r\n\r\n",
    b"this is no answer\r\n\r\n",
)
def test_truncated_or_malformed_response_raises(raw):
    def serve(sock, address):
        sock.recv(65536)
        sock.sendall(raw)
        sock.close()

    with running_client(serve) as client:
        try:
            send(client)
        except (IncompleteAnswer, OutcomeUnknown):
            return
        raise AssertionError("got a complete response")


def test_response_without_length_ends_with_the_connection():
    head = f"HTTP/1.1 200 OK\r\n{ID_HEADER}: a\r\nConnection: close\r\n\r\n".encode()

    def serve(sock, address):
        sock.recv(65536)
        sock.sendall(head + b"all of it")
        sock.close()

    with running_client(serve) as client:
        assert send(client)[0].body == b"all of it"


def test_early_response_to_a_long_body_closes_the_connection():
    def serve(sock, address):
        sock.recv(1000)
        not_run = "X-Quetzalwall-Request-Not-Run: 1\r\n"
        sock.sendall(response("a", b"", not_run))
        gevent.sleep(1)

    with running_client(serve) as client:
        _, metadata = send(client, body=b"x" * 20_000_000)
        assert metadata.not_run
        assert len(client.idle) == 0


def test_timeout_leaves_the_outcome_unknown():
    with running_client(lambda sock, address: gevent.sleep(5)) as client:
        start = time.monotonic()
        try:
            send(client, timeout_s=0.1)
        except OutcomeUnknown:
            assert time.monotonic() - start < 1.0
            return
        raise AssertionError("got a response")


def test_refused_connection_raises_not_connected():
    (port,) = free_ports(1)
    client = create_endpoint_client(
        "ep", own_address(0), port, parse_response, time.monotonic
    )
    try:
        send(client)
    except NotConnected:
        return
    raise AssertionError("connected")


def test_connection_closed_by_the_endpoint_is_not_reused():
    def serve(sock, address):
        sock.recv(65536)
        sock.sendall(response("a"))
        sock.close()

    with running_client(serve) as client:
        assert send(client)[0].body == b"ok"
        gevent.sleep(0.05)
        assert send(client)[0].body == b"ok"
        assert client.opened_count == 2
