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
    """A running process and the address at which it serves callers."""

    def __init__(self, process, output, callers_address):
        self.process = process
        self.callers_address = callers_address
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
            yield Daemon(process, output, (own_address(0), ports[0]))
        finally:
            process.kill()
            process.wait()
            os.unlink(file)
