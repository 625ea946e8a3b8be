import socket

import gevent
from nose2.tools import params

from quetzalwall.tests.platform_fixtures import HOST, running_site, wait_for


def test_the_work_is_cancelled_when_its_caller_disconnects():
    with running_site(endpoints=1) as site:
        endpoint = site.endpoints[0]
        endpoint.behaviour["slow_s"] = 1.5
        sock = socket.create_connection(
            (site.fronts[0].settings.address, site.ports[0])
        )
        head = f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\n"
        sock.sendall(f"{head}X-Quetzalwall-Request-Id: left\r\n\r\n".encode())
        wait_for(lambda: endpoint.runs.get("left"))
        sock.close()
        wait_for(lambda: endpoint.cancelled == 1, 0.5)


# GONE: requests that were still unread when their callers left were forwarded.
@params("GET", "POST")
def test_a_request_whose_caller_left_before_it_was_read_is_not_forwarded(method):
    with running_site(endpoints=1) as site:
        path = "/look/1" if method == "GET" else "/book/1"
        assert site.get(path, method=method)[0] == 200  # leaves an idle connection
        address = (site.fronts[0].settings.address, site.ports[0])
        # A blocking socket: the instance, in the same process, can't read meanwhile.
        with socket.create_connection(address) as sock:
            head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            sock.sendall(f"{head}X-Quetzalwall-Request-Id: b\r\n\r\n".encode())
        gevent.sleep(0.3)
        assert [
            sent_id for sent_id, _ in site.endpoints[0].arrivals if sent_id == "b"
        ] == []
        assert site.get(path, method=method)[0] == 200
