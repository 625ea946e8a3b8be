"""Shifts between regions: never more than the cap, over all instances."""

import random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from quetzalwall.platform.headers import parse_response
from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.limits.share import even_share
from quetzalwall.process.limits.traffic_shifts import create_traffic_shifts
from quetzalwall.tests.platform_fixtures import ManualClock
from quetzalwall.version.model import EndpointEntry, Shift

DOMAINS = {"north-a": "north", "south-a": "south"}
MOVE = Shift("move", "desk", "north", "south", 0.5, 7, 2.0, True)


class Side:
    """One instance's shifts, with one endpoint in each region."""

    def __init__(self, name, clock, region="north"):
        self.endpoints = create_endpoint_table(DOMAINS, parse_response, clock.monotonic)
        info = PeerInfo(name, region, f"{region}-a", "127.0.0.1")
        self.fleet = create_fleet(info, 1, self.endpoints, clock.monotonic, 1)
        rng = random.Random(name)
        self.shifts = create_traffic_shifts(
            self.endpoints, self.fleet, rng, clock.monotonic
        )
        self.shifts.configure([MOVE])
        for domain in DOMAINS:
            entry = EndpointEntry(
                f"ep-{domain}", "desk", "127.0.0.1", 9, domain, 10, False, 0.0, 1
            )
            self.endpoints.put(entry)

    def move(self, now):
        """Offer one request; return whether it is moved."""
        progress = self.shifts.choose_shift("desk", now)
        if progress is not None:
            self.shifts.record_move(progress, now)
        return progress is not None


def sides(clock, names=("a", "b", "c")):
    found = [Side(name, clock) for name in names]
    for side in found:
        for other in found:
            side.fleet.add_registered(other.fleet.own_info)
    return found


def steps(clock, found, count):
    for _ in range(count):
        clock.now += 1.0
        for side in found:
            side.shifts.adjust()


@settings(suppress_health_check=[HealthCheck.too_slow])
@given(st.integers(0, 1000), st.sets(st.text("abc", min_size=1), min_size=1))
def test_parts_of_a_limit_add_up(limit, names):
    names = sorted(names)
    assert sum(even_share(limit, "k", name, names) for name in names) == limit


def test_never_more_than_the_cap_moves_in_any_interval():
    clock = ManualClock()
    found = sides(clock)
    steps(clock, found, 5)
    moved = []
    for _ in range(4000):
        clock.now += 0.004
        for side in found:
            if side.move(clock.now):
                moved.append(clock.now)
    for at in moved:
        assert sum(at <= other < at + MOVE.interval_s for other in moved) <= MOVE.cap
    assert len(moved) > 4 * MOVE.cap


def test_a_restarted_instance_takes_no_more_than_its_part_before_it_heard_others():
    # It has read from the store who there is, and no datagram has arrived yet.
    clock = ManualClock()
    found = sides(clock)
    fresh = Side("a", clock)
    for other in found:
        fresh.fleet.add_registered(other.fleet.own_info)
    assert fresh.shifts.part(MOVE) == found[0].shifts.part(MOVE) < MOVE.cap


def test_instances_of_another_region_move_nothing():
    clock = ManualClock()
    side = Side("z", clock, region="south")
    steps(clock, [side], 10)
    assert not any(side.move(clock.now) for _ in range(100))
    assert side.shifts.status()["move"]["limit"] == 0


def test_a_shift_goes_back_when_the_receiving_region_has_no_room():
    clock = ManualClock()
    side = Side("a", clock)
    steps(clock, [side], 5)
    before = side.shifts.status()["move"]["fraction"]
    side.endpoints.get("ep-south-a").own_in_flight = 10
    steps(clock, [side], 2)
    status = side.shifts.status()["move"]
    assert status["fraction"] <= before / 4
    assert status["reason"] == "headroom"


def test_a_shift_goes_back_when_the_receiving_region_gets_slower():
    clock = ManualClock()
    side = Side("a", clock)
    steps(clock, [side], 5)
    before = side.shifts.status()["move"]["fraction"]
    side.endpoints.get("ep-south-a").record_slowness(4.0, clock.now + 1.0, own=True)
    steps(clock, [side], 1)
    assert side.shifts.status()["move"]["fraction"] == before / 2


def test_a_stopped_shift_moves_nothing_more():
    clock = ManualClock()
    side = Side("a", clock)
    steps(clock, [side], 5)
    side.shifts.configure([MOVE._replace(running=False)])
    assert not any(side.move(clock.now) for _ in range(100))


def test_a_change_of_other_settings_does_not_reset_the_count():
    clock = ManualClock()
    side = Side("a", clock)
    steps(clock, [side], 5)
    while side.shifts.status()["move"]["moved"] < MOVE.cap:
        side.move(clock.now)
    side.shifts.configure([MOVE._replace(fraction=0.9)])
    assert not any(side.move(clock.now) for _ in range(100))
