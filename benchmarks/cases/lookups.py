"""Look-ups on one instance: processor time at 1,000 a second, and the most."""

import tempfile
import time
from pathlib import Path

import gevent

from benchmarks.processes import read_use
from benchmarks.rows import make_row, quantile
from demo.deployment import create_deployment
from quetzalwall.connection.single_attempt import OutgoingRequest, create_client

__all__ = ["run"]

TITLE = "look-ups on one instance, over kept connections"
CONCLUSION = (
    "One small HTTP request a look-up, answered from memory, with a log line and a "
    "counter each. Both sides have TCP_NODELAY set; without it the same libraries "
    "answer a few hundred a second."
)
RATE_PER_S = 1000
SECONDS = 8
CONNECTIONS = 16
ROUNDS = 3
LABEL = "whetstone"


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    shares, p99s, most, most_core = [], [], [], []
    with tempfile.TemporaryDirectory() as folder:
        deployment = create_deployment("whetstone", Path(folder))
        deployment.start()
        try:
            for _ in range(ROUNDS):
                share, latencies = _paced(deployment)
                shares.append(100 * share)
                p99s.append(1000 * quantile(latencies, 0.99))
                rate, core = _unpaced(deployment)
                most.append(rate)
                most_core.append(rate / core)
        finally:
            deployment.close()
    return [
        make_row("core at 1,000 a second", LABEL, "ours", shares, "%", "<= 30"),
        make_row("p99 at 1,000 a second", LABEL, "ours", p99s, "ms", "<= 10"),
        make_row("most a second", LABEL, "ours", most, "1/s"),
        make_row("for each core", LABEL, "ours", most_core, "1/s"),
    ]


def _paced(deployment):
    latencies = []

    def worker(offset):
        client = _client(deployment)
        began = time.monotonic() + offset
        for number in range(SECONDS * RATE_PER_S // CONNECTIONS):
            due = began + number * CONNECTIONS / RATE_PER_S
            gevent.sleep(max(0.0, due - time.monotonic()))
            start = time.monotonic()
            _lookup(client, number)
            latencies.append(time.monotonic() - start)
        client.close()

    pid = deployment.pid("north-1")
    before, start = read_use(pid), time.monotonic()
    offsets = [n / RATE_PER_S for n in range(CONNECTIONS)]
    gevent.joinall([gevent.spawn(worker, o) for o in offsets], raise_error=True)
    seconds = time.monotonic() - start
    return (read_use(pid).cpu_s - before.cpu_s) / seconds, latencies


def _unpaced(deployment):
    counts = []

    def worker():
        client = _client(deployment)
        number = 0
        until = time.monotonic() + 4
        while time.monotonic() < until:
            _lookup(client, number)
            number += 1
        counts.append(number)
        client.close()

    pid = deployment.pid("north-1")
    before, start = read_use(pid), time.monotonic()
    tasks = [gevent.spawn(worker) for _ in range(CONNECTIONS)]
    gevent.joinall(tasks, raise_error=True)
    seconds = time.monotonic() - start
    core = (read_use(pid).cpu_s - before.cpu_s) / seconds
    return sum(counts) / seconds, core


def _client(deployment):
    host, port = deployment.listen_address("north-1").split(":")
    return create_client(host, int(port), "north-1", size=1)


def _lookup(client, number):
    target = f"/lookup?service=order-desk&caller=192.0.2.{number % 250}"
    res = client.send(OutgoingRequest("GET", target, {}), 5.0)
    assert res.status_code == 200
    res.read()
