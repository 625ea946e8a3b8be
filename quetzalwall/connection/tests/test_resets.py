"""Responses without a length whose connection is reset or closed during the request."""

import errno
import fcntl
import struct
import time
from contextlib import contextmanager
from unittest import mock

import gevent
import gevent.socket
from nose2.tools import params

from quetzalwall.connection.endpoint_request import EndpointRequest
from quetzalwall.connection.json_client import create_json_client
from quetzalwall.connection.tests.test_endpoint_client import (
    ID_HEADER,
    response,
    running_client,
)
from quetzalwall.exceptions import IncompleteAnswer, OutcomeUnknown, PeerError
from quetzalwall.tests.product_fixtures import read_request_head, scripted_server

LONG = 20_000_000  # bytes; more than the socket buffers of both sides hold
SHORT = 200_000  # written before the endpoint resets the connection
RESET = struct.pack("ii", 1, 0)  # makes close() reset the connection
CLOSE = "Connection: close\r\n"
PART = b"part of it"


def head_without_length(extra=""):
    return f"HTTP/1.1 200 OK\r\n{ID_HEADER}: a\r\n{extra}\r\n".encode()


def reset(sock):
    sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, RESET)
    sock.close()


def exchange(serve, method="POST", size=LONG, timeout_s=3.0):
    """Return the body of the response, or the error's class."""
    with running_client(serve) as client:
        headers = {"Host": "h", ID_HEADER: "a"}
        req = EndpointRequest(method, "/x", headers, b"x" * size, "a", method != "POST")
        try:
            return client.send(req, time.monotonic() + timeout_s)[0].body
        except (IncompleteAnswer, OutcomeUnknown) as exc:
            return type(exc)


# The sender consumed the error of the reset, so the reader saw an orderly close and the
# caller got the part as a complete response.
@params(
    *[
        (method, extra, size, pause_s)
        for method in ("POST", "PUT")
        for extra in ("", CLOSE)
        for size in (LONG, SHORT)
        for pause_s in (0.0, 0.05)
    ]
)
def test_reset_during_an_upload_does_not_complete_a_response(
    method, extra, size, pause_s
):
    def serve(sock, address):
        sock.recv(1000)
        sock.sendall(head_without_length(extra) + PART)
        gevent.sleep(pause_s)
        reset(sock)

    assert exchange(serve, method, size) is IncompleteAnswer


# An endpoint that closes after it has read all that arrived sends a FIN; its reset
# follows when more of the upload arrives.
@params("POST", "PUT")
def test_close_during_an_upload_does_not_complete_a_response(method):
    def serve(sock, address):
        sock.recv(1000)
        sock.sendall(head_without_length() + PART)
        sock.shutdown(gevent.socket.SHUT_WR)
        gevent.sleep(0.05)

    assert exchange(serve, method) is IncompleteAnswer


@params("", CLOSE)
def test_reset_after_a_small_request_does_not_complete_a_response(extra):
    def serve(sock, address):
        sock.recv(1000)
        sock.sendall(head_without_length(extra) + PART)
        gevent.sleep(0.02)
        reset(sock)

    assert exchange(serve, "GET", 0) is IncompleteAnswer


# After any task has taken the error of a reset, the next read sees an end of stream.
def test_reset_whose_error_was_taken_does_not_complete_a_response():
    def serve(sock, address):
        sock.recv(1000)
        sock.sendall(head_without_length() + PART)
        gevent.sleep(0.02)
        reset(sock)

    with running_client(serve) as client:
        acquire = client.acquire

        def acquire_and_take_error(*args):
            connection = acquire(*args)
            receive = connection.sock.recv

            def recv(size):
                gevent.sleep(0.1)
                connection.sock.getsockopt(
                    gevent.socket.SOL_SOCKET, gevent.socket.SO_ERROR
                )
                return receive(size)

            connection.sock.recv = recv
            return connection

        client.acquire = acquire_and_take_error
        req = EndpointRequest("GET", "/x", {ID_HEADER: "a"}, b"", "a", True)
        try:
            client.send(req, time.monotonic() + 2.0)
        except IncompleteAnswer:
            return
        raise AssertionError("got a complete response")


