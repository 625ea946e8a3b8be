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


def accepts(place):
    """Whether somebody accepts a connection at an address."""
    try:
        socket.create_connection(place, 1.0).close()
    except OSError:
        return False
    return True


# "The system did not start from its deploy file", report 3: a process whose standard
# output is closed ended at its start.
def test_an_instance_starts_with_closed_standard_streams():
    ended = {closed: status_with(closed) for closed in ((1,), (1, 2), (0, 1, 2))}
    assert set(ended.values()) == {None}, ended


# The same report: a socket in the place of a closed stream would be sent the log.
def test_what_was_closed_at_the_start_is_no_socket_later():
    with started_with((0, 1, 2)) as process:
        names = [os.readlink(f"/proc/{process.pid}/fd/{number}") for number in range(3)]
    assert names == [os.devnull] * 3


# Found beside it: lines that can't be written were followed by a stack, for ever.
def test_lines_that_can_not_be_written_are_dropped():
    reader, writer = os.pipe()
    os.close(reader)
    handler = BoundedHandler(writer, "INFO")
    with mock.patch.object(gevent.get_hub(), "print_exception") as stack:
        with handler.applicationbound():
            log_event(get_logger("part"), "lost")
        gevent.sleep(4 * WRITE_DELAY_S)
    os.close(writer)
    assert not stack.called


def status_with(closed):
    """Return the exit status of an instance that does not start, or None."""
    with started_with(closed) as process:
        return process.poll()


@contextmanager
def started_with(closed):
    """Start an instance and wait until it accepts or has ended."""
    ports = free_ports(7)
    place = (own_address(0), ports[0])
    file = write_settings(settings_body(place[0], (place[0], ports[6]), ports))
    process = subprocess.Popen(
        [sys.executable, "-m", "quetzalwall", "front", "--settings", file],
        preexec_fn=lambda: [os.close(number) for number in closed],
    )
    try:
        end = time.monotonic() + START_TIMEOUT_S
        while not accepts(place) and process.poll() is None:
            assert time.monotonic() < end
            time.sleep(0.05)
        yield process
    finally:
        process.kill()
        process.wait()
        os.unlink(file)
