"""Fixture for tests that run the daemon as a separate process."""

import os
import subprocess
import sys
import tempfile
from contextlib import contextmanager

from quetzalwall.tests.platform_fixtures import (
    free_ports,
    own_address,
    settings_body,
    write_settings,
)

START_TIMEOUT_S = 20.0  # on a busy machine


class Daemon:
    """A running process and the addresses of its listeners by their names."""

    def __init__(self, process, output, addresses):
        self.process = process
        self.addresses = addresses
        self.callers_address = addresses["callers"]
        self._output = output

    def read_output(self):
        """Return everything that the process has written."""
        self._output.seek(0)
        return self._output.read()

    def has_started(self):
        return "event=started" in self.read_output()


@contextmanager
def running_daemon(settings=None, streams=None, **environ):
    """Run an instance whose store is down, with further settings and environment.

    `streams` are its standard output and error; a file that can be read if None.
    """
    ports = free_ports(7)
    body = settings_body(own_address(0), (own_address(0), ports[6]), ports)
    file = write_settings(body | (settings or {}))
    with tempfile.NamedTemporaryFile("r") as output:
        with open(output.name, "w") as stream:
            process = subprocess.Popen(
                [sys.executable, "-m", "quetzalwall", "front", "--settings", file],
                stdout=streams[0] if streams else stream,
                stderr=streams[1] if streams else stream,
                env=os.environ | environ,
            )
        try:
            addresses = {
                name: (own_address(0), int(listen.rpartition(":")[2]))
                for name, listen in body["listen"].items()
            }
            yield Daemon(process, output, addresses)
        finally:
            process.kill()
            process.wait()
            os.unlink(file)
