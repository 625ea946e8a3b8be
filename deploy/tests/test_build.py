import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
import zipfile
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
LIBRARIES = {
    "gevent": "26.9.0",
    "geventhttpclient": "2.6.1",
    "jsonschema": "4.26.0",
    "logbook": "1.10.1",
    "msgspec": "0.23.0",
    "prometheus_client": "0.26.0",
    "xxhash": "4.1.0",
}
METADATA = "Metadata-Version: 2.1\nName: {}\nVersion: {}\n"
WHEEL = "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n"


def write_wheel(folder, name, version):
    """Write a library that holds one empty module."""
    info = f"{name}-{version}.dist-info"
    files = {
        f"{name}/__init__.py": "",
        f"{info}/METADATA": METADATA.format(name, version),
        f"{info}/WHEEL": WHEEL,
    }
    record = "".join(f"{file},,\n" for file in files) + f"{info}/RECORD,,\n"
    path = folder / f"{name}-{version}-py3-none-any.whl"
    with zipfile.ZipFile(path, "w") as wheel:
        for file, text in files.items():
            wheel.writestr(file, text)
        wheel.writestr(f"{info}/RECORD", record)


@contextmanager
def checkout():
    """A clean checkout, and a stand-in for the package registry."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder) / "checkout"
        shutil.copytree(
            ROOT / "deploy",
            root / "deploy",
            ignore=shutil.ignore_patterns("__pycache__", "tests"),
        )
        for name in ("constraints.txt", "pyproject.toml"):
            shutil.copy(ROOT / name, root)
        registry = Path(folder) / "registry"
        registry.mkdir()
        for name, version in LIBRARIES.items():
            write_wheel(registry, name, version)
        yield root, registry


def start_build(root, registry):
    command = tomllib.loads((root / "deploy/system.toml").read_text())["build"]
    environ = os.environ | {
        "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}",
        "PIP_NO_INDEX": "1",
        "PIP_FIND_LINKS": str(registry),
    }
    return subprocess.Popen(
        ["sh", "-c", command], cwd=root, env=environ, stderr=subprocess.PIPE, text=True
    )


def finish(process):
    _, said = process.communicate(timeout=120)
    return process.returncode, said


def missing(root):
    return [
        n for n in LIBRARIES if not (root / f"target/deps/{n}/__init__.py").exists()
    ]


# "The system did not start from its deploy file": the build said yes, libraries lacked.
def test_interrupted_installation_is_not_taken_for_a_build():
    with checkout() as (root, registry):
        (root / "target/deps/gevent").mkdir(parents=True)
        status, said = finish(start_build(root, registry))
        assert status == 0, said
        assert not missing(root)


# The same failure where several deployments build from one checkout at once.
def test_a_build_leaves_alone_what_another_has_installed():
    with checkout() as (root, registry):
        builds = [start_build(root, registry) for _ in range(3)]
        while all(process.poll() is None for process in builds):
            pass
        lacking = missing(root)
        made = (root / "target/deps/gevent").stat().st_ino if not lacking else None
        assert [finish(process)[0] for process in builds] == [0, 0, 0]
        assert not lacking
        assert (root / "target/deps/gevent").stat().st_ino == made


# The same failure where libraries were built for another Python.
def test_libraries_for_another_python_are_installed_anew():
    with checkout() as (root, registry):
        assert finish(start_build(root, registry))[0] == 0
        stamp = root / "target/deps/installed-for.txt"
        stamp.write_text(stamp.read_text().replace(sys.version, "3.9.2"))
        (root / "target/deps/xxhash/__init__.py").write_text("raise ImportError")
        assert finish(start_build(root, registry))[0] == 0
        assert (root / "target/deps/xxhash/__init__.py").read_text() == ""


def test_a_failed_build_says_so_and_keeps_the_earlier_libraries():
    with checkout() as (root, registry):
        assert finish(start_build(root, registry))[0] == 0
        (root / "constraints.txt").write_text("xxhash==0.0.1\n")
        build = (root / "deploy/build.py").read_text()
        (root / "deploy/build.py").write_text(
            build.replace("PAUSE_S = 5.0", "PAUSE_S = 0")
        )
        status, said = finish(start_build(root, registry))
        assert status == 1
        assert "could not be installed" in said and "xxhash" in said
        assert not missing(root)
        assert [p.name for p in (root / "target").glob("deps*")] == ["deps"]
