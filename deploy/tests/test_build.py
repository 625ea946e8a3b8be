import ctypes
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
import zipfile
from contextlib import contextmanager
from importlib.machinery import EXTENSION_SUFFIXES
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
TAG = EXTENSION_SUFFIXES[0].split(".")[1]  # of the Python that runs the tests
LIBRARY_FOLDER = f"target/libraries/{TAG}"
PR_CAPBSET_DROP = 24  # of prctl(2)
CAP_DAC_OVERRIDE, CAP_DAC_READ_SEARCH, CAP_FOWNER = 1, 2, 3  # of capabilities(7)
OTHER_PATCH_RELEASE = """
import sys
sys.version = "3.11.999 (main, Jan  1 2030, 00:00:00) [GCC 99.0.0]"
"""
# Creates the file "gap" if a library exists at one rename and not at a later one.
WATCH_RENAMES = f"""
import os, sys
seen = []
def audit(event, args):
    if event in ("os.rename", "shutil.rmtree"):
        exists = os.path.exists("{LIBRARY_FOLDER}/xxhash/__init__.py")
        if seen and not exists:
            open("gap", "w").close()
        if exists:
            seen.append(event)
sys.addaudithook(audit)
"""
METADATA = "Metadata-Version: 2.1\nName: {}\nVersion: {}\n"
WHEEL = "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n"


def write_wheel(folder, name, version):
    """Write the wheel of a library that consists of one empty module."""
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
    """Yield a clean checkout and a folder that replaces the package registry."""
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


def start_build(root, registry, program="", preexec=None):
    """Start the build.

    Each Python that it starts runs ``program`` first. ``preexec`` is called in the
    child process before the build.
    """
    hooks = root.parent / "hooks"
    hooks.mkdir(exist_ok=True)
    (hooks / "sitecustomize.py").write_text(program)
    command = tomllib.loads((root / "deploy/system.toml").read_text())["build"]
    environ = os.environ | {
        "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}",
        "PIP_NO_INDEX": "1",
        "PIP_FIND_LINKS": str(registry),
        "PYTHONPATH": str(hooks),
    }
    return subprocess.Popen(
        ["sh", "-c", command],
        cwd=root,
        env=environ,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=preexec,
    )


def respect_permissions():
    """Drop the capabilities by which root would bypass file permissions."""
    for capability in (CAP_DAC_OVERRIDE, CAP_DAC_READ_SEARCH, CAP_FOWNER):
        ctypes.CDLL(None).prctl(PR_CAPBSET_DROP, capability, 0, 0, 0)


@contextmanager
def write_protected(folder):
    """Remove write permission from a folder and its content."""
    paths = [folder, *folder.rglob("*")]
    modes = [path.stat().st_mode for path in paths]
    try:
        for path in paths:
            path.chmod(path.stat().st_mode & 0o555)
        yield
    finally:
        for path, mode in zip(paths, modes, strict=True):
            path.chmod(mode)


def wait_for_build(process):
    """Return the exit status and standard error of a build."""
    _, err = process.communicate(timeout=120)
    return process.returncode, err


def missing_libraries(root):
    """Return the names of the libraries that are not installed."""
    return [
        n
        for n in LIBRARIES
        if not (root / f"{LIBRARY_FOLDER}/{n}/__init__.py").exists()
    ]


# An interrupted build left an incomplete folder, which the next build accepted.
def test_interrupted_installation_is_completed():
    with checkout() as (root, registry):
        (root / LIBRARY_FOLDER / "gevent").mkdir(parents=True)
        status, err = wait_for_build(start_build(root, registry))
        assert status == 0, err
        assert not missing_libraries(root)


# With several deployments building from one checkout at once, a build reported success
# although libraries were missing.
def test_concurrent_builds_install_only_once():
    with checkout() as (root, registry):
        builds = [start_build(root, registry) for _ in range(3)]
        while all(process.poll() is None for process in builds):
            pass
        lacking = missing_libraries(root)
        inode = (
            (root / LIBRARY_FOLDER / "gevent").stat().st_ino if not lacking else None
        )
        assert [wait_for_build(process)[0] for process in builds] == [0, 0, 0]
        assert not lacking
        assert (root / LIBRARY_FOLDER / "gevent").stat().st_ino == inode


# A build accepted libraries that had been installed for another Python.
def test_libraries_for_another_python_are_reinstalled():
    with checkout() as (root, registry):
        assert wait_for_build(start_build(root, registry))[0] == 0
        other = next(
            p for p in (root / LIBRARY_FOLDER).parent.glob("cpython-*") if p.name != TAG
        )
        shutil.rmtree(root / LIBRARY_FOLDER)
        other.rename(root / LIBRARY_FOLDER)
        (root / LIBRARY_FOLDER / "xxhash/__init__.py").write_text("raise ImportError")
        assert wait_for_build(start_build(root, registry))[0] == 0
        assert (root / LIBRARY_FOLDER / "xxhash/__init__.py").read_text() == ""


def test_failed_build_reports_why_and_keeps_the_earlier_libraries():
    with checkout() as (root, registry):
        assert wait_for_build(start_build(root, registry))[0] == 0
        (root / "constraints.txt").write_text("xxhash==0.0.1\n")
        build = (root / "deploy/build.py").read_text()
        (root / "deploy/build.py").write_text(
            build.replace("RETRY_PAUSE_S = 5.0", "RETRY_PAUSE_S = 0")
        )
        status, err = wait_for_build(start_build(root, registry))
        assert status == 1
        assert "could not be installed" in err and "xxhash" in err
        assert not missing_libraries(root)
        names = [p.name for p in (root / LIBRARY_FOLDER).parent.iterdir() if p.is_dir()]
        assert all(name.startswith("cpython-") for name in names), names


# A complete installation was rejected when the build ran as another user, or where no
# file can be written.
def test_complete_installation_is_accepted_without_write_permission():
    with checkout() as (root, registry):
        assert wait_for_build(start_build(root, registry))[0] == 0
        with write_protected(root):
            status, err = wait_for_build(
                start_build(root, registry, preexec=respect_permissions)
            )
        assert status == 0, err


# With another patch release of Python, all libraries were reinstalled while processes
# used them.
def test_another_patch_release_uses_the_same_libraries():
    with checkout() as (root, registry):
        assert wait_for_build(start_build(root, registry))[0] == 0
        inode = (root / LIBRARY_FOLDER / "gevent").stat().st_ino
        status, err = wait_for_build(start_build(root, registry, OTHER_PATCH_RELEASE))
        assert status == 0, err
        assert (root / LIBRARY_FOLDER / "gevent").stat().st_ino == inode


# A process that started between two renames found no libraries.
def test_libraries_exist_at_every_rename_of_a_replacement():
    with checkout() as (root, registry):
        assert wait_for_build(start_build(root, registry))[0] == 0
        with open(root / "constraints.txt", "a") as constraints:
            constraints.write("# another installation is wanted\n")
        status, err = wait_for_build(start_build(root, registry, WATCH_RENAMES))
        assert status == 0, err
        assert not missing_libraries(root)
        assert not (root / "gap").exists()


# A clean machine has Python without pip.
def test_deploy_file_lists_the_packages_that_the_build_needs():
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    assert {"python3", "python3-pip"} <= set(deploy.get("packages", ()))


def test_build_without_write_permission_prints_no_traceback():
    with checkout() as (root, registry):
        (root / "target").mkdir()
        with write_protected(root / "target"):
            status, err = wait_for_build(
                start_build(root, registry, preexec=respect_permissions)
            )
        assert status == 1
        assert "Permission denied" in err and "target" in err
        assert "Traceback" not in err