# An endpoint that has sent its whole response may go on reading the upload.
def test_response_is_complete_if_the_endpoint_reads_the_upload_to_its_end():
    def serve(sock, address):
        sock.sendall(head_without_length() + b"all of it")
        sock.shutdown(gevent.socket.SHUT_WR)
        while sock.recv(1_000_000):
            pass

    def serve_after_head(sock, address):
        sock.recv(1000)
        serve(sock, address)

    assert exchange(serve_after_head) == b"all of it"


@params("", CLOSE)
def test_early_response_with_a_length_counts_despite_an_unread_upload(extra):
    def serve(sock, address):
        sock.recv(1000)
        sock.sendall(response("a", b"early", extra))
        if extra:
            gevent.sleep(0.05)
            reset(sock)
        while not extra and sock.recv(1_000_000):
            pass

    assert exchange(serve) == b"early"


# What the head of such a response states of the endpoint was ignored, so that one that
# drains went on getting requests.
def test_head_of_a_response_that_a_reset_ends_is_looked_at():
    def serve(sock, address):
        sock.recv(1000)
        sock.sendall(head_without_length("Server-Leaving: 1\r\n") + PART)
        gevent.sleep(0.05)
        reset(sock)

    parsed = []
    with running_client(serve) as client:
        parse = client.parse_response
        client.parse_response = lambda res: parsed.append(parse(res)) or parsed[-1]
        req = EndpointRequest("POST", "/x", {ID_HEADER: "a"}, b"x" * LONG, "a", False)
        try:
            client.send(req, time.monotonic() + 3.0)
        except IncompleteAnswer:
            assert [metadata.draining for metadata in parsed] == [True]
            return
    raise AssertionError("got a complete response")


# The same for a response of the store or another instance: the error of the reset was
# taken while the call was sent.
def test_reset_does_not_complete_the_response_to_a_json_call():
    def handle(sock):
        read_request_head(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n{}")
        gevent.sleep(0.05)
        reset(sock)

    for body in (None, {"a": "x" * 9_000_000}):
        with scripted_server(handle) as port:
            client = create_json_client("127.0.0.1", port, "peer", timeout_s=2.0)
            try:
                client.call("POST", "/x", body)
                raise AssertionError("got a complete response")
            except PeerError:
                client.close()


@contextmanager
def unknown_tcp_state(unsupported):
    """Let the system tell neither the state of a connection nor its unsent bytes."""
    getsockopt = gevent.socket.socket.getsockopt
    error = OSError(errno.ENOPROTOOPT, "not supported")

    def get_option(sock, level, option, *size):
        if (level, option) != (gevent.socket.IPPROTO_TCP, gevent.socket.TCP_INFO):
            return getsockopt(sock, level, option, *size)
        if unsupported:
            raise error
        return bytes(*size)

    with (
        mock.patch.object(gevent.socket.socket, "getsockopt", get_option),
        mock.patch.object(fcntl, "ioctl", side_effect=error),
    ):
        yield


# Every response without a length was rejected on a system without TCP_INFO.
@params(True, False)
def test_response_is_complete_if_the_system_does_not_tell_the_tcp_state(unsupported):
    def serve(sock, address):
        sock.sendall(head_without_length() + b"all of it")
        sock.shutdown(gevent.socket.SHUT_WR)
        while sock.recv(1_000_000):
            pass

    def handle(sock):
        read_request_head(sock)
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n{}")

    with unknown_tcp_state(unsupported), scripted_server(handle) as port:
        for method, size in (("GET", 0), ("POST", 100), ("POST", LONG)):
            assert exchange(serve, method, size) == b"all of it"
        client = create_json_client("127.0.0.1", port, "peer", timeout_s=2.0)
        assert client.call("GET", "/x").body == {}
        client.close()


# There, a reset that the sender has noticed must not look like a close.
@params(True, False)
def test_reset_during_an_upload_counts_if_the_tcp_state_is_unknown(unsupported):
    with unknown_tcp_state(unsupported):
        for size in (LONG, SHORT):
            test_reset_during_an_upload_does_not_complete_a_response(
                "POST", "", size, 0.05
            )
        test_reset_does_not_complete_the_response_to_a_json_call()
