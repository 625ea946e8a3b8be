import os
import socket
import subprocess
import sys
import time
from contextlib import contextmanager
from unittest import mock

import gevent

from quetzalwall.logs import WRITE_DELAY_S, BoundedHandler, get_logger, log_event
from quetzalwall.tests.daemon_fixture import START_TIMEOUT_S
from quetzalwall.tests.platform_fixtures import (
    free_ports,
    own_address,
    settings_body,
    write_settings,
)


def accepts(address):
    """Return whether a process accepts connections at an address."""
    try:
        socket.create_connection(address, 1.0).close()
    except OSError:
        return False
    return True


# "The system did not start from its deploy file", report 3: a process that was started
# with its standard output closed exited at once.
def test_an_instance_starts_with_closed_standard_streams():
    statuses = {closed: exit_status(closed) for closed in ((1,), (1, 2), (0, 1, 2))}
    assert set(statuses.values()) == {None}, statuses


# The same report: a socket that gets the descriptor of a closed standard stream would
# be sent log lines.
def test_no_socket_gets_the_descriptor_of_a_closed_standard_stream():
    with started_with((0, 1, 2)) as process:
        names = [os.readlink(f"/proc/{process.pid}/fd/{number}") for number in range(3)]
    assert names == [os.devnull] * 3


# Related: each line that could not be written caused a stack trace, which could not be
# written either, without end.
def test_lines_that_can_not_be_written_are_dropped():
    reader, writer = os.pipe()
    os.close(reader)
    handler = BoundedHandler(writer, "INFO")
    with mock.patch.object(gevent.get_hub(), "print_exception") as print_exception:
        with handler.applicationbound():
            log_event(get_logger("part"), "lost")
        gevent.sleep(4 * WRITE_DELAY_S)
    os.close(writer)
    assert not print_exception.called


def exit_status(closed):
    """Return the exit status of an instance that does not start; None if it does."""
    with started_with(closed) as process:
        return process.poll()


@contextmanager
def started_with(closed):
    """Start an instance with closed descriptors; wait until it accepts or exits."""
    ports = free_ports(7)
    address = (own_address(0), ports[0])
    file = write_settings(settings_body(address[0], (address[0], ports[6]), ports))
    process = subprocess.Popen(
        [sys.executable, "-m", "quetzalwall", "front", "--settings", file],
        preexec_fn=lambda: [os.close(number) for number in closed],
    )
    try:
        deadline = time.monotonic() + START_TIMEOUT_S
        while not accepts(address) and process.poll() is None:
            assert time.monotonic() < deadline
            time.sleep(0.05)
        yield process
    finally:
        process.kill()
        process.wait()
        os.unlink(file)
