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
    finish,
    start_build,
)

VERSIONS = ("3.11", "3.12", "3.13", "3.14")  # that the package is declared for
PLACES = (
    "/usr/bin/python3",
    "/usr/local/bin/python3",
    "~/.pyenv/versions/*/bin/python3",
)
ASK_VERSION = "import sys; print('%d.%d' % sys.version_info[:2])"
COMPILED = """
import sys
if "%d.%d" % sys.version_info[:2] != "{}":
    raise ImportError("compiled for Python {}")
"""
# Stands in for the command line, which needs more of the libraries than that they load.
PROGRAM = """
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


def pythons():
    """Return the path of one Python of each version on this machine."""
    found = {}
    for pattern in PLACES:
        path = Path(pattern).expanduser()
        for file in sorted(Path("/").glob(str(path.relative_to("/")))):
            done = subprocess.run(
                [file, "-c", ASK_VERSION], capture_output=True, text=True
            )
            found.setdefault(done.stdout.strip(), str(file))
    found["{}.{}".format(*sys.version_info)] = sys.executable
    return {version: found[version] for version in VERSIONS if version in found}


def write_compiled_wheels(registry):
    """Have the registry serve gevent as one wheel for each version of Python."""
    name, version = "gevent", LIBRARIES["gevent"]
    for wheel in registry.glob(f"{name}-*"):
        wheel.unlink()
    info = f"{name}-{version}.dist-info"
    for python in VERSIONS:
        tag = f"cp{python.replace('.', '')}-none-any"
        with zipfile.ZipFile(registry / f"{name}-{version}-{tag}.whl", "w") as wheel:
            wheel.writestr(f"{name}/__init__.py", COMPILED.format(python, python))
            wheel.writestr(f"{info}/METADATA", METADATA.format(name, version))
            wheel.writestr(f"{info}/WHEEL", WHEEL.replace("py3-none-any", tag))
            wheel.writestr(f"{info}/RECORD", "")


def start_process(root, python):
    """Run the program of the deploy file as the platform does, with some Python."""
    environ = {"PATH": os.environ["PATH"], "HOME": str(root.parent)}
    return subprocess.run(
        [python, "-m", "quetzalwall", "front"],
        cwd=root,
        env=environ | {"PYTHONPATH": "target/deps"},
        capture_output=True,
        text=True,
    )


# "The system did not start from its deploy file", report 3: the libraries were those of
# the Python that ran the build, and another one ran the processes.
def test_processes_of_another_python_find_their_libraries():
    with checkout() as (root, registry):
        shutil.copytree(ROOT / "quetzalwall", root / "quetzalwall")
        (root / "quetzalwall/cli/main.py").write_text(PROGRAM)
        write_compiled_wheels(registry)
        status, said = finish(start_build(root, registry))
        assert status == 0, said
        done = {
            version: start_process(root, path) for version, path in pythons().items()
        }
        said = {version: process.stderr for version, process in done.items()}
        assert all(process.stdout == "served\n" for process in done.values()), said


# The same report: an older Python ended with a stack that did not say what is needed.
def test_a_build_by_a_python_that_is_too_old_works_or_says_so_in_one_line():
    with checkout() as (root, registry):
        status, said = finish(start_build(root, registry, OLD_PYTHON))
        assert "Traceback" not in said, said
        assert status == 0 or (said.count("\n") == 1 and "3.11" in said), said
