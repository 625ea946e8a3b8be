"""What a daemon writes, where nobody reads it and where it ends."""

import os
import subprocess
import sys

import gevent
import gevent.socket

from quetzalwall.tests.daemon_fixture import START_TIMEOUT_S, running_daemon
from quetzalwall.tests.platform_fixtures import HOST, call, wait_for

REQUESTS = 200
HEAD_LINES = 200  # more than the library's parser takes; it writes a stack for each
HEAD = f"GET / HTTP/1.1\r\nHost: {HOST}\r\n" + "a: b\r\n" * HEAD_LINES + "\r\n"
ENDING = """
from quetzalwall.logs import get_logger, log_event, setup_bounded_logs
setup_bounded_logs()
log_event(get_logger("part"), "last")
raise RuntimeError("unforeseen")
"""


def send(place):
    with gevent.socket.create_connection(place, timeout=2.0) as sock:
        sock.sendall(HEAD.encode())
        return sock.recv(4096)


def answers(run):
    try:
        return call(*run.callers_address, "/look/1")[0] == 503
    except OSError:
        return False


# A process that nobody reads stood still for ever, once its standard error was full.
def test_an_instance_serves_while_nobody_reads_what_it_writes():
    ends = [os.pipe(), os.pipe()]
    try:
        with running_daemon(streams=[writer for _, writer in ends]) as run:
            wait_for(lambda: answers(run), START_TIMEOUT_S)
            for _ in range(REQUESTS):
                assert b"400" in send(run.callers_address)
            assert answers(run)
    finally:
        for end in ends:
            os.close(end[0])
            os.close(end[1])


# A process that ended by itself left nothing of its last lines.
def test_the_last_lines_and_the_reason_of_an_end_are_in_the_log():
    done = subprocess.run([sys.executable, "-c", ENDING], capture_output=True)
    assert done.returncode == 1
    assert b"part=part event=last" in done.stdout
    assert b"part=stderr event=written" in done.stdout
    assert b"unforeseen" in done.stdout and done.stderr == b""
