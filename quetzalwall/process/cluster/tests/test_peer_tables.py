"""Which instance is asked for a newer table in a large fleet."""

import random
from collections import Counter
from unittest import mock

from quetzalwall.clock import system_clock
from quetzalwall.process.cluster import peer_tables
from quetzalwall.process.cluster.peer_report import PeerInfo, PeerReport
from quetzalwall.process.cluster.tests.test_store_watch import (
    CHANGES,
    TABLE,
    create_fleet_with_peers,
)
from quetzalwall.tests.platform_fixtures import own_address

ASKING_INSTANCES = 98  # of a region of 100, those that do not follow the store
INSTANCES_AHEAD = 10
MAX_FRACTION = 0.3  # of the requests that a single instance gets


# All instances of a region asked the same one for each change, up to ten times a second
# each, so that one instance served the whole region (incident report 3, at scale).
def test_requests_of_a_region_are_spread_over_all_instances_ahead():
    asked = Counter()

    def request_table(address, table, after):
        asked[address] += 1
        return CHANGES, False

    with mock.patch.object(peer_tables, "_request_table", request_table):
        for n in range(ASKING_INSTANCES):
            fleet = create_fleet_with_peers(
                [own_address(n) for n in range(INSTANCES_AHEAD)], 7
            )
            fleet.own_info = fleet.own_info._replace(name=f"own-{n}")
            monotonic = system_clock().monotonic
            tables = peer_tables.create_peer_tables(
                fleet, 1, list, random.Random(n), monotonic
            )
            tables.fetch(TABLE, 5)
    assert sum(asked.values()) == ASKING_INSTANCES
    assert max(asked.values()) < MAX_FRACTION * ASKING_INSTANCES


# Neither failures nor the spreading may lead to another region while an instance of the
# own region has not been asked.
def test_instances_of_own_region_are_asked_first_and_each_once_while_they_fail():
    own_region = [own_address(n) for n in range(4)]
    fleet = create_fleet_with_peers(own_region, 7)
    other = PeerInfo("far", "south", "south-a", own_address(50))
    report = PeerReport(other, 1, 1, False, True, {TABLE: 9}, [], [], [])
    fleet.receive(report, system_clock().monotonic())
    asked = []

    def request_table(address, table, after):
        asked.append(address[0])

    with mock.patch.object(peer_tables, "_request_table", request_table):
        tables = peer_tables.create_peer_tables(
            fleet, 1, list, None, system_clock().monotonic
        )
        for _ in range(6):
            assert tables.fetch(TABLE, 5) is None
    assert sorted(asked[:4]) == sorted(own_region)
    assert asked[4:] == [other.host, asked[0]]
