"""Install the libraries of the instances into ``target/libraries``.

Each binary interface of Python has a folder of its own there, named as its extension
modules are, and an instance takes the one of the Python that runs it. The build makes
that of its own Python, and those of others that are on this machine or supported, since
another path or user may run another Python. A folder is there only as a whole:
libraries are installed beside it, imported once for a check, and then exchanged with
it in one step. A complete folder is only read, so that it serves any user. Builds that
install wait for each other. Only the standard library is used.
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

from interfaces import OLDEST, OWN_TAG, find_interfaces

__all__ = ["BuildError", "build"]

ROOT = Path(__file__).resolve().parent.parent
CONSTRAINTS = "constraints.txt"
STAMP = "installed-for.txt"
NOT_SERVED = ".not-served"  # after the tag: a registry has no such libraries
ATTEMPTS = 3  # a registry may fail for a moment
PAUSE_S = 5.0
PROBES = 4  # at once
INSTALL_LIMIT_S = 150.0  # of one attempt
LIMIT_S = 660.0  # of all installing; the platform ends a build after 15 min
# A user's settings of pip that move an installation elsewhere or have none made.
PIP_OFF = ("PIP_USER", "PIP_REQUIRE_VIRTUALENV", "PIP_DRY_RUN", "PIP_NO_DEPS")
PIP_UNSET = ("PIP_TARGET", "PIP_PREFIX", "PIP_ROOT")
AT_FDCWD, RENAME_EXCHANGE = -100, 2  # of renameat2(2)
NO_EXCHANGE = (errno.EINVAL, errno.ENOSYS, errno.EPERM)  # not on this file system
READABLE, SEARCHABLE = 0o444, 0o555  # by any user, of files and of folders
PACKAGE = "quetzalwall"
NAME = re.compile(r"[A-Za-z0-9_.-]+")


class BuildError(Exception):
    """The libraries could not be installed, or do not work."""


def build(root=ROOT):
    """Install the libraries unless complete installations fit.

    Parameters
    ----------
    root : pathlib.Path
        Top of the checkout.

    Raises
    ------
    BuildError
        Those of this Python could not be installed; an earlier installation is left as
        it was. Those of other ones are reported only.
    """
    requirements = read_requirements(root)
    target = root / "target" / "libraries"
    until = time.monotonic() + LIMIT_S
    own, *others = find_interfaces()
    os.umask(0o022)  # the instances may run as another user
    _install_lacking(root, target, [own], requirements, until)
    try:
        _install_lacking(root, target, others, requirements, until, needed=False)
    except OSError as exc:
        _say(f"libraries for other releases of Python are left as they are: {exc}")
    _compile_own(root, [own, *others])


def read_requirements(root):
    """Return the libraries that the package declares.

    Parameters
    ----------
    root : pathlib.Path
        Top of the checkout.

    Returns
    -------
    list of str
    """
    import tomllib  # not in releases that are told that they are too old

    with open(root / "pyproject.toml", "rb") as stream:
        return tomllib.load(stream)["project"]["dependencies"]


def _fingerprint(root, requirements):
    """Return a text that differs whenever the libraries have to be others."""
    return "\n".join([*requirements, (root / CONSTRAINTS).read_text()])


@contextmanager
def _only_build(target):
    with open(target / "build.lock", "w") as lock:
        # Released at the end of the process, whatever ends it.
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def _install_lacking(root, target, interfaces, requirements, until, needed=True):
    """Install the libraries of those interfaces that lack them."""
    wanted = _fingerprint(root, requirements)

    def lacking():
        pairs = [
            (interface, _reason_to_install(target, interface, wanted, requirements))
            for interface in interfaces
        ]
        return [(interface, reason) for interface, reason in pairs if reason]

    def install(pair):
        interface, reason = pair
        _say(f"installing for {interface.tag}: {reason}")
        try:
            attempts = ATTEMPTS if needed else 1
            _replace(root, target, interface, wanted, requirements, attempts, until)
        except (BuildError, OSError) as exc:
            if needed:
                raise
            _say(f"no libraries for {interface.tag}: {exc}")
            if interface.python is None:
                (target / f"{interface.tag}{NOT_SERVED}").write_text(wanted)

    if lacking():
        target.mkdir(parents=True, exist_ok=True)
        for folder in (target.parent, target):  # may have been there before
            folder.chmod(folder.stat().st_mode | SEARCHABLE)
        with _only_build(target):
            if needed:
                _drop_leftovers(target)
            # Another build may have installed them meanwhile.
            with ThreadPoolExecutor(len(interfaces)) as pool:
                list(pool.map(install, lacking()))
    elif needed:
        _say("the installation is complete")


def _reason_to_install(target, interface, wanted, requirements):
    """Return why an installation is not the wanted one, or None if it works."""
    try:
        installed_for = (target / interface.tag / STAMP).read_text()
    except OSError as exc:
        tried = target / f"{interface.tag}{NOT_SERVED}"
        if interface.python is None and tried.exists() and tried.read_text() == wanted:
            return None
        return str(exc)
    if installed_for != wanted:
        return "the installation is for other libraries"
    return _import_failure(interface, target / interface.tag, requirements)


def _import_failure(interface, folder, requirements, keep=False):
    """Return why the libraries can't be imported, or None if they can.

    What is compiled meanwhile may be kept.
    """
    if interface.python is None:
        return None
    modules = [NAME.match(text).group().lower() for text in requirements]
    program = (
        f"import sys; sys.path.insert(0, sys.argv[1]); import {', '.join(modules)}"
    )
    # Neither the user's libraries nor those of the system: instances may lack them.
    flags = ["-I", "-S"] if keep else ["-I", "-S", "-B"]
    done = subprocess.run(
        [interface.python, *flags, "-c", program, str(folder)],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    return done.stderr.strip() or "failed" if done.returncode else None


def _compile_own(root, interfaces):
    """Compile the own code; where that fails, each start of an instance does it."""
    for python in filter(None, (interface.python for interface in interfaces)):
        subprocess.run(
            [python, "-m", "compileall", "-qq", "-x", "/tests/", root / PACKAGE],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            check=False,
        )


def _replace(root, target, interface, wanted, requirements, attempts, until):
    """Install the libraries and put them in the place of former ones."""
    fresh = Path(tempfile.mkdtemp(prefix="new-", dir=target))
    try:
        _install(root, fresh, interface, requirements, attempts, until)
        failure = _import_failure(interface, fresh, requirements, keep=True)
        if failure is not None:
            raise BuildError(f"an installed library does not work: {failure}")
        (fresh / STAMP).write_text(wanted)
        _make_readable(fresh)
        _put_in_place(fresh, target / interface.tag)
    finally:
        shutil.rmtree(fresh, ignore_errors=True)


def _install(root, folder, interface, requirements, attempts, until):
    command = _pip_command(folder, interface, requirements)
    pins = ["-c", str(root / CONSTRAINTS)]
    for attempt in range(1, attempts + 1):
        if _succeeds([*command, *pins], until):
            return
        _say(f"installation {attempt} of {attempts} failed for {interface.tag}")
        _empty(folder)
        if attempt < attempts:
            time.sleep(PAUSE_S)
    served = _served_pins(root, until)
    (folder / CONSTRAINTS).write_text("\n".join(served))
    if served and _succeeds([*command, "-c", str(folder / CONSTRAINTS)], until):
        return
    message = "the libraries could not be installed"
    if not _succeeds([sys.executable, "-c", "import pip"]):
        message += "; this Python has no pip (package python3-pip)"
    raise BuildError(message)


def _served_pins(root, until):
    """Return the pins that the registry serves; say which it does not.

    For the others any release in the declared range has to do, or there is no start.
    """
    pins = (root / CONSTRAINTS).read_text().split()
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-input"]
    command += ["--disable-pip-version-check", "--root-user-action=ignore"]
    command += ["--ignore-installed", "--no-deps", "--only-binary", ":all:"]
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(PROBES) as pool:
        commands = [
            [*command, "--target", f"{folder}/{number}", pin]
            for number, pin in enumerate(pins)
        ]
        untils = [until] * len(pins)
        found = dict(zip(pins, pool.map(_succeeds, commands, untils), strict=True))
    lacking = [pin for pin, served in found.items() if not served]
    _say(f"not served, so that others of their range are taken: {' '.join(lacking)}")
    return [pin for pin, served in found.items() if served]


def _empty(folder):
    shutil.rmtree(folder)
    folder.mkdir()


def _pip_command(folder, interface, requirements):
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-input"]
    command += ["--disable-pip-version-check", "--root-user-action=ignore"]
    command += ["--target", str(folder)]
    if interface.python != sys.executable:
        # Conditions on the release are judged by the Python that runs pip.
        requirements = [*requirements, *_conditional(folder.parent)]
        command += ["--python-version", "{}.{}".format(*interface.release)]
        command += ["--only-binary", ":all:", "--no-compile"]
    return [*command, *requirements]


def _conditional(target):
    """Return what installed libraries need with some releases of Python only."""
    own = str(target / OWN_TAG)
    texts = [text for d in distributions(path=[own]) for text in d.requires or ()]
    conditions = [text.partition(";") for text in texts]
    return sorted(
        {
            name.strip()
            for name, _, condition in conditions
            if "python_version" in condition and "extra" not in condition
        }
    )


def _succeeds(command, until=math.inf):
    limit_s = min(INSTALL_LIMIT_S, until - time.monotonic())
    if limit_s <= 0:
        return False
    environ = {k: v for k, v in os.environ.items() if k not in PIP_UNSET}
    environ |= dict.fromkeys(PIP_OFF, "0")
    try:
        done = subprocess.run(
            command, stdin=subprocess.DEVNULL, timeout=limit_s, env=environ
        )
    except subprocess.TimeoutExpired:
        return False
    return done.returncode == 0


def _make_readable(folder):
    """Let any user read an installation, whatever modes its files came with."""
    for path in (folder, *folder.rglob("*")):
        mode = SEARCHABLE if path.is_dir() else READABLE
        path.chmod(path.stat().st_mode | mode)


def _put_in_place(fresh, final):
    """Give a complete installation its final name, in one step.

    Processes that run from the former one keep the files that they have open, and find
    what they import later in the new one.
    """
    if not final.exists():
        fresh.rename(final)
    elif not _exchange(fresh, final):
        former = final.with_name(f"old-{os.getpid()}-{final.name}")
        final.rename(former)
        fresh.rename(final)
        shutil.rmtree(former, ignore_errors=True)


def _exchange(one, other):
    """Exchange two names in one step; return whether the system can."""
    libc = ctypes.CDLL(None, use_errno=True)
    if not hasattr(libc, "renameat2"):
        return False
    paths = [os.fsencode(path) for path in (one, other)]
    if libc.renameat2(AT_FDCWD, paths[0], AT_FDCWD, paths[1], RENAME_EXCHANGE) == 0:
        return True
    code = ctypes.get_errno()
    if code not in NO_EXCHANGE:
        raise OSError(code, os.strerror(code), str(other))
    return False


def _drop_leftovers(target):
    """Remove what builds that were interrupted left, and replaced installations."""
    for pattern in ("new-*", "old-*"):
        for folder in target.glob(pattern):
            shutil.rmtree(folder, ignore_errors=True)


def _say(text):
    python = platform.python_version()
    place = f"Python {python} at {sys.executable}, user {os.geteuid()}"
    print(f"build: {text} ({place})", file=sys.stderr)


def main():
    """Build, and return the exit status.

    Returns
    -------
    int
    """
    if sys.version_info < OLDEST:
        _say("Python {}.{} or later is needed".format(*OLDEST))
        return 1
    try:
        build()
    except (BuildError, OSError) as exc:
        _say(str(exc))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
