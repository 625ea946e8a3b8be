"""The daemon's memory with many callers, on a machine with many descriptors."""

import resource

import gevent.socket

from quetzalwall.process.self_watch import resident_bytes
from quetzalwall.tests.daemon_fixture import START_TIMEOUT_S, running_daemon
from quetzalwall.tests.platform_fixtures import HOST, wait_for

MEMORY_MB = 90.0
DESCRIPTORS = 12_000
CALLERS = 3000
CONNECT_TIMEOUT_S = 2.0
MB = 1_000_000
REQUEST = f"GET /none HTTP/1.1\r\nHost: {HOST}\r\nX-Quetzalwall-Request-Id: a\r\n\r\n"


def gets_response(sock):
    """Return whether a request on a connection gets a response."""
    try:
        sock.sendall(REQUEST.encode())
        return bool(sock.recv(4096))
    except OSError:
        return False


def open_callers(address, count):
    """Open connections, each with one request, until one is not served."""
    socks = []
    for _ in range(count):
        try:
            socks.append(
                gevent.socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
            )
        except OSError:
            break
        if not gets_response(socks[-1]):
            break
    return socks


# "Its processes ended by themselves", report 2: connections were limited by descriptors
# alone, so that the process was killed on a machine with little memory for them.
def test_open_connections_of_callers_fit_the_memory_of_the_machine():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, DESCRIPTORS), hard))
    try:
        settings = {"memory_mb": MEMORY_MB, "connections": DESCRIPTORS}
        with running_daemon(settings) as run:
            wait_for(run.has_started, START_TIMEOUT_S)
            socks = open_callers(run.callers_address, CALLERS)
            try:
                assert len(socks) > CALLERS / 10
                assert resident_bytes(run.process.pid) < MEMORY_MB * MB
            finally:
                for sock in socks:
                    sock.close()
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
