"""Look-ups on one instance: CPU time at 1,000 a second, and the maximum rate."""

import tempfile
import time
from pathlib import Path

import gevent

from benchmarks.process_usage import read_usage
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
PACED_RATE_PER_S = 1000
PACED_DURATION_S = 8
CONNECTION_COUNT = 16
ROUND_COUNT = 3
EXAMPLE = "whetstone"


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    core_percents, p99s_ms, max_rates, rates_per_core = [], [], [], []
    with tempfile.TemporaryDirectory() as folder:
        deployment = create_deployment("whetstone", Path(folder))
        deployment.start()
        try:
            for _ in range(ROUND_COUNT):
                core_fraction, latencies = _run_paced(deployment)
                core_percents.append(100 * core_fraction)
                p99s_ms.append(1000 * quantile(latencies, 0.99))
                rate, cores = _run_unpaced(deployment)
                max_rates.append(rate)
                rates_per_core.append(rate / cores)
        finally:
            deployment.close()
    return [
        make_row(
            "core at 1,000 a second", EXAMPLE, "ours", core_percents, "%", "<= 30"
        ),
        make_row("p99 at 1,000 a second", EXAMPLE, "ours", p99s_ms, "ms", "<= 10"),
        make_row("most a second", EXAMPLE, "ours", max_rates, "1/s"),
        make_row("for each core", EXAMPLE, "ours", rates_per_core, "1/s"),
    ]


def _run_paced(deployment):
    """Return the fraction of a core used and the latencies at a fixed rate."""
    latencies = []

    def worker(offset):
        client = _connect(deployment)
        first_due = time.monotonic() + offset
        for number in range(PACED_DURATION_S * PACED_RATE_PER_S // CONNECTION_COUNT):
            due = first_due + number * CONNECTION_COUNT / PACED_RATE_PER_S
            gevent.sleep(max(0.0, due - time.monotonic()))
            sent_at = time.monotonic()
            _lookup(client, number)
            latencies.append(time.monotonic() - sent_at)
        client.close()

    pid = deployment.pid("north-1")
    before, started_at = read_usage(pid), time.monotonic()
    offsets = [n / PACED_RATE_PER_S for n in range(CONNECTION_COUNT)]
    gevent.joinall([gevent.spawn(worker, o) for o in offsets], raise_error=True)
    seconds = time.monotonic() - started_at
    return (read_usage(pid).cpu_s - before.cpu_s) / seconds, latencies


def _run_unpaced(deployment):
    """Return the maximum rate and the fraction of a core used."""
    counts = []

    def worker():
        client = _connect(deployment)
        number = 0
        end = time.monotonic() + 4
        while time.monotonic() < end:
            _lookup(client, number)
            number += 1
        counts.append(number)
        client.close()

    pid = deployment.pid("north-1")
    before, started_at = read_usage(pid), time.monotonic()
    tasks = [gevent.spawn(worker) for _ in range(CONNECTION_COUNT)]
    gevent.joinall(tasks, raise_error=True)
    seconds = time.monotonic() - started_at
    cores = (read_usage(pid).cpu_s - before.cpu_s) / seconds
    return sum(counts) / seconds, cores


def _connect(deployment):
    host, port = deployment.listen_address("north-1").split(":")
    return create_client(host, int(port), "north-1", size=1)


def _lookup(client, number):
    target = f"/lookup?service=order-desk&caller=192.0.2.{number % 250}"
    res = client.send(OutgoingRequest("GET", target, {}), 5.0)
    assert res.status_code == 200
    res.read()
