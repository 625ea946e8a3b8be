"""Reading ends with the stream, whatever the peer sent before."""

import signal
import time
from contextlib import contextmanager, suppress

import gevent
from nose2.tools import params

from quetzalwall.connection.endpoint_request import EndpointRequest
from quetzalwall.connection.json_client import create_json_client
from quetzalwall.connection.single_attempt import OutgoingRequest, create_client
from quetzalwall.connection.tests.test_endpoint_client import (
    ID_HEADER,
    response,
    running_client,
    send,
)
from quetzalwall.exceptions import EndpointError, IncompleteAnswer, PeerError
from quetzalwall.tests.product_fixtures import read_request_head, scripted_server

OK = b"HTTP/1.1 200 OK\r\n"
TO_FORMER = OK + f"{ID_HEADER}: a\r\n\r\nagain".encode()
UNNAMED = OK + b"\r\nagain"
TO_OTHER = OK + f"{ID_HEADER}: other\r\n\r\n".encode()
MAX_S = 2.0  # for any of these responses
# What a peer sends before it closes its connection.
ENDS = {
    "nothing": b"",
    "blank lines": b"\r\n\r\n",
    "garbage": b"zzz",
    "half a head": OK + b"A: b",
    "head without a length": OK + b"\r\n",
    "interim": b"HTTP/1.1 103 Hints\r\n\r\n",
    "interim and half a head": b"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 2",
    "upgrade": b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nx",
    "half a body": OK + b"Content-Length: 9\r\n\r\nx",
    "half a chunk": OK + b"Transfer-Encoding: chunked\r\n\r\n9\r\nx",
    "half the trailers": OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\nA: b",
    "response to another": TO_OTHER,
    "two responses": TO_OTHER + OK + b"Content-Length: 0\r\n\r\n",
}


@contextmanager
def limited_time():
    """Fail if the block takes too long, also if its task never yields."""

    def fail(number, frame):
        raise AssertionError(f"not ended in {MAX_S} s")

    former = signal.signal(signal.SIGALRM, fail)
    signal.setitimer(signal.ITIMER_REAL, MAX_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, former)


# The parser completed the response again at each read of the ended stream: the loop of
# the attempt never ended nor yielded, and the instance responded to no caller any more.
@params((TO_FORMER, None), (UNNAMED, None), (TO_FORMER, lambda: False))
def test_response_without_a_length_to_another_request_ends_the_attempt(
    raw, should_abandon
):
    def serve(sock, address):
        sock.recv(65536)
        sock.sendall(response("a"))
        sock.recv(65536)
        sock.sendall(raw)
        sock.close()

    with running_client(serve) as client, limited_time():
        send(client, "a")
        headers = {"Host": "h", ID_HEADER: "b"}
        req = EndpointRequest("POST", "/x", headers, b"", "b", False, should_abandon)
        start = time.monotonic()
        try:
            client.send(req, start + 10.0)
            raise AssertionError("got a response")
        except IncompleteAnswer as exc:
            assert exc.message == "connection was closed"
        assert client.opened_count == 1
        assert len(client.idle) == 0


# The same loop, whatever else the endpoint sent before.
@params(*ENDS)
def test_attempt_ends_with_the_stream(name):
    def serve(sock, address):
        sock.recv(65536)
        sock.sendall(ENDS[name])
        sock.close()

    for method in ("GET", "POST", "HEAD"):
        with running_client(serve) as client, limited_time():
            headers = {"Host": "h", ID_HEADER: "a"}
            req = EndpointRequest(method, "/x", headers, b"", "a", True)
            with suppress(EndpointError):
                client.send(req, time.monotonic() + 10.0)


@params(*ENDS)
def test_json_call_and_read_of_a_body_end_with_the_stream(name):
    def handle(sock):
        read_request_head(sock)
        sock.sendall(ENDS[name])

    with scripted_server(handle) as port, limited_time():
        client = create_json_client("127.0.0.1", port, "peer")
        with suppress(PeerError):
            client.call("GET", "/x")
        client.close()
        client = create_client("127.0.0.1", port, "peer")
        with suppress(Exception):
            res = client.send(OutgoingRequest("GET", "/x", {}), 1.0)
            while res.read_available():
                pass
        client.close()


# A read at the end of a stream returned at once, so no deadline or signal was handled.
def test_repeated_reads_of_an_ended_stream_let_other_tasks_run():
    def serve(sock, address):
        sock.close()

    with running_client(serve) as client, limited_time():
        connection = client.acquire(True, "a")
        ended = []
        gevent.spawn_later(0.05, ended.append, True)
        while not ended:
            connection.sock.recv(100)
        connection.close()
