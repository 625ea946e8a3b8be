import os
import socket
import subprocess
import sys
import time

from quetzalwall.tests.daemon_fixture import STARTED_S
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


def status_with(closed):
    """Return the exit status of an instance that does not start, or None."""
    ports = free_ports(7)
    place = (own_address(0), ports[0])
    file = write_settings(settings_body(place[0], (place[0], ports[6]), ports))
    process = subprocess.Popen(
        [sys.executable, "-m", "quetzalwall", "front", "--settings", file],
        preexec_fn=lambda: [os.close(number) for number in closed],
    )
    try:
        end = time.monotonic() + STARTED_S
        while not accepts(place) and process.poll() is None:
            assert time.monotonic() < end
            time.sleep(0.05)
        return process.poll()
    finally:
        process.kill()
        process.wait()
        os.unlink(file)
