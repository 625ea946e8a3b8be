"""What an instance does all the time, by the size of the deployment."""

import time

from quetzalwall.platform.headers import parse_response
from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo, PeerReport
from quetzalwall.process.cluster.store_readers import ahead_of, follows_store
from quetzalwall.tests.platform_fixtures import DOMAINS, ManualClock
from quetzalwall.version.model import EndpointEntry

SMALL, LARGE = 30, 300  # instances, with ten endpoints each
TABLES = {"op": 1, "servers": 9}
SPAN_S = 30
PER_S = 10
PLAYS = 3  # the quickest of them counts
MOST_GROWTH = 3.0  # of the processor time, at ten times the size


def fleet_of(instances, clock):
    endpoints = create_endpoint_table(DOMAINS, parse_response, clock.monotonic)
    for n in range(10 * instances):
        place = f"10.0.{n // 250}.{n % 250}", 8000
        fields = "north-a", 6, False, 0.0, 0
        endpoints.put(EndpointEntry(f"ep-{n}", "desk", *place, *fields))
    info = PeerInfo("front-0", "north", "north-a", "127.0.0.1")
    fleet = create_fleet(info, 1, endpoints, clock.monotonic, 7)
    fleet.tables = dict(TABLES)
    return fleet


def hear(fleet, instances, now, sequence):
    for n in range(1, instances):
        info = PeerInfo(f"front-{n}", ("north", "south")[n % 2], "a", "127.0.0.1")
        report = PeerReport(info, n, sequence, False, True, TABLES, [], [], [])
        fleet.receive(report, now)


def work_s(instances):
    """Return the processor time of an instance in half a minute without requests."""
    took = []
    for _ in range(PLAYS):
        clock, spent = ManualClock(), 0.0
        fleet = fleet_of(instances, clock)
        for step in range(SPAN_S * PER_S):
            clock.now += 1 / PER_S
            if step % PER_S == 0:
                hear(fleet, instances, clock.now, step)
            began = time.process_time()
            fleet.expire(clock.now)
            fleet.due_reports(clock.now)
            for table in TABLES:
                follows_store(fleet) or ahead_of(fleet, table)
            spent += time.process_time() - began
        took.append(spent)
    return min(took)


# "The day takes too long to play", report 3, at scale: ten times a second each instance
# went through all others and, for each report, through all endpoints.
def test_what_an_instance_does_all_the_time_hardly_grows_with_the_deployment():
    assert work_s(LARGE) < MOST_GROWTH * work_s(SMALL)
