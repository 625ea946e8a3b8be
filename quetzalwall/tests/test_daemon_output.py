"""Output of a daemon while nobody reads it, and at its end."""

import os
import subprocess
import sys

import gevent
import gevent.socket

from quetzalwall.tests.daemon_fixture import START_TIMEOUT_S, running_daemon
from quetzalwall.tests.platform_fixtures import HOST, call, wait_for

REQUESTS = 200
# For a chunk without a size gevent writes a stack trace (docs/open-issues.md, 44).
HEAD = f"POST / HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n\r\n"
UNSIZED_CHUNK = "\r\n\r\n"
CRASH = """
from quetzalwall.logs import get_logger, log_event, setup_bounded_logs
setup_bounded_logs()
log_event(get_logger("part"), "last")
raise RuntimeError("unforeseen")
"""


def send_unsized_chunk(address):
    with gevent.socket.create_connection(address, timeout=2.0) as sock:
        sock.sendall((HEAD + UNSIZED_CHUNK).encode())
        return sock.recv(4096)


def responds(run):
    try:
        return call(*run.callers_address, "/look/1")[0] == 503
    except OSError:
        return False


# A process blocked for ever once its standard error, a pipe that nobody read, was full.
def test_an_instance_serves_while_nobody_reads_its_output():
    pipes = [os.pipe(), os.pipe()]
    try:
        with running_daemon(streams=[writer for _, writer in pipes]) as run:
            wait_for(lambda: responds(run), START_TIMEOUT_S)
            for _ in range(REQUESTS):
                assert b"503" in send_unsized_chunk(run.callers_address)
            assert responds(run)
    finally:
        for pipe in pipes:
            os.close(pipe[0])
            os.close(pipe[1])


# When a process crashed, its last log lines were lost.
def test_the_last_lines_and_the_exception_of_a_crash_are_in_the_log():
    done = subprocess.run([sys.executable, "-c", CRASH], capture_output=True)
    assert done.returncode == 1
    assert b"part=part event=last" in done.stdout
    assert b"part=stderr event=written" in done.stdout
    assert b"unforeseen" in done.stdout and done.stderr == b""
