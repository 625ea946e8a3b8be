import os
import shutil
import subprocess
import sys
import zipfile
from pathlib import Path

from deploy.tests.test_build import (
    LIBRARIES,
    METADATA,
    ROOT,
    WHEEL,
    checkout,
    start_build,
    wait_for_build,
)

RELEASES = ("3.11", "3.12", "3.13", "3.14")  # supported by the package
INTERPRETER_PATTERNS = (
    "/usr/bin/python3",
    "/usr/local/bin/python3",
    "~/.pyenv/versions/*/bin/python3",
)
PRINT_RELEASE = "import sys; print('%d.%d' % sys.version_info[:2])"
COMPILED_MODULE = """
import sys
if "%d.%d" % sys.version_info[:2] != "{}":
    raise ImportError("compiled for Python {}")
"""
# Replaces the command line, which needs more than the empty libraries of the test.
IMPORT_LIBRARIES = """
import gevent, geventhttpclient, jsonschema, logbook
import msgspec, prometheus_client, xxhash
def main():
    print("served")
    return 0
"""
OLD_PYTHON = """
import collections, sys
sys.modules["tomllib"] = None
sys.version_info = collections.namedtuple(
    "version_info", "major minor micro releaselevel serial"
)(3, 10, 12, "final", 0)
"""


def find_pythons():
    """Return the path of one Python of each supported release on this machine."""
    found = {}
    for pattern in INTERPRETER_PATTERNS:
        path = Path(pattern).expanduser()
        for file in sorted(Path("/").glob(str(path.relative_to("/")))):
            done = subprocess.run(
                [file, "-c", PRINT_RELEASE], capture_output=True, text=True
            )
            found.setdefault(done.stdout.strip(), str(file))
    found["{}.{}".format(*sys.version_info)] = sys.executable
    return {release: found[release] for release in RELEASES if release in found}


def write_compiled_wheels(registry):
    """Serve gevent as one wheel for each release of Python."""
    name, version = "gevent", LIBRARIES["gevent"]
    for wheel in registry.glob(f"{name}-*"):
        wheel.unlink()
    info = f"{name}-{version}.dist-info"
    for python in RELEASES:
        tag = f"cp{python.replace('.', '')}-none-any"
        with zipfile.ZipFile(registry / f"{name}-{version}-{tag}.whl", "w") as wheel:
            wheel.writestr(
                f"{name}/__init__.py", COMPILED_MODULE.format(python, python)
            )
            wheel.writestr(f"{info}/METADATA", METADATA.format(name, version))
            wheel.writestr(f"{info}/WHEEL", WHEEL.replace("py3-none-any", tag))
            wheel.writestr(f"{info}/RECORD", "")


def run_instance(root, python):
    """Run the command of the deploy file as the platform does, with a given Python."""
    environ = {"PATH": os.environ["PATH"], "HOME": str(root.parent)}
    return subprocess.run(
        [python, "-m", "quetzalwall", "front"],
        cwd=root,
        env=environ | {"PYTHONPATH": "target/deps"},
        capture_output=True,
        text=True,
    )


# The build installed libraries for the Python that ran it, and another Python ran the
# processes.
def test_processes_of_another_python_find_their_libraries():
    with checkout() as (root, registry):
        shutil.copytree(ROOT / "quetzalwall", root / "quetzalwall")
        (root / "quetzalwall/cli/main.py").write_text(IMPORT_LIBRARIES)
        write_compiled_wheels(registry)
        status, err = wait_for_build(start_build(root, registry))
        assert status == 0, err
        processes = {
            release: run_instance(root, path)
            for release, path in find_pythons().items()
        }
        err = {release: process.stderr for release, process in processes.items()}
        assert all(process.stdout == "served\n" for process in processes.values()), err


# An older Python ended with a traceback that did not name the required release.
def test_build_by_an_unsupported_python_works_or_prints_one_line():
    with checkout() as (root, registry):
        status, err = wait_for_build(start_build(root, registry, OLD_PYTHON))
        assert "Traceback" not in err, err
        assert status == 0 or (err.count("\n") == 1 and "3.11" in err), err
