"""Which instances look-ups name in a large deployment."""

import json
import random
from collections import Counter
from types import SimpleNamespace
from urllib.parse import urlencode

from quetzalwall.platform.settings import Bounds
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.front_interfaces import _look_up_host

NEAR = 100  # instances of the caller's region, of about 300
MOST_ADDRESSES = 64  # that an answer may hold
LOOK_UPS = 2000
UNEVEN = 0.2  # of its share, by which an instance may be named more or less often


def front_of(cards):
    return SimpleNamespace(
        fleet=SimpleNamespace(live=lambda: cards),
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


# At scale: an answer held all 100 instances of the region, beyond what callers take.
def test_an_answer_holds_no_more_addresses_than_callers_take():
    cards = [PeerInfo(f"i-{n}", "north", "a", f"10.0.0.{n}") for n in range(NEAR)]
    front = front_of(cards)
    counts = Counter()
    for _ in range(LOOK_UPS):
        named = look_up(front)
        assert len(set(named)) == len(named) == MOST_ADDRESSES, len(named)
        counts.update(named)
    usual = LOOK_UPS * MOST_ADDRESSES / NEAR
    assert len(counts) == NEAR
    assert all(abs(count / usual - 1) < UNEVEN for count in counts.values())


def test_all_instances_of_a_region_are_named_where_they_fit():
    cards = [PeerInfo(f"i-{n}", "north", "a", f"10.0.0.{n}") for n in range(64)]
    assert len(set(look_up(front_of(cards)))) == MOST_ADDRESSES
