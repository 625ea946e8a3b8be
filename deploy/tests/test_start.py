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
OLDEST = (3, 11)
UNNAMED = 54321  # user and group that no account has
SEARCHABLE = 0o755
KEPT = ("PATH", "HOME", "LANG")
STARTED_S = 20.0  # on a busy machine


@functools.cache
def built_checkout():
    """A clean checkout in which the deploy file's build has run, for all tests."""
    folder = tempfile.mkdtemp()
    root = Path(folder) / "a checkout"
    command = ["git", "ls-files", "-z", "--cached", "--others", "--exclude-standard"]
    files = subprocess.check_output(command, cwd=ROOT, text=True)
    for file in files.split("\0"):
        wanted = file.startswith(("quetzalwall/", "deploy/")) or "/" not in file
        if wanted and (ROOT / file).is_file():
            (root / file).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(ROOT / file, root / file)
    command = tomllib.loads((root / "deploy/system.toml").read_text())["build"]
    subprocess.run(["sh", "-c", command], cwd=root, env=bare_environ(), check=True)
    os.chmod(folder, SEARCHABLE)
    return root


def teardown_module():
    if built_checkout.cache_info().currsize:
        shutil.rmtree(built_checkout().parent)


def bare_environ(**more):
    """The variables that the platform hands on, and those of the package registry."""
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
    """Interpreters of this machine, no virtual environments', one of each release."""
    siblings = sorted(Path(sys.base_prefix).parent.glob("*/bin"))
    places = [Path(sys.base_prefix) / "bin", *siblings, Path("/usr/bin")]
    found = {}
    for python in (str(place / "python3") for place in places):
        release = release_of(python) if os.access(python, os.X_OK) else None
        if release is not None and release >= OLDEST:
            found.setdefault(release, python)
    return list(found.values())


def platform_fields(ports):
    """The fields that the platform has for an instance."""
    place = [f"{own_address(0)}:{port}" for port in ports]
    return {
        "nodeName": "front-north-a-1",
        "role": "entry",
        "ip": own_address(0),
        "zone": "north-a",
        "region": "north",
        "zones": {"north-a": "north"},
        "listen": dict(
            zip(("front", "ready", "control", "directory"), place, strict=False)
        ),
        "portRange": [ports[4], ports[4]],
        "seeds": [place[2]],
        "limits": {"memoryMb": 300, "maxFds": 4100, "linkMbps": 1000.0},
        "bounds": {"grace": "1s"},
        "platform": {"address": place[5]},
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
def instance(root, python, drop=None, change=lambda fields: None):
    """Run the deploy file's role; yields the process and the address of its health."""
    role = tomllib.loads((root / "deploy/system.toml").read_text())["roles"]["entry"]
    ports = free_ports(6)
    fields = platform_fields(ports)
    change(fields)
    text = fill_in((root / role["template"]).read_text(), fields)
    path = str(root / "target/deps")  # is on Python's path on the platform
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
            preexec_fn=drop,
        )
        try:
            yield process, f"http://{own_address(0)}:{ports[1]}/health", output
        finally:
            process.kill()
            process.wait()


def answers(address, process, output):
    """Return whether an instance answers, as soon as it does or has ended."""
    end = time.monotonic() + STARTED_S
    while time.monotonic() < end and process.poll() is None:
        try:
            return urllib.request.urlopen(address, timeout=1).status == 200
        except urllib.error.HTTPError:
            return True
        except OSError:
            time.sleep(0.05)
    output.seek(0)
    print(output.read().decode())
    return False


def become_unnamed():
    if os.geteuid() == 0:
        os.setgroups([])
        os.setgid(UNNAMED)
        os.setuid(UNNAMED)


# "The system did not start from its deploy file": built by one Python, run by another.
def test_each_python_starts_from_one_build():
    found = interpreters()
    assert found
    for python in found:
        with instance(built_checkout(), python) as (process, health, output):
            assert answers(health, process, output), python
            process.terminate()
            assert process.wait(STARTED_S) == 0, python


# The same failure where the instances run as a user who has no name, owns nothing and
# can't write: each start asked for the user's name.
def test_a_user_without_a_name_starts_from_the_build():
    python = "/usr/bin/python3"  # a home folder may be closed to this user
    if not os.access(python, os.X_OK) or (release_of(python) or ()) < OLDEST:
        python = interpreters()[0]
    root = built_checkout()
    with instance(root, python, become_unnamed) as (process, health, output):
        assert answers(health, process, output)
        process.terminate()
        assert process.wait(STARTED_S) == 0


# The same failure where the platform has no value for what an instance can do without.
def test_an_instance_starts_without_what_it_can_do_without():
    def change(fields):
        for name in ("zones", "seeds", "limits", "bounds", "role"):
            del fields[name]

    root = built_checkout()
    with instance(root, interpreters()[0], change=change) as (process, health, output):
        assert answers(health, process, output)


# The same failure where a value has a form that is not known.
def test_an_instance_starts_with_values_that_it_can_not_read():
    def change(fields):
        fields["bounds"] = ["grace=6s", "coldSlack=much", "drain"]
        fields["limits"] = {"memoryMb": "plenty", "maxFds": 0, "linkMbps": None}
        fields["seeds"] = ["front-north-a-2"]

    root = built_checkout()
    with instance(root, interpreters()[0], change=change) as (process, health, output):
        assert answers(health, process, output)
        process.terminate()  # lines of the log wait for one another until the end
        assert process.wait(STARTED_S) == 0
        output.seek(0)
        said = output.read().decode()
    for path in ("/bounds/coldSlack", "/memory_mb", "/connections", "/seeds/0"):
        assert f"path={path}" in said, said
