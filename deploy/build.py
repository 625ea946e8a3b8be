"""Install the libraries that instances need into ``target/libraries``.

Each binary interface (ABI) of Python has a folder of its own there, named by the tag of
its extension modules. An instance uses the folder of the Python that runs it. The build
fills the folder of its own Python, and those of other Pythons that are on this machine
or supported, since instances may run with another ``PATH`` or as another user.

A folder is replaced atomically: libraries are installed into a temporary folder, test
imported, and exchanged with the old folder in one step. A complete folder is only read,
so that it serves builds and instances of any user. A lock serialises builds that
install.

This module uses only the standard library, and syntax that older releases of Python
can parse, so that `main` can report that they are too old.
"""

from __future__ import annotations

import ctypes
import errno
import fcntl
import math
import os
import platform
import re
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from importlib.metadata import distributions
from pathlib import Path

from interfaces import OLDEST_RELEASE, OWN_TAG, find_interfaces

__all__ = ["BuildError", "build"]

ROOT = Path(__file__).resolve().parent.parent
CONSTRAINTS = "constraints.txt"
FINGERPRINT_FILE = "installed-for.txt"
NOT_SERVED_SUFFIX = ".not-served"  # marks a tag that the package registry lacks
MAX_ATTEMPTS = 3  # a package registry may be unavailable for a moment
RETRY_PAUSE_S = 5.0
MAX_PROBES = 4  # of the package registry, at once
PIP_TIMEOUT_S = 150.0  # of one command of pip, so of one attempt
INSTALL_TIMEOUT_S = 660.0  # all installations; the platform ends a build after 15 min
# The user's settings of pip that redirect or prevent an installation.
PIP_DISABLED = ("PIP_USER", "PIP_REQUIRE_VIRTUALENV", "PIP_DRY_RUN", "PIP_NO_DEPS")
PIP_UNSET = ("PIP_TARGET", "PIP_PREFIX", "PIP_ROOT")
AT_FDCWD, RENAME_EXCHANGE = -100, 2  # of renameat2(2)
EXCHANGE_UNSUPPORTED = (errno.EINVAL, errno.ENOSYS, errno.EPERM)  # of renameat2(2)
READABLE_MODE, SEARCHABLE_MODE = 0o444, 0o555  # files and folders, for any user
PACKAGE = "quetzalwall"
REQUIREMENT_NAME = re.compile(r"[A-Za-z0-9_.-]+")


class BuildError(Exception):
    """The libraries could not be installed, or can't be imported."""


def build(root=ROOT):
    """Install the libraries where they are missing or outdated.

    Parameters
    ----------
    root : pathlib.Path
        Top of the checkout.

    Raises
    ------
    BuildError
        The libraries for this Python could not be installed; an earlier installation
        is left unchanged. For other Pythons, a failure is only printed.
    """
    requirements = read_requirements(root)
    target = root / "target" / "libraries"
    deadline = time.monotonic() + INSTALL_TIMEOUT_S
    own, *others = find_interfaces()
    os.umask(0o022)  # the instances may run as another user
    _install_missing(root, target, [own], requirements, deadline)
    try:
        _install_missing(root, target, others, requirements, deadline, required=False)
    except OSError as exc:
        _log(f"libraries for other releases of Python are left unchanged: {exc}")
    _compile_package(root, [own, *others])


def read_requirements(root):
    """Return the dependencies that ``pyproject.toml`` declares.

    Parameters
    ----------
    root : pathlib.Path
        Top of the checkout.

    Returns
    -------
    list of str
    """
    import tomllib  # missing in releases that `main` rejects as too old

    with open(root / "pyproject.toml", "rb") as stream:
        return tomllib.load(stream)["project"]["dependencies"]


def _fingerprint(root, requirements):
    """Return a text that changes whenever other libraries have to be installed."""
    return "\n".join([*requirements, (root / CONSTRAINTS).read_text()])


