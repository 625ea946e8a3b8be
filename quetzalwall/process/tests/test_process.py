"""The daemon as a process of its own, from its first moment."""

import os
import subprocess
import sys
import tempfile
from contextlib import contextmanager

import gevent
from nose2.tools import params

from quetzalwall.tests.platform_fixtures import (
    free_ports,
    own_address,
    settings_body,
    wait_for,
    write_settings,
)

STARTED_S = 20.0  # on a busy machine
# Stands in for a library: signals its own process, then loads the real one.
SIGNALLING_LIBRARY = """
import importlib, os, signal, sys
os.kill(os.getpid(), signal.SIGHUP)
sys.path.remove({folder!r})
del sys.modules["{library}"]
sys.modules["{library}"] = importlib.import_module("{library}")
"""


@contextmanager
def daemon(**environ):
    """Run an instance whose store is down; its process and its output file."""
    ports = free_ports(7)
    body = settings_body(own_address(0), (own_address(0), ports[6]), ports)
    file = write_settings(body)
    with tempfile.NamedTemporaryFile("r") as output:
        with open(output.name, "w") as stream:
            process = subprocess.Popen(
                [sys.executable, "-m", "quetzalwall", "front", "--settings", file],
                stdout=stream,
                stderr=stream,
                env=os.environ | environ,
            )
        try:
            yield process, output
        finally:
            process.kill()
            process.wait()
            os.unlink(file)


def started(output):
    output.seek(0)
    return "event=started" in output.read()


# SIGHUP at a moment at which a restarted instance had no handler yet ended it.
@params("gevent", "jsonschema", "xxhash")
def test_a_changed_settings_file_does_not_end_an_instance_that_starts(library):
    with tempfile.TemporaryDirectory() as folder:
        with open(f"{folder}/{library}.py", "w") as file:
            file.write(SIGNALLING_LIBRARY.format(folder=folder, library=library))
        with daemon(PYTHONPATH=folder) as (process, output):
            wait_for(lambda: started(output) or process.poll() is not None, STARTED_S)
            gevent.sleep(0.1)
            assert process.poll() is None


def test_a_missing_library_is_one_clear_line():
    with tempfile.TemporaryDirectory() as folder:
        with open(f"{folder}/msgspec.py", "w") as file:
            file.write("raise ImportError('No module named msgspec._core')\n")
        with daemon(PYTHONPATH=folder) as (process, output):
            assert process.wait(STARTED_S) == 1
            output.seek(0)
            said = output.read()
    assert said.startswith("quetzalwall: a library is missing or does not work")
    assert said.count("\n") == 1 and "msgspec" in said
