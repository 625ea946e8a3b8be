"""The daemon as a separate process, from its first moment."""

import tempfile

import gevent
from nose2.tools import params

from quetzalwall.tests.daemon_fixture import START_TIMEOUT_S, running_daemon
from quetzalwall.tests.platform_fixtures import wait_for

# Replaces a library: signals its own process, then loads the real one.
SIGNALLING_LIBRARY = """
import importlib, os, signal, sys
os.kill(os.getpid(), signal.SIGHUP)
sys.path.remove({folder!r})
del sys.modules["{library}"]
sys.modules["{library}"] = importlib.import_module("{library}")
"""


# An instance that got SIGHUP during its start, before it had a handler, was ended.
@params("gevent", "jsonschema", "xxhash")
def test_sighup_does_not_end_an_instance_that_starts(library):
    with tempfile.TemporaryDirectory() as folder:
        with open(f"{folder}/{library}.py", "w") as file:
            file.write(SIGNALLING_LIBRARY.format(folder=folder, library=library))
        with running_daemon(PYTHONPATH=folder) as run:
            wait_for(
                lambda: run.has_started() or run.process.poll() is not None,
                START_TIMEOUT_S,
            )
            gevent.sleep(0.1)
            assert run.process.poll() is None


def test_a_missing_library_is_reported_in_one_line():
    with tempfile.TemporaryDirectory() as folder:
        with open(f"{folder}/msgspec.py", "w") as file:
            file.write("raise ImportError('No module named msgspec._core')\n")
        with running_daemon(PYTHONPATH=folder) as run:
            assert run.process.wait(START_TIMEOUT_S) == 1
            output = run.read_output()
    assert output.startswith("quetzalwall: a library is missing or does not work")
    assert output.count("\n") == 1 and "msgspec" in output
