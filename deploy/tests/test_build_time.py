"""How long a build takes where nothing can be installed any more."""

import importlib.util
import os
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace

DEPLOY = Path(__file__).resolve().parent.parent
FASTER = 200.0  # than on a machine
PLATFORM_LIMIT_S = 15 * 60.0


def load_build():
    sys.path.insert(0, str(DEPLOY))
    try:
        spec = importlib.util.spec_from_file_location("build", DEPLOY / "build.py")
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
    finally:
        sys.path.remove(str(DEPLOY))
    return module


def hang(command, timeout, **options):
    time.sleep(timeout)
    raise subprocess.TimeoutExpired(command, timeout)


def build_s(interfaces_of):
    """Return how long a build takes of which each call of pip hangs."""
    build = load_build()
    for name in ("INSTALL_LIMIT_S", "PAUSE_S", "LIMIT_S"):
        setattr(build, name, getattr(build, name, 0.0) / FASTER)
    build.subprocess = SimpleNamespace(
        run=hang, TimeoutExpired=subprocess.TimeoutExpired, DEVNULL=subprocess.DEVNULL
    )
    build.find_interfaces = lambda: interfaces_of(build)
    with tempfile.TemporaryDirectory() as name:
        for file in ("pyproject.toml", "constraints.txt"):
            shutil.copy(DEPLOY.parent / file, name)
        began, mask = time.monotonic(), os.umask(0o022)
        try:
            build.build(Path(name))
        except build.BuildError:
            pass
        finally:
            os.umask(mask)
        return (time.monotonic() - began) * FASTER


def installed(build):
    """Return the own interface, whose libraries are there, and three others."""
    own = SimpleNamespace(tag="own", release=(3, 11), python=None)
    build._reason_to_install = lambda target, interface, *_: (
        None if interface is own else "it lacks"
    )
    others = [
        SimpleNamespace(tag=f"x{n}", release=(3, n), python=None) for n in (12, 13, 14)
    ]
    return [own, *others]


# "The system did not start from its deploy file": libraries that no process needed took
# the build past the platform's limit, which ends it, where a registry was slow.
def test_libraries_of_other_pythons_do_not_take_a_build_past_its_limit():
    assert build_s(installed) < PLATFORM_LIMIT_S


# The same for its own: a build that fails must say so before it is ended.
def test_a_build_that_fails_ends_before_its_limit():
    assert build_s(lambda build: installed(build)[1:2]) < PLATFORM_LIMIT_S
