import errno
import time
from contextlib import contextmanager
from unittest import mock

import gevent
import gevent.server
import gevent.socket
from nose2.tools import params

from quetzalwall.connection import connection_limiter
from quetzalwall.connection.connection_limiter import ConnectionLimiter
from quetzalwall.connection.endpoint_client import create_endpoint_client
from quetzalwall.connection.http_server import create_server, json_response
from quetzalwall.exceptions import NoRoom, NotConnected
from quetzalwall.platform.headers import parse_response
from quetzalwall.tests.platform_fixtures import free_ports


@contextmanager
def running_clients(limiter, count):
    """Yield clients that share a limiter, each of an endpoint that never responds."""
    servers = [
        gevent.server.StreamServer(("127.0.0.1", 0), lambda *_: gevent.sleep(5))
        for _ in range(count)
    ]
    clients = []
    for server in servers:
        server.start()
        client = create_endpoint_client(
            "ep", *server.address, parse_response, time.monotonic
        )
        client.limiter = limiter
        clients.append(client)
    try:
        yield clients
    finally:
        for client, server in zip(clients, servers, strict=True):
            client.close()
            server.stop(timeout=0)


# Same kind of fault as report 3: idle connections were limited per endpoint only, so
# that those to many endpoints together used up all file descriptors.
def test_longest_idle_connection_is_closed_at_the_limit():
    limiter = ConnectionLimiter()
    limiter.max_open = 2
    with running_clients(limiter, 3) as (first, second, third):
        for client in (first, second):
            client.release(client.acquire(True, "a"), None)
        conn = third.acquire(True, "b")
        assert (len(first.idle), len(second.idle)) == (0, 1)
        assert limiter.open_count == 2
        conn.close()
    assert limiter.open_count == 0


def test_acquire_fails_while_all_connections_are_in_use():
    limiter = ConnectionLimiter()
    limiter.max_open = 1
    with running_clients(limiter, 2) as (first, second):
        in_use = first.acquire(True, "a")
        try:
            second.acquire(True, "b")
            raise AssertionError("a connection was opened")
        except NoRoom as exc:
            assert "at work" in exc.message
        in_use.close()
        second.acquire(True, "b").close()


# A process out of file descriptors treated every endpoint as unreachable.
@params(errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL)
def test_local_errors_are_not_blamed_on_the_endpoint(error_number):
    limiter = ConnectionLimiter()
    failing = mock.Mock(side_effect=OSError(error_number, "no resources"))
    client = create_endpoint_client("ep", "0", 1, parse_response, time.monotonic)
    client.limiter = limiter
    with mock.patch.object(connection_limiter, "connect", failing):
        assert acquire_error(client) is NoRoom
    assert limiter.open_count == 0


def test_endpoint_without_listener_raises_not_connected():
    address = "127.0.0.1", free_ports(1)[0]
    client = create_endpoint_client("ep", *address, parse_response, time.monotonic)
    assert acquire_error(client) is NotConnected
    assert client.limiter.open_count == 0


def acquire_error(client):
    try:
        client.acquire(True, "a").close()
    except (NoRoom, NotConnected) as exc:
        return type(exc)
    return None


# A server that cannot accept for lack of descriptors must neither spin nor stop.
def test_listener_out_of_descriptors_recovers():
    server = create_server(
        "127.0.0.1", 0, lambda _, start: json_response(start, 200, {})
    )
    server.start()
    failing = mock.Mock(side_effect=OSError(errno.EMFILE, "no resources"))
    try:
        with gevent.socket.create_connection(server.address, timeout=5.0) as caller:
            with mock.patch.object(type(server), "do_read", failing):
                gevent.sleep(1.0)
            assert 1 <= failing.call_count < 20
            caller.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
            assert b"200 OK" in caller.recv(4096)
    finally:
        server.stop(timeout=0)
