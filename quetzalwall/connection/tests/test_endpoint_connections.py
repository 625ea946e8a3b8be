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
def clients_of(connections, count):
    """Clients of endpoints that accept, counted together."""
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
        client.limiter = connections
        clients.append(client)
    try:
        yield clients
    finally:
        for client, server in zip(clients, servers, strict=True):
            client.close()
            server.stop(timeout=0)


# Found by class with report 3: idle connections to many endpoints were limited for each
# endpoint only, so that together they took all descriptors.
def test_the_oldest_idle_connection_of_any_endpoint_makes_room():
    connections = ConnectionLimiter()
    connections.max_open = 2
    with clients_of(connections, 3) as (one, two, three):
        for client in (one, two):
            client.give_back(client.acquire(True, "a"), None)
        kept = three.acquire(True, "b")
        assert (len(one.idle), len(two.idle)) == (0, 1)
        assert connections.open_count == 2
        kept.close()
    assert connections.open_count == 0


def test_no_connection_is_opened_while_all_are_at_work():
    connections = ConnectionLimiter()
    connections.max_open = 1
    with clients_of(connections, 2) as (one, two):
        at_work = one.acquire(True, "a")
        try:
            two.acquire(True, "b")
            raise AssertionError("it opened one")
        except NoRoom as exc:
            assert "at work" in exc.message
        at_work.close()
        two.acquire(True, "b").close()


# The same class: a process out of descriptors took each endpoint for unreachable.
@params(errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL)
def test_what_this_process_lacks_says_nothing_of_the_endpoint(number):
    connections = ConnectionLimiter()
    fails = mock.Mock(side_effect=OSError(number, "lacks"))
    client = create_endpoint_client("ep", "0", 1, parse_response, time.monotonic)
    client.limiter = connections
    with mock.patch.object(connection_limiter, "connect", fails):
        assert kind_of_failure(client) is NoRoom
    assert connections.open_count == 0


def test_an_endpoint_that_accepts_nothing_is_not_connected():
    place = "127.0.0.1", free_ports(1)[0]
    client = create_endpoint_client("ep", *place, parse_response, time.monotonic)
    assert kind_of_failure(client) is NotConnected
    assert client.limiter.open_count == 0


def kind_of_failure(client):
    try:
        client.acquire(True, "a").close()
    except (NoRoom, NotConnected) as exc:
        return type(exc)
    return None


# The same class: a listener without a descriptor must neither spin nor end.
def test_a_listener_out_of_descriptors_waits_and_goes_on():
    server = create_server(
        "127.0.0.1", 0, lambda _, start: json_response(start, 200, {})
    )
    server.start()
    fails = mock.Mock(side_effect=OSError(errno.EMFILE, "lacks"))
    try:
        with gevent.socket.create_connection(server.address, timeout=5.0) as caller:
            with mock.patch.object(type(server), "do_read", fails):
                gevent.sleep(1.0)
            assert 1 <= fails.call_count < 20
            caller.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
            assert b"200 OK" in caller.recv(4096)
    finally:
        server.stop(timeout=0)