@contextmanager
def _build_lock(target):
    with open(target / "build.lock", "w") as lock:
        # The system releases it when the process ends, also when it is killed.
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def _install_missing(root, target, interfaces, requirements, deadline, required=True):
    """Install the libraries for those interfaces that lack them.

    A failure is raised if ``required``, and printed otherwise.
    """
    fingerprint = _fingerprint(root, requirements)

    def find_missing():
        pairs = [
            (
                interface,
                _reason_to_install(target, interface, fingerprint, requirements),
            )
            for interface in interfaces
        ]
        return [(interface, reason) for interface, reason in pairs if reason]

    def install(pair):
        interface, reason = pair
        _log(f"installing for {interface.tag}: {reason}")
        try:
            attempts = MAX_ATTEMPTS if required else 1
            _reinstall(
                root, target, interface, fingerprint, requirements, attempts, deadline
            )
        except (BuildError, OSError) as exc:
            if required:
                raise
            _log(f"no libraries for {interface.tag}: {exc}")
            if interface.python is None:
                (target / f"{interface.tag}{NOT_SERVED_SUFFIX}").write_text(fingerprint)

    if find_missing():
        target.mkdir(parents=True, exist_ok=True)
        for folder in (target.parent, target):  # may exist, closed to other users
            folder.chmod(folder.stat().st_mode | SEARCHABLE_MODE)
        with _build_lock(target):
            if required:
                _remove_leftovers(target)
            # Checked again: another build may have installed them meanwhile.
            with ThreadPoolExecutor(len(interfaces)) as pool:
                list(pool.map(install, find_missing()))
    elif required:
        _log("all libraries are installed")


def _reason_to_install(target, interface, fingerprint, requirements):
    """Return why the libraries have to be installed, or None if they need not be."""
    try:
        installed = (target / interface.tag / FINGERPRINT_FILE).read_text()
    except OSError as exc:
        marker = target / f"{interface.tag}{NOT_SERVED_SUFFIX}"
        if (
            interface.python is None
            and marker.exists()
            and marker.read_text() == fingerprint
        ):
            return None
        return str(exc)
    if installed != fingerprint:
        return "the installed libraries are for other requirements"
    return _import_failure(interface, target / interface.tag, requirements)


