import time
from contextlib import contextmanager

import gevent
import gevent.server
from nose2.tools import params

from quetzalwall.connection.endpoint_client import (
    EndpointRequest,
    create_endpoint_client,
)
from quetzalwall.exceptions import (
    IncompleteAnswer,
    NotConnected,
    OutcomeUnknown,
)
from quetzalwall.platform.headers import parse_response
from quetzalwall.tests.platform_fixtures import free_ports, own_address

ID = "X-Quetzalwall-Request-Id"


def answer(request_id, body=b"ok", extra=""):
    head = f"HTTP/1.1 200 OK\r\n{ID}: {request_id}\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@contextmanager
def client_of(serve):
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


def exchange(client, request_id="a", body=b"", limit_s=2.0):
    headers = {"Host": "h", ID: request_id}
    req = EndpointRequest("POST", "/x", headers, body, request_id, False)
    return client.send(req, time.monotonic() + limit_s)


def replies(*rounds):
    """Serve each request of a connection with the next bytes; None closes it."""

    def serve(sock, address):
        for reply in rounds:
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


def test_a_late_extra_answer_is_not_taken_for_the_next_one():
    serve = replies(answer("a"), answer("a", b"late") + answer("b", b"mine"))
    with client_of(serve) as client:
        assert exchange(client, "a")[0].body == b"ok"
        assert exchange(client, "b")[0].body == b"mine"
        assert client.opened_count == 1


def test_a_second_answer_ends_the_connection():
    with client_of(replies(answer("a") + answer("a", b"again"))) as client:
        assert exchange(client, "a")[0].body == b"ok"
        assert len(client.idle) == 0


def test_bytes_after_the_answer_end_the_connection():
    with client_of(replies(answer("a") + b"garbage garbage")) as client:
        assert exchange(client, "a")[0].body == b"ok"
        assert len(client.idle) == 0


@params(
    answer("a", b"whole")[:-2],
    b"HTTP/1.1 200 OK\r\n" + f"{ID}: a\r\n".encode() + b"Content-Length: 9\r\n\r\n",
    b"this is no answer\r\n\r\n",
)
def test_a_cut_or_spoiled_answer_is_no_answer(raw):
    def serve(sock, address):
        sock.recv(65536)
        sock.sendall(raw)
        sock.close()

    with client_of(serve) as client:
        try:
            exchange(client)
        except (IncompleteAnswer, OutcomeUnknown):
            return
        raise AssertionError("taken as whole")


def test_an_answer_without_a_length_ends_with_its_connection():
    head = f"HTTP/1.1 200 OK\r\n{ID}: a\r\nConnection: close\r\n\r\n".encode()

    def serve(sock, address):
        sock.recv(65536)
        sock.sendall(head + b"all of it")
        sock.close()

    with client_of(serve) as client:
        assert exchange(client)[0].body == b"all of it"


def test_an_early_answer_to_a_long_body_ends_the_connection():
    def serve(sock, address):
        sock.recv(1000)
        not_run = "X-Quetzalwall-Request-Not-Run: 1\r\n"
        sock.sendall(answer("a", b"", not_run))
        gevent.sleep(1)

    with client_of(serve) as client:
        _, facts = exchange(client, body=b"x" * 20_000_000)
        assert facts.not_run
        assert len(client.idle) == 0


def test_no_answer_in_time_leaves_the_outcome_open():
    with client_of(lambda sock, address: gevent.sleep(5)) as client:
        began = time.monotonic()
        try:
            exchange(client, limit_s=0.1)
        except OutcomeUnknown:
            assert time.monotonic() - began < 1.0
            return
        raise AssertionError("answered")


def test_a_refused_connection_is_not_run():
    (port,) = free_ports(1)
    client = create_endpoint_client(
        "ep", own_address(0), port, parse_response, time.monotonic
    )
    try:
        exchange(client)
    except NotConnected:
        return
    raise AssertionError("connected")


def test_a_connection_that_the_endpoint_closed_is_not_used_again():
    def serve(sock, address):
        sock.recv(65536)
        sock.sendall(answer("a"))
        sock.close()

    with client_of(serve) as client:
        assert exchange(client)[0].body == b"ok"
        gevent.sleep(0.05)
        assert exchange(client)[0].body == b"ok"
        assert client.opened_count == 2
