"""Calls to the store and to other instances whose answers are cut or come twice."""

import gevent
from nose2.tools import params

from quetzalwall.connection.json_client import JsonResponse, create_json_client
from quetzalwall.exceptions import PeerError
from quetzalwall.tests.product_fixtures import read_request_head, scripted_server

OK = b"HTTP/1.1 200 OK\r\n"
FORMS = {
    "length": OK + b"Content-Length: 11\r\nX-A: b\r\n\r\n" + b'{"rows":[]}',
    "no body": OK + b"Content-Length: 0\r\n\r\n",
    "chunks": OK
    + b'Transfer-Encoding: chunked\r\n\r\n4\r\n{"ro\r\n7\r\nws":[]}\r\n0\r\n\r\n',
    "interim": b"HTTP/1.1 103 Hints\r\n\r\n" + OK + b"Content-Length: 2\r\n\r\n{}",
    "end of connection": OK + b"Connection: close\r\n\r\n",
}


def call(raws):
    """Return what each call gets if the peer sends these bytes and closes."""
    left = list(raws)

    def handle(sock):
        read_request_head(sock)
        for piece in left.pop(0):
            sock.sendall(piece)
            gevent.sleep(0)

    with scripted_server(handle) as port:
        client = create_json_client("127.0.0.1", port, "peer")
        for _ in raws:
            try:
                yield client.call("GET", "/x")
            except PeerError:
                yield None
        client.close()


@params(*FORMS)
def test_a_cut_answer_to_a_call_is_none(form):
    raw = FORMS[form]
    (whole,) = call([[raw]])
    assert whole.status == 200
    cuts = range(len(raw))
    assert [*call([[raw[:cut]] for cut in cuts])] == [None] * len(raw)
    assert [*call([[raw[: cut // 2], raw[cut // 2 : cut]] for cut in cuts])] == [
        None
    ] * len(raw)
    assert [*call([[raw[:cut], raw[cut:]] for cut in cuts if cut])] == [whole] * (
        len(raw) - 1
    )


# A call that was answered with 200 was told 503, "nothing was done".
@params(b"", b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", b"HTTP/1.1 5", b"zzz")
def test_bytes_behind_an_answer_to_a_call_end_the_connection(more):
    opened = []

    def handle(sock):
        opened.append(sock)
        while read_request_head(sock):
            sock.sendall(FORMS["length"] + more)

    with scripted_server(handle) as port:
        client = create_json_client("127.0.0.1", port, "peer")
        for _ in range(3):
            assert client.call("GET", "/x") == JsonResponse(200, {"rows": []})
        client.close()
    assert len(opened) == (3 if more else 1)


def test_an_answer_that_came_after_its_call_was_given_up_is_not_the_next_ones():
    def handle(sock):
        while read_request_head(sock):
            gevent.sleep(0.1)
            sock.sendall(FORMS["length"])

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
