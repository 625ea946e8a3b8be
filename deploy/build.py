"""Install the libraries of the instances into ``target/deps``.

The folder is there only as a whole: libraries are installed beside it, imported once
for a check, and then exchanged with it in one step. A complete installation is only
read, so that it serves any user. Builds that install wait for each other. Only the
standard library is used, and Python 3.11 or later with pip is needed.
"""

import ctypes
import errno
import fcntl
import os
import platform
import re
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import time
import tomllib
from contextlib import contextmanager
from pathlib import Path

__all__ = ["BuildError", "build"]

ROOT = Path(__file__).resolve().parent.parent
CONSTRAINTS = "constraints.txt"
STAMP = "installed-for.txt"
ATTEMPTS = 3  # a registry may fail for a moment
PAUSE_S = 5.0
INSTALL_LIMIT_S = 240.0  # of one attempt; the platform ends a build after 15 min
AT_FDCWD, RENAME_EXCHANGE = -100, 2  # of renameat2(2)
NO_EXCHANGE = (errno.EINVAL, errno.ENOSYS, errno.EPERM)  # not on this file system
READABLE, SEARCHABLE = 0o444, 0o555  # by any user, of files and of folders
NAME = re.compile(r"[A-Za-z0-9_.-]+")


class BuildError(Exception):
    """The libraries could not be installed, or do not work."""


def build(root=ROOT):
    """Install the libraries unless a complete installation fits.

    Parameters
    ----------
    root : pathlib.Path
        Top of the checkout.

    Raises
    ------
    BuildError
        They could not be installed; an earlier installation is left as it was.
    """
    requirements = read_requirements(root)
    wanted = _fingerprint(root, requirements)
    deps = root / "target" / "deps"
    if _reason_to_install(deps, wanted, requirements) is None:
        _say("the installation is complete")
        return
    os.umask(0o022)  # the instances may run as another user
    deps.parent.mkdir(exist_ok=True)
    with _only_build(deps.parent):
        reason = _reason_to_install(deps, wanted, requirements)
        if reason is None:
            _say("another build has made the installation complete")
            return
        _say(f"installing: {reason}")
        _replace(root, deps, wanted, requirements)


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
    with open(root / "pyproject.toml", "rb") as stream:
        return tomllib.load(stream)["project"]["dependencies"]


def _fingerprint(root, requirements):
    """Return a text that differs whenever the libraries have to be others.

    Releases of Python with one binary interface use the same ones.
    """
    lines = [sys.implementation.cache_tag, sysconfig.get_platform(), *requirements]
    return "\n".join([*lines, (root / CONSTRAINTS).read_text()])


@contextmanager
def _only_build(target):
    with open(target / "build.lock", "w") as lock:
        # Released at the end of the process, whatever ends it.
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def _reason_to_install(deps, wanted, requirements):
    """Return why an installation is not the wanted one, or None if it works."""
    try:
        installed_for = (deps / STAMP).read_text()
    except OSError as exc:
        return str(exc)
    if installed_for != wanted:
        return "the installation is for another Python or other libraries"
    return _import_failure(deps, requirements)


def _import_failure(deps, requirements):
    """Return why the libraries can't be imported, or None if they can."""
    modules = [NAME.match(text).group().lower() for text in requirements]
    program = (
        f"import sys; sys.path.insert(0, sys.argv[1]); import {', '.join(modules)}"
    )
    done = subprocess.run(
        [sys.executable, "-B", "-c", program, str(deps)],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    return done.stderr.strip() or "failed" if done.returncode else None


def _replace(root, deps, wanted, requirements):
    """Install the libraries and put them in the place of former ones."""
    _drop_leftovers(deps.parent)
    fresh = Path(tempfile.mkdtemp(prefix="deps.new-", dir=deps.parent))
    try:
        _install(root, fresh, requirements)
        failure = _import_failure(fresh, requirements)
        if failure is not None:
            raise BuildError(f"an installed library does not work: {failure}")
        (fresh / STAMP).write_text(wanted)
        _make_readable(fresh)
        _put_in_place(fresh, deps)
    finally:
        shutil.rmtree(fresh, ignore_errors=True)


def _install(root, folder, requirements):
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-input"]
    command += ["--disable-pip-version-check", "-c", str(root / CONSTRAINTS)]
    command += ["--target", str(folder), *requirements]
    for attempt in range(1, ATTEMPTS + 1):
        if _succeeds(command):
            return
        _say(f"installation {attempt} of {ATTEMPTS} failed")
        if attempt < ATTEMPTS:
            time.sleep(PAUSE_S)
            _empty(folder)
    message = "the libraries could not be installed"
    if not _succeeds([sys.executable, "-c", "import pip"]):
        message += "; this Python has no pip (package python3-pip)"
    raise BuildError(message)


def _succeeds(command):
    try:
        done = subprocess.run(
            command, stdin=subprocess.DEVNULL, timeout=INSTALL_LIMIT_S
        )
    except subprocess.TimeoutExpired:
        return False
    return done.returncode == 0


def _empty(folder):
    shutil.rmtree(folder)
    folder.mkdir()


def _make_readable(folder):
    """Let any user read an installation, whatever modes its files came with."""
    for path in (folder, *folder.rglob("*")):
        mode = SEARCHABLE if path.is_dir() else READABLE
        path.chmod(path.stat().st_mode | mode)


def _put_in_place(fresh, deps):
    """Give a complete installation its final name, in one step.

    Processes that run from the former one keep the files that they have open, and find
    what they import later in the new one.
    """
    if not deps.exists():
        fresh.rename(deps)
    elif not _exchange(fresh, deps):
        deps.rename(deps.with_name(f"deps.old-{os.getpid()}"))
        fresh.rename(deps)
        _drop_leftovers(deps.parent)


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
    for pattern in ("deps.new-*", "deps.old-*"):
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
    try:
        build()
    except (BuildError, OSError) as exc:
        _say(str(exc))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