def _import_failure(interface, folder, requirements, write_bytecode=False):
    """Return why the libraries can't be imported, or None if they can.

    ``write_bytecode`` keeps their bytecode. Without an interpreter nothing is checked.
    """
    if interface.python is None:
        return None
    modules = [REQUIREMENT_NAME.match(text).group().lower() for text in requirements]
    program = (
        f"import sys; sys.path.insert(0, sys.argv[1]); import {', '.join(modules)}"
    )
    # Without the libraries of the user and of the system, which instances may lack.
    flags = ["-I", "-S"] if write_bytecode else ["-I", "-S", "-B"]
    process = subprocess.run(
        [interface.python, *flags, "-c", program, str(folder)],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    return process.stderr.strip() or "failed" if process.returncode else None


def _compile_package(root, interfaces):
    """Compile the package to bytecode; else each start of an instance has to do it."""
    for python in filter(None, (interface.python for interface in interfaces)):
        subprocess.run(
            [python, "-m", "compileall", "-qq", "-x", "/tests/", root / PACKAGE],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            check=False,
        )


def _reinstall(root, target, interface, fingerprint, requirements, attempts, deadline):
    """Install the libraries into a new folder and replace the former one with it."""
    staging = Path(tempfile.mkdtemp(prefix="new-", dir=target))
    try:
        _install(root, staging, interface, requirements, attempts, deadline)
        failure = _import_failure(interface, staging, requirements, write_bytecode=True)
        if failure is not None:
            raise BuildError(f"an installed library can't be imported: {failure}")
        (staging / FINGERPRINT_FILE).write_text(fingerprint)
        _make_readable(staging)
        _move_into_place(staging, target / interface.tag)
    finally:
        shutil.rmtree(staging, ignore_errors=True)


def _install(root, folder, interface, requirements, attempts, deadline):
    """Install the libraries into an empty folder.

    If the pinned releases can't be installed together, a last attempt leaves out the
    pins that the package registry does not serve.
    """
    command = _pip_command(folder, interface, requirements)
    pins = ["-c", str(root / CONSTRAINTS)]
    for attempt in range(1, attempts + 1):
        if _succeeds([*command, *pins], deadline):
            return
        _log(f"installation attempt {attempt} of {attempts} failed for {interface.tag}")
        _clear_folder(folder)
        if attempt < attempts:
            time.sleep(RETRY_PAUSE_S)
    served = _served_pins(root, deadline)
    (folder / CONSTRAINTS).write_text("\n".join(served))
    if served and _succeeds([*command, "-c", str(folder / CONSTRAINTS)], deadline):
        return
    message = "the libraries could not be installed"
    if not _succeeds([sys.executable, "-c", "import pip"]):
        message += "; this Python has no pip (package python3-pip)"
    raise BuildError(message)


def _served_pins(root, deadline):
    """Return the pins that the package registry serves; print the others.

    Any release in the declared range is accepted for the others, since instances
    could not start without these libraries.
    """
    pins = (root / CONSTRAINTS).read_text().split()
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-input"]
    command += ["--disable-pip-version-check", "--root-user-action=ignore"]
    command += ["--ignore-installed", "--no-deps", "--only-binary", ":all:"]
    with tempfile.TemporaryDirectory() as tmp, ThreadPoolExecutor(MAX_PROBES) as pool:
        commands = [
            [*command, "--target", f"{tmp}/{number}", pin]
            for number, pin in enumerate(pins)
        ]
        deadlines = [deadline] * len(pins)
        served = dict(zip(pins, pool.map(_succeeds, commands, deadlines), strict=True))
    unserved = [pin for pin, ok in served.items() if not ok]
    _log(f"not served, other releases in range are used: {' '.join(unserved)}")
    return [pin for pin, ok in served.items() if ok]


def _clear_folder(folder):
    shutil.rmtree(folder)
    folder.mkdir()


def _pip_command(folder, interface, requirements):
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-input"]
    command += ["--disable-pip-version-check", "--root-user-action=ignore"]
    command += ["--target", str(folder)]
    if interface.python != sys.executable:
        # pip evaluates conditions on the release for the Python that runs pip.
        requirements = [*requirements, *_conditional_requirements(folder.parent)]
        command += ["--python-version", "{}.{}".format(*interface.release)]
        command += ["--only-binary", ":all:", "--no-compile"]
    return [*command, *requirements]


def _conditional_requirements(target):
    """Return what installed libraries require only with some releases of Python."""
    folder = str(target / OWN_TAG)
    texts = [text for d in distributions(path=[folder]) for text in d.requires or ()]
    conditions = [text.partition(";") for text in texts]
    return sorted(
        {
            name.strip()
            for name, _, condition in conditions
            if "python_version" in condition and "extra" not in condition
        }
    )


def _succeeds(command, deadline=math.inf):
    """Run a command and return whether it succeeded before the deadline."""
    timeout_s = min(PIP_TIMEOUT_S, deadline - time.monotonic())
    if timeout_s <= 0:
        return False
    environ = {k: v for k, v in os.environ.items() if k not in PIP_UNSET}
    environ |= dict.fromkeys(PIP_DISABLED, "0")
    try:
        process = subprocess.run(
            command, stdin=subprocess.DEVNULL, timeout=timeout_s, env=environ
        )
    except subprocess.TimeoutExpired:
        return False
    return process.returncode == 0


def _make_readable(folder):
    """Let any user read an installation, whatever the modes of its files."""
    for path in (folder, *folder.rglob("*")):
        mode = SEARCHABLE_MODE if path.is_dir() else READABLE_MODE
        path.chmod(path.stat().st_mode | mode)


def _move_into_place(staging, final):
    """Move a complete installation to its final path, atomically where possible.

    Processes that use the former installation keep the files that they have open, and
    import further modules from the new one.
    """
    if not final.exists():
        staging.rename(final)
    elif not _exchange(staging, final):
        former = final.with_name(f"old-{os.getpid()}-{final.name}")
        final.rename(former)
        staging.rename(final)
        shutil.rmtree(former, ignore_errors=True)


def _exchange(one, other):
    """Exchange two paths atomically; return False if the system does not support it."""
    libc = ctypes.CDLL(None, use_errno=True)
    if not hasattr(libc, "renameat2"):
        return False
    paths = [os.fsencode(path) for path in (one, other)]
    if libc.renameat2(AT_FDCWD, paths[0], AT_FDCWD, paths[1], RENAME_EXCHANGE) == 0:
        return True
    code = ctypes.get_errno()
    if code not in EXCHANGE_UNSUPPORTED:
        raise OSError(code, os.strerror(code), str(other))
    return False


def _remove_leftovers(target):
    """Remove the folders of interrupted builds, and replaced installations."""
    for pattern in ("new-*", "old-*"):
        for folder in target.glob(pattern):
            shutil.rmtree(folder, ignore_errors=True)


def _log(text):
    python = platform.python_version()
    context = f"Python {python} at {sys.executable}, user {os.geteuid()}"
    print(f"build: {text} ({context})", file=sys.stderr)


def main():
    """Run the build, and return the exit status.

    Returns
    -------
    int
    """
    if sys.version_info < OLDEST_RELEASE:
        _log("Python {}.{} or later is needed".format(*OLDEST_RELEASE))
        return 1
    try:
        build()
    except (BuildError, OSError) as exc:
        _log(str(exc))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
