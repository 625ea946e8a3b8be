"""Which instance is asked for a newer table in a large fleet."""

import random
from collections import Counter
from unittest import mock

import msgspec

from quetzalwall.clock import system_clock
from quetzalwall.connection.compression import ACCEPTED, CODING, compress, decompress
from quetzalwall.connection.json_client import create_json_client
from quetzalwall.process.cluster import peer_tables
from quetzalwall.process.cluster.peer_report import PeerInfo, PeerReport
from quetzalwall.process.cluster.tests.test_store_watch import (
    CHANGES,
    TABLE,
    create_fleet_with_peers,
)
from quetzalwall.tests.platform_fixtures import (
    call,
    config_body,
    own_address,
    route_row,
    running_site,
    wait_for,
)

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


# CONFIG: on links of 5 Mbit/s the fetches of a configuration of 1,400 routes by all
# instances of a region timed out, so that it was active later than its bound.
def test_a_large_table_is_compressed_for_other_instances():
    with running_site(endpoints=1) as site:
        front = site.fronts[0]
        rows = [route_row(f"r{n}", f"/{n * 7919:x}/") for n in range(1400)]
        site.write_config(config_body(2, rows))
        wait_for(lambda: front.cluster_state.configuration().version == 2)
        address = (front.settings.address, site.ports[2])
        plain = call(*address, "/tables/op")[2]
        client = create_json_client(*address, "peer")
        response = client.call("GET", "/tables/op", headers=ACCEPTED)
        assert client.exchanged_bytes < 0.25 * len(plain)
        assert response.body == msgspec.json.decode(plain)
        found, complete = peer_tables._request_table(address, "op", 0)
        assert complete and found.version == response.body["version"]


def test_a_compressed_body_that_is_malformed_or_too_long_is_an_error():
    raw, headers = compress(b"a" * 100_000)
    assert dict(headers) == {"Content-Encoding": CODING} and len(raw) < 1000
    assert decompress(raw, CODING, 100_000) == b"a" * 100_000
    for body, coding, limit in (
        (raw, CODING, 99_999),
        (raw[:-5], CODING, 200_000),
        (b"no", CODING, 100),
        (raw, "br", 200_000),
    ):
        try:
            decompress(body, coding, limit)
            raise AssertionError((len(body), coding, limit))
        except ValueError:
            pass
