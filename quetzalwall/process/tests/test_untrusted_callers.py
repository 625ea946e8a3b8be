"""The daemon while callers send heads, blank lines or trailers without end."""

import os
import subprocess
import sys
import time
from contextlib import ExitStack, contextmanager

import gevent
from nose2.tools import params

from quetzalwall.process.resource_budget import RESERVED_DESCRIPTORS
from quetzalwall.tests.caller_crowd import encode_text
from quetzalwall.tests.daemon_fixture import START_TIMEOUT_S, running_daemon
from quetzalwall.tests.platform_fixtures import (
    HOST,
    Site,
    call,
    config_body,
    wait_for,
)
from standins.metadata_store import create_metadata_store
from standins.platform_endpoint import create_platform_endpoint

MEMORY_MB = 80.0
DESCRIPTORS = 600
CROWD_S = 4.0
ATTEMPTS = 40
ATTEMPT_PAUSE_S = 0.5
MB = 1_000_000
HEAD = f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Quetzalwall-Request-Id: a\r\n"
CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
FIELD = "a: " + "b" * 60_000 + "\r\n"
NOTHING = encode_text("")
# Number of callers, what each sends first, what it sends repeatedly, and the pause.
CROWDS = {
    "heads below 128 KB held open": (200, encode_text(HEAD, FIELD, 2), NOTHING, 0),
    "long heads held open": (40, encode_text(HEAD, FIELD, 95), NOTHING, 0),
    "one line without end": (60, encode_text(HEAD), encode_text("", "b", 65536), 0),
    "fields without end": (60, encode_text(HEAD), encode_text("", "a: b\r\n", 9999), 0),
    "long fields without end": (60, encode_text(HEAD), encode_text("", FIELD, 1), 0),
    "blank lines without end": (60, NOTHING, encode_text("", "\r\n", 32768), 0),
    "trailers without end": (
        60,
        encode_text(CHUNKED + "0\r\n"),
        encode_text("", "a: b\r\n", 9999),
        0,
    ),
    "chunk extensions without end": (
        60,
        encode_text(CHUNKED),
        encode_text("", "1;" + "e" * 8000 + "\r\nx\r\n", 8),
        0,
    ),
    "a byte at a time": (150, encode_text(HEAD), encode_text("a"), 0.02),
}
OTHER_LISTENERS = {"lookup": "/", "health": "/ready", "peers": "/"}
OTHER_CROWDS = ("long heads held open", "blank lines without end", "a byte at a time")


def count_descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def peak_bytes(pid):
    """Return the largest resident memory that a process has had."""
    with open(f"/proc/{pid}/status") as file:
        line = next(line for line in file if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


@contextmanager
def running_crowd(address, crowd):
    """Run callers, described as in `CROWDS`, in a process of their own."""
    callers, first, again, pause_s = crowd
    arguments = [*address, callers, first, again, pause_s]
    command = [sys.executable, "-m", "quetzalwall.tests.caller_crowd"]
    process = subprocess.Popen([*command, *map(str, arguments)])
    try:
        yield
    finally:
        process.kill()
        process.wait()


@contextmanager
def running_daemon_with_endpoint(**behaviour):
    """Run a daemon with little memory that can reach its store and one endpoint."""
    with ExitStack() as stack:
        store = create_metadata_store()
        store.start()
        stack.callback(store.close)
        endpoint = create_platform_endpoint("ep-0", work_s=0.01)
        endpoint.behaviour.update(behaviour)
        endpoint.start()
        stack.callback(endpoint.close)
        site = Site(store, [endpoint], [], None)
        site.write_config(config_body())
        site.register(endpoint)
        host, port = store.server.address[:2]
        settings = {
            "memory_mb": MEMORY_MB,
            "connections": DESCRIPTORS,
            "store": f"{host}:{port}",
        }
        run = stack.enter_context(running_daemon(settings))
        wait_for(run.has_started, START_TIMEOUT_S)
        yield run


def gets_response(address, target, status):
    """Return whether one of many attempts of an ordinary request is served."""
    for _ in range(ATTEMPTS):
        try:
            if call(*address, target)[0] == status:
                return True
        except OSError:
            pass
        gevent.sleep(ATTEMPT_PAUSE_S)
    return False


def run_against_crowd(listener, crowd, target, status):
    """Check memory, descriptors, and service after a crowd at a listener."""
    with running_daemon_with_endpoint() as run:
        pid = run.process.pid
        assert gets_response(run.callers_address, "/look/1", 200)
        before = peak_bytes(pid)
        descriptors = 0
        with running_crowd(run.addresses[listener], CROWDS[crowd]):
            until = time.monotonic() + CROWD_S
            while time.monotonic() < until and run.process.poll() is None:
                descriptors = max(descriptors, count_descriptors(pid))
                gevent.sleep(0.1)
        assert run.process.poll() is None, run.read_output()[-2000:]
        peak = peak_bytes(pid)
        figures = f"{before / MB:.1f} MB before, {peak / MB:.1f} MB, {descriptors}"
        assert gets_response(run.addresses[listener], target, status), figures
        assert gets_response(run.callers_address, "/look/2", 200), figures
        assert peak < MEMORY_MB * MB, figures
        assert descriptors <= DESCRIPTORS - RESERVED_DESCRIPTORS, figures


# A process with 152 MB ended while some hundred callers held heads open or sent blank
# lines without end: heads were not counted, and a line could have 64 KB, a head 6 MB.
@params(*CROWDS)
def test_a_crowd_of_callers_neither_ends_the_process_nor_stops_its_service(crowd):
    run_against_crowd("callers", crowd, "/look/1", 200)


# As for callers, at listeners whose connections have far smaller parts of the memory.
@params(*[(name, crowd) for name in OTHER_LISTENERS for crowd in OTHER_CROWDS])
def test_a_crowd_at_another_listener_does_not_stop_the_service(listener, crowd):
    status = 200 if listener != "peers" else 404
    run_against_crowd(listener, crowd, OTHER_LISTENERS[listener], status)
