"""Instances returned by look-ups in a large deployment."""

import json
import random
from collections import Counter
from types import SimpleNamespace
from urllib.parse import urlencode

from quetzalwall.platform.bounds import Bounds
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.front_interfaces import _look_up_host

LOCAL_INSTANCES = 100  # in the caller's region, of about 300
MAX_ADDRESSES = 64  # in the response of a look-up
LOOKUPS = 2000
MAX_DEVIATION = 0.2  # of an instance's count from the mean, as a fraction


def front_with(infos):
    return SimpleNamespace(
        fleet=SimpleNamespace(live=lambda: infos),
        metrics=SimpleNamespace(record_lookup=lambda: None),
        rng=random.Random(7),
        settings=SimpleNamespace(
            listen=SimpleNamespace(callers=("10.0.0.1", 8144)), bounds=Bounds()
        ),
    )


def look_up(front):
    query = urlencode({"name": "x.example", "region": "north", "zone": "north-a"})
    body = _look_up_host(front, {"QUERY_STRING": query}, lambda status, headers: None)
    return json.loads(body[0])["addresses"]


# A response had all 100 instances of the region, more than callers accept.
def test_a_response_has_no_more_addresses_than_callers_accept():
    infos = [
        PeerInfo(f"i-{n}", "north", "a", f"10.0.0.{n}") for n in range(LOCAL_INSTANCES)
    ]
    front = front_with(infos)
    counts = Counter()
    for _ in range(LOOKUPS):
        addresses = look_up(front)
        assert len(set(addresses)) == len(addresses) == MAX_ADDRESSES, len(addresses)
        counts.update(addresses)
    mean = LOOKUPS * MAX_ADDRESSES / LOCAL_INSTANCES
    assert len(counts) == LOCAL_INSTANCES
    assert all(abs(count / mean - 1) < MAX_DEVIATION for count in counts.values())


def test_a_response_has_all_instances_of_a_region_if_they_fit():
    infos = [PeerInfo(f"i-{n}", "north", "a", f"10.0.0.{n}") for n in range(64)]
    assert len(set(look_up(front_with(infos)))) == MAX_ADDRESSES
