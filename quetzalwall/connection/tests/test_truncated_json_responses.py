"""JSON calls whose responses are truncated, late or sent twice."""

import gevent
from nose2.tools import params

from quetzalwall.connection.json_client import JsonResponse, create_json_client
from quetzalwall.exceptions import PeerError
from quetzalwall.tests.product_fixtures import read_request_head, scripted_server

OK = b"HTTP/1.1 200 OK\r\n"
RESPONSES = {
    "length": OK + b"Content-Length: 11\r\nX-A: b\r\n\r\n" + b'{"rows":[]}',
    "no body": OK + b"Content-Length: 0\r\n\r\n",
    "chunks": OK
    + b'Transfer-Encoding: chunked\r\n\r\n4\r\n{"ro\r\n7\r\nws":[]}\r\n0\r\n\r\n',
    "interim": b"HTTP/1.1 103 Hints\r\n\r\n" + OK + b"Content-Length: 2\r\n\r\n{}",
    "end of connection": OK + b"Connection: close\r\n\r\n",
}


def call_peer(scripts):
    """Yield the result of each call, None for an error.

    The peer sends the pieces of one script for each call, then closes the connection.
    """
    remaining = list(scripts)

    def handle(sock):
        read_request_head(sock)
        for piece in remaining.pop(0):
            sock.sendall(piece)
            gevent.sleep(0)

    with scripted_server(handle) as port:
        client = create_json_client("127.0.0.1", port, "peer")
        for _ in scripts:
            try:
                yield client.call("GET", "/x")
            except PeerError:
                yield None
        client.close()


@params(*RESPONSES)
def test_truncated_response_fails_the_call(name):
    raw = RESPONSES[name]
    (complete,) = call_peer([[raw]])
    assert complete.status == 200
    cuts = range(len(raw))
    assert [*call_peer([[raw[:cut]] for cut in cuts])] == [None] * len(raw)
    assert [*call_peer([[raw[: cut // 2], raw[cut // 2 : cut]] for cut in cuts])] == [
        None
    ] * len(raw)
    assert [*call_peer([[raw[:cut], raw[cut:]] for cut in cuts if cut])] == [
        complete
    ] * (len(raw) - 1)


# A 503 after a 200 on the same connection made the call report that nothing was done.
@params(b"", b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", b"HTTP/1.1 5", b"zzz")
def test_bytes_after_a_response_close_the_connection(excess):
    opened = []

    def handle(sock):
        opened.append(sock)
        while read_request_head(sock):
            sock.sendall(RESPONSES["length"] + excess)

    with scripted_server(handle) as port:
        client = create_json_client("127.0.0.1", port, "peer")
        for _ in range(3):
            assert client.call("GET", "/x") == JsonResponse(200, {"rows": []})
        client.close()
    assert len(opened) == (3 if excess else 1)


def test_late_response_is_not_taken_for_the_next_call():
    def handle(sock):
        while read_request_head(sock):
            gevent.sleep(0.1)
            sock.sendall(RESPONSES["length"])

    with scripted_server(handle) as port:
        client = create_json_client("127.0.0.1", port, "peer")
        opened = []
        client._http._connection_pool.after_connect = opened.append
        for timeout_s in (0.05, 0.05, 1.0):
            try:
                client.call("GET", "/x", timeout_s=timeout_s)
            except PeerError:
                assert timeout_s == 0.05
        client.close()
    assert len(opened) == 3
