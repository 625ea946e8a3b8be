"""Control's cost on idle instances, by number of instances."""

import json
import tempfile
import time
from pathlib import Path

from benchmarks.processes import read_use
from benchmarks.rows import make_row
from demo.deployment import create_deployment

__all__ = ["run"]

TITLE = "control on idle instances: processor, memory, bytes, by number of instances"
CONCLUSION = (
    "Heartbeats go to a fixed number of neighbours, so the cost of an instance should "
    "not follow the number of instances; what grows is the configuration that names "
    "them all."
)
SIZES = (7, 25, 50, 100)
REGIONS = 5
SETTLE_S = 12.0
SECONDS = 10.0
FIRST_ADDRESS = 11


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    rows = []
    for size in SIZES:
        rows += _measure(size)
    return rows


def _measure(size):
    with tempfile.TemporaryDirectory() as folder:
        deployment = create_deployment(_write_example(Path(folder), size), Path(folder))
        try:
            deployment.start()
            time.sleep(SETTLE_S)
            names = list(deployment.instances)
            before = {name: read_use(deployment.pid(name)) for name in names}
            bytes_before, counts_before = _loopback_bytes(), _counts(deployment)
            time.sleep(SECONDS)
            after = {name: read_use(deployment.pid(name)) for name in names}
            bytes_after, counts_after = _loopback_bytes(), _counts(deployment)
            started_s = _spread_s(deployment, names)
        finally:
            deployment.close()
    cores = [100 * (after[name].cpu_s - before[name].cpu_s) / SECONDS for name in names]
    memory = [use.memory_mb for use in after.values()]
    # Every byte on loopback is sent once and received once.
    sent = (bytes_after - bytes_before) / SECONDS / size / 1024
    reads = (sum(counts_after.values()) - sum(counts_before.values())) / SECONDS
    label = f"{size} instances"
    return [
        make_row("core of an idle instance", label, "ours", cores, "%", "<= 1.1"),
        make_row("memory of an idle instance", label, "ours", memory, "MB"),
        make_row("bytes sent by an instance", label, "ours", [sent], "KB/s", "<= 12"),
        make_row("calls of the table, all instances", label, "ours", [reads], "1/s"),
        make_row(
            "a change in force everywhere", label, "ours", [started_s], "s", "<= 3"
        ),
    ]


def _write_example(folder, size):
    """Write settings for some number of instances; return the folder."""
    regions = [f"r{n}" for n in range(REGIONS)]
    instances = {}
    for number in range(size):
        region = regions[number % REGIONS]
        instances[f"i{number:03d}"] = {
            "address": f"127.0.3.{FIRST_ADDRESS + number}",
            "port": 7100,
            "region": region,
            "domain": f"{region}-{'ab'[number // REGIONS % 2]}",
        }
    endpoints = {
        f"e{n:03d}": {
            "address": f"127.0.4.{FIRST_ADDRESS + n}",
            "port": 7200,
            "region": regions[n % REGIONS],
            "domain": f"{regions[n % REGIONS]}-a",
            "slots": 10,
        }
        for n in range(size)
    }
    route = {"prefix": "/status", "class": "status", "idempotent": True}
    tree = {
        "network": {
            "regions": {r: {"domains": [f"{r}-a", f"{r}-b"]} for r in regions},
            "classes": {"status": {"rank": 0, "max_duration_s": 1.0}},
            "instances": instances,
        },
        "desk": {"services": {"desk": {"endpoints": endpoints, "routes": [route]}}},
    }
    (folder / "tree.json").write_text(json.dumps(tree))
    seeds = [f"{s['address']}:{s['port']}" for s in instances.values()]
    places = dict.fromkeys(("table", "objects", "listing"), "127.0.3.2:7000")
    for name, spec in instances.items():
        own = f"{spec['address']}:{spec['port']}"
        settings = {"instance": name, **spec, "platform": places}
        settings["seeds"] = [seed for seed in seeds if seed != own][:3]
        settings["log_level"] = "WARNING"
        (folder / f"{name}.json").write_text(json.dumps(settings))
    return folder


def _spread_s(deployment, names):
    """Return the seconds until an accepted change is in force on all instances."""
    began = time.monotonic()
    _accept_change(deployment)
    late = set(names)
    while late and time.monotonic() < began + 30:
        for name in sorted(late):
            place = deployment.place(name)
            status = deployment.call(place, "GET", "/status").body
            if status["version_in_force"] < 2:
                break
            late.discard(name)
    return time.monotonic() - began if not late else float("inf")


def _accept_change(deployment):
    """Accept a second version straight in the table, as an entry instance does."""
    tree = json.loads(json.dumps(deployment.tree))
    tree["network"]["lookup"] = {"ttl_s": 3.0}
    head = {"version": 2, "teams": {"network": 2, "desk": 1}, "token": "t"}
    body = {
        "checks": {"config/head": 1},
        "writes": {"config/head": head, "config/team/network": tree["network"]},
    }
    answer = deployment.call(deployment.platform, "POST", "/table/txn", body)
    assert answer.status == 200, answer


def _counts(deployment):
    return deployment.call(deployment.platform, "GET", "/counts").body


def _loopback_bytes():
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, fields = line.partition(":")
        if name.strip() == "lo":
            return int(fields.split()[0])
    raise AssertionError("no loopback interface")
