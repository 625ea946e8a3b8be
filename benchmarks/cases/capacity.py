"""Cost of the control plane on idle instances, by number of instances."""

import json
import tempfile
import time
from pathlib import Path

from benchmarks.process_usage import read_usage
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
INSTANCE_COUNTS = (7, 25, 50)
REGION_COUNT = 5
SETTLE_S = 12.0
MEASURED_S = 10.0
FIRST_HOST_NUMBER = 11  # last byte of the first IP address
STORE_ADDRESS = "127.0.3.2:7000"
LISTEN_PORTS = {
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
    for count in INSTANCE_COUNTS:
        rows += _measure(count)
    return rows


def _measure(count):
    with tempfile.TemporaryDirectory() as folder:
        deployment = create_deployment(
            _write_example(Path(folder), count), Path(folder)
        )
        try:
            deployment.start()
            time.sleep(SETTLE_S)
            names = list(deployment.instances)
            before = {name: read_usage(deployment.pid(name)) for name in names}
            bytes_before, calls_before = _loopback_bytes(), _store_calls(deployment)
            time.sleep(MEASURED_S)
            after = {name: read_usage(deployment.pid(name)) for name in names}
            bytes_after, calls_after = _loopback_bytes(), _store_calls(deployment)
            propagation_s = _propagation_s(deployment, names)
        finally:
            deployment.close()
    core_percents = [
        100 * (after[name].cpu_s - before[name].cpu_s) / MEASURED_S for name in names
    ]
    memory_mb = [usage.memory_mb for usage in after.values()]
    # Loopback receives each sent byte once, so received bytes are the bytes sent.
    sent_kb_per_s = (bytes_after - bytes_before) / MEASURED_S / count / 1024
    calls_per_s = (calls_after - calls_before) / MEASURED_S
    label = f"{count} instances"
    return [
        make_row(
            "core of an idle instance", label, "ours", core_percents, "%", "<= 1.1"
        ),
        make_row("memory of an idle instance", label, "ours", memory_mb, "MB"),
        make_row(
            "bytes sent by an instance", label, "ours", [sent_kb_per_s], "KB/s", "<= 12"
        ),
        make_row(
            "calls of the store, all instances", label, "ours", [calls_per_s], "1/s"
        ),
        make_row(
            "a change in force everywhere", label, "ours", [propagation_s], "s", "<= 3"
        ),
    ]


def _write_example(folder, count):
    """Write the settings tree and the settings of each instance; return the folder."""
    regions = [f"r{n}" for n in range(REGION_COUNT)]
    endpoints = {
        f"e{n:03d}": {
            "address": f"127.0.4.{FIRST_HOST_NUMBER + n}",
            "port": 7200,
            "region": regions[n % REGION_COUNT],
            "domain": f"{regions[n % REGION_COUNT]}-a",
            "slots": 10,
        }
        for n in range(count)
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
    for number in range(count):
        body = _instance_settings(number, regions)
        (folder / f"{body['instance']}.json").write_text(json.dumps(body))
    return folder


def _instance_settings(number, regions):
    """Return the settings of one instance."""
    region = regions[number % REGION_COUNT]
    address = f"127.0.3.{FIRST_HOST_NUMBER + number}"
    return {
        "instance": f"i{number:03d}",
        "address": address,
        "region": region,
        "domain": f"{region}-{'ab'[number // REGION_COUNT % 2]}",
        "domains": {},
        "listen": {name: f"{address}:{port}" for name, port in LISTEN_PORTS.items()},
        "peer_ports": [7110, 7110],
        "seeds": [
            f"127.0.3.{FIRST_HOST_NUMBER + n}:{LISTEN_PORTS['peers']}" for n in range(3)
        ],
        "store": STORE_ADDRESS,
        "configuration": "tree",
    }


def _propagation_s(deployment, names):
    """Return the seconds until an accepted change is active on all instances."""
    started_at = time.monotonic()
    _accept_change(deployment)
    pending = set(names)
    while pending and time.monotonic() < started_at + 30:
        for name in sorted(pending):
            address = deployment.listen_address(name)
            status = deployment.call(address, "GET", "/status").body
            if status["version_in_force"] < 2:
                break
            pending.discard(name)
    return time.monotonic() - started_at if not pending else float("inf")


def _accept_change(deployment):
    """Write a second, accepted version directly to the store, as an instance would."""
    network = json.loads(json.dumps(deployment.tree["network"]))
    network["lookup"] = {"ttl_s": 3.0}
    head = {"version": 2, "teams": {"network": 2, "desk": 1}, "token": "t"}
    host, port = STORE_ADDRESS.split(":")
    store = create_store_client(host, int(port))
    writes = {"config/team/network": network, "config/head": head}
    result = create_store_table(store).transact({}, writes)
    store.close()
    assert result.committed


def _store_calls(deployment):
    return deployment.call(deployment.store, "GET", "/counts").body["calls"]


def _loopback_bytes():
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, fields = line.partition(":")
        if name.strip() == "lo":
            return int(fields.split()[0])
    raise AssertionError("no loopback interface")
