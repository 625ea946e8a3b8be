"""Install the libraries of the instances into ``target/deps``.

The folder is there only as a whole: libraries are installed beside it, imported once
for a check, and then moved in its place. Builds in one checkout wait for each other.
Only the standard library is used, and Python 3.11 or later is needed.
"""

import fcntl
import os
import platform
import re
import shutil
import subprocess
import sys
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
    os.umask(0o022)  # the instances may run as another user
    target = root / "target"
    target.mkdir(exist_ok=True)
    requirements = read_requirements(root)
    wanted = _fingerprint(root, requirements)
    with _only_build(target):
        reason = _reason_to_install(target / "deps", wanted, requirements)
        if reason is None:
            _say("the installation is complete")
            return
        _say(f"installing: {reason}")
        _drop_leftovers(target)
        fresh = Path(tempfile.mkdtemp(prefix="deps.new-", dir=target))
        fresh.chmod(0o755)
        try:
            _install(root, fresh, requirements)
            failure = _import_failure(fresh, requirements)
            if failure is not None:
                raise BuildError(f"an installed library does not work: {failure}")
            (fresh / STAMP).write_text(wanted)
            _put_in_place(fresh, target / "deps")
        finally:
            shutil.rmtree(fresh, ignore_errors=True)


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
    """Return a text that differs whenever the libraries have to be others."""
    lines = [sys.version, sys.platform, *requirements]
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
        [sys.executable, "-c", program, str(deps)],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    return done.stderr.strip() or "failed" if done.returncode else None


def _install(root, folder, requirements):
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-input"]
    command += ["--disable-pip-version-check", "-c", str(root / CONSTRAINTS)]
    command += ["--target", str(folder), *requirements]
    for attempt in range(1, ATTEMPTS + 1):
        if subprocess.run(command, stdin=subprocess.DEVNULL).returncode == 0:
            return
        _say(f"installation {attempt} of {ATTEMPTS} failed")
        if attempt < ATTEMPTS:
            time.sleep(PAUSE_S)
            _empty(folder)
    raise BuildError("the libraries could not be installed; is there pip?")


def _empty(folder):
    shutil.rmtree(folder)
    folder.mkdir()


def _put_in_place(fresh, deps):
    """Rename a complete installation to its final name."""
    if deps.exists():
        # Processes that run from the former one keep the files that they have open.
        deps.rename(deps.with_name(f"deps.old-{os.getpid()}"))
    fresh.rename(deps)
    _drop_leftovers(deps.parent)


def _drop_leftovers(target):
    """Remove what builds that were interrupted left, and a replaced installation."""
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
