"""Start an instance as the platform does: from the deploy file, in a clean checkout."""

import functools
import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.error
import urllib.request
from contextlib import contextmanager
from pathlib import Path

from quetzalwall.tests.platform_fixtures import free_ports, own_address

ROOT = Path(__file__).resolve().parent.parent.parent
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
OLDEST_RELEASE = (3, 11)
NAMELESS_ID = 54321  # user and group without an account
SEARCHABLE_MODE = 0o755
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
START_TIMEOUT_S = 20.0  # on a busy machine


@functools.cache
def built_checkout():
    """Return a checkout in which the build command has run, once for all tests."""
    folder = tempfile.mkdtemp()
    root = Path(folder) / "a checkout"
    command = ["git", "ls-files", "-z", "--cached", "--others", "--exclude-standard"]
    files = subprocess.check_output(command, cwd=ROOT, text=True)
    for file in files.split("\0"):
        needed = file.startswith(("quetzalwall/", "deploy/")) or "/" not in file
        if needed and (ROOT / file).is_file():
            (root / file).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(ROOT / file, root / file)
    command = tomllib.loads((root / "deploy/system.toml").read_text())["build"]
    subprocess.run(["sh", "-c", command], cwd=root, env=bare_environ(), check=True)
    os.chmod(folder, SEARCHABLE_MODE)
    return root


def teardown_module():
    if built_checkout.cache_info().currsize:
        shutil.rmtree(built_checkout().parent)


def bare_environ(**more):
    """Return the variables that the platform passes on, and those of pip."""
    names = [n for n in os.environ if n.startswith("PIP_")]
    return {
        n: os.environ[n] for n in ["PATH", "HOME", *names] if n in os.environ
    } | more


def release_of(python):
    """Return the release of an interpreter, or None if it doesn't run."""
    program = "import sys; print(*sys.version_info[:2])"
    done = subprocess.run([python, "-c", program], capture_output=True, text=True)
    return tuple(map(int, done.stdout.split())) if not done.returncode else None


def interpreters():
    """Return one interpreter of each release, outside of virtual environments."""
    siblings = sorted(Path(sys.base_prefix).parent.glob("*/bin"))
    folders = [Path(sys.base_prefix) / "bin", *siblings, Path("/usr/bin")]
    found = {}
    for python in (str(folder / "python3") for folder in folders):
        release = release_of(python) if os.access(python, os.X_OK) else None
        if release is not None and release >= OLDEST_RELEASE:
            found.setdefault(release, python)
    return list(found.values())


def platform_fields(ports):
    """Return the values that the platform fills into the template of an instance."""
    addresses = [f"{own_address(0)}:{port}" for port in ports]
    return {
        "nodeName": "front-north-a-1",
        "role": "entry",
        "ip": own_address(0),
        "zone": "north-a",
        "region": "north",
        "zones": {"north-a": "north"},
        "listen": dict(
            zip(("front", "ready", "control", "directory"), addresses, strict=False)
        ),
        "portRange": [ports[4], ports[4]],
        "seeds": [addresses[2]],
        "limits": {"memoryMb": 300, "maxFds": 4100, "linkMbps": 1000.0},
        "bounds": {"grace": "1s"},
        "platform": {"address": addresses[5]},
    }


def fill_in(template, fields):
    """Fill in a template as the platform does."""

    def value(match):
        found = fields
        for name in match[1].split(".") if match[1] != "." else ():
            found = found.get(name) if isinstance(found, dict) else None
        if found is None:
            return ""
        return json.dumps(found) if match[2] else str(found)

    return PLACEHOLDER.sub(value, template.replace("{{.|json}}", json.dumps(fields)))


@contextmanager
def instance(root, python, preexec=None, change=lambda fields: None):
    """Run the role of the deploy file.

    ``preexec`` is called in the child process before the start, ``change`` with the
    fields of the template. Yields the process, the URL of its health, and its output.
    """
    role = tomllib.loads((root / "deploy/system.toml").read_text())["roles"]["entry"]
    ports = free_ports(6)
    fields = platform_fields(ports)
    change(fields)
    text = fill_in((root / role["template"]).read_text(), fields)
    path = str(root / "target/deps")  # on PYTHONPATH on the platform
    with tempfile.NamedTemporaryFile("w") as file, tempfile.TemporaryFile() as output:
        file.write(text)
        file.flush()
        os.chmod(file.name, 0o644)
        process = subprocess.Popen(
            [python, *role["run"].split()[1:]],
            cwd=root,
            env=bare_environ(
                QUETZALWALL_NODE_FILE=file.name, HOME="/nowhere", PYTHONPATH=path
            ),
            stdout=output,
            stderr=output,
            preexec_fn=preexec,
        )
        try:
            yield process, f"http://{own_address(0)}:{ports[1]}/health", output
        finally:
            process.kill()
            process.wait()


def wait_for_response(url, process, output):
    """Return whether an instance responds, or False if it ends or times out first."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline and process.poll() is None:
        try:
            return urllib.request.urlopen(url, timeout=1).status == 200
        except urllib.error.HTTPError:
            return True
        except OSError:
            time.sleep(0.05)
    output.seek(0)
    print(output.read().decode())
    return False


def become_nameless_user():
    if os.geteuid() == 0:
        os.setgroups([])
        os.setgid(NAMELESS_ID)
        os.setuid(NAMELESS_ID)


# An instance did not start with another Python than the one that had run the build.
def test_each_python_starts_from_one_build():
    found = interpreters()
    assert found
    for python in found:
        with instance(built_checkout(), python) as (process, health, output):
            assert wait_for_response(health, process, output), python
            process.terminate()
            assert process.wait(START_TIMEOUT_S) == 0, python


# An instance did not start as a user without a name, who owns nothing and can't write:
# each start looked up the name of the user.
def test_instance_starts_as_a_user_without_a_name():
    python = "/usr/bin/python3"  # others may be in a home folder closed to this user
    if not os.access(python, os.X_OK) or (release_of(python) or ()) < OLDEST_RELEASE:
        python = interpreters()[0]
    root = built_checkout()
    with instance(root, python, become_nameless_user) as (process, health, output):
        assert wait_for_response(health, process, output)
        process.terminate()
        assert process.wait(START_TIMEOUT_S) == 0


# An instance did not start when the platform had no value for an optional field.
def test_instance_starts_without_optional_fields():
    def change(fields):
        for name in ("zones", "seeds", "limits", "bounds", "role"):
            del fields[name]

    root = built_checkout()
    with instance(root, interpreters()[0], change=change) as (process, health, output):
        assert wait_for_response(health, process, output)


# An instance did not start when the value of an optional field was malformed.
def test_instance_starts_with_malformed_optional_fields():
    def change(fields):
        fields["bounds"] = ["grace=6s", "coldSlack=much", "drain"]
        fields["limits"] = {"memoryMb": "plenty", "maxFds": 0, "linkMbps": None}
        fields["seeds"] = ["front-north-a-2"]

    root = built_checkout()
    with instance(root, interpreters()[0], change=change) as (process, health, output):
        assert wait_for_response(health, process, output)
        process.terminate()  # the log is complete only after the end
        assert process.wait(START_TIMEOUT_S) == 0
        output.seek(0)
        log = output.read().decode()
    for path in ("/bounds/coldSlack", "/memory_mb", "/connections", "/seeds/0"):
        assert f"path={path}" in log, log
