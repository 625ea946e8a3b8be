"""How long a build takes when every command of pip hangs until its time-out."""

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
SPEED_UP = 200.0  # time-outs and pauses of the build are divided by it
PLATFORM_TIMEOUT_S = 15 * 60.0  # the platform ends a build after it


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


def build_duration_s(make_interfaces):
    """Return the duration of a build in which each command of pip hangs."""
    build = load_build()
    for name in ("PIP_TIMEOUT_S", "RETRY_PAUSE_S", "INSTALL_TIMEOUT_S"):
        setattr(build, name, getattr(build, name, 0.0) / SPEED_UP)
    build.subprocess = SimpleNamespace(
        run=hang, TimeoutExpired=subprocess.TimeoutExpired, DEVNULL=subprocess.DEVNULL
    )
    build.find_interfaces = lambda: make_interfaces(build)
    with tempfile.TemporaryDirectory() as name:
        for file in ("pyproject.toml", "constraints.txt"):
            shutil.copy(DEPLOY.parent / file, name)
        start, mask = time.monotonic(), os.umask(0o022)
        try:
            build.build(Path(name))
        except build.BuildError:
            pass
        finally:
            os.umask(mask)
        return (time.monotonic() - start) * SPEED_UP


def only_own_installed(build):
    """Return the own interface, whose libraries are installed, and three others."""
    own = SimpleNamespace(tag="own", release=(3, 11), python=None)
    build._reason_to_install = lambda target, interface, *_: (
        None if interface is own else "missing"
    )
    others = [
        SimpleNamespace(tag=f"x{n}", release=(3, n), python=None) for n in (12, 13, 14)
    ]
    return [own, *others]


# With a slow package registry, installing libraries that no process needed took so long
# that the platform ended the build.
def test_libraries_for_other_pythons_do_not_delay_a_build_past_its_timeout():
    assert build_duration_s(only_own_installed) < PLATFORM_TIMEOUT_S


# A build that can't install its own libraries must report that before the platform ends
# it.
def test_failing_build_ends_before_its_timeout():
    assert (
        build_duration_s(lambda build: only_own_installed(build)[1:2])
        < PLATFORM_TIMEOUT_S
    )
