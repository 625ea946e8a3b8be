"""The daemon while all endpoints of a service send bytes without end."""

import subprocess
import sys
import time
from contextlib import ExitStack, contextmanager

import gevent
import msgspec
from nose2.tools import params

from quetzalwall.process.tests.test_untrusted_callers import (
    ATTEMPT_PAUSE_S,
    MB,
    gets_response,
    peak_bytes,
    running_crowd,
)
from quetzalwall.tests.caller_crowd import encode_text
from quetzalwall.tests.daemon_fixture import START_TIMEOUT_S, running_daemon
from quetzalwall.tests.platform_fixtures import (
    HOST,
    Site,
    config_body,
    entry_body,
    own_address,
    route_row,
    wait_for,
)
from standins.metadata_store import create_metadata_store
from standins.platform_endpoint import create_platform_endpoint

MEMORY_MB = 152.0  # of the smallest machines
DESCRIPTORS = 1535
CALLERS = 64
ENDPOINTS = 4
CROWD_S = 8.0
STAMP = "X-Quetzalwall-Server-Stamp: s"
OK = f"HTTP/1.1 200 OK\r\n{STAMP}\r\n"
CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n"
OTHER_RESPONSE = f"{OK}X-Quetzalwall-Request-Id: x\r\nContent-Length: 2\r\n\r\nno"
# What is sent once, and what is then sent repeatedly.
ENDLESS = {
    "body without a length": (OK + "\r\n", "b" * 1024),
    "body with a huge length": (OK + "Content-Length: 99999999999\r\n\r\n", "b" * 1024),
    "chunks": (CHUNKED, "400\r\n" + "b" * 1024 + "\r\n"),
    "fields": (OK, "a: b\r\n"),
    "trailers": (CHUNKED + "0\r\n", "a: b\r\n"),
    "responses to another request": ("", OTHER_RESPONSE),
    "interim responses": ("", "HTTP/1.1 102 Processing\r\n\r\n"),
    "bytes that are no response": ("", "\0b"),
}
SENDER = """
import socket, sys, threading
host, first, again = sys.argv[1], *(bytes.fromhex(text) for text in sys.argv[2:])
block = again * (65536 // len(again))
listener = socket.create_server((host, 0), backlog=256)
print(listener.getsockname()[1], flush=True)

def serve(sock):
    try:
        sock.recv(65536)
        sock.sendall(first)
        while True:
            sock.sendall(block)
    except OSError:
        sock.close()

while True:
    threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()
"""


@contextmanager
def running_sender(pattern):
    """Run a process that sends without end; yield its address."""
    first, again = (text.encode().hex() for text in ENDLESS[pattern])
    host = own_address(9)
    sender = subprocess.Popen(
        [sys.executable, "-c", SENDER, host, first, again],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield host, int(sender.stdout.readline())
    finally:
        sender.kill()
        sender.communicate()


@contextmanager
def running_daemon_with_senders(pattern, faulty):
    """Run a daemon with four endpoints of a service, some of which send without end."""
    with ExitStack() as stack:
        store = create_metadata_store()
        store.start()
        stack.callback(store.close)
        site = Site(store, [], [], None)
        rows = [
            route_row("look", "/look/"),
            route_row("bad", "/bad/", timeout="3s", service="bad"),
        ]
        site.write_config(config_body(1, rows, ("desk", "bad")))
        for number in range(1 + ENDPOINTS - faulty):
            endpoint = create_platform_endpoint(f"ep-{number}", work_s=0.01)
            endpoint.start()
            stack.callback(endpoint.close)
            site.register(endpoint, service="bad" if number else "desk")
        for number in range(faulty):
            address = stack.enter_context(running_sender(pattern))
            body = entry_body(address, "bad", slots=CALLERS)
            store.put("servers", f"bad-{number}", msgspec.json.encode(body))
        host, port = store.server.address[:2]
        settings = {
            "memory_mb": MEMORY_MB,
            "connections": DESCRIPTORS,
            "store": f"{host}:{port}",
        }
        run = stack.enter_context(running_daemon(settings))
        wait_for(run.has_started, START_TIMEOUT_S)
        yield run


# LOST: an instance kept what faulty endpoints sent without end beyond what it counted,
# grew to several times the machine's memory and ended, and all its requests with it.
@params(
    *[(pattern, ENDPOINTS) for pattern in ENDLESS],
    ("body without a length", 1),
    ("body with a huge length", 1),
)
def test_endless_answers_to_many_callers_fit_the_memory_of_the_machine(pattern, faulty):
    with running_daemon_with_senders(pattern, faulty) as run:
        assert gets_response(run.callers_address, "/look/1", 200)
        get = f"GET /bad/1 HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n"
        crowd = CALLERS, encode_text(get), encode_text(""), 0
        with running_crowd(run.callers_address, crowd):
            until = time.monotonic() + CROWD_S
            while time.monotonic() < until and run.process.poll() is None:
                gevent.sleep(ATTEMPT_PAUSE_S)
        peak = peak_bytes(run.process.pid)
        assert gets_response(run.callers_address, "/look/2", 200)
        assert peak < MEMORY_MB * MB, f"{peak / MB:.1f} MB"


# The same for responses of the store, of which several are read at a time.
@params("body without a length", "chunks", "fields")
def test_endless_responses_of_the_store_fit_the_memory_of_the_machine(pattern):
    with running_sender(pattern) as (host, port):
        settings = {"memory_mb": MEMORY_MB, "store": f"{host}:{port}"}
        with running_daemon(settings) as run:
            wait_for(run.has_started, START_TIMEOUT_S)
            gevent.sleep(CROWD_S)
            assert run.process.poll() is None
            peak = peak_bytes(run.process.pid)
            assert peak < MEMORY_MB * MB, f"{peak / MB:.1f} MB"
