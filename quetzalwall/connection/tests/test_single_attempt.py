import gevent
import gevent.socket

from quetzalwall.connection.nodelay import NoDelayServer
from quetzalwall.connection.single_attempt import OutgoingRequest, create_client
from quetzalwall.exceptions import NotRun, OutcomeUnknown
from quetzalwall.tests.product_fixtures import (
    free_port,
    parse_request_id,
    read_request_head,
    scripted_server,
)

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Request-Id: %b\r\n\r\n%b"


def response(head, body):
    return RESPONSE % (len(body), parse_request_id(head).encode(), body)


def send_get(client, request_id, timeout_s=1.0):
    req = OutgoingRequest("GET", "/x", {}, request_id=request_id)
    return client.send(req, timeout_s)


def assert_raises(error, function, *args):
    try:
        function(*args)
    except error as exc:
        return exc
    raise AssertionError(f"{error.__name__} was not raised")


def test_request_is_not_sent_again_when_the_connection_closes():
    heads = []

    def handle(sock):
        heads.append(read_request_head(sock))

    with scripted_server(handle) as port:
        client = create_client("127.0.0.1", port, "ep", size=4)
        exc = assert_raises(OutcomeUnknown, send_get, client, "r1")
    assert len(heads) == 1
    assert (exc.step, exc.peer) == ("read head", "ep")


def test_refused_connection_means_not_run():
    client = create_client("127.0.0.1", free_port(), "ep")
    exc = assert_raises(NotRun, send_get, client, "r1")
    assert exc.step == "connect"


def test_before_send_can_cancel_a_request():
    received = []

    def handle(sock):
        received.append(sock.recv(100))

    def cancel():
        raise NotRun("too late", "send", "ep")

    with scripted_server(handle) as port:
        client = create_client("127.0.0.1", port, "ep")
        req = OutgoingRequest("GET", "/x", {})
        assert_raises(NotRun, client.send, req, 1.0, cancel)
        client.close()
        gevent.sleep(0.05)
    assert received in ([], [b""])


def test_second_response_in_the_same_segment_is_dropped():
    def handle(sock):
        while head := read_request_head(sock):
            sock.sendall(response(head, b"mine") + response(head, b"again"))

    with scripted_server(handle) as port:
        client = create_client("127.0.0.1", port, "ep")
        assert send_get(client, "r1").read() == b"mine"
        assert send_get(client, "r2").read() == b"mine"


def test_late_second_response_is_not_taken_for_the_next_request():
    def handle(sock):
        head = read_request_head(sock)
        sock.sendall(response(head, b"one"))
        read_request_head(sock)
        sock.sendall(response(head, b"one again"))

    with scripted_server(handle) as port:
        client = create_client("127.0.0.1", port, "ep")
        assert send_get(client, "r1").read() == b"one"
        exc = assert_raises(OutcomeUnknown, send_get, client, "r2")
    assert exc.step == "match answer"


def test_connection_is_reused_only_after_the_identifier_was_echoed():
    connections = []

    def handle_with(echo):
        def handle(sock):
            connections.append(sock)
            while head := read_request_head(sock):
                request_id = parse_request_id(head).encode() if echo else b""
                sock.sendall(RESPONSE % (1, request_id, b"x"))

        return handle

    for echo, expected in ((True, 1), (False, 2)):
        connections.clear()
        with scripted_server(handle_with(echo)) as port:
            client = create_client("127.0.0.1", port, "ep")
            for request_id in ("r1", "r2"):
                req = OutgoingRequest("GET", "/x", {}, request_id=request_id)
                try:
                    client.send(req, 1.0).read()
                except OutcomeUnknown:
                    assert not echo
        assert len(connections) == expected


def test_truncated_response_raises_instead_of_ending():
    def handle(sock):
        head = read_request_head(sock)
        sock.sendall(response(head, b"whole answer")[:-4])

    with scripted_server(handle) as port:
        client = create_client("127.0.0.1", port, "ep")
        res = send_get(client, "r1")
        blocks = []
        assert_raises(Exception, lambda: blocks.extend(iter(res.read_available, b"")))
    assert b"".join(blocks) == b"whole an"


def test_response_sent_before_the_request_was_read_is_returned():
    def handle(sock):
        read_request_head(sock)
        sock.sendall(b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
        sock.shutdown(gevent.socket.SHUT_WR)
        gevent.sleep(0.2)

    def blocks():
        for _ in range(20):
            yield b"x" * 65536
            gevent.sleep(0.01)

    with scripted_server(handle) as port:
        client = create_client("127.0.0.1", port, "ep")
        req = OutgoingRequest("POST", "/x", {}, body=blocks(), length=20 * 65536)
        assert client.send(req, 1.0).status_code == 413


def test_nagle_is_off_on_both_sides():
    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", "0")])
        return []

    server = NoDelayServer(("127.0.0.1", 0), application, log=None)
    accepted = []
    serve = server.handle

    def handle(sock, address):
        task = gevent.spawn(serve, sock, address)
        gevent.sleep(0.01)
        accepted.append(_has_nodelay(sock))
        task.join()

    server.set_handle(handle)
    server.start()
    client = create_client("127.0.0.1", server.server_port, "server")
    pool = client._connection_pool
    sock = pool.get_socket()
    assert _has_nodelay(sock)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    sock.recv(1000)
    gevent.sleep(0.05)
    server.stop(timeout=0)
    assert accepted == [True]


def _has_nodelay(sock):
    option = gevent.socket.TCP_NODELAY
    return bool(sock.getsockopt(gevent.socket.IPPROTO_TCP, option))
