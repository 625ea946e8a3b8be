"""Which of the instances that know more is asked, in a large fleet."""

import random
from collections import Counter
from unittest import mock

from quetzalwall.clock import system_clock
from quetzalwall.process.cluster import peer_tables
from quetzalwall.process.cluster.peer_report import PeerInfo, PeerReport
from quetzalwall.process.cluster.tests.test_behind_others import (
    CHANGES,
    TABLE,
    fleet_of,
)
from quetzalwall.tests.platform_fixtures import own_address

ASKING = 98  # instances of a region of 100 that do not follow the store
KNOWING = 10
MOST_PART = 0.3  # of the questions that one instance gets


# "At scale", report 3: all instances of a region asked the same one for each change, up
# to ten times a second each, so that one instance had the work of the whole region.
def test_the_questions_of_a_region_are_spread_over_all_that_know():
    asked = Counter()

    def ask(place, table, after):
        asked[place] += 1
        return CHANGES, False

    with mock.patch.object(peer_tables, "_ask", ask):
        for n in range(ASKING):
            fleet = fleet_of([own_address(n) for n in range(KNOWING)], 7)
            fleet.own_info = fleet.own_info._replace(name=f"own-{n}")
            monotonic = system_clock().monotonic
            tables = peer_tables.create_peer_tables(
                fleet, 1, list, random.Random(n), monotonic
            )
            tables.ask(TABLE, 5)
    assert sum(asked.values()) == ASKING
    assert max(asked.values()) < MOST_PART * ASKING


# Beside it: neither a failure nor the drawing leads out of the region before it must.
def test_instances_of_the_own_region_are_asked_first_and_each_once_while_they_fail():
    own = [own_address(n) for n in range(4)]
    fleet = fleet_of(own, 7)
    other = PeerInfo("far", "south", "south-a", own_address(50))
    report = PeerReport(other, 1, 1, False, True, {TABLE: 9}, [], [], [])
    fleet.receive(report, system_clock().monotonic())
    asked = []

    def ask(place, table, after):
        asked.append(place[0])

    with mock.patch.object(peer_tables, "_ask", ask):
        tables = peer_tables.create_peer_tables(
            fleet, 1, list, None, system_clock().monotonic
        )
        for _ in range(6):
            assert tables.ask(TABLE, 5) is None
    assert sorted(asked[:4]) == sorted(own)
    assert asked[4:] == [other.host, asked[0]]
