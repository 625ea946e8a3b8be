"""Callers that read large responses slowly."""

import re

import gevent
from gevent import socket as gsocket

from quetzalwall.process.tests.test_untrusted_callers import (
    MB,
    MEMORY_MB,
    peak_bytes,
    running_crowd,
    running_daemon_with_endpoint,
)
from quetzalwall.tests.caller_crowd import encode_text
from quetzalwall.tests.platform_fixtures import (
    HOST,
    call,
    config_body,
    running_site,
    wait_for,
)

RESPONSE_BYTES = 540_000
CAPACITY = 3 * MB  # room for five such responses
READING_S = 4.0
LENGTH = re.compile(rb"content-length: (\d+)\r", re.IGNORECASE)
ATTEMPTS = 40
ATTEMPT_PAUSE_S = 0.5
HEAD = f"GET /look/%s HTTP/1.1\r\nHost: {HOST}\r\nX-Quetzalwall-Request-Id: a%s\r\n\r\n"
SLOW_READERS = (40, encode_text(HEAD % (1, 1)), encode_text(""), 0.5)


def open_slow_reader(site, number, fields=""):
    """Return a connection with a request whose response is not read yet."""
    sock = gsocket.socket()
    sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_RCVBUF, 2048)
    sock.settimeout(10.0)
    sock.connect((site.fronts[0].settings.address, site.ports[0]))
    head = HEAD % (number, number)
    sock.sendall((head[:-2] + fields + "\r\n").encode())
    return sock


def received_completely(sock):
    """Return whether a response arrives with all the bytes that it announces."""
    received, length = b"", None
    try:
        while data := sock.recv(65536):
            received += data
            head, _, body = received.partition(b"\r\n\r\n")
            if length is None and (found := LENGTH.search(head)):
                length = int(found[1])
            if length == len(body):
                return True
    except OSError:
        pass
    return False


# Responses that nobody reads filled the memory budget, so that each further download
# failed with 502 for as long as the slow callers stayed.
def test_a_new_response_is_preferred_over_the_slowest_reader():
    with running_site(endpoints=2) as site:
        front = site.fronts[0]
        front.memory_budget.capacity = CAPACITY
        front.memory_budget.max_response_bytes = CAPACITY // 2
        for endpoint in site.endpoints:
            endpoint.behaviour["longer"] = RESPONSE_BYTES
        socks = []
        for number in range(5):
            socks.append(open_slow_reader(site, number))
            gevent.sleep(0.2)
        gevent.sleep(0.6)
        for _ in range(20):  # the others have read more than the first
            for sock in socks[1:]:
                assert sock.recv(4096)
        status, _, body = site.get("/look/9")
        assert status == 200 and len(body) > RESPONSE_BYTES
        assert front.deliveries.cut_off == {"memory": 1, "account": 0}
        assert not received_completely(socks[0])
        for sock in socks:
            sock.close()
        wait_for(lambda: front.memory_budget.used_bytes == 0)


def test_a_slow_reader_whose_memory_is_not_needed_gets_its_complete_response():
    with running_site(endpoints=1) as site:
        site.endpoints[0].behaviour["longer"] = RESPONSE_BYTES
        with open_slow_reader(site, 1) as sock:
            gevent.sleep(2.0)
            for number in range(10):
                assert site.get(f"/look/{number}")[0] == 200
            assert received_completely(sock)


# An account's responses must be counted as its own, not as those of all callers.
def test_a_response_that_waits_is_counted_for_its_account():
    with running_site(endpoints=1) as site:
        front = site.fronts[0]
        site.endpoints[0].behaviour["longer"] = 8 * MB
        front.memory_budget.max_response_bytes = 10 * MB
        accounts = {"columns": ["name", "apiKeys"], "rows": [["acme", ["k1"]]]}
        site.write_config(config_body(2) | {"tenants": accounts})
        wait_for(lambda: front.cluster_state.configuration().version == 2)
        with open_slow_reader(site, 1, "X-Quetzalwall-Credential: k1\r\n"):
            wait_for(lambda: front.deliveries.waiting_bytes("acme") > 8 * MB)
            assert front.deliveries.waiting_bytes("other") == 0
        wait_for(lambda: front.deliveries.waiting_bytes() == 0)


def gets_download(address):
    """Return whether one of many attempts of a download is served completely."""
    for _ in range(ATTEMPTS):
        try:
            status, _, body = call(*address, "/look/2")
            if status == 200 and len(body) > RESPONSE_BYTES:
                return True
        except OSError:
            pass
        gevent.sleep(ATTEMPT_PAUSE_S)
    return False


# As above in a process of its own, whose memory is limited.
def test_a_process_serves_downloads_beside_a_crowd_of_slow_readers():
    with running_daemon_with_endpoint(longer=RESPONSE_BYTES) as run:
        assert gets_download(run.callers_address)
        with running_crowd(run.callers_address, SLOW_READERS):
            gevent.sleep(READING_S)
            assert gets_download(run.callers_address)
        assert run.process.poll() is None
        assert gets_download(run.callers_address)
        assert peak_bytes(run.process.pid) < MEMORY_MB * MB, peak_bytes(run.process.pid)
