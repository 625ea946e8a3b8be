"""Control's cost on idle instances, by number of instances."""

import json
import tempfile
import time
from pathlib import Path

from benchmarks.processes import read_use
from benchmarks.rows import make_row
from demo.deployment import create_deployment
from quetzalwall.platform.store import create_store_client
from quetzalwall.process.storage.store_table import create_store_table

__all__ = ["run"]

TITLE = "control on idle instances: processor, memory, bytes, by number of instances"
CONCLUSION = (
    "Each instance reports to all others, within fixed rates: what an instance sends "
    "grows until these are reached, and what it knows grows with the instances."
)
SIZES = (7, 25, 50)
REGIONS = 5
SETTLE_S = 12.0
SECONDS = 10.0
FIRST_ADDRESS = 11
STORE = "127.0.3.2:7000"
PORTS = {
    "callers": 7100,
    "health": 7101,
    "peers": 7102,
    "lookup": 7103,
    "metrics": 7104,
}


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
            bytes_before, calls_before = _loopback_bytes(), _calls(deployment)
            time.sleep(SECONDS)
            after = {name: read_use(deployment.pid(name)) for name in names}
            bytes_after, calls_after = _loopback_bytes(), _calls(deployment)
            started_s = _spread_s(deployment, names)
        finally:
            deployment.close()
    cores = [100 * (after[name].cpu_s - before[name].cpu_s) / SECONDS for name in names]
    memory = [use.memory_mb for use in after.values()]
    # Every byte on loopback is sent once and received once.
    sent = (bytes_after - bytes_before) / SECONDS / size / 1024
    reads = (calls_after - calls_before) / SECONDS
    label = f"{size} instances"
    return [
        make_row("core of an idle instance", label, "ours", cores, "%", "<= 1.1"),
        make_row("memory of an idle instance", label, "ours", memory, "MB"),
        make_row("bytes sent by an instance", label, "ours", [sent], "KB/s", "<= 12"),
        make_row("calls of the store, all instances", label, "ours", [reads], "1/s"),
        make_row(
            "a change in force everywhere", label, "ours", [started_s], "s", "<= 3"
        ),
    ]


def _write_example(folder, size):
    """Write settings for some number of instances; return the folder."""
    regions = [f"r{n}" for n in range(REGIONS)]
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
        },
        "desk": {"services": {"desk": {"endpoints": endpoints, "routes": [route]}}},
    }
    (folder / "tree.json").write_text(json.dumps(tree))
    for number in range(size):
        body = _instance(number, regions)
        (folder / f"{body['instance']}.json").write_text(json.dumps(body))
    return folder


def _instance(number, regions):
    """Return the settings of one instance."""
    region = regions[number % REGIONS]
    address = f"127.0.3.{FIRST_ADDRESS + number}"
    return {
        "instance": f"i{number:03d}",
        "address": address,
        "region": region,
        "domain": f"{region}-{'ab'[number // REGIONS % 2]}",
        "domains": {},
        "listen": {part: f"{address}:{port}" for part, port in PORTS.items()},
        "peer_ports": [7110, 7110],
        "seeds": [f"127.0.3.{FIRST_ADDRESS + n}:{PORTS['peers']}" for n in range(3)],
        "store": STORE,
        "configuration": "tree",
    }


def _spread_s(deployment, names):
    """Return the seconds until an accepted change is in force on all instances."""
    began = time.monotonic()
    _accept_change(deployment)
    late = set(names)
    while late and time.monotonic() < began + 30:
        for name in sorted(late):
            place = deployment.listen_address(name)
            status = deployment.call(place, "GET", "/status").body
            if status["version_in_force"] < 2:
                break
            late.discard(name)
    return time.monotonic() - began if not late else float("inf")


def _accept_change(deployment):
    """Accept a second version straight in the store, as an instance does."""
    network = json.loads(json.dumps(deployment.tree["network"]))
    network["lookup"] = {"ttl_s": 3.0}
    head = {"version": 2, "teams": {"network": 2, "desk": 1}, "token": "t"}
    host, port = STORE.split(":")
    store = create_store_client(host, int(port))
    writes = {"config/team/network": network, "config/head": head}
    result = create_store_table(store).transact({}, writes)
    store.close()
    assert result.committed


def _calls(deployment):
    return deployment.call(deployment.store, "GET", "/counts").body["calls"]


def _loopback_bytes():
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, fields = line.partition(":")
        if name.strip() == "lo":
            return int(fields.split()[0])
    raise AssertionError("no loopback interface")
