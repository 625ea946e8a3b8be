"""Processor time of an idle instance, by the size of the deployment."""

import time

from quetzalwall.platform.headers import parse_response
from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo, PeerReport
from quetzalwall.process.cluster.store_readers import follows_store, peers_ahead
from quetzalwall.tests.platform_fixtures import DOMAINS, ManualClock
from quetzalwall.version.model import EndpointEntry

SMALL, LARGE = 30, 300  # instances, with ten endpoints each
TABLES = {"op": 1, "servers": 9}
DURATION_S = 30
TICKS_PER_S = 10
REPETITIONS = 8  # the fastest run of each size counts
MAX_GROWTH = 3.0  # of the processor time, with ten times as many instances


def create_idle_fleet(instances, clock):
    endpoints = create_endpoint_table(DOMAINS, parse_response, clock.monotonic)
    for n in range(10 * instances):
        address = f"10.0.{n // 250}.{n % 250}", 8000
        fields = "north-a", 6, False, 0.0, 0
        endpoints.put(EndpointEntry(f"ep-{n}", "desk", *address, *fields))
    info = PeerInfo("front-0", "north", "north-a", "127.0.0.1")
    fleet = create_fleet(info, 1, endpoints, clock.monotonic, 7)
    fleet.table_versions = dict(TABLES)
    return fleet


def receive_reports(fleet, instances, now, sequence):
    for n in range(1, instances):
        info = PeerInfo(f"front-{n}", ("north", "south")[n % 2], "a", "127.0.0.1")
        report = PeerReport(info, n, sequence, False, True, TABLES, [], [], [])
        fleet.receive(report, now)


def idle_cpu_s(instances):
    """Return the processor time that an instance takes in 30 s without requests."""
    clock, cpu_s = ManualClock(), 0.0
    fleet = create_idle_fleet(instances, clock)
    for step in range(DURATION_S * TICKS_PER_S):
        clock.now += 1 / TICKS_PER_S
        if step % TICKS_PER_S == 0:
            receive_reports(fleet, instances, clock.now, step)
        started = time.process_time()
        fleet.check_timeouts(clock.now)
        fleet.due_reports(clock.now)
        for table in TABLES:
            follows_store(fleet) or peers_ahead(fleet, table)
        cpu_s += time.process_time() - started
    return cpu_s


# Ten times a second each instance iterated over all others and, for each report, over
# all endpoints, so that a large simulated deployment was too slow (incident report 3).
def test_idle_work_hardly_grows_with_the_deployment():
    # In turns, since other processes that use the caches slow the large one down more.
    runs = [(idle_cpu_s(SMALL), idle_cpu_s(LARGE)) for _ in range(REPETITIONS)]
    small_s, large_s = (min(times_s) for times_s in zip(*runs, strict=True))
    assert large_s < MAX_GROWTH * small_s
